//! Traffic: takes callers' requests, sends them to backend servers and passes answers back.

mod answer;
mod call;
mod claims;
mod dispatch;
mod forward;
mod gate;
mod guard;
mod journal;
mod link;
mod listener;
mod pick;
mod placement;
mod pump;
mod recorder;
mod request;
mod slot;
mod tickets;
mod wait;

pub(crate) use forward::remove_hop_by_hop;
pub(crate) use gate::Gate;
pub(crate) use journal::Journal;
pub(crate) use link::{Link, LinkTarget};
pub(crate) use listener::{Traffic, router, serve_ticket};
pub(crate) use placement::Placement;
pub(crate) use request::Outgoing;
pub(crate) use tickets::Tickets;
