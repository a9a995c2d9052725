//! Carries out the effects that a shard decides on, and hands the outcomes back to it.

use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuery, CallerId, CallerReply, Decision, Effect, PlacedRun, WorkerKey,
};

use super::worker_calls::{CallPurpose, FinishedCall};
use super::{Owner, OwnerMessage};
use crate::edge::clocks::now;
use crate::edge::messages::Reply;
use crate::edge::relay::{CallOutcome, WorkerCall};
use crate::metrics;

impl Owner {
    /// Carries out the effects that wait for no commit.
    pub(super) fn carry_out_ready(&mut self) {
        let effects = self.shard.take_ready();
        self.carry_out(effects);
    }

    /// Carries out effects; starts are queued and sent at the end.
    pub(super) fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut changed_workers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Reply(caller, reply) => self.reply_to(caller, reply),
                Effect::Start(run) => {
                    self.start_queues.push(run);
                    changed_workers.push(run.worker);
                }
                Effect::Stop(command) => self.send_call(WorkerCall::Stop(command)),
                Effect::Poll(poll) => self.send_call(WorkerCall::Poll(poll)),
                Effect::SetCpuShare(command) => self.send_call(WorkerCall::SetCpuShare(command)),
                Effect::QueryPolicy(query) => self.query_policy(query),
                Effect::Log(decision) => self.record_decision(decision),
            }
        }
        changed_workers.sort_unstable();
        changed_workers.dedup();
        for worker in changed_workers {
            self.send_starts(worker);
        }
    }

    fn send_call(&mut self, call: WorkerCall) {
        let is_relayed = self.worker_calls.send(call);
        self.activity.record_call(is_relayed);
    }

    fn query_policy(&self, query: AdviceQuery) {
        let (sender, advice_service) = (self.sender.clone(), self.advice_service.clone());
        tokio::spawn(async move {
            let outcome = match advice_service {
                Some(advice_service) => advice_service.query(&query).await,
                None => AdviceOutcome::NoResponse,
            };
            drop(sender.send(OwnerMessage::AdviceResult(Box::new(query), outcome)));
        });
    }

    /// Sends the queued starts that were held back while the owner couldn't send any.
    pub(super) fn send_held_starts(&mut self) {
        if !self.has_held_starts || !self.worker_calls.may_send_starts() {
            return;
        }
        self.has_held_starts = false;
        for worker in self.start_queues.sendable_workers() {
            self.send_starts(worker);
        }
    }

    /// Sends the next queued starts of a worker. A start stays queued while none may be sent, and is
    /// dropped if the task isn't to be started any more.
    pub(super) fn send_starts(&mut self, worker: WorkerKey) {
        if !self.worker_calls.may_send_starts() {
            self.has_held_starts = true;
            return;
        }
        while let Some(run) = self.start_queues.pop(worker) {
            let Some(command) = self.shard.start_command(now(), run) else {
                self.start_queues.finish(run);
                continue;
            };
            self.record_start(worker);
            self.send_call(WorkerCall::Start(command));
        }
    }

    /// Counts a start command by whether its worker is known to leave.
    fn record_start(&mut self, worker: WorkerKey) {
        let is_worker_leaving = self
            .shard
            .worker_by_key(worker)
            .is_none_or(|worker| worker.registration.is_draining || !worker.is_registered);
        let registry_age_ms = self.registry_confirmation.age_ms();
        metrics::count_start(is_worker_leaving, registry_age_ms);
        self.activity
            .record_start(is_worker_leaving, registry_age_ms);
    }

    /// Handles the outcomes of calls to workers; returns whether a worker has seen a higher fencing
    /// token.
    pub(super) fn handle_finished_calls(
        &mut self,
        calls: impl IntoIterator<Item = FinishedCall>,
    ) -> bool {
        let mut is_fenced = false;
        for call in calls {
            is_fenced |= self.handle_finished_call(call);
        }
        is_fenced
    }

    fn handle_finished_call(&mut self, call: FinishedCall) -> bool {
        let FinishedCall {
            purpose,
            outcome,
            duration,
        } = call;
        match (purpose, outcome) {
            (CallPurpose::Start(placed), CallOutcome::Command(outcome)) => {
                let PlacedRun { worker, task, run } = placed;
                self.start_queues.finish(placed);
                metrics::count_worker_command("start", &outcome);
                metrics::record_worker_call("start", duration);
                self.activity.record_start_result(&outcome, duration);
                let is_fenced = self
                    .shard
                    .handle_start_result(now(), worker, task, run, &outcome);
                self.send_starts(worker);
                is_fenced
            }
            (CallPurpose::Stop(placed), CallOutcome::Command(outcome)) => {
                let PlacedRun { worker, task, run } = placed;
                metrics::count_worker_command("stop", &outcome);
                self.shard
                    .handle_stop_result(now(), worker, task, run, &outcome)
            }
            (CallPurpose::SetCpuShare { task, run }, CallOutcome::CpuShare(is_done)) => {
                self.shard
                    .handle_cpu_share_result(now(), task, run, is_done);
                false
            }
            (
                CallPurpose::Poll {
                    worker,
                    durable_sequence,
                    ..
                },
                CallOutcome::Poll(outcome),
            ) => {
                metrics::record_worker_call("poll", duration);
                self.activity.record_poll_result(&outcome, duration);
                let now = now();
                self.shard
                    .handle_poll_result(now, worker, durable_sequence, outcome)
            }
            (purpose, outcome) => {
                log::error!(purpose:? = purpose, outcome:? = outcome; "outcome_of_other_call");
                false
            }
        }
    }

    /// Counts, logs and keeps a decision.
    pub(super) fn record_decision(&mut self, decision: Decision) {
        self.activity.record_decision(&decision);
        self.decision_log.record(decision);
    }

    /// Replies to a caller, if it still waits.
    pub(super) fn reply_to(&mut self, caller: CallerId, reply: CallerReply) {
        if let Some(sender) = self.waiting_callers.remove(&caller) {
            drop(sender.send(Reply::from(reply)));
        }
    }
}
