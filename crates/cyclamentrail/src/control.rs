//! Control: one thread owns the agreed state and publishes views of it to traffic.

mod actor;
mod backoff;
mod claims;
mod duty;
mod follower;
mod history;
mod identity;
mod in_force;
mod list_poller;
mod log_health;
mod message;
mod platform_client;
mod recovery;
mod snapshots;
mod wave_duty;
mod writer;

pub(crate) use actor::{Actor, Parts};
pub(crate) use claims::{ClaimAnswer, ClaimMessage, Run, RunEnd};
pub(crate) use follower::{Follower, follow_log};
pub(crate) use identity::Identity;
pub(crate) use in_force::MemberInForce;
pub(crate) use list_poller::poll_list;
pub(crate) use message::{ControlHandle, ControlMessage, SubmitError};
pub(crate) use platform_client::PlatformClient;
pub(crate) use recovery::{PeerAddresses, Recovery};
pub(crate) use snapshots::SnapshotStore;
pub(crate) use writer::Writer;
