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

pub(crate) use link::Link;
pub(crate) use listener::{Traffic, router};
