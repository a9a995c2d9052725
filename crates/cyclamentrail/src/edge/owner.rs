//! Task of a shard's owner: carries out what the shard decides, and reports the results back to the
//! shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{AdviceService, HttpClient, WorkerClient};
use cyclamentrail_core::{ServiceName, WorkerId};
use cyclamentrail_jobs::{
    CallerId, Incumbent, OwnerTokens, Relay, RelayedWorker, Shard, ShardTiming, StartQueues,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::clocks::{now, whole_ms};
use super::commit_log::CommitLog;
use super::confirmation::Confirmation;
use super::decision_log::DecisionLog;
use super::messages::{FLEET_SHARD, Reply};
use super::process_state::{KnownOwner, OperatorState, ProcessState, RegisteredWorkers};
use super::quota_ledger::service_count;
use super::relay::SessionEvent;
use super::takeover::{Takeover, take_over};
use super::team_views::TeamMetrics;
use super::worker_registry;
use crate::metrics;

mod activity;
mod commits;
mod effects;
mod message;
mod queues;
mod quota_reports;
mod relay_links;
mod requests;
mod suspension;
mod worker_calls;

use activity::Activity;
pub(crate) use message::OwnerMessage;
use queues::QueueReview;
use quota_reports::QuotaReports;
pub(crate) use relay_links::RelayLinkView;
use relay_links::RelayLinks;
pub(crate) use requests::EVACUATION_LEASE;
use suspension::Suspension;
use worker_calls::WorkerCalls;

/// Time limit of a call to a worker, beyond the time that the worker may wait before it responds.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit of a request to a queue's policy, which serves one request at a time.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an owner may act after the last confirmation by the store.
const OWNERSHIP_VALID: Duration = Duration::from_secs(5);
/// Length of the leases that owners grant, in percent of the longest lease that the platform
/// allows.
const LEASE_PERCENT: u64 = 75;
/// Divisor of the lease: a worker may wait for this part of it before it responds to a poll.
const POLL_WAIT_DIVISOR: u64 = 4;
/// Shortest time between two rounds. A round looks at all jobs and workers of the service, so one
/// round covers the events of a short time.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(4);
/// Time for which a final job's state is kept beyond the time that the platform requires, in
/// milliseconds.
const EXTRA_KEEP_MS: u64 = 10_000;

/// Takes over a shard from its incumbent and owns it until the shard is given up or lost.
pub(crate) async fn run(
    process: Arc<ProcessState>,
    shard: String,
    incumbent: Incumbent,
    sender: mpsc::UnboundedSender<OwnerMessage>,
    mut receiver: mpsc::UnboundedReceiver<OwnerMessage>,
) {
    process.insert_owned_shard(&shard, sender.clone());
    let takeover = match take_over(&process, &shard, incumbent).await {
        Ok(takeover) => takeover,
        Err(error) => {
            log::info!(shard = shard.as_str(), error:% = error; "takeover_lost");
            process.remove_owned_shard(&shard, &sender);
            return;
        }
    };
    metrics::count_takeover();
    log::info!(
        shard = shard.as_str(),
        token = takeover.token,
        records = takeover.records.len();
        "takeover_done"
    );
    if shard == FLEET_SHARD {
        return super::machine_duty::run(process, takeover, receiver).await;
    }
    worker_registry::wait_read(&process).await;
    let workers = process.workers.subscribe();
    let operators = process.operator_state.subscribe();
    let mut owner = Owner::new(&process, &shard, takeover, sender.clone());
    owner.apply_operator_state(&operators.borrow());
    let known_workers = workers.borrow().clone();
    owner.apply_registrations(known_workers);
    owner.restore();
    let earlier_act_until_ms = owner.shard.earlier_act_until_ms();
    process.earlier_owners.insert(&shard, earlier_act_until_ms);
    let mut owners = process.owners.subscribe();
    // Another process may have claimed the shard during the takeover.
    owners.mark_changed();
    owner.serve(&mut receiver, workers, operators, owners).await;
    process.remove_owned_shard(&shard, &sender);
    owner.finish(&mut receiver).await;
    log::info!(shard; "ownership_ended");
}

/// Returns the longest time for which a new owner waits for the leases of workers that it can't reach,
/// in milliseconds.
pub(crate) fn longest_lease_wait_ms(process: &ProcessState) -> u64 {
    whole_ms(OWNERSHIP_VALID) + shard_timing(process).longest_lease_ms()
}

/// Returns the times and limits of the shards of a process.
fn shard_timing(process: &ProcessState) -> ShardTiming {
    let bounds = process.settings.bounds;
    let lease_ms = bounds.max_lease_ms * LEASE_PERCENT / 100;
    ShardTiming {
        lease_ms,
        max_lease_ms: bounds.max_lease_ms,
        poll_wait_ms: lease_ms / POLL_WAIT_DIVISOR,
        keep_ms: bounds.job_state_retention_ms + EXTRA_KEEP_MS,
        max_record_bytes: process.settings.max_record_bytes,
        run_time_uses: process.run_time_uses,
        ..ShardTiming::default()
    }
}

/// State of an owner's task.
struct Owner {
    service: ServiceName,
    shard: Shard,
    /// Result of the takeover until its records are restored.
    takeover: Option<Takeover>,
    worker_calls: WorkerCalls,
    /// Processes that relay calls.
    relays: watch::Receiver<Arc<Vec<Relay>>>,
    /// Client that the process's calls to workers and the store share, for its count of bytes.
    http_client: HttpClient,
    advice_service: Option<AdviceService>,
    /// Log for the next commit; `None` while a commit is under way.
    commit_log: Option<Box<CommitLog>>,
    /// When the last commit or confirmation was started.
    committing_since: Instant,
    confirmation: Confirmation,
    /// When the registrations of the workers were last read.
    registry_confirmation: Confirmation,
    suspension: Suspension,
    activity: Activity,
    team_metrics: TeamMetrics,
    decision_log: DecisionLog,
    quota_reports: QuotaReports,
    queue_review: QueueReview,
    token: u64,
    start_queues: StartQueues,
    /// Whether queued starts were held back since they were last sent.
    has_held_starts: bool,
    /// Channels to the callers whose replies wait for a decision or a commit.
    waiting_callers: HashMap<CallerId, oneshot::Sender<Reply>>,
    next_caller: u64,
    /// Registrations that were applied last.
    known_workers: Arc<RegisteredWorkers>,
    /// Workers that are kept empty on request of the holder of the machine duty.
    evacuating_workers: Vec<WorkerId>,
    /// When the holder of the machine duty last sent its request.
    evacuating_since: Instant,
    sender: mpsc::UnboundedSender<OwnerMessage>,
    has_ended: bool,
}

impl Owner {
    fn new(
        process: &Arc<ProcessState>,
        shard: &str,
        takeover: Takeover,
        sender: mpsc::UnboundedSender<OwnerMessage>,
    ) -> Self {
        let timing = shard_timing(process);
        let confirmation = Confirmation::new(takeover.confirmed_ms, OWNERSHIP_VALID);
        process.set_confirmation(shard, confirmation.clone());
        let commit_log = CommitLog::new(process, &takeover, confirmation.clone());
        let token = takeover.token;
        let queue_review = QueueReview::new(process, &takeover);
        let tokens = OwnerTokens {
            own: token,
            previous: takeover.previous_token,
        };
        let worker_calls = WorkerCalls::new(
            WorkerClient::new(process.http_client.clone(), WORKER_TIMEOUT),
            WORKER_TIMEOUT,
            confirmation.clone(),
            process.registry_confirmation.clone(),
            RelayLinks::new(process.relay_client.clone(), shard, token, sender.clone()),
            sender.clone(),
        );
        Self {
            worker_calls,
            relays: process.relays.subscribe(),
            http_client: process.http_client.clone(),
            advice_service: process.settings.advice_service.map(|address| {
                AdviceService::new(process.http_client.clone(), address, ADVICE_TIMEOUT)
            }),
            service: ServiceName::from(shard),
            shard: Shard::new(timing).tokens(tokens),
            token,
            takeover: Some(takeover),
            commit_log: Some(Box::new(commit_log)),
            committing_since: Instant::now(),
            confirmation,
            registry_confirmation: process.registry_confirmation.clone(),
            suspension: Suspension::new(),
            activity: Activity::new(shard),
            team_metrics: TeamMetrics::new(shard),
            decision_log: DecisionLog::new(shard),
            quota_reports: QuotaReports::new(process),
            queue_review,
            start_queues: StartQueues::default(),
            has_held_starts: false,
            waiting_callers: HashMap::new(),
            next_caller: 0,
            known_workers: Arc::default(),
            evacuating_workers: Vec::new(),
            evacuating_since: Instant::now(),
            sender,
            has_ended: false,
        }
    }

    /// Restores the shard from the records of the takeover. Unless the previous owner has released
    /// the shard and told of those before it, one of them may still act for as long as its last
    /// confirmation is valid.
    fn restore(&mut self) {
        let Some(takeover) = self.takeover.take() else {
            return;
        };
        let earlier_acts_ms = takeover
            .predecessor
            .earlier_acts_ms(takeover.earlier_acts_ms, whole_ms(OWNERSHIP_VALID));
        let unreadable = self.shard.restore(now(), takeover.records, earlier_acts_ms);
        if unreadable > 0 {
            log::warn!(shard:% = self.service, records = unreadable; "records_unreadable");
        }
    }

    /// Runs the shard until the ownership ends: handles messages and changes in the store, and
    /// carries out what is due in each round. Rounds are at least [`MIN_ROUND_INTERVAL`] apart.
    async fn serve(
        &mut self,
        receiver: &mut mpsc::UnboundedReceiver<OwnerMessage>,
        mut workers: watch::Receiver<Option<Arc<RegisteredWorkers>>>,
        mut operators: watch::Receiver<OperatorState>,
        mut owners: watch::Receiver<HashMap<String, KnownOwner>>,
    ) {
        let mut last_commit = Instant::now();
        while !self.has_ended {
            let round_start = Instant::now();
            self.suspension.notice();
            self.activity.write_if_due(self.http_client.body_bytes());
            self.team_metrics.export_if_due(&self.shard);
            self.end_expired_evacuations();
            self.reject_unsent_in_outage();
            self.shard.advance(now());
            self.carry_out_ready();
            self.send_held_starts();
            self.maintain_relays();
            self.publish_queues_if_due();
            let wait = self.start_due_commit(&mut last_commit);
            let wait = self.report_quota_if_due().map_or(wait, |due| due.min(wait));
            let wait = self
                .worker_calls
                .send_batches()
                .map_or(wait, |due| due.min(wait));
            self.activity.record_round(round_start.elapsed());
            self.suspension.plan_round(wait);
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                Ok(()) = workers.changed() => {
                    let workers = workers.borrow_and_update().clone();
                    self.apply_registrations(workers);
                }
                Ok(()) = owners.changed() => self.end_if_superseded(&owners.borrow_and_update()),
                Ok(()) = operators.changed() => self.apply_operator_state(&operators.borrow_and_update()),
                () = tokio::time::sleep(wait) => {}
            }
            tokio::time::sleep_until(round_start + MIN_ROUND_INTERVAL).await;
            let handling_start = Instant::now();
            while let Ok(message) = receiver.try_recv() {
                self.handle_message(message);
            }
            self.activity.record_handling(handling_start.elapsed());
        }
    }

    /// Handles a message; ends the ownership if a worker rejected a call because it knows a higher
    /// fencing token.
    fn handle_message(&mut self, message: OwnerMessage) {
        self.suspension.notice();
        let is_fenced = match message {
            OwnerMessage::Request(request, reply) => {
                self.handle_request(request, reply);
                false
            }
            OwnerMessage::CallResult(result) => {
                let finished = self.worker_calls.finish(result);
                self.handle_finished_calls(finished)
            }
            OwnerMessage::Relay(relay, SessionEvent::Report(report)) => {
                let finished = self.worker_calls.finish_reported(relay, report);
                self.handle_finished_calls(finished)
            }
            OwnerMessage::Relay(relay, SessionEvent::TooLong(call)) => {
                self.worker_calls.send_too_long(relay, call);
                false
            }
            OwnerMessage::Relay(relay, SessionEvent::Ended) => {
                let finished = self.worker_calls.finish_lost(relay);
                self.handle_finished_calls(finished)
            }
            OwnerMessage::AdviceResult(query, outcome) => {
                self.shard.handle_advice_result(now(), &query, outcome);
                false
            }
            OwnerMessage::QuotaReply(sequence, reply) => {
                self.handle_quota_reply(sequence, reply.as_ref());
                false
            }
            OwnerMessage::LedgerRead(is_read) => {
                self.handle_ledger_read(is_read);
                false
            }
            OwnerMessage::QueuesPublished(published) => {
                self.open_queues(published);
                false
            }
            OwnerMessage::CommitResult(commit, result) => {
                self.handle_commit_result(*commit, result);
                false
            }
            OwnerMessage::Stop => {
                self.has_ended = true;
                false
            }
        };
        if is_fenced {
            log::info!(shard:% = self.service; "fenced_by_worker");
            self.has_ended = true;
        }
    }

    /// Gives up relays that are lost, and spreads the workers over the others.
    fn maintain_relays(&mut self) {
        let finished = self.worker_calls.finish_overdue();
        if self.handle_finished_calls(finished) {
            self.has_ended = true;
        }
        let relays = Arc::clone(&self.relays.borrow());
        let shard = &self.shard;
        self.worker_calls
            .review_relays(&relays, || relayed_workers(shard));
    }

    /// Sets the configuration of the routes that belong to the service of the shard.
    fn apply_operator_state(&mut self, operator_state: &OperatorState) {
        if let Some(configuration) = &operator_state.configuration {
            let routes = configuration
                .routes
                .iter()
                .filter(|route| route.config.service == self.service)
                .map(|route| route.config.clone());
            let known_before = self.shard.former_routes().cloned().collect();
            self.shard.set_routes(routes);
            self.log_left_routes(&known_before);
            self.configure_queues(configuration);
            let teams = configuration.teams.iter().map(|team| team.config.clone());
            self.shard.set_teams(teams);
            self.shard.set_needs_keys(configuration.needs_keys);
            self.shard.set_service_count(service_count(configuration));
        }
    }

    /// Ends the ownership if another process has claimed the shard since.
    fn end_if_superseded(&mut self, owners: &HashMap<String, KnownOwner>) {
        let newest = owners.get(self.service.as_str());
        if let Some(newest) = newest.filter(|newest| newest.token > self.token) {
            log::info!(shard:% = self.service, token = newest.token; "claimed_by_another");
            self.has_ended = true;
        }
    }

    /// Registers the workers of the service, and unregisters those that are no longer listed; keeps
    /// the known ones while the registrations aren't known.
    fn apply_registrations(&mut self, workers: Option<Arc<RegisteredWorkers>>) {
        let Some(workers) = workers else {
            return;
        };
        let now = now();
        for registration in workers.values() {
            if registration.service == self.service {
                self.shard.register(now, registration.clone());
            }
        }
        for (id, known) in self.known_workers.iter() {
            let was_ours = known.service == self.service;
            let is_still_ours = workers
                .get(id)
                .is_some_and(|listed| listed.service == self.service);
            if was_ours && !is_still_ours {
                self.shard.unregister(&known.id);
            }
        }
        self.known_workers = workers;
    }
}

/// Returns the listed workers of a shard.
fn relayed_workers(shard: &Shard) -> Vec<RelayedWorker> {
    shard
        .workers()
        .filter(|worker| worker.is_registered)
        .map(|worker| RelayedWorker {
            id: worker.registration.id.clone(),
            zone: worker.registration.zone.clone(),
        })
        .collect()
}
