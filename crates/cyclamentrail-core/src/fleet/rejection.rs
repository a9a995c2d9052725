//! Why the fold rejected a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{Incarnation, Offset, RecordId, Term, Version};
use crate::name::{InstanceName, PoolName};

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
    /// The id, or a later one of the same author, was folded before.
    #[error(
        "this record or a later one of the same process was folded before; read the state to see what is in force"
    )]
    Duplicate,
    /// The record isn't at the next offset.
    #[error(
        "record {offset} can't be folded before record {expected}; read the log or a snapshot from there"
    )]
    OutOfOrder {
        /// Offset of the record.
        offset: Offset,
        /// Offset of the next record to fold.
        expected: Offset,
    },
    /// The record's body can't be read.
    #[error("the record's body is malformed; check that only entries write to this stream")]
    Malformed,
    /// The author isn't a member.
    #[error("process {author} is not a member; it joins again as a new process")]
    NotMember {
        /// The author.
        author: Incarnation,
    },
    /// The author was a member and is gone.
    #[error("process {author} has left for good; start the entry again as a new process")]
    Departed {
        /// The author.
        author: Incarnation,
    },
    /// Only a process itself can tell that it stopped in order.
    #[error("process {author} can't tell that process {gone} stopped; evict it instead")]
    NotOwn {
        /// The author.
        author: Incarnation,
        /// The process that is said to have stopped.
        gone: Incarnation,
    },
    /// The drain doesn't wait for the author.
    #[error("the drain doesn't wait for process {author}; nothing needs to be released")]
    NotAwaited {
        /// The author.
        author: Incarnation,
    },
    /// The build is older than the records in use.
    #[error(
        "the build supports record formats up to {supports} and format {used} is in use; start a newer build"
    )]
    BuildTooOld {
        /// Newest format that the build understands.
        supports: u16,
        /// Newest format in use.
        used: u16,
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
    #[error(
        "{witnesses} of {members} members witness the eviction; at least half are needed, or an operator's word that the instance is switched off"
    )]
    TooFewWitnesses {
        /// Members that witness it.
        witnesses: usize,
        /// All members.
        members: usize,
    },
    /// The settings drop an instance that isn't drained.
    #[error(
        "instance \"{instance}\" is in use in pool \"{pool}\"; let it drain, then remove it from the settings"
    )]
    InstanceInUse {
        /// The instance.
        instance: InstanceName,
        /// Pool that it belongs to.
        pool: PoolName,
    },
    /// The settings drop a pool that instances belong to.
    #[error(
        "instance \"{instance}\" belongs to pool \"{pool}\"; move it to another pool, then remove the pool"
    )]
    PoolInUse {
        /// The pool.
        pool: PoolName,
        /// The first instance in it.
        instance: InstanceName,
    },
    /// The idempotency key is claimed.
    #[error("the key is claimed by process {owner}; ask it for the outcome")]
    KeyClaimed {
        /// The one process that may run it.
        owner: Incarnation,
    },
    /// The claim was made long before it was appended.
    #[error("the claim is {age_ms} ms old; claim again while the caller waits")]
    ClaimTooOld {
        /// Age in milliseconds by the time of the log.
        age_ms: u64,
    },
    /// As many keys are remembered as may be.
    #[error("too many idempotency keys are remembered; one is forgotten in {free_in_ms} ms")]
    ClaimsFull {
        /// Time in milliseconds until the next key is forgotten.
        free_in_ms: u64,
    },
    /// The author has no claim there that is still running.
    #[error("the claim at offset {claim} has ended or is another process's")]
    ClaimEnded {
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
    /// The settings after the change are invalid.
    #[error("the changed settings are invalid: {problem}")]
    InvalidSettings {
        /// The first fault.
        problem: String,
    },
}
