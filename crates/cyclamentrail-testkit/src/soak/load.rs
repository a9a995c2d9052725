//! Clients that submit, watch and cancel jobs during a soak.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use cyclamentrail_standin::JobClient;
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::history::{JobHistory, Submission};
use super::keys::{KeyCall, KeyRing, team_of_job};

/// Largest pause between two submissions.
const MAX_PAUSE_MS: u64 = 160;
/// Time between two looks at a job.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of a call; longer than the deadline that callers state.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of the jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.1;
/// Longest time after its submission at which a job is cancelled.
const MAX_CANCEL_MS: u64 = 900;
/// Largest number of tasks of a step.
const MAX_STEP_TASKS: u32 = 6;
/// Time that clients allow for each task, in milliseconds.
const ESTIMATE_MS: u64 = 500;
/// Difference between the seeds of the load and of the faults.
const LOAD_STREAM: u64 = 1;
/// Difference between the seeds of a job's calls and of the keys that they carry.
const KEY_STREAM: u64 = 1;

/// Addresses at which the processes accept requests now.
pub(super) type Callers = Arc<Mutex<Vec<SocketAddr>>>;

/// Running clients.
pub(super) struct Load {
    submitter: JoinHandle<Result<Vec<JobHistory>>>,
}

/// Plan of one job.
struct JobPlan {
    host: Arc<str>,
    id: String,
    step_tasks: Vec<u32>,
    cancel_after: Option<Duration>,
    random: ChaCha8Rng,
    team: usize,
    /// Draws the keys, apart from the other draws, so that a seed's load doesn't depend on keys.
    key_random: ChaCha8Rng,
}

impl Load {
    /// Submits jobs until `end`, and watches them until they have ended or `settled` is reached.
    pub(super) fn start(
        seed: u64,
        host: Arc<str>,
        site: (Callers, KeyRing),
        end: Instant,
        settled: Instant,
    ) -> Self {
        let submitter = tokio::spawn(submit_jobs(seed, host, site, end, settled));
        Self { submitter }
    }

    /// Waits until all jobs have ended or are given up.
    ///
    /// # Errors
    ///
    /// Returns an error when a client panicked, so that its job wasn't watched.
    pub(super) async fn finish(self) -> Result<Vec<JobHistory>> {
        self.submitter.await?
    }
}

async fn submit_jobs(
    seed: u64,
    host: Arc<str>,
    (callers, keys): (Callers, KeyRing),
    end: Instant,
    settled: Instant,
) -> Result<Vec<JobHistory>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(LOAD_STREAM);
    let mut clients = Vec::new();
    while Instant::now() < end {
        let plan = draw_job(seed, &host, clients.len(), &mut random);
        clients.push(tokio::spawn(follow_job(
            plan,
            (Arc::clone(&callers), keys.clone()),
            settled,
        )));
        let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
    let mut jobs = Vec::new();
    for client in clients {
        jobs.push(client.await?);
    }
    Ok(jobs)
}

fn draw_job(seed: u64, host: &Arc<str>, number: usize, random: &mut ChaCha8Rng) -> JobPlan {
    let steps = random.random_range(1..=2);
    let step_tasks = (0..steps).map(|_| random.random_range(1..=MAX_STEP_TASKS));
    let step_tasks: Vec<u32> = step_tasks.collect();
    let cancel_ms = random.random_range(0..MAX_CANCEL_MS);
    let is_cancelled = random.random_bool(CANCELLED_SHARE);
    let short_seed = seed & u64::from(u32::MAX);
    let call_seed = random.random();
    let mut key_random = ChaCha8Rng::seed_from_u64(call_seed);
    key_random.set_stream(KEY_STREAM);
    JobPlan {
        host: Arc::clone(host),
        id: format!("{short_seed:08x}{number:08x}"),
        step_tasks,
        cancel_after: is_cancelled.then(|| Duration::from_millis(cancel_ms)),
        random: ChaCha8Rng::seed_from_u64(call_seed),
        team: team_of_job(number),
        key_random,
    }
}

/// Submits a job once; then cancels it if planned, and watches it until it has ended.
async fn follow_job(plan: JobPlan, site: (Callers, KeyRing), settled: Instant) -> JobHistory {
    let mut caller = JobCaller::new(plan, site);
    let mut job = JobHistory {
        id: caller.plan.id.clone(),
        step_tasks: caller.plan.step_tasks.clone(),
        submission: caller.submit().await,
        cancelled: None,
        states: Vec::new(),
    };
    if job.submission != Submission::Accepted {
        return job;
    }
    while Instant::now() < settled && !job.has_ended() {
        tokio::time::sleep(WATCH_INTERVAL).await;
        if job.cancelled.is_none() && caller.is_cancel_due() {
            job.cancelled = caller.cancel().await;
        }
        record_state(&mut job, caller.state().await);
    }
    // A final state must stay.
    record_state(&mut job, caller.state().await);
    job
}

/// Records a state; a missing one tells nothing about the job.
fn record_state(job: &mut JobHistory, state: Option<String>) {
    if let Some(state) = state
        && job.states.last() != Some(&state)
    {
        job.states.push(state);
    }
}

/// Client of one job; each of its calls goes to a process that is drawn anew.
struct JobCaller {
    client: JobClient,
    plan: JobPlan,
    callers: Callers,
    keys: KeyRing,
    submitted: Instant,
}

impl JobCaller {
    fn new(plan: JobPlan, (callers, keys): (Callers, KeyRing)) -> Self {
        Self {
            client: JobClient::new().host(&plan.host),
            plan,
            callers,
            keys,
            submitted: Instant::now(),
        }
    }

    async fn submit(&mut self) -> Submission {
        let body = job_body(&self.plan.step_tasks);
        match self.call(Method::POST, body).await {
            Ok((StatusCode::OK, _)) => Submission::Accepted,
            Ok((
                StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::UNAUTHORIZED
                | StatusCode::FORBIDDEN,
                _,
            )) => Submission::Rejected,
            _ => Submission::Unknown,
        }
    }

    fn is_cancel_due(&self) -> bool {
        let cancel_after = self.plan.cancel_after;
        cancel_after.is_some_and(|after| self.submitted.elapsed() >= after)
    }

    /// Cancels the job; returns when that was confirmed.
    async fn cancel(&mut self) -> Option<std::time::Instant> {
        let response = self.call(Method::DELETE, String::new()).await;
        matches!(response, Ok((StatusCode::OK, _))).then(std::time::Instant::now)
    }

    /// Returns the state of the job, or the status of a response that says that it isn't known;
    /// `None` without such a response.
    async fn state(&mut self) -> Option<String> {
        match self.call(Method::GET, String::new()).await {
            Ok((StatusCode::OK, body)) => {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                Some(body["State"].as_str().unwrap_or("no state").to_owned())
            }
            Ok((status @ StatusCode::GONE, _)) => Some(status.as_str().to_owned()),
            _ => None,
        }
    }

    async fn call(&mut self, method: Method, body: String) -> Result<(StatusCode, Bytes)> {
        let address = {
            let callers = self.callers.lock().unwrap_or_else(PoisonError::into_inner);
            callers[self.plan.random.random_range(0..callers.len())]
        };
        let (key, text) = self.keys.draw(self.plan.team, &mut self.plan.key_random);
        let client = self.client.clone().api_key(&text);
        let sent = std::time::Instant::now();
        let call = client.call(address, method, &self.plan.id, body);
        let response = timeout(CALL_TIMEOUT, call).await??;
        self.keys.record(KeyCall {
            key,
            sent,
            answered: std::time::Instant::now(),
            status: response.0.as_u16(),
        });
        Ok(response)
    }
}

fn job_body(step_tasks: &[u32]) -> String {
    let step = |(number, count): (usize, &u32)| {
        let predecessors: Vec<usize> = number.checked_sub(1).into_iter().collect();
        json!({
            "Count": count, "Cpu": 500, "MemMb": 100, "EstimateMs": ESTIMATE_MS,
            "After": predecessors,
        })
    };
    let steps: Vec<Value> = step_tasks.iter().enumerate().map(step).collect();
    json!({"Spec": "work", "Steps": steps}).to_string()
}
