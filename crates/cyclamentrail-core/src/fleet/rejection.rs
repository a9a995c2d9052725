//! Why the fold rejected a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{Incarnation, RecordId, Term, Version};

/// A record that the fold rejected; every entry rejects it alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The rejected record.
    pub id: RecordId,
    /// Why it was rejected.
    pub kind: RejectionKind,
}

/// Kinds of rejection, each with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RejectionKind {
    /// The id was folded before.
    #[error("the record was appended twice; its first copy counts")]
    Duplicate,
    /// The author isn't a member.
    #[error("process {author} is not a member; it joins again as a new process")]
    NotMember {
        /// The author.
        author: Incarnation,
    },
    /// The record's format is newer than some member understands.
    #[error(
        "record format {format} is newer than every member understands ({agreed}); upgrade the older entries first"
    )]
    FormatTooNew {
        /// Format of the record.
        format: u16,
        /// Newest format that every member understands.
        agreed: u16,
    },
    /// Another change came first.
    #[error(
        "the change presumes version {presumed} and version {current} is in force, by {winner}; read it and try again"
    )]
    VersionPassed {
        /// Version that the record presumes.
        presumed: Version,
        /// Version in force.
        current: Version,
        /// Who made the change in force.
        winner: String,
    },
    /// Another claim of the duty came first.
    #[error("the claim presumes term {presumed} and term {current} is in force")]
    TermPassed {
        /// Term that the claim presumes.
        presumed: Term,
        /// Term in force.
        current: Term,
    },
    /// The named thing doesn't exist.
    #[error("{what} does not exist; list the names with the state command")]
    Unknown {
        /// What was named.
        what: String,
    },
    /// The instance isn't in a state that allows the change.
    #[error("instance is {state}; wait until it is {needed}")]
    WrongState {
        /// State of the instance.
        state: String,
        /// State that the change needs.
        needed: String,
    },
    /// The change clashes with something that is under way.
    #[error("{problem}; {remedy}")]
    Clash {
        /// What is under way.
        problem: String,
        /// What to do about it.
        remedy: String,
    },
    /// Too few members witnessed an eviction.
    #[error("{witnesses} of {members} members witness the eviction; more than half are needed")]
    TooFewWitnesses {
        /// Members that witness it.
        witnesses: usize,
        /// All members.
        members: usize,
    },
    /// The settings after the change are invalid.
    #[error("the changed settings are invalid: {problem}")]
    InvalidSettings {
        /// The first fault.
        problem: String,
    },
}
