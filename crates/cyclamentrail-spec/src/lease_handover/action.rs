//! Steps of the model of the lease handover.

use std::fmt;

use super::HoldCommand;

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum HandoverAction {
    /// A tick passes.
    Tick,
    /// A process claims the shard and reads the topic.
    Claim(u8),
    /// An owner stores its last commit and gives the shard up.
    Release(u8),
    /// An owner confirms its ownership, and rewrites its record.
    Confirm(u8),
    /// An owner finds that the worker doesn't respond, and writes the first record.
    Cease(u8),
    /// An owner deletes the record, because the worker responds again.
    Delete(u8),
    /// An owner reads the worker's clock.
    Poll(u8),
    /// An owner sends a hold command.
    SendHold(u8),
    /// The worker gets a hold command.
    ExecuteHold(HoldCommand),
    /// An owner starts the run elsewhere.
    StartElsewhere(u8),
    /// An owner places the run on the worker's present incarnation.
    PlaceAgain(u8),
    /// The worker restarts under its id.
    Restart,
    /// A second copy of a record arrives.
    CopyRecord,
}

impl fmt::Display for HandoverAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a second passes"),
            Self::Claim(owner) => write!(f, "process {owner} claims the shard"),
            Self::Release(owner) => write!(f, "process {owner} releases the shard"),
            Self::Confirm(owner) => write!(f, "process {owner} confirms its ownership"),
            Self::Cease(owner) => write!(f, "process {owner} grants no more and records it"),
            Self::Delete(owner) => write!(f, "process {owner} deletes the record"),
            Self::Poll(owner) => write!(f, "process {owner} polls the worker"),
            Self::SendHold(owner) => write!(f, "process {owner} sends a hold command"),
            Self::ExecuteHold(hold) => write!(
                f,
                "the worker holds the run under token {} until {} ms",
                hold.token, hold.until_ms
            ),
            Self::StartElsewhere(owner) => write!(f, "process {owner} starts the run elsewhere"),
            Self::PlaceAgain(owner) => write!(f, "process {owner} places the run again"),
            Self::Restart => write!(f, "the worker restarts"),
            Self::CopyRecord => write!(f, "a second copy of the record arrives"),
        }
    }
}
