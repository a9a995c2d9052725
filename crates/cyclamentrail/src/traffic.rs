//! Traffic: takes callers' requests, sends them to backend servers and passes answers back.

mod answer;
mod claims;
mod dispatch;
mod forward;
mod guard;
mod jobs;
mod link;
mod listener;
mod recorder;
mod request;
mod tickets;

pub(crate) use forward::remove_hop_by_hop;
pub(crate) use link::Link;
pub(crate) use listener::{Traffic, router, serve_ticket};
pub(crate) use request::Outgoing;
pub(crate) use tickets::Tickets;
