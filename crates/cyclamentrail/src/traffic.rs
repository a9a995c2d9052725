//! Traffic: takes callers' requests, sends them to backend servers and passes answers back.

mod call;
mod dispatch;
mod gate;
mod guard;
mod jobs;
mod journal;
mod link;
mod listener;
mod pick;
mod placement;
mod slot;
mod wait;

pub(crate) use gate::Gate;
pub(crate) use journal::Journal;
pub(crate) use link::{Link, LinkTarget};
pub(crate) use listener::{Traffic, router};
pub(crate) use placement::Placement;
