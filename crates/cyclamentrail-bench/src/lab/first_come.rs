//! The simple policy: first come first served on the pools as they are, without admission.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use super::{DayOutcome, Description, JobOutcome, Trace};

/// A task of a job's step, by indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskIndex {
    job: usize,
    step: usize,
    task: usize,
}

/// A pool with its queue of tasks.
#[derive(Debug)]
struct Pool {
    /// Free processors of each machine, in thousandths of a core.
    free_milli: Vec<u64>,
    queue: VecDeque<TaskIndex>,
    /// Ends of running tasks by time, with their machines.
    running: BinaryHeap<Reverse<(u64, TaskIndex, usize)>>,
}

/// Plays a trace: tasks start in the order in which their jobs came, where there is room, and the
/// first one that has no room holds up those behind it. Faults and cancellations don't occur.
#[must_use]
pub fn play_first_come(description: &Description, trace: &Trace) -> DayOutcome {
    let mut outcome = DayOutcome::new(trace);
    let mut last_end_ms = 0;
    for pool in 0..description.pools.len() {
        last_end_ms = last_end_ms.max(play_pool(description, trace, pool, &mut outcome));
    }
    let machines: u32 = description.pools.iter().map(|pool| pool.machines).sum();
    outcome.machine_s = f64::from(machines) * last_end_ms as f64 / 1_000.0;
    outcome
}

/// Plays the jobs of a pool; returns the time at which the last one ends, in milliseconds.
fn play_pool(
    description: &Description,
    trace: &Trace,
    index: usize,
    outcome: &mut DayOutcome,
) -> u64 {
    let means = &description.pools[index];
    let reserved = (f64::from(means.long_running_tasks) * means.task_cores * 1_000.0) as u64;
    let machines = means.machines as usize;
    let capacity = u64::from(means.cores) * 1_000;
    let mut pool = Pool {
        free_milli: vec![capacity - (reserved / machines as u64).min(capacity / 2); machines],
        queue: VecDeque::new(),
        running: BinaryHeap::new(),
    };
    let mut unfinished: Vec<usize> = vec![0; trace.jobs.len()];
    let arrivals = trace.jobs.iter().enumerate();
    let mut arrivals = arrivals.filter(|(_, job)| job.pool == index).peekable();
    let mut now_ms = 0;
    loop {
        let arrival_ms = arrivals.peek().map(|(_, job)| job.at_ms);
        let end_ms = pool.running.peek().map(|Reverse((at_ms, ..))| *at_ms);
        let Some(next_ms) = arrival_ms.into_iter().chain(end_ms).min() else {
            return now_ms;
        };
        now_ms = next_ms;
        while let Some((job, _)) = arrivals.next_if(|(_, job)| job.at_ms == now_ms) {
            enqueue(&mut pool, trace, &mut unfinished, job, 0);
        }
        while let Some(&Reverse((at_ms, task, machine))) = pool.running.peek()
            && at_ms == now_ms
        {
            pool.running.pop();
            let job = &trace.jobs[task.job];
            pool.free_milli[machine] += job.spec.steps[task.step].demand.cpu_milli;
            unfinished[task.job] -= 1;
            if unfinished[task.job] > 0 {
                continue;
            }
            if task.step + 1 < job.spec.steps.len() {
                enqueue(&mut pool, trace, &mut unfinished, task.job, task.step + 1);
            } else {
                let result = JobOutcome::of_completed(job, now_ms - job.at_ms);
                outcome.jobs[task.job] = Some(result);
            }
        }
        start_tasks(&mut pool, trace, now_ms);
    }
}

/// Adds the tasks of a step to the queue.
fn enqueue(pool: &mut Pool, trace: &Trace, unfinished: &mut [usize], job: usize, step: usize) {
    let tasks = trace.jobs[job].durations_ms[step].len();
    unfinished[job] = tasks;
    let indices = (0..tasks).map(|task| TaskIndex { job, step, task });
    pool.queue.extend(indices);
}

/// Starts tasks from the front of the queue while there is room.
fn start_tasks(pool: &mut Pool, trace: &Trace, now_ms: u64) {
    while let Some(&task) = pool.queue.front() {
        let job = &trace.jobs[task.job];
        let demand = job.spec.steps[task.step].demand.cpu_milli;
        let has_room = |free: &u64| *free >= demand;
        let Some(machine) = pool.free_milli.iter().position(has_room) else {
            return;
        };
        pool.queue.pop_front();
        pool.free_milli[machine] -= demand;
        let end_ms = now_ms + job.durations_ms[task.step][task.task];
        pool.running.push(Reverse((end_ms, task, machine)));
    }
}
