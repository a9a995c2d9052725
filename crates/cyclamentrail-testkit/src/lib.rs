//! Starts the processes of a small site on loopback and sends requests to them, for tests.
//!
//! Every process prints a line that begins with `listening` once it serves. Dropping a [`Process`]
//! kills the process behind it.
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use cyclamentrail_testkit::Site;
//!
//! let site = Site::builder().entries(2).instances(4).start().await?;
//! let response = site.call(0, "checks", "call-1").await?;
//! assert_eq!(response.outcome, "answered");
//! # Ok(())
//! # }
//! ```

mod call;
mod client;
mod forwarder;
mod job_site;
mod load;
mod process;
mod site;
mod soak;

pub use call::Call;
pub use client::{Client, ClientResponse};
pub use forwarder::Forwarder;
pub use job_site::JobSite;
pub use load::{Load, LoadResult, count_outcomes};
pub use process::Process;
pub use site::{Site, SiteBuilder, TOKEN};
pub use soak::{
    Fault, History, JobHistory, KeyCall, KeyHistory, RunHistory, ScheduledFault, Soak, SoakReport,
    Submission, Violation, WorkerHistory, check_history, draw_schedule,
};
