//! Weighted shares of teams in a pool that is full.
//!
//! A team's weight is its part of the pool among the teams that have work, and the number of jobs a
//! second that it may expect to have served. Three decisions follow from it: which jobs are
//! accepted ([`admit_for_team`]), what counts as excess ([`JobRate`]), and whose jobs start first
//! ([`FairShares`]). What a team leaves of its share is used by the others.

mod admission;
mod order;
mod rate;

pub use admission::{TeamAdmission, TeamLoad, admit_for_team};
pub use order::{FairShares, TeamDemand, WHOLE_POOL_PPB};
pub use rate::JobRate;

/// Weight of jobs without a team, and of teams that the configuration doesn't list any more, in
/// thousandths.
pub const DEFAULT_WEIGHT_MILLI: u64 = 1_000;
/// Largest weight that is used, in thousandths; it keeps products within 64 bits.
const MAX_WEIGHT_MILLI: u64 = 1_000_000_000;

/// Returns a team's weight in thousandths, at least 1.
///
/// ```
/// use cyclamentrail_jobs::weight_milli;
///
/// assert_eq!(weight_milli(2.5), 2_500);
/// assert_eq!(weight_milli(0.0), 1);
/// ```
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is out of range is cast to the nearest bound, and clamped"
)]
pub fn weight_milli(weight: f64) -> u64 {
    ((weight * 1_000.0).round() as u64).clamp(1, MAX_WEIGHT_MILLI)
}
