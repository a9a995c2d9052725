//! Carries out the effects that a shard decides on. Calls run in tasks of their own, which send
//! their outcome to the owner as a message.

use std::time::Duration;

use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuery, CallerId, CallerReply, CommandOutcome, CpuShareCommand, Decision,
    Effect, PollOutcome, StopCommand, WorkerKey, WorkerPoll,
};

use tokio::time::Instant;

use super::{Owner, OwnerMessage, PollResult, StartResult};
use crate::edge::clocks::now;
use crate::edge::messages::Reply;
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
                Effect::Start(task) => {
                    if let Some(worker) = self.shard.worker_of(task) {
                        self.start_queues.push(worker, task);
                        changed_workers.push(worker);
                    }
                }
                Effect::Stop(command) => self.send_stop(command),
                Effect::Poll(poll) => self.send_poll(poll),
                Effect::SetCpuShare(command) => self.send_cpu_share(command),
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

    fn send_stop(&self, command: StopCommand) {
        let (sender, worker_client) = (self.sender.clone(), self.worker_client.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let outcome = if confirmation.is_valid() {
                worker_client.stop(&command).await
            } else {
                CommandOutcome::NotSent
            };
            drop(sender.send(OwnerMessage::StopResult(command.task, command.run, outcome)));
        });
    }

    fn send_cpu_share(&self, command: CpuShareCommand) {
        let (sender, worker_client) = (self.sender.clone(), self.worker_client.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let is_done = confirmation.is_valid() && worker_client.set_cpu_share(&command).await;
            drop(sender.send(OwnerMessage::CpuShareResult(
                command.task,
                command.run,
                is_done,
            )));
        });
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

    fn send_poll(&self, poll: WorkerPoll) {
        let (sender, worker_client) = (self.sender.clone(), self.worker_client.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let sent = Instant::now();
            let outcome = if confirmation.is_valid() {
                worker_client.poll(&poll).await
            } else {
                PollOutcome::NotSent
            };
            let result = PollResult {
                worker: poll.target.key,
                durable_sequence: poll.durable_sequence,
                outcome,
                duration: sent
                    .elapsed()
                    .saturating_sub(Duration::from_millis(poll.wait_ms)),
            };
            drop(sender.send(OwnerMessage::PollResult(result)));
        });
    }

    /// Sends the queued starts that were held back while the owner couldn't send any.
    pub(super) fn send_held_starts(&mut self) {
        if !self.has_held_starts || !self.may_send_starts() {
            return;
        }
        self.has_held_starts = false;
        for worker in self.start_queues.sendable_workers() {
            self.send_starts(worker);
        }
    }

    /// Returns whether starts may be sent: the ownership is confirmed, and the registrations are
    /// new enough that no worker's notice can have passed unseen.
    fn may_send_starts(&self) -> bool {
        self.confirmation.is_valid() && self.registry_confirmation.is_valid()
    }

    /// Sends the next queued starts of a worker. A start stays queued while none may be sent, and is
    /// dropped if the task isn't to be started any more.
    pub(super) fn send_starts(&mut self, worker: WorkerKey) {
        if !self.may_send_starts() {
            self.has_held_starts = true;
            return;
        }
        while let Some(task) = self.start_queues.pop(worker) {
            let Some(command) = self.shard.start_command(now(), task) else {
                self.start_queues.finish_start(worker);
                continue;
            };
            self.record_start(worker);
            let (sender, worker_client) = (self.sender.clone(), self.worker_client.clone());
            tokio::spawn(async move {
                let sent = Instant::now();
                let outcome = worker_client.start(&command).await;
                let result = StartResult {
                    worker,
                    task: command.task,
                    run: command.run,
                    outcome,
                    duration: sent.elapsed(),
                };
                drop(sender.send(OwnerMessage::StartResult(result)));
            });
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
