//! Small stand-ins of the users' platform for jobs: the store, workers that run tasks, and a client.
//!
//! They implement the platform's published formats as far as the product uses them. Tests call
//! them directly to inject faults and to count the runs that workers began.

mod client;
mod store;
mod worker;

pub use client::{
    JOB_HOST, JOB_SERVICE, JobClient, ProcessPorts, QueueTarget, SubmitResult, process_settings,
    put_configuration, put_team_configuration, put_teams,
};
pub use store::{JobStore, StoreView};
pub use worker::{CallKind, JobWorker, LateCall, TaskRun};
