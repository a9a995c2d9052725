//! State and explanations that a process shows to operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use cyclamentrail_core::{JobId, ServiceName};
use cyclamentrail_jobs::{Job, Reachability, RunPhase, Shard, Task};
use serde::{Deserialize, Serialize};

use super::internal::{call_local_owner, call_owner};
use super::messages::{OwnerCall, OwnerRequest, Reply};
use super::owner::RelayLinkView;
use super::process_state::ProcessState;
use super::queue_directory::services_with_shard;
use super::team_views::{TeamView, describe_teams};

/// Time limit of a request to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// State of a shard, as its owner knows it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ShardView {
    /// Fencing token of the ownership.
    pub(crate) token: u64,
    /// Time since the store last confirmed the ownership, in milliseconds.
    pub(crate) confirmed_age_ms: u64,
    /// Number of kept jobs by state.
    pub(crate) jobs: BTreeMap<String, u64>,
    /// Workers of the shard.
    pub(crate) workers: Vec<WorkerView>,
    /// Relays of the shard's calls, by the addresses of their internal listeners.
    #[serde(default)]
    pub(crate) relays: BTreeMap<String, RelayLinkView>,
    /// Quota of the teams that use something, hold a loan or wait.
    #[serde(default)]
    pub(crate) quotas: BTreeMap<String, QuotaView>,
    /// Teams with the most jobs in the shard's pool, and the others together; empty without
    /// configured teams.
    #[serde(default)]
    pub(crate) teams: BTreeMap<String, TeamView>,
}

/// Quota of a team in a shard, in millionths of the team's cap.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QuotaView {
    /// Share that the placed tasks take.
    pub(crate) usage_ppm: u64,
    /// Share that they may take.
    pub(crate) allowance_ppm: u64,
    /// Whether a task waits for a larger allowance.
    pub(crate) is_waiting: bool,
}

/// State of a worker, as its owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WorkerView {
    /// Id of the worker.
    pub(crate) id: String,
    /// Number of tasks that are placed on the worker.
    pub(crate) tasks: u64,
    /// Capacity that these tasks take, in thousandths of a core.
    pub(crate) used_cpu_milli: u64,
    /// Whether the worker responds to calls.
    #[serde(rename = "answers")]
    pub(crate) is_responding: bool,
    /// Whether the worker is registered.
    pub(crate) is_listed: bool,
    /// Whether the worker is about to leave, or is kept empty for a machine duty.
    pub(crate) is_leaving: bool,
    /// Score of recent failures: incremented by a failure, halved by each successful run.
    #[serde(rename = "strikes")]
    pub(crate) failure_score: u32,
}

/// State of a job, as its owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct JobView {
    /// Id of the job.
    pub(crate) id: String,
    /// Service that runs the tasks of the job.
    pub(crate) service: String,
    /// State that callers see.
    pub(crate) state: String,
    /// Unix time at which the job was accepted, in milliseconds; 0 if the job isn't known.
    pub(crate) accepted_ms: u64,
    /// Tasks that aren't done, or were started more than once.
    pub(crate) tasks: Vec<TaskView>,
    /// Last decisions about the job, the oldest first.
    pub(crate) decisions: Vec<DecisionView>,
}

/// State of a task, as its owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TaskView {
    /// Name of the task in its job: occurrence, step and index.
    pub(crate) name: String,
    /// Whether a run has ended well.
    pub(crate) is_done: bool,
    /// Highest number of a run so far.
    pub(crate) run: u32,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Phase of the current run, if there is one.
    pub(crate) phase: Option<String>,
    /// Worker of the current run.
    pub(crate) worker: Option<String>,
}

/// Decision with the time at which it was made.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DecisionView {
    /// Unix time in milliseconds.
    pub(crate) unix_ms: u64,
    /// Decision as it is in the log.
    pub(crate) line: String,
}

/// State of this process.
#[derive(Debug, Serialize)]
struct ProcessView {
    node: String,
    zone: String,
    is_ready: bool,
    configuration_version: Option<u64>,
    /// Time since the store last confirmed that no newer configuration exists, in milliseconds.
    configuration_confirmed_age_ms: u64,
    owners: BTreeMap<String, OwnerView>,
    shards: BTreeMap<String, ShardView>,
}

/// Owner of a shard, as this process knows it.
#[derive(Debug, Serialize)]
struct OwnerView {
    node: String,
    address: String,
    token: u64,
}

/// Returns the routes for operators.
pub(crate) fn router(process: Arc<ProcessState>) -> Router {
    Router::new()
        .route("/state", get(show_state))
        .route("/v1/explain/jobs/{id}", get(explain_job))
        .with_state(process)
}

/// Describes the workers of a shard and counts its jobs by state.
pub(super) fn describe_shard(
    shard: &Shard,
    token: u64,
    confirmed_age_ms: u64,
    relays: BTreeMap<String, RelayLinkView>,
) -> ShardView {
    let mut jobs: BTreeMap<String, u64> = BTreeMap::new();
    for job in shard.jobs() {
        *jobs.entry(job.state().as_str().to_owned()).or_default() += 1;
    }
    let workers = shard.workers().map(|worker| WorkerView {
        id: worker.registration.id.to_string(),
        tasks: worker.tasks.len() as u64,
        used_cpu_milli: worker.used_capacity.cpu_milli,
        is_responding: worker.reachability == Reachability::Reachable,
        is_listed: worker.is_registered,
        is_leaving: worker.registration.is_draining || worker.evacuating_since_ms.is_some(),
        failure_score: worker.failure_score,
    });
    let quotas = shard.team_quotas().into_iter().map(|quota| {
        let view = QuotaView {
            usage_ppm: quota.usage,
            allowance_ppm: quota.allowance,
            is_waiting: quota.is_waiting,
        };
        (quota.team.to_string(), view)
    });
    ShardView {
        token,
        confirmed_age_ms,
        jobs,
        workers: workers.collect(),
        relays,
        quotas: quotas.collect(),
        teams: describe_teams(shard),
    }
}

/// Describes a job and the last decisions about it; `None` if the owner knows neither.
pub(super) fn describe_job(
    shard: &Shard,
    service: &ServiceName,
    id: &JobId,
    decisions: Vec<(u64, String)>,
) -> Option<JobView> {
    let job = shard.job(id);
    if job.is_none() && decisions.is_empty() {
        return None;
    }
    let decisions = decisions
        .into_iter()
        .map(|(unix_ms, line)| DecisionView { unix_ms, line });
    Some(JobView {
        id: id.to_string(),
        service: service.to_string(),
        state: job.map_or_else(
            || String::from("not accepted here, or no longer kept"),
            |job| job.durable_state.as_str().to_owned(),
        ),
        accepted_ms: job.map_or(0, |job| job.accepted_ms),
        tasks: job.map_or_else(Vec::new, |job| describe_tasks(shard, job)),
        decisions: decisions.collect(),
    })
}

/// Describes the tasks of a job that aren't done, or were started more than once.
fn describe_tasks(shard: &Shard, job: &Job) -> Vec<TaskView> {
    let mut views = Vec::new();
    for occurrence in &job.occurrences {
        for (step, progress) in occurrence.steps.iter().enumerate() {
            for (index, task) in progress.tasks.iter().enumerate() {
                if !task.is_done || task.last_run > 1 {
                    let name = format!("{}.{step}.{index}", occurrence.number);
                    views.push(describe_task(shard, name, task));
                }
            }
        }
    }
    views
}

fn describe_task(shard: &Shard, name: String, task: &Task) -> TaskView {
    let worker = task
        .placement
        .and_then(|placement| shard.worker_by_key(placement.worker))
        .map(|worker| worker.registration.id.to_string());
    let phase = task.placement.map(|placement| match placement.phase {
        RunPhase::Placed => "placed",
        RunPhase::Sent => "sent",
        RunPhase::Running { .. } => "running",
        RunPhase::Stopping { .. } => "stopping",
    });
    TaskView {
        name,
        is_done: task.is_done,
        run: task.last_run,
        failures: task.failure_count(),
        phase: phase.map(str::to_owned),
        worker,
    }
}

/// Responds with the state of this process and of the shards that it owns.
async fn show_state(State(process): State<Arc<ProcessState>>) -> Json<ProcessView> {
    let known_owners: Vec<(String, super::process_state::KnownOwner)> = process
        .owners
        .borrow()
        .iter()
        .map(|(shard, owner)| (shard.clone(), owner.clone()))
        .collect();
    let mut shards = BTreeMap::new();
    for (shard, _) in &known_owners {
        if let Some(view) = describe_own_shard(&process, shard).await {
            shards.insert(shard.clone(), view);
        }
    }
    let owners = known_owners.into_iter().map(|(shard, owner)| {
        let view = OwnerView {
            node: owner.claim.node,
            address: owner.claim.address.to_string(),
            token: owner.token,
        };
        (shard, view)
    });
    Json(ProcessView {
        node: process.settings.machine_name.clone(),
        zone: process.settings.zone.to_string(),
        is_ready: process.is_ready(),
        configuration_version: process
            .configuration()
            .map(|configuration| configuration.version),
        configuration_confirmed_age_ms: process.revocation.age_ms(),
        owners: owners.collect(),
        shards,
    })
}

/// Describes a shard that this process owns or is taking over; `None` if it doesn't.
async fn describe_own_shard(process: &ProcessState, shard: &str) -> Option<ShardView> {
    let ownership_status = process.ownership_status(shard)?;
    let service = ServiceName::from(shard);
    let call = OwnerCall {
        service,
        request: OwnerRequest::Describe,
    };
    match tokio::time::timeout(CALL_TIMEOUT, call_local_owner(process, call)).await {
        Ok(Some(Reply::Shard(view))) => Some(view),
        // The shard of the machine duties has no jobs, and an owner that is taking over doesn't
        // reply.
        _ => Some(ShardView {
            confirmed_age_ms: ownership_status.confirmed_age_ms,
            ..ShardView::default()
        }),
    }
}

/// Responds with what the owners of all services know of a job; the first that knows it counts.
/// The job counts as unknown only if the owner of each service has replied so.
async fn explain_job(State(process): State<Arc<ProcessState>>, Path(id): Path<String>) -> Response {
    let id = JobId::from(id.as_str());
    let Some(configuration) = process.configuration() else {
        return owners_not_reached();
    };
    let services = services_with_shard(&process, &configuration);
    let calls = services
        .into_iter()
        .map(|service| request_job(&process, service, &id));
    let replies = futures_util::future::join_all(calls).await;
    let have_all_replied = replies.iter().all(Option::is_some);
    let view = replies.into_iter().flatten().find_map(|reply| match reply {
        Reply::Job(view) => Some(view),
        _ => None,
    });
    match view {
        Some(view) => Json(view).into_response(),
        None if have_all_replied => (
            StatusCode::NOT_FOUND,
            "no owner knows this job; its id is 16 hexadecimal digits, and its owner may have changed since",
        )
            .into_response(),
        None => owners_not_reached(),
    }
}

fn owners_not_reached() -> Response {
    (
        StatusCode::SERVICE_UNAVAILABLE,
        "not every service has an owner that this process knows and reaches; ask again in a second",
    )
        .into_response()
}

/// Requests a job from the owner of a service, in this process or another one; `None` if the owner
/// isn't known, doesn't reply or isn't the owner any more.
async fn request_job(process: &ProcessState, service: ServiceName, id: &JobId) -> Option<Reply> {
    let call = OwnerCall {
        service,
        request: OwnerRequest::Explain(id.clone()),
    };
    let reply = call_owner(process, call, CALL_TIMEOUT).await?;
    (!matches!(reply, Reply::NotOwner)).then_some(reply)
}
