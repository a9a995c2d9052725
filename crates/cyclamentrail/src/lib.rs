//! cyclamentrail: a fleet capacity and maintenance manager for small operators.
//!
//! This crate builds the product's only binary. It contains the command line, the listeners, the
//! clients of the platform and the threads; the decisions are made in [`core`], which performs no
//! input or output.
//!
//! ```no_run
//! let arguments = vec![String::from("--help")];
//! let code = cyclamentrail::run(&arguments);
//! assert_eq!(code, cyclamentrail::ExitStatus::Done);
//! ```

mod body;
mod change_history;
mod clock;
mod command;
mod control;
mod edge;
mod entry;
mod headers;
mod local;
mod logging;
mod metrics;
mod operator;
mod pages;
mod peer;
mod problem;
mod serve;
mod timer;
mod traffic;
mod view;

pub use cyclamentrail_core as core;

pub use command::{ExitStatus, run};
pub use entry::{Entry, EntryError, EntryOptions};
pub use local::{CallCounts, CallEnd, Contradictions, EndedCall};
pub use metrics::{METRICS, Metric, MetricKind};
pub use pages::{metrics_page, settings_page};
