//! Benches of the decisions against simple baselines, with regression bounds.
//!
//! Counted figures are compared with the bounds in `bounds.json`, which come from the stated
//! targets. A figure that is timed is reported only.
//!
//! ```
//! use cyclamentrail_bench::Bounds;
//!
//! let bounds = Bounds::load().expect("bounds.json is part of the crate");
//! assert!(bounds.violations(&[]).is_empty());
//! ```

mod bounds;
#[expect(
    clippy::cast_precision_loss,
    reason = "counted figures are far below the precision of a float"
)]
pub mod capacity;
mod control;
pub mod requests;
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counted figures are far below the precision of a float"
)]
pub mod waves;

pub use bounds::{Bound, Bounds, Figure};
pub use control::{ControlReport, ControlSize, count_control_day, heartbeat_figures};
