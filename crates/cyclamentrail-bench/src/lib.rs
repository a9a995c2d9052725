//! Benchmarks of the routing, admission, planning and control code, with regression bounds.
//!
//! Request routing and maintenance waves are compared with simple baselines on the same seeded
//! trace. Counted figures are checked against `bounds.json`, whose bounds come from the stated
//! performance targets. Timed figures depend on the machine and are only printed.
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
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times and counts of a day are far below the precision of a float and not negative"
)]
pub mod lab;
pub mod losses;
pub mod requests;
#[expect(
    clippy::cast_precision_loss,
    reason = "times of the trace are far below the precision of a float"
)]
pub mod run_times;
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counted figures are far below the precision of a float"
)]
pub mod waves;

pub use bounds::{Bound, Bounds, Figure};
pub use control::{ControlReport, ControlSize, count_control_day, heartbeat_figures};
