//! Steps of the parties of the quota model.

use std::fmt;

use super::REPLACED;

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum QuotaAction {
    /// The owner of a shard places a task, stores that and sends a start command.
    Place(usize),
    /// An owner that was replaced places a task.
    PlaceReplaced(usize),
    /// A worker carries out a start command.
    ExecuteStart(usize),
    /// A run ends, and the owner stores that.
    EndRun(usize),
    /// A worker confirms the stop of a run that it hasn't started, and will refuse its start.
    ConfirmStop(usize),
    /// The owner sends the stop of a run, which counts no longer.
    StopUncounted(usize),
    /// The owner frees a run whose start wasn't answered.
    FreeUnanswered(usize),
    /// The owner of a shard reports to the ledger with a token, which replies with a grant.
    Report {
        /// Index of the shard.
        shard: usize,
        /// Token of the ledger.
        token: u8,
        /// Allowance in the reply.
        grant: u8,
    },
    /// The owner of a shard reports to the ledger with a token, and the report is delayed.
    DelayReport {
        /// Index of the shard.
        shard: usize,
        /// Token of the ledger.
        token: u8,
    },
    /// The delayed report arrives; the ledger replies with a grant.
    DeliverDelayed(u8),
    /// An owner that was replaced reports to the ledger with a token.
    ReportReplaced {
        /// Index of the shard.
        shard: usize,
        /// Token of the ledger.
        token: u8,
    },
    /// The reply to an owner arrives.
    ReceiveReply(usize),
    /// The call of an owner times out, or its reply is lost.
    TimeOut(usize),
    /// The reply to a call that has timed out arrives.
    ReceiveLateReply,
    /// Another process takes over a shard.
    TakeOver,
    /// Another process becomes the ledger; the one before doesn't know.
    ChangeLedger,
    /// The operator lowers the cap.
    LowerCap,
    /// The owner of a shard reads the lowered cap.
    LearnCap(usize),
}

impl fmt::Display for QuotaAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Place(shard) => write!(f, "the owner of shard {shard} places a task"),
            Self::PlaceReplaced(shard) => {
                write!(f, "the replaced owner of shard {shard} places a task")
            }
            Self::ExecuteStart(shard) => write!(f, "a worker of shard {shard} starts a task"),
            Self::EndRun(shard) => write!(f, "a run of shard {shard} ends"),
            Self::ConfirmStop(shard) => {
                write!(
                    f,
                    "a worker of shard {shard} confirms a stop before its start"
                )
            }
            Self::StopUncounted(shard) => write!(f, "the owner of shard {shard} stops a run"),
            Self::FreeUnanswered(shard) => {
                write!(f, "the owner of shard {shard} frees an unanswered start")
            }
            Self::Report {
                shard,
                token,
                grant,
            } => write!(
                f,
                "shard {shard} reports to ledger {token}, which grants {grant}"
            ),
            Self::DelayReport { shard, token } => {
                write!(f, "shard {shard} sends a report to ledger {token}")
            }
            Self::DeliverDelayed(grant) => {
                write!(f, "the sent report arrives, the ledger grants {grant}")
            }
            Self::ReportReplaced { shard, token } => {
                write!(
                    f,
                    "the replaced owner of shard {shard} reports to ledger {token}"
                )
            }
            Self::ReceiveReply(shard) => write!(f, "shard {shard} gets the reply"),
            Self::TimeOut(shard) => write!(f, "the call of shard {shard} times out"),
            Self::ReceiveLateReply => write!(f, "a late reply arrives"),
            Self::TakeOver => write!(f, "shard {REPLACED} is taken over"),
            Self::ChangeLedger => write!(f, "another process becomes the ledger"),
            Self::LowerCap => write!(f, "the operator lowers the cap"),
            Self::LearnCap(shard) => write!(f, "the owner of shard {shard} reads the lowered cap"),
        }
    }
}
