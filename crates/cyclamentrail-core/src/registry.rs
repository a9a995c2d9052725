//! A slot map whose objects can also be looked up by name.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use slotmap::{Key, SlotMap};

/// Stores objects under typed keys and indexes them by name; iterates in the order of the names.
///
/// Serialized as a list of pairs of name and object; keys aren't stored and may change when the
/// registry is read back.
#[derive(Debug, Clone)]
pub struct Registry<K: Key, N: Ord, T> {
    objects: SlotMap<K, T>,
    keys_by_name: BTreeMap<N, K>,
}

impl<K: Key, N: Ord, T> Default for Registry<K, N, T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Key, N: Ord, T> Registry<K, N, T> {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self {
            objects: SlotMap::with_key(),
            keys_by_name: BTreeMap::new(),
        }
    }

    /// Inserts an object and returns its key; an object of the same name is replaced under its key.
    pub fn insert(&mut self, name: N, object: T) -> K {
        if let Some(&key) = self.keys_by_name.get(&name) {
            self.objects[key] = object;
            return key;
        }
        let key = self.objects.insert(object);
        self.keys_by_name.insert(name, key);
        key
    }

    /// Removes the object of a name and returns it; `None` when no object has the name.
    pub fn remove<Q: Ord + ?Sized>(&mut self, name: &Q) -> Option<T>
    where
        N: Borrow<Q>,
    {
        let key = self.keys_by_name.remove(name)?;
        self.objects.remove(key)
    }

    /// Returns the key of the object with a name.
    #[must_use]
    pub fn key<Q: Ord + ?Sized>(&self, name: &Q) -> Option<K>
    where
        N: Borrow<Q>,
    {
        self.keys_by_name.get(name).copied()
    }

    /// Returns the object with a name.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, name: &Q) -> Option<&T>
    where
        N: Borrow<Q>,
    {
        self.key(name).and_then(|key| self.objects.get(key))
    }

    /// Returns the object with a name for modification.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, name: &Q) -> Option<&mut T>
    where
        N: Borrow<Q>,
    {
        let key = self.key(name)?;
        self.objects.get_mut(key)
    }

    /// Returns the object with a key; `None` when the object was removed.
    #[must_use]
    pub fn by_key(&self, key: K) -> Option<&T> {
        self.objects.get(key)
    }

    /// Iterates over names and objects in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&N, &T)> {
        self.keys_by_name
            .iter()
            .map(|(name, &key)| (name, &self.objects[key]))
    }

    /// Iterates over all objects for modification, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.objects.values_mut()
    }

    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys_by_name.len()
    }

    /// Returns whether the registry is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys_by_name.is_empty()
    }
}

impl<K: Key, N: Ord, T: PartialEq> PartialEq for Registry<K, N, T> {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}

impl<K: Key, N: Ord, T: Eq> Eq for Registry<K, N, T> {}

impl<K: Key, N: Ord + Serialize, T: Serialize> Serialize for Registry<K, N, T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de, K, N, T> Deserialize<'de> for Registry<K, N, T>
where
    K: Key,
    N: Ord + Deserialize<'de>,
    T: Deserialize<'de>,
{
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let pairs = Vec::<(N, T)>::deserialize(deserializer)?;
        let mut registry = Self::new();
        for (name, object) in pairs {
            registry.insert(name, object);
        }
        Ok(registry)
    }
}
