//! Messages of the platform's published protocols: the log service and the instance list.
//!
//! Both are HTTP services. Bodies of the log service are encoded with `rmp-serde`, bodies of the
//! instance list are JSON:
//!
//! - `POST /v1/streams/{stream}/records` takes an [`AppendRequest`] and returns an
//!   [`AppendResponse`];
//! - `GET /v1/streams/{stream}/records?from=&max=&wait_ms=` takes a [`ReadRequest`] as its query
//!   and returns a [`ReadResponse`], after `wait_ms` milliseconds at the latest;
//! - `GET /v1/instances` returns an [`InstanceList`];
//! - `POST /v1/instances/{name}/reboot` requests the reboot of an instance.
//!
//! ```
//! use cyclamentrail_platform::AppendRequest;
//!
//! let request = AppendRequest::from(vec![b"record".to_vec()]);
//! assert_eq!(request.records.len(), 1);
//! ```

mod list;
mod log;

pub use list::{InstanceList, ListedInstance, ListedState};
pub use log::{AppendRequest, AppendResponse, LogRecord, ReadRequest, ReadResponse};
