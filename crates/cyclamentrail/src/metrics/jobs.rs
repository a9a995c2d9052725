//! Metrics of jobs, workers, machines and the store.

use std::time::Duration;

use cyclamentrail_jobs::{CommandOutcome, Decision, PoolLoad};

use super::catalog::{
    JOB_SECONDS, JOBS, LINES_DROPPED, LINES_LEFT_OUT, MACHINE_ORDERS, POOL_DEMAND, POOL_WAITING,
    RUNS_ENDED, SHARDS_TAKEN, STORE_CALLS, STORE_SECONDS, TASK_WAITS, WORKER_CALLS,
    WORKERS_AVOIDED,
};

/// Thousandths of a unit in one.
const MILLI: f64 = 1_000.0;

/// Counts a decision of a shard's owner.
#[expect(
    clippy::cast_precision_loss,
    reason = "durations of jobs are far below 2^52 milliseconds"
)]
pub(crate) fn count_decision(service: &str, decision: &Decision) {
    let service = service.to_owned();
    match decision {
        Decision::JobAccepted { .. } => {
            metrics::counter!(JOBS, "service" => service, "outcome" => "accepted").increment(1);
        }
        Decision::JobRejected { reason, .. } => {
            let outcome = reason.as_str();
            metrics::counter!(JOBS, "service" => service, "outcome" => outcome).increment(1);
        }
        Decision::JobFinal { state, took_ms, .. } => {
            let outcome = state.as_str();
            metrics::counter!(JOBS, "service" => service.clone(), "outcome" => outcome)
                .increment(1);
            metrics::histogram!(JOB_SECONDS, "service" => service, "outcome" => outcome)
                .record(*took_ms as f64 / MILLI);
        }
        Decision::RunEnded { end, .. } => count_run_end(service, end.as_str()),
        Decision::RunGone { proof, .. } => count_run_end(service, proof.as_str()),
        Decision::RunStalled { .. } => count_run_end(service, "stalled"),
        Decision::WorkerAvoided { .. } => {
            metrics::counter!(WORKERS_AVOIDED, "service" => service).increment(1);
        }
        Decision::TaskWaiting { reason, .. } => {
            let reason = reason.as_str();
            metrics::counter!(TASK_WAITS, "service" => service, "reason" => reason).increment(1);
        }
        Decision::ContactChanged { .. }
        | Decision::WorkerRestarted { .. }
        | Decision::ShareChanged { .. } => {}
    }
}

fn count_run_end(service: String, how: &'static str) {
    metrics::counter!(RUNS_ENDED, "service" => service, "how" => how).increment(1);
}

/// Counts log lines that the budget left out.
pub(crate) fn count_omitted_lines(lines: u64) {
    metrics::counter!(LINES_LEFT_OUT).increment(lines);
}

/// Shows how many log lines were dropped because their reader stalled.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub(crate) fn set_dropped_lines(lines: usize) {
    metrics::gauge!(LINES_DROPPED).set(lines as f64);
}

/// Counts a call to a worker.
pub(crate) fn count_worker_command(call: &'static str, outcome: &CommandOutcome) {
    let outcome = match outcome {
        CommandOutcome::Done(_) => "done",
        CommandOutcome::Rejected(..) => "rejected",
        CommandOutcome::Unhealthy => "unwell",
        CommandOutcome::OtherIncarnation => "other_life",
        CommandOutcome::NoResponse => "no_answer",
        CommandOutcome::NotSent => "not_sent",
    };
    metrics::counter!(WORKER_CALLS, "call" => call, "outcome" => outcome).increment(1);
}

/// Counts a call of the store.
pub(crate) fn count_store_call(call: &'static str, is_answered: bool, took: Duration) {
    let outcome = if is_answered { "answered" } else { "failed" };
    metrics::counter!(STORE_CALLS, "call" => call, "outcome" => outcome).increment(1);
    metrics::histogram!(STORE_SECONDS, "call" => call).record(took.as_secs_f64());
}

/// Counts a read of a topic, whose time is that of its wait for something new.
pub(crate) fn count_topic_read(is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    metrics::counter!(STORE_CALLS, "call" => "read", "outcome" => outcome).increment(1);
}

/// Counts a command for a machine.
pub(crate) fn count_machine_command(command: &'static str, is_done: bool) {
    let outcome = if is_done { "done" } else { "not_done" };
    metrics::counter!(MACHINE_ORDERS, "order" => command, "outcome" => outcome).increment(1);
}

/// Counts a shard that was taken over.
pub(crate) fn count_takeover() {
    metrics::counter!(SHARDS_TAKEN).increment(1);
}

/// Shows the load of a pool.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub(crate) fn set_pool_load(service: &str, load: &PoolLoad) {
    let service = service.to_owned();
    metrics::gauge!(POOL_DEMAND, "service" => service.clone())
        .set(load.demand_milli as f64 / MILLI);
    metrics::gauge!(POOL_WAITING, "service" => service).set(load.waiting_work_ms as f64 / MILLI);
}
