//! Traffic: takes callers' requests, sends them to backend servers and passes answers back.

mod answer;
mod call;
mod claims;
mod dispatch;
mod forward;
mod gate;
mod guard;
mod jobs;
mod journal;
mod link;
mod listener;
mod pick;
mod placement;
mod recorder;
mod request;
mod slot;
mod wait;

pub(crate) use gate::Gate;
pub(crate) use journal::Journal;
pub(crate) use link::{Link, LinkTarget};
pub(crate) use listener::{Traffic, router};
pub(crate) use placement::Placement;
