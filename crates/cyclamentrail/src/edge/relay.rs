//! Relays: processes that send an owner's calls to workers.
//!
//! The owner of a service decides; where the service has many workers, other processes each send the
//! calls to a part of them, in batches and under the owner's fencing token. A relay keeps nothing
//! that must last: when it is lost, the owner calls its workers directly or over another relay.
//!
//! A session between an owner and a relay is one HTTP request whose body carries [`OwnerFrame`]s and
//! whose response body carries [`RelayReport`]s.

mod directory;
mod frames;
mod host;
mod message;
mod session;

pub(crate) use directory::maintain;
pub(crate) use host::{RELAY_PATH, accept_session};
pub(crate) use message::{
    CallId, CallOutcome, CallResult, OwnerFrame, RelayBatch, RelayReport, RelayedCall, WorkerCall,
};
pub(crate) use session::{RelayClient, Session, SessionEvent, relay_client};
