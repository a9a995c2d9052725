//! Small stand-ins of the platform: the log service, the instance list, backend servers, the store
//! and workers for jobs, and a simulated site in virtual time.
//!
//! Tests, benches and `cyclamentrail local` use them. Faults are switched on by method calls or by
//! HTTP requests below `/_standin/`. Operators run none of this in production.
//!
//! ```
//! use cyclamentrail_standin::LogStore;
//!
//! let store = LogStore::new();
//! assert_eq!(store.head("control").get(), 0);
//! ```

mod backend;
mod faulty_io;
mod jobs;
mod list_service;
mod log_service;
mod log_store;
mod pass_through;
mod responses;
mod serve;
mod virtual_site;

pub use backend::{Backend, BackendFault, BackendReport, RunReport};
pub use jobs::{
    CallKind, JOB_HOST, JOB_SERVICE, JobClient, JobStore, JobWorker, LateCall, ProcessPorts,
    QueueTarget, StoreView, SubmitResult, TaskRun, process_settings, put_configuration,
    put_team_configuration, put_teams,
};
pub use list_service::{ListBehaviour, ListService};
pub use log_service::{LogFault, LogService};
pub use log_store::LogStore;
pub use pass_through::PassThrough;
pub use responses::ResponseKind;
pub use serve::Served;
pub use virtual_site::{Counts, Machine, RebootFault, VirtualSite};
