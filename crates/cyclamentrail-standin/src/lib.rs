//! Small stand-ins of the platform: the log service, the instance list and backend servers.
//!
//! They serve tests, benches and `cyclamentrail local`. Faults are switched on through typed
//! requests. Nothing here is part of what operators run.
//!
//! ```
//! use cyclamentrail_standin::LogStore;
//!
//! let store = LogStore::new();
//! assert_eq!(store.head("control").get(), 0);
//! ```

mod answers;
mod backend;
mod faulty_io;
mod jobs;
mod list_service;
mod log_service;
mod log_store;
mod pass_through;
mod serve;
mod virtual_site;

pub use answers::AnswerKind;
pub use backend::{Backend, BackendFault, BackendReport, RunReport};
pub use jobs::{
    JOB_SERVICE, JobClient, JobStore, JobWorker, NodePorts, Submitted, TaskRun, node_settings,
    put_configuration,
};
pub use list_service::{ListBehaviour, ListService};
pub use log_service::{LogFault, LogService};
pub use log_store::LogStore;
pub use pass_through::PassThrough;
pub use serve::Served;
pub use virtual_site::{Counts, Machine, RebootFault, VirtualSite};
