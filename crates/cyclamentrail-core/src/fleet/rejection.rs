//! Reasons for which the fold rejects a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{Incarnation, Offset, RecordId, Term, Version};
use crate::name::{InstanceName, PoolName};

/// A record that the fold rejected; every entry rejects the same records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Id of the rejected record.
    pub id: RecordId,
    /// Reason for the rejection.
    pub kind: RejectionKind,
}

/// Reasons for a rejection; the error text of most of them names a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RejectionKind {
    /// The record, or a later one of the same author, was folded before.
    #[error(
        "this record or a later one of the same process was folded before; read the state to see what is in force"
    )]
    Duplicate,
    /// The record isn't at the next offset to fold.
    #[error(
        "record {offset} can't be folded before record {expected}; read the log or a snapshot from there"
    )]
    OutOfOrder {
        /// Offset of the record.
        offset: Offset,
        /// Offset of the next record to fold.
        expected: Offset,
    },
    /// The record's body can't be decoded.
    #[error("the record's body is malformed; check that only entries write to this stream")]
    Malformed,
    /// The author isn't a member.
    #[error("process {author} is not a member; it joins again as a new process")]
    NotMember {
        /// Process that wrote the record.
        author: Incarnation,
    },
    /// The author was a member and has left.
    #[error("process {author} has left permanently; start the entry again as a new process")]
    Departed {
        /// Process that wrote the record.
        author: Incarnation,
    },
    /// The record reports an orderly stop of another process; only the stopped process itself can
    /// report that.
    #[error("process {author} can't report that process {stopped} stopped; evict it instead")]
    #[serde(rename = "not_own")]
    ForeignStop {
        /// Process that wrote the record.
        author: Incarnation,
        /// Process that was reported to have stopped.
        #[serde(rename = "gone")]
        stopped: Incarnation,
    },
    /// The author released an instance whose drain doesn't wait for that member.
    #[error("the drain doesn't wait for process {author}; nothing needs to be released")]
    NotAwaited {
        /// Process that wrote the record.
        author: Incarnation,
    },
    /// The build doesn't support a record format that is in use.
    #[error(
        "the build supports record formats up to {supports} and format {used} is in use; start a newer build"
    )]
    BuildTooOld {
        /// Newest format that the build supports.
        supports: u16,
        /// Newest format in use.
        used: u16,
    },
    /// The record's format is newer than some member supports.
    #[error(
        "record format {format} is newer than the newest one that every member supports ({agreed}); upgrade the older entries first"
    )]
    FormatTooNew {
        /// Format of the record.
        format: u16,
        /// Newest format that every member supports.
        agreed: u16,
    },
    /// Another change was folded first, so the presumed version is no longer in force.
    #[error(
        "the change presumes version {presumed} and version {current} is in force, by {winner}; read it and try again"
    )]
    #[serde(rename = "version_passed")]
    OutdatedVersion {
        /// Version that the record presumes.
        presumed: Version,
        /// Version in force.
        current: Version,
        /// Author of the change in force, such as an operator's name.
        winner: String,
    },
    /// Another claim of the duty was folded first, so the presumed term has passed.
    #[error("the claim presumes term {presumed} and term {current} is in force")]
    #[serde(rename = "term_passed")]
    OutdatedTerm {
        /// Term that the claim presumes.
        presumed: Term,
        /// Term in force.
        current: Term,
    },
    /// The process, instance, pool, wave or move that the record names doesn't exist.
    #[error("{what} does not exist; list the names with the state command")]
    Unknown {
        /// Kind and name of the missing object.
        what: String,
    },
    /// The state of the instance doesn't allow the change.
    #[error("instance is {state}; wait until it is {needed}")]
    WrongState {
        /// State of the instance.
        state: String,
        /// State that the change needs.
        needed: String,
    },
    /// The change conflicts with a wave or a move.
    #[error("{problem}; {remedy}")]
    #[serde(rename = "clash")]
    Conflict {
        /// What the change conflicts with.
        problem: String,
        /// What the operator can do.
        remedy: String,
    },
    /// Too few members witnessed an eviction.
    #[error(
        "{witnesses} of {members} members witness the eviction; at least half are needed, or an operator's statement that the instance is switched off"
    )]
    TooFewWitnesses {
        /// Members that witness the eviction.
        witnesses: usize,
        /// Members in the member set that was checked.
        members: usize,
    },
    /// The settings remove an instance that isn't drained.
    #[error(
        "instance \"{instance}\" is in use in pool \"{pool}\"; let it drain, then remove it from the settings"
    )]
    InstanceInUse {
        /// The removed instance.
        instance: InstanceName,
        /// Pool that the instance belongs to.
        pool: PoolName,
    },
    /// The settings remove a pool that instances still belong to.
    #[error(
        "instance \"{instance}\" belongs to pool \"{pool}\"; move it to another pool, then remove the pool"
    )]
    PoolInUse {
        /// The removed pool.
        pool: PoolName,
        /// The first instance that belongs to the pool, by name.
        instance: InstanceName,
    },
    /// The idempotency key is already claimed.
    #[error("the key is claimed by process {owner}; request the outcome from that process")]
    KeyClaimed {
        /// The one process that may run the request.
        owner: Incarnation,
    },
    /// The claim was made too long before it was appended to the log.
    #[error("the claim is {age_ms} ms old; claim again while the caller waits")]
    ClaimTooOld {
        /// Age of the claim in milliseconds, by log time.
        age_ms: u64,
    },
    /// The maximum number of idempotency keys is remembered.
    #[error("too many idempotency keys are remembered; one is forgotten in {free_in_ms} ms")]
    ClaimsFull {
        /// Time in milliseconds until the next key is forgotten.
        free_in_ms: u64,
    },
    /// The offset holds no open claim of the author.
    #[error("the claim at offset {claim} has ended or belongs to another process")]
    ClaimEnded {
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
    /// The settings that result from the change are invalid.
    #[error("the changed settings are invalid: {problem}")]
    InvalidSettings {
        /// First fault that the validation found.
        problem: String,
    },
}
