//! Typed numbers that identify writers, records and versions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the number.
            #[must_use]
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number that follows; the greatest one is followed by itself.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )+};
}

numbers! {
    /// Identifies one run of an entry process; never used again.
    Incarnation,
    /// Position of a record in the platform's log, counted from 0.
    Offset,
    /// Version of an agreed object; rises by one with each accepted change.
    Version,
    /// Term of a duty; rises by one with each accepted claim.
    Term,
    /// Identifies one boot of an instance, as the platform's list tells it.
    BootId,
}

/// Identifies a record: a record that was appended twice carries the same id and folds once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Entry process that wrote the record.
    pub author: Incarnation,
    /// Position among the author's records, counted from 1.
    pub sequence: u64,
}

impl RecordId {
    /// Creates an id.
    #[must_use]
    pub const fn new(author: Incarnation, sequence: u64) -> Self {
        Self { author, sequence }
    }
}
