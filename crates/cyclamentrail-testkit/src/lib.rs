//! Starts the processes of a small site on loopback and calls them, for tests.
//!
//! Every process prints `listening …` once it serves; it is killed when its handle is dropped.
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use cyclamentrail_testkit::Site;
//!
//! let site = Site::builder().entries(2).instances(4).start().await?;
//! let answer = site.call(0, "checks", "call-1").await?;
//! assert_eq!(answer.outcome, "answered");
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

pub use call::Call;
pub use client::{Answer, Client};
pub use forwarder::Forwarder;
pub use job_site::JobSite;
pub use load::{Ended, Load, tally};
pub use process::Process;
pub use site::{Site, SiteBuilder, TOKEN};
