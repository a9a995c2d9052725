//! A small stand-in of the users' platform: its store, and workers that run tasks.
//!
//! It speaks the platform's published formats as far as the product uses them. Tests reach into
//! it to bring about faults and to count what workers really ran.

mod client;
mod store;
mod worker;

pub use client::{JOB_SERVICE, JobClient, NodePorts, Submitted, node_settings, put_configuration};
pub use store::JobStore;
pub use worker::{JobWorker, TaskRun};
