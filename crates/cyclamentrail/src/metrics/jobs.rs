//! Records the metrics of jobs, workers, machines, the store and the log.

use std::time::Duration;

use cyclamentrail_jobs::{CommandOutcome, Decision, PoolLoad};

use super::catalog::{
    ALLOWANCES, CALLERS_REFUSED, JOB_SECONDS, JOBS, JOBS_COMPLETED, JOBS_GIVEN_UP, JOBS_HELD,
    LINES_DROPPED, LINES_OMITTED, MACHINE_COMMANDS, POOL_DEMAND, POOL_WAITING, PROMISES,
    QUOTA_LENDING, QUOTA_REPORTS, QUOTA_WAITING, REGISTRY_AGE, RELAYED_CALLS, RUNS_ENDED,
    SHARD_TAKEOVERS, STARTS, STORE_CALLS, STORE_SECONDS, TASK_WAITS, TOPIC_UNREAD, UNASSIGNED_RUNS,
    WORKER_COMMANDS, WORKER_SECONDS, WORKERS_AVOIDED,
};

/// Number of thousandths in one unit, such as milliseconds in a second.
const MILLI: f64 = 1_000.0;

/// Counts a decision of a shard's owner in the metrics that belong to its variant. Some variants have
/// no metric and are only logged.
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
        Decision::JobFinal {
            state,
            took_ms,
            timeliness,
            ..
        } => {
            if let Some(timeliness) = timeliness {
                let objective = timeliness.as_str();
                metrics::counter!(JOBS_COMPLETED, "service" => service.clone(), "objective" => objective)
                    .increment(1);
            }
            let outcome = state.as_str();
            metrics::counter!(JOBS, "service" => service.clone(), "outcome" => outcome)
                .increment(1);
            metrics::histogram!(JOB_SECONDS, "service" => service, "outcome" => outcome)
                .record(*took_ms as f64 / MILLI);
        }
        Decision::RunEnded { end, .. } => count_run_end(service, end.as_str()),
        Decision::RunGone { proof, .. } => count_run_end(service, proof.as_str()),
        Decision::RunStalled { .. } => count_run_end(service, "stalled"),
        Decision::RunUnassigned { .. } => {
            metrics::counter!(UNASSIGNED_RUNS, "service" => service).increment(1);
        }
        Decision::WorkerAvoided { .. } => {
            metrics::counter!(WORKERS_AVOIDED, "service" => service).increment(1);
        }
        Decision::TaskWaiting { reason, .. } => {
            let reason = reason.as_str();
            metrics::counter!(TASK_WAITS, "service" => service, "reason" => reason).increment(1);
        }
        Decision::JobGivenUp { .. } => {
            metrics::counter!(JOBS_GIVEN_UP, "service" => service).increment(1);
        }
        Decision::JobHeld { .. } => {
            metrics::counter!(JOBS_HELD, "service" => service).increment(1);
        }
        Decision::AllowanceChanged { change, .. } => {
            let direction = if change.allowance > change.earlier {
                "raised"
            } else {
                "lowered"
            };
            metrics::counter!(ALLOWANCES, "service" => service, "change" => direction).increment(1);
        }
        Decision::PromiseEnded {
            percent, is_kept, ..
        } => {
            let promised = promised_label(*percent);
            let outcome = if *is_kept { "kept" } else { "late" };
            metrics::counter!(
                PROMISES, "service" => service, "promised" => promised, "outcome" => outcome
            )
            .increment(1);
        }
        Decision::AccessDenied { .. }
        | Decision::PromiseMade { .. }
        | Decision::ContactChanged { .. }
        | Decision::LeaseClosed { .. }
        | Decision::LeaseInherited { .. }
        | Decision::LeaseOver { .. }
        | Decision::WorkerRestarted { .. }
        | Decision::TaskKeptApart { .. }
        | Decision::SuspectWaitEnded { .. }
        | Decision::TurnGiven { .. }
        | Decision::StopWithdrawn { .. }
        | Decision::ShareChanged { .. } => {}
    }
}

/// Returns the label for the probability with which a job was expected to end on time.
const fn promised_label(percent: u32) -> &'static str {
    match percent {
        90.. => "90",
        50.. => "50",
        _ => "0",
    }
}

fn count_run_end(service: String, end_label: &'static str) {
    metrics::counter!(RUNS_ENDED, "service" => service, "how" => end_label).increment(1);
}

/// Counts a call that isn't served because of its key.
pub(crate) fn count_caller_refusal(reason: &'static str) {
    metrics::counter!(CALLERS_REFUSED, "reason" => reason).increment(1);
}

/// Counts log lines that were omitted because the budget of their shard was used up.
pub(crate) fn count_omitted_lines(lines: u64) {
    metrics::counter!(LINES_OMITTED).increment(lines);
}

/// Sets the number of log lines that were dropped because their reader stalled.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub(crate) fn set_dropped_lines(lines: usize) {
    metrics::gauge!(LINES_DROPPED).set(lines as f64);
}

/// Counts a command to a worker; `call` names the kind of command.
pub(crate) fn count_worker_command(call: &'static str, outcome: &CommandOutcome) {
    let outcome = match outcome {
        CommandOutcome::Done(_) => "done",
        CommandOutcome::Rejected(..) => "rejected",
        CommandOutcome::Unhealthy => "unwell",
        CommandOutcome::OtherIncarnation => "other_life",
        CommandOutcome::NoResponse => "no_answer",
        CommandOutcome::NotSent => "not_sent",
        CommandOutcome::Expired => "expired",
        CommandOutcome::RelayLost => "relay_lost",
    };
    metrics::counter!(WORKER_COMMANDS, "call" => call, "outcome" => outcome).increment(1);
}

/// Records the duration of a call to a worker; `call` names the kind of call.
pub(crate) fn record_worker_call(call: &'static str, duration: Duration) {
    metrics::histogram!(WORKER_SECONDS, "call" => call).record(duration.as_secs_f64());
}

/// Counts a start command and records the age of the registrations by which it is sent.
pub(crate) fn count_start(is_worker_leaving: bool, registry_age_ms: u64) {
    let worker = if is_worker_leaving {
        "leaving"
    } else {
        "listed"
    };
    metrics::counter!(STARTS, "worker" => worker).increment(1);
    metrics::histogram!(REGISTRY_AGE).record(Duration::from_millis(registry_age_ms).as_secs_f64());
}

/// Counts a call to the platform's store and records its duration.
pub(crate) fn count_store_call(call: &'static str, is_answered: bool, duration: Duration) {
    let outcome = if is_answered { "answered" } else { "failed" };
    metrics::counter!(STORE_CALLS, "call" => call, "outcome" => outcome).increment(1);
    metrics::histogram!(STORE_SECONDS, "call" => call).record(duration.as_secs_f64());
}

/// Counts a read of a topic of the platform's store. The duration isn't recorded: a read waits for
/// new records, so the duration says nothing about the store.
pub(crate) fn count_topic_read(topic: &'static str, is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    metrics::counter!(STORE_CALLS, "call" => "read", "topic" => topic, "outcome" => outcome)
        .increment(1);
}

/// Records the time from the sending of a successful read of a topic to the end of the next one.
pub(crate) fn record_topic_unread(topic: &'static str, duration: Duration) {
    metrics::histogram!(TOPIC_UNREAD, "topic" => topic).record(duration.as_secs_f64());
}

/// Counts a command for a machine: a move or maintenance.
pub(crate) fn count_machine_command(command: &'static str, is_done: bool) {
    let outcome = if is_done { "done" } else { "not_done" };
    metrics::counter!(MACHINE_COMMANDS, "order" => command, "outcome" => outcome).increment(1);
}

/// Counts a report to the quota's ledger by whether it got a reply.
pub(crate) fn count_quota_report(is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    metrics::counter!(QUOTA_REPORTS, "outcome" => outcome).increment(1);
}

/// Sets the number of teams in a service with tasks that wait for a larger allowance.
pub(crate) fn set_quota_waiting(service: &str, teams: usize) {
    let teams = u32::try_from(teams).unwrap_or(u32::MAX);
    metrics::gauge!(QUOTA_WAITING, "service" => service.to_owned()).set(teams);
}

/// Sets whether the ledger of this process lends.
pub(crate) fn set_quota_lending(is_lending: bool) {
    metrics::gauge!(QUOTA_LENDING).set(if is_lending { 1.0 } else { 0.0 });
}

/// Counts a shard that this process took over.
pub(crate) fn count_takeover() {
    metrics::counter!(SHARD_TAKEOVERS).increment(1);
}

/// Counts calls that this process took for an owner in another process.
pub(crate) fn count_relayed_calls(sent: u64, expired: u64) {
    metrics::counter!(RELAYED_CALLS, "outcome" => "sent").increment(sent);
    metrics::counter!(RELAYED_CALLS, "outcome" => "expired").increment(expired);
}

/// Sets the demand and the waiting work of a service's pool.
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
