//! The order of waiting jobs, replayed on the turn of a queue beside the simple order by deadline.

use cyclamentrail_jobs::WaitingJob;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Processors of the pool in cores.
const CORES: u64 = 128;
/// Length of the turn in milliseconds.
const TURN_MS: u64 = 4_500;
/// Jobs a second in the turn: twice what the pool can do.
const JOBS_PER_S: f64 = 45.0;
/// Time step of the replay in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which all jobs have ended, in milliseconds.
const END_MS: u64 = 60_000;
/// Multiple of its objective after which a job is of no use any more.
const OVERDUE_FACTOR: u64 = 10;
/// Number of turns that are replayed.
const SEEDS: u64 = 20;

/// A step of a job: its tasks, each on some cores for some time.
#[derive(Debug, Clone)]
struct Step {
    tasks: u64,
    cores: u64,
    task_ms: u64,
}

#[derive(Debug, Clone)]
struct Job {
    at_ms: u64,
    steps: Vec<Step>,
    objective_ms: u64,
    /// Step that is being done, and its tasks that wait.
    step: usize,
    waiting: u64,
    running: u64,
    has_begun: bool,
    took_ms: Option<u64>,
}

impl Job {
    fn draw(rng: &mut ChaCha8Rng, at_ms: u64) -> Self {
        let steps: Vec<Step> = (0..rng.random_range(1..=2))
            .map(|_| Step {
                tasks: rng.random_range(2..=10),
                cores: rng.random_range(1..=2),
                task_ms: rng.random_range(300..=1_000),
            })
            .collect();
        let chain_ms: u64 = steps.iter().map(|step| step.task_ms).sum();
        Self {
            at_ms,
            waiting: steps[0].tasks,
            steps,
            objective_ms: chain_ms * 16 / 10 + 600,
            step: 0,
            running: 0,
            has_begun: false,
            took_ms: None,
        }
    }

    fn waiting_job(&self) -> WaitingJob {
        let later = self.steps.iter().skip(self.step + 1);
        let step = &self.steps[self.step];
        WaitingJob {
            priority: 0,
            is_long_running: false,
            deadline_ms: self.at_ms + self.objective_ms,
            remaining_ms: step.task_ms + later.map(|step| step.task_ms).sum::<u64>(),
            has_begun: self.has_begun,
        }
    }
}

/// Way of ordering the waiting jobs.
#[derive(Debug, Clone, Copy)]
enum Order {
    /// Jobs that can't be on time last, then by deadline.
    Deadline,
    /// The rank of the product.
    Rank,
}

/// Sorts the indices of waiting jobs.
fn sort(order: Order, now_ms: u64, jobs: &[Job], waiting: &mut [usize]) {
    match order {
        Order::Deadline => waiting.sort_by_key(|&index| {
            let job = jobs[index].waiting_job();
            (now_ms + job.remaining_ms > job.deadline_ms, job.deadline_ms)
        }),
        Order::Rank => waiting.sort_by_key(|&index| jobs[index].waiting_job().rank(now_ms)),
    }
}

fn draw_turn(seed: u64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..TURN_MS)
        .filter_map(|at_ms| {
            let arrives = rng.random_bool(JOBS_PER_S / 1_000.0);
            arrives.then(|| Job::draw(&mut rng, at_ms))
        })
        .collect()
}

/// Serves a turn, and returns its jobs with the times that they took.
fn serve(order: Order, mut jobs: Vec<Job>) -> Vec<Job> {
    let mut free = CORES;
    let mut running: Vec<(u64, usize)> = Vec::new();
    for now_ms in (0..END_MS / STEP_MS).map(|step| step * STEP_MS) {
        for (_, index) in running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms) {
            let job = &mut jobs[index];
            free += job.steps[job.step].cores;
            job.running -= 1;
            if job.running + job.waiting > 0 {
                continue;
            }
            match job.steps.get(job.step + 1) {
                Some(next) => {
                    job.waiting = next.tasks;
                    job.step += 1;
                }
                None => job.took_ms = Some(now_ms - job.at_ms),
            }
        }
        let is_waiting = |index: &usize| jobs[*index].at_ms <= now_ms && jobs[*index].waiting > 0;
        let mut waiting: Vec<usize> = (0..jobs.len()).filter(is_waiting).collect();
        sort(order, now_ms, &jobs, &mut waiting);
        for index in waiting {
            let job = &mut jobs[index];
            let step = &job.steps[job.step];
            while job.waiting > 0 && free >= step.cores {
                free -= step.cores;
                job.waiting -= 1;
                job.running += 1;
                job.has_begun = true;
                running.push((now_ms + step.task_ms, index));
            }
        }
    }
    jobs
}

fn count_on_time(jobs: &[Job]) -> usize {
    let is_on_time = |job: &&Job| {
        job.took_ms
            .is_some_and(|took_ms| took_ms <= job.objective_ms)
    };
    jobs.iter().filter(is_on_time).count()
}

/// A queue gets twice the work that its pool holds for some seconds. By deadline alone, the room goes
/// to jobs that are about to be late and often are by their second step.
#[test]
fn more_on_time() {
    let (mut by_deadline, mut by_rank) = (0, 0);
    for seed in 0..SEEDS {
        let turn = draw_turn(seed);
        by_deadline += count_on_time(&serve(Order::Deadline, turn.clone()));
        by_rank += count_on_time(&serve(Order::Rank, turn));
    }
    println!("on time by deadline: {by_deadline}, by rank: {by_rank}");
    assert!(
        by_rank > by_deadline,
        "{by_rank} by rank, {by_deadline} by deadline"
    );
}

/// Jobs that yield to those that have begun are served in the end.
#[test]
fn none_starves() {
    for seed in 0..SEEDS {
        for job in serve(Order::Rank, draw_turn(seed)) {
            let took_ms = job.took_ms.expect("the job has ended");
            assert!(took_ms <= job.objective_ms * OVERDUE_FACTOR, "{job:?}");
        }
    }
}

/// What has begun goes first, then what is nearest to its deadline; late jobs are served by deadline
/// alone.
#[test]
fn ranks_ordered() {
    let waiting = WaitingJob {
        priority: 0,
        is_long_running: false,
        deadline_ms: 10_000,
        remaining_ms: 1_000,
        has_begun: false,
    };
    let begun = WaitingJob {
        has_begun: true,
        deadline_ms: 11_000,
        ..waiting
    };
    let late = WaitingJob {
        deadline_ms: 500,
        ..waiting
    };
    let later = WaitingJob {
        deadline_ms: 600,
        has_begun: true,
        ..waiting
    };
    let patient = WaitingJob {
        priority: 1,
        ..begun
    };
    let rank = |job: WaitingJob| job.rank(0);
    assert!(rank(begun) < rank(waiting));
    assert!(rank(waiting) < rank(late));
    assert!(rank(late) < rank(later));
    assert!(rank(waiting) < rank(patient));
}
