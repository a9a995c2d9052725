//! The control thread: owns the state that all entries agree on, writes to the platform's log and
//! publishes views of the state to traffic.
//!
//! [`follow_log`] and [`poll_instance_list`] feed the [`Actor`] with records and instance lists; the
//! [`Writer`] appends the records that the actor submits.

mod actor;
mod backoff;
mod claims;
mod duty_action;
mod follower;
mod identity;
mod instance_list;
mod log_health;
mod message;
mod platform_client;
mod record_history;
mod recovery;
mod settings_status;
mod snapshots;
mod wave_duty;
mod writer;

pub(crate) use actor::{Actor, ActorParts};
pub(crate) use claims::{ClaimMessage, ClaimReply, RunEnd, RunPermit};
pub(crate) use follower::{Follower, follow_log};
pub(crate) use identity::Identity;
pub(crate) use instance_list::poll_instance_list;
pub(crate) use message::{ControlHandle, ControlMessage, SubmitError};
pub(crate) use platform_client::PlatformClient;
pub(crate) use recovery::{PeerAddresses, Recovery};
pub(crate) use settings_status::MemberSettingsStatus;
pub(crate) use snapshots::SnapshotStore;
pub(crate) use writer::Writer;
