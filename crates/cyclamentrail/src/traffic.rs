//! Request path: accepts callers' requests, dispatches them to backend servers and forwards the
//! responses.

mod admission;
mod context;
mod dispatch;
mod guarded_body;
mod keyed;
mod link;
mod listener;
mod placement;
mod recorder;
mod relay;
mod request;
mod request_log;
mod response;
mod rewrite;
mod select;
mod slot;
mod tickets;
mod wait;

pub(crate) use admission::AdmissionControl;
pub(crate) use link::{Link, LinkTarget};
pub(crate) use listener::{RequestPath, router, serve_forwarded_ticket};
pub(crate) use placement::Placement;
pub(crate) use request::BackendRequest;
pub(crate) use request_log::RequestLog;
pub(crate) use rewrite::remove_hop_by_hop;
pub(crate) use tickets::Tickets;
