//! Quota of teams over all shards: what each shard may start on its own, and what it borrows.
//!
//! It answers the load in which callers of one team compete for its cap through several services at
//! once. Every amount is a share of the team's cap in millionths, the largest of the shares in the
//! capped dimensions (the dominant share). Shares are rounded up, so that shares that sum up to the
//! whole cap keep every dimension within the cap.
//!
//! Each shard has an allowance: a base that needs no permission, or more as the [`Ledger`] lends it.
//! The owner of a shard keeps its [`Allowances`] and reports to the ledger; no part reads a clock.

mod allowance;
mod caps;
mod ledger;
mod report;
mod targets;

pub use allowance::{AllowanceChange, Allowances, MAX_CHANGED_TEAMS};
pub use ledger::Ledger;
pub use report::{Grantee, QuotaReply, QuotaReport, TeamReport};

use crate::Resources;

/// The whole cap of a team, in millionths.
pub const WHOLE_CAP: u64 = 1_000_000;
/// Part of the cap that the bases of all shards share, in millionths.
const ALL_BASES: u64 = WHOLE_CAP / 4;
/// Largest share that is represented; larger ones count as this one, so that sums don't overflow.
const MAX_SHARE: u64 = 1_000 * WHOLE_CAP;

/// Returns whether a cap limits any dimension.
#[must_use]
pub const fn is_limited(cap: &Resources) -> bool {
    cap.cpu_milli > 0 || cap.memory_mib > 0 || cap.gpus > 0
}

/// Returns the largest share that an amount takes of a dimension of the cap, in millionths, rounded
/// up; a dimension of 0 has no limit.
///
/// ```
/// use cyclamentrail_jobs::{Resources, cap_share};
///
/// let cap = Resources::new(40_000, 100_000, 0);
/// assert_eq!(cap_share(&Resources::new(10_000, 50_000, 4), &cap), 500_000);
/// ```
#[must_use]
pub fn cap_share(amount: &Resources, cap: &Resources) -> u64 {
    let share = |part: u64, whole: u64| {
        if whole == 0 {
            0
        } else {
            part.saturating_mul(WHOLE_CAP).div_ceil(whole)
        }
    };
    share(amount.cpu_milli, cap.cpu_milli)
        .max(share(amount.memory_mib, cap.memory_mib))
        .max(share(amount.gpus, cap.gpus))
        .min(MAX_SHARE)
}

/// Returns the allowance that each of `services` shards has without permission, in millionths of the
/// cap.
#[must_use]
pub fn base_share(services: usize) -> u64 {
    ALL_BASES / whole_count(services)
}

/// Returns the allowance of a shard that holds every loan, in millionths of the cap: what the bases
/// of the other shards leave.
#[must_use]
pub fn largest_allowance(services: usize) -> u64 {
    WHOLE_CAP - base_share(services) * (whole_count(services) - 1)
}

/// Returns whether a shard may start a task, or a gang as a whole, that takes its usage from `usage`
/// to `after`.
///
/// A request that doesn't fit even with every loan starts only in a shard that uses nothing of the
/// team and holds every loan. At most one shard does, so that the cap is exceeded by one task at
/// most: a gang may exceed it by one of its tasks, `member` being the share of one.
#[must_use]
pub fn may_start(usage: u64, after: u64, member: u64, allowance: u64, services: usize) -> bool {
    let largest = largest_allowance(services);
    after <= allowance || (usage == 0 && allowance >= largest && after <= largest + member)
}

fn whole_count(services: usize) -> u64 {
    u64::try_from(services).unwrap_or(u64::MAX).max(1)
}
