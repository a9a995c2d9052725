//! Traffic: takes callers' requests, sends them to backend servers and passes answers back.

mod dispatch;
mod guard;
mod jobs;
mod link;
mod listener;

pub(crate) use link::Link;
pub(crate) use listener::{Traffic, router};
