//! Order and admission of jobs, replayed on the turn of a queue beside simple policies.

use cyclamentrail_jobs::{Admission, AdmissionRequest, Backlog, WaitingJob, admit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Processors of the pool in cores.
const CORES: u64 = 128;
/// Workers that have these processors.
const WORKERS: u64 = 8;
/// Attempts of a caller to submit its job.
const ATTEMPTS: u32 = 5;
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
    /// Time of the first attempt.
    at_ms: u64,
    /// Time of the next attempt; `None` once the job is accepted or the caller has given up.
    attempt_ms: Option<u64>,
    attempts: u32,
    is_accepted: bool,
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
            attempt_ms: Some(at_ms),
            attempts: 0,
            is_accepted: false,
            waiting: steps[0].tasks,
            steps,
            objective_ms: chain_ms * 16 / 10 + 600,
            step: 0,
            running: 0,
            has_begun: false,
            took_ms: None,
        }
    }

    /// Returns the work that isn't done, in core milliseconds; half of that of running tasks.
    fn left_core_ms(&self) -> u64 {
        if self.took_ms.is_some() {
            return 0;
        }
        let step = &self.steps[self.step];
        let later = self.steps.iter().skip(self.step + 1);
        let later: u64 = later
            .map(|step| step.tasks * step.cores * step.task_ms)
            .sum();
        later + (self.waiting + self.running / 2) * step.cores * step.task_ms
    }

    fn admission_request(&self, jitter_seed: u64) -> AdmissionRequest {
        AdmissionRequest {
            work_ms: self.left_core_ms() * WORKERS / CORES,
            critical_path_ms: self.steps.iter().map(|step| step.task_ms).sum(),
            objective_ms: self.objective_ms,
            jitter_seed,
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

/// Way of accepting jobs.
#[derive(Debug, Clone, Copy)]
enum Entrance {
    /// All jobs.
    Open,
    /// Jobs whose expected wait fits into twice their slack.
    TwiceSlack,
    /// The decision of the product.
    Admit,
}

fn decide(entrance: Entrance, backlog: Backlog, request: AdmissionRequest) -> Admission {
    let slack_ms = request.objective_ms - request.critical_path_ms;
    match entrance {
        Entrance::Open => Admission::Accept,
        Entrance::TwiceSlack if backlog.wait_ms() <= 2 * slack_ms => Admission::Accept,
        Entrance::TwiceSlack => Admission::Reject {
            retry_after_ms: (backlog.wait_ms() - 2 * slack_ms).clamp(1_000, 10_000)
                + request.jitter_seed % 1_500,
        },
        Entrance::Admit => admit(backlog, request),
    }
}

/// Lets the callers submit whose attempts are due.
fn submit_due(entrance: Entrance, now_ms: u64, jobs: &mut [Job]) {
    for index in 0..jobs.len() {
        if jobs[index].attempt_ms.is_none_or(|at_ms| at_ms > now_ms) {
            continue;
        }
        let accepted = jobs.iter().filter(|job| job.is_accepted);
        let backlog = Backlog {
            work_ms: accepted.map(Job::left_core_ms).sum::<u64>() * WORKERS / CORES,
            workers: WORKERS,
        };
        let job = &mut jobs[index];
        job.attempts += 1;
        let request = job.admission_request(7_919 * (index as u64 + 1));
        match decide(entrance, backlog, request) {
            Admission::Accept => {
                job.is_accepted = true;
                job.attempt_ms = None;
            }
            Admission::Reject { retry_after_ms } => {
                let next_ms = (job.attempts < ATTEMPTS).then_some(now_ms + retry_after_ms);
                job.attempt_ms = next_ms;
            }
        }
    }
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
fn serve(order: Order, entrance: Entrance, mut jobs: Vec<Job>) -> Vec<Job> {
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
        submit_due(entrance, now_ms, &mut jobs);
        let is_waiting = |index: &usize| jobs[*index].is_accepted && jobs[*index].waiting > 0;
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
        by_deadline += count_on_time(&serve(Order::Deadline, Entrance::Open, turn.clone()));
        by_rank += count_on_time(&serve(Order::Rank, Entrance::Open, turn));
    }
    println!("on time by deadline: {by_deadline}, by rank: {by_rank}");
    assert!(
        by_rank > by_deadline,
        "{by_rank} by rank, {by_deadline} by deadline"
    );
}

/// A caller that is sent away for a second returns when the time of its objective is mostly over, while a
/// late job takes no room from those that can be on time.
#[test]
fn late_jobs_accepted() {
    let (mut by_slack, mut by_product) = (0, 0);
    for seed in 0..SEEDS {
        let turn = draw_turn(seed);
        by_slack += count_on_time(&serve(Order::Rank, Entrance::TwiceSlack, turn.clone()));
        by_product += count_on_time(&serve(Order::Rank, Entrance::Admit, turn));
    }
    println!("on time with twice the slack: {by_slack}, as admitted: {by_product}");
    assert!(
        by_product > by_slack,
        "{by_product} as admitted, {by_slack} with twice the slack"
    );
}

/// Jobs that yield to those that have begun are served in the end.
#[test]
fn none_starves() {
    for seed in 0..SEEDS {
        for job in serve(Order::Rank, Entrance::Open, draw_turn(seed)) {
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
