//! Division of a team's cap among the shards.

use super::WHOLE_CAP;

/// Demand of one shard for a team's cap, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Demand {
    /// Share that the shard has without permission.
    pub(super) base: u64,
    /// Share that placed tasks take.
    pub(super) usage: u64,
    /// Share that the shard could use.
    pub(super) wanted: u64,
    /// Smallest share with which a waiting task could start; 0 if none waits.
    pub(super) needed: u64,
    /// Place in the queue of shards with a waiting task; the lowest comes first.
    pub(super) queued: u64,
}

/// Returns the allowance that each shard should have; together they are at most the cap.
///
/// A share that is divided equally can be of no use to any shard, when each waits for a task that is
/// larger than its part. So shards with a waiting task first get what this task needs, one after the
/// other, out of what no other shard uses. The rest is divided equally, up to what each wants.
pub(super) fn divide(demands: &[Demand]) -> Vec<u64> {
    let mut targets: Vec<u64> = demands.iter().map(|demand| demand.base).collect();
    let mut queue: Vec<usize> = (0..demands.len())
        .filter(|&index| demands[index].needed > 0)
        .collect();
    queue.sort_unstable_by_key(|&index| demands[index].queued);
    for index in queue {
        let occupied: u64 = (0..demands.len())
            .filter(|&other| other != index)
            .map(|other| targets[other].max(demands[other].usage))
            .sum();
        if occupied + demands[index].needed <= WHOLE_CAP {
            targets[index] = targets[index].max(demands[index].needed);
        }
    }
    let level = equal_level(demands, &targets);
    for (target, demand) in targets.iter_mut().zip(demands) {
        *target = (*target).max(demand.wanted.min(level));
    }
    targets
}

/// Returns the largest level to which the targets can be raised, as far as their shards want it,
/// within the cap.
fn equal_level(demands: &[Demand], targets: &[u64]) -> u64 {
    let sum_at = |level: u64| -> u64 {
        let raised = demands.iter().zip(targets);
        raised
            .map(|(demand, &target)| target.max(demand.wanted.min(level)))
            .sum()
    };
    let (mut fits, mut exceeds) = (0, WHOLE_CAP + 1);
    while fits + 1 < exceeds {
        let level = u64::midpoint(fits, exceeds);
        if sum_at(level) <= WHOLE_CAP {
            fits = level;
        } else {
            exceeds = level;
        }
    }
    fits
}
