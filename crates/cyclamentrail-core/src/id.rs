//! Typed numbers that identify processes, records, versions, terms and boots.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number plus 1; the largest number stays as it is.
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

define_ids! {
    /// Identifies one run of an entry process as a member; never reused.
    Incarnation,
    /// Position of a record in its stream of the platform's log, counted from 0.
    Offset,
    /// Version of an object that the entries agree on; incremented by each accepted change.
    Version,
    /// Term of a duty; incremented by each accepted claim of the duty.
    Term,
    /// Identifies one boot of an instance, as reported by the platform's instance list.
    BootId,
}

/// Identifies a record.
///
/// Copies of a record that was appended more than once share the id, so that the record is folded
/// only once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Entry process that wrote the record.
    pub author: Incarnation,
    /// Sequence number among the author's records, counted from 1.
    pub sequence: u64,
}

impl RecordId {
    /// Creates the id of the author's record with this sequence number.
    #[must_use]
    pub const fn new(author: Incarnation, sequence: u64) -> Self {
        Self { author, sequence }
    }
}
