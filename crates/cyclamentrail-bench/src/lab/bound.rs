//! Upper bound on the jobs that can be on time, for a scheduler that knows the day in advance.
//!
//! The bound relaxes the problem: all machines are one processor of their total capacity, jobs can
//! be divided and paused at will, and moves are free. A job then only needs its work to be done
//! between its arrival and the end of its objective. The work that can be done by deadlines forms a
//! polymatroid, so that taking the jobs in the order of their work, each with as large a part as
//! fits, gives the greatest number of jobs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::{Description, Trace};

/// Halvings of the interval in which the part of a job that fits is searched.
const PART_HALVINGS: u32 = 6;

/// Work that has to be done in an interval.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their units")]
struct Demand {
    from_ms: f64,
    until_ms: f64,
    core_ms: f64,
}

/// Returns the largest number of jobs that can be on time, parts of jobs included.
#[must_use]
pub fn on_time_bound(description: &Description, trace: &Trace) -> f64 {
    let cores = description.pools.iter().map(|pool| pool.cores).max();
    let capacity = f64::from(cores.unwrap_or(0)) * f64::from(description.machine_count());
    let mut by_work: Vec<_> = trace.jobs.iter().collect();
    by_work.sort_by_key(|job| job.work_core_ms);
    let mut accepted: Vec<Demand> = Vec::new();
    let mut on_time = 0.0;
    for job in by_work {
        let whole = Demand {
            from_ms: job.at_ms as f64,
            until_ms: (job.at_ms + job.objective_ms) as f64,
            core_ms: job.work_core_ms as f64,
        };
        let part = largest_part(&accepted, whole, capacity);
        on_time += part;
        insert(&mut accepted, whole.scaled(part));
    }
    on_time
}

impl Demand {
    fn scaled(self, part: f64) -> Self {
        Self {
            core_ms: self.core_ms * part,
            ..self
        }
    }
}

/// Returns the largest part of a demand that can be met beside those that are accepted.
fn largest_part(accepted: &[Demand], whole: Demand, capacity: f64) -> f64 {
    let fits = |part: f64| {
        let mut demands = accepted.to_vec();
        insert(&mut demands, whole.scaled(part));
        is_feasible(&demands, capacity)
    };
    if fits(1.0) {
        return 1.0;
    }
    let (mut least, mut most) = (0.0, 1.0);
    for _ in 0..PART_HALVINGS {
        let middle = f64::midpoint(least, most);
        if fits(middle) {
            least = middle;
        } else {
            most = middle;
        }
    }
    least
}

/// Inserts a demand into a list that is ordered by begin.
fn insert(demands: &mut Vec<Demand>, demand: Demand) {
    if demand.core_ms > 0.0 {
        let index = demands.partition_point(|other| other.from_ms <= demand.from_ms);
        demands.insert(index, demand);
    }
}

/// Returns whether one divisible processor can meet all demands, which are ordered by begin: it can
/// if it does by serving the earliest deadline first.
fn is_feasible(demands: &[Demand], capacity: f64) -> bool {
    // Deadlines are ordered as whole milliseconds.
    let mut open: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut left: Vec<f64> = demands.iter().map(|demand| demand.core_ms).collect();
    let mut now_ms = 0.0;
    let mut next = 0;
    loop {
        let Some(&Reverse((until_ms, index))) = open.peek() else {
            let Some(demand) = demands.get(next) else {
                return true;
            };
            now_ms = demand.from_ms.max(now_ms);
            open.push(Reverse((demand.until_ms as u64, next)));
            next += 1;
            continue;
        };
        let done_ms = now_ms + left[index] / capacity;
        let arrival_ms = demands
            .get(next)
            .map_or(f64::INFINITY, |demand| demand.from_ms);
        if arrival_ms < done_ms {
            left[index] -= (arrival_ms - now_ms).max(0.0) * capacity;
            now_ms = arrival_ms.max(now_ms);
            open.push(Reverse((demands[next].until_ms as u64, next)));
            next += 1;
            continue;
        }
        if done_ms > until_ms as f64 + 0.5 {
            return false;
        }
        now_ms = done_ms;
        open.pop();
    }
}
