//! Steps of the model of a queue that moves.

use std::fmt;

use super::{CloseRequest, DirectoryAppend};

/// A step of one party of the model. Services are named by their index.
#[derive(Debug, Clone, Copy)]
pub enum QueueMoveAction {
    /// An operator gives the queue to the next service.
    Configure,
    /// An owner reads a version of the configuration.
    Learn(usize, u64),
    /// A commit of an owner is durable.
    Commit(usize),
    /// An owner begins to open the queue, and publishes it.
    Publish(usize),
    /// An owner publishes that it has no jobs of the queue.
    Withdraw(usize),
    /// The directory takes an append.
    Land(DirectoryAppend),
    /// An owner that has read its record in the directory asks the other service to close the queue.
    RequestClosing(usize),
    /// The other owner gets the request.
    Close(CloseRequest),
    /// An owner opens the queue.
    Open(usize),
    /// An owner that has read a version of the configuration takes the shard over.
    TakeOver(usize, u64),
    /// The job is submitted to a service.
    Submit(usize),
    /// The former service is asked for the job.
    AskFormer,
    /// The owner that the former service had earlier is asked for the job.
    AskReplaced,
    /// The job is submitted again, after the former service has been asked.
    SubmitChecked,
    /// The caller's process gives up.
    GiveUp,
}

impl fmt::Display for QueueMoveAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configure => write!(f, "the queue gets another service"),
            Self::Learn(service, version) => write!(f, "owner {service} reads version {version}"),
            Self::Commit(service) => write!(f, "a commit of owner {service} is durable"),
            Self::Publish(service) => write!(f, "owner {service} publishes the queue"),
            Self::Withdraw(service) => write!(f, "owner {service} publishes that it has no jobs"),
            Self::Land(append) => write!(f, "the directory takes {append:?}"),
            Self::RequestClosing(service) => write!(f, "owner {service} asks for the closing"),
            Self::Close(request) => write!(f, "the other owner gets {request:?}"),
            Self::Open(service) => write!(f, "owner {service} opens the queue"),
            Self::TakeOver(service, version) => {
                write!(f, "another owner of {service}, at version {version}")
            }
            Self::Submit(service) => write!(f, "the job is submitted to {service}"),
            Self::AskFormer => write!(f, "the former service is asked for the job"),
            Self::AskReplaced => write!(f, "its earlier owner is asked for the job"),
            Self::SubmitChecked => write!(f, "the job is submitted after the check"),
            Self::GiveUp => write!(f, "the caller's process gives up"),
        }
    }
}
