//! Messages of the platform's published protocols: the log service and the instance list.
//!
//! The log service speaks HTTP with `rmp-serde` bodies, the instance list HTTP with JSON:
//!
//! - `POST /v1/streams/{stream}/records` takes an [`AppendRequest`], answers an [`AppendAnswer`];
//! - `GET /v1/streams/{stream}/records?from=&max=&wait_ms=` answers a [`ReadAnswer`], at the
//!   latest after `wait_ms` milliseconds;
//! - `GET /v1/instances` answers an [`InstanceList`];
//! - `POST /v1/instances/{name}/reboot` asks the platform to reboot an instance.
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
pub use log::{AppendAnswer, AppendRequest, LogRecord, ReadAnswer, ReadRequest};
