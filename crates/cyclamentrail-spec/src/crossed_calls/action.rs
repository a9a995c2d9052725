//! Steps of the model of crossed calls.

use std::fmt;

use super::state::{Call, CallKind};

/// What becomes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It arrives at once.
    Arrives,
    /// It is on its way for some time.
    IsDelayed,
    /// It is lost.
    IsLost,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum CrossedAction {
    /// A tick passes.
    Tick,
    /// The second process claims the shard; the first one has released it, or may still act.
    Claim {
        /// Whether the first owner has released the shard.
        is_released: bool,
    },
    /// The worker restarts under its id.
    Restart,
    /// An owner reads the worker's registration.
    ReadRegistration(u8),
    /// The present owner places the task on the worker, and sends the start.
    Place,
    /// An owner sends the start again.
    RepeatStart(u8),
    /// An owner sends a poll that grants no lease.
    Poll(u8),
    /// An owner sends a call that grants a lease: a poll, or the start of another task.
    Hold(u8),
    /// The worker gets a call.
    Execute {
        /// Call in flight.
        call: Call,
        /// What becomes of the response.
        reply: Reply,
    },
    /// An owner gets a delayed response.
    Receive,
    /// A call in flight is lost.
    Lose(Call),
    /// The present owner gives the run up, because the lease has ended, and starts the task elsewhere unless
    /// the next run keeps to the worker.
    GiveUp,
    /// The present owner starts the task elsewhere, because no start can be carried out any more.
    StartElsewhere,
    /// The present owner starts the next run on the worker.
    StartAgain,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            CallKind::Poll => "a poll",
            CallKind::Hold => "a lease",
            CallKind::Start => "the start",
        };
        write!(
            f,
            "{kind} of owner {} for incarnation {}",
            self.owner, self.sent_to
        )
    }
}

impl fmt::Display for CrossedAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a tick passes"),
            Self::Claim { is_released: true } => write!(f, "owner 1 claims the released shard"),
            Self::Claim { is_released: false } => {
                write!(f, "owner 1 claims the shard, which owner 0 hasn't released")
            }
            Self::Restart => write!(f, "the worker restarts"),
            Self::ReadRegistration(owner) => write!(f, "owner {owner} reads the registration"),
            Self::Place => write!(f, "the owner places the task and sends the start"),
            Self::RepeatStart(owner) => write!(f, "owner {owner} sends the start again"),
            Self::Poll(owner) => write!(f, "owner {owner} sends a poll"),
            Self::Hold(owner) => write!(f, "owner {owner} sends a call that grants a lease"),
            Self::Execute { call, reply } => {
                let reply = match reply {
                    Reply::Arrives => "responds",
                    Reply::IsDelayed => "its response is delayed",
                    Reply::IsLost => "its response is lost",
                };
                write!(f, "the worker gets {call}; {reply}")
            }
            Self::Receive => write!(f, "the delayed response arrives"),
            Self::Lose(call) => write!(f, "{call} is lost"),
            Self::GiveUp => write!(f, "the owner gives the run up"),
            Self::StartElsewhere => write!(f, "the owner starts the task elsewhere"),
            Self::StartAgain => write!(f, "the owner starts the next run on the worker"),
        }
    }
}
