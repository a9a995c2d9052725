//! The owner of a shard: carries out what the shard decides, and reports back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{Advisor, StoreError, WorkerCalls};
use cyclamentrail_core::{ServiceName, WorkerId};
use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuestion, CallerTicket, Commit, Effect, KeyedRecord, LookOutcome,
    OrderOutcome, RELEASE_KEY, ReleaseRecord, Shard, ShardTiming, TaskKey, WorkerKey, encode,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::boot_clock::now;
use super::commits::{CommitLog, Confirmation};
use super::journal::Journal;
use super::lanes::Lanes;
use super::messages::{FLEET_SHARD, Question, Reply};
use super::node::{Node, Orders, Owner as Claimed, Workers};
use super::takeover::{Taken, take_over};
use crate::metrics;

mod effects;
mod questions;

/// Time limit of a call to a worker, beside what it may wait for.
const WORKER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit of a question to a queue's policy, which answers one at a time.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two rounds while work is under way.
const BUSY_TICK: Duration = Duration::from_millis(40);
/// Time between two rounds while there is nothing to do.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Time between two commits, so that one takes in several events.
const COMMIT_GAP: Duration = Duration::from_millis(8);
/// Time for which an owner may act after its last confirmation.
const OWNERSHIP_MS: u64 = 5_000;
/// Age of the last confirmation at which an idle owner asks for another, in milliseconds.
const CONFIRM_MS: u64 = 1_500;
/// Longest time for which an owner that gives up makes durable what it knows.
const FINISH_TIMEOUT: Duration = Duration::from_millis(800);
/// Part of the longest lease that is granted, in percent.
const LEASE_PERCENT: u64 = 75;
/// Part of a lease for which a worker may wait before it answers a look, as a divisor.
const LOOK_WAIT_PART: u64 = 4;
/// Time in milliseconds for which a state is kept beyond what is asked for.
const KEEP_EXTRA_MS: u64 = 10_000;

/// What an owner is told.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// A question, and where the reply goes.
    Ask(Question, oneshot::Sender<Reply>),
    /// What became of a start.
    Started(WorkerKey, TaskKey, u32, OrderOutcome),
    /// What became of a stop.
    Stopped(TaskKey, u32, OrderOutcome),
    /// Whether a worker holds a run at the share that it was told.
    Paced(TaskKey, u32, bool),
    /// What a queue's policy answered.
    Advised(Box<AdviceQuestion>, AdviceOutcome),
    /// What became of a look, which acknowledged the ends up to a number.
    Looked(WorkerKey, u64, LookOutcome),
    /// A commit is durable, or never will be.
    Committed(Box<Commit>, Result<Box<CommitLog>, StoreError>),
    /// Give up the shard.
    Stop,
}

/// Takes over a shard and owns it until it is given up or lost.
pub(crate) async fn run(
    node: Arc<Node>,
    shard: String,
    sender: mpsc::UnboundedSender<OwnerMessage>,
    mut receiver: mpsc::UnboundedReceiver<OwnerMessage>,
) {
    node.insert_owned(&shard, sender.clone());
    let taken = match take_over(&node, &shard).await {
        Ok(taken) => taken,
        Err(error) => {
            log::info!(shard = shard.as_str(), error:% = error; "takeover_lost");
            node.remove_owned(&shard, &sender);
            return;
        }
    };
    metrics::count_takeover();
    log::info!(
        shard = shard.as_str(),
        token = taken.token,
        records = taken.records.len();
        "takeover_done"
    );
    if shard == FLEET_SHARD {
        return super::machines::run(node, taken, receiver).await;
    }
    let workers = node.workers.subscribe();
    let orders = node.orders.subscribe();
    let mut owner = Owner::new(&node, &shard, taken, sender.clone());
    owner.take_orders(&orders.borrow());
    owner.take_workers(&workers.borrow());
    owner.restore();
    let owners = node.owners.subscribe();
    owner.serve(&mut receiver, workers, orders, owners).await;
    node.remove_owned(&shard, &sender);
    owner.finish(&mut receiver).await;
    log::info!(shard; "ownership_ended");
}

struct Owner {
    service: ServiceName,
    shard: Shard,
    taken: Option<Taken>,
    calls: WorkerCalls,
    advisor: Option<Advisor>,
    log: Option<Box<CommitLog>>,
    committing_since: Instant,
    confirmation: Confirmation,
    journal: Journal,
    token: u64,
    lanes: Lanes,
    callers: HashMap<CallerTicket, oneshot::Sender<Reply>>,
    next_caller: u64,
    known: Arc<Workers>,
    evacuating: Vec<WorkerId>,
    evacuating_since: Instant,
    sender: mpsc::UnboundedSender<OwnerMessage>,
    is_over: bool,
}

impl Owner {
    fn new(
        node: &Node,
        shard: &str,
        taken: Taken,
        sender: mpsc::UnboundedSender<OwnerMessage>,
    ) -> Self {
        let bounds = node.settings.bounds;
        let lease_ms = bounds.max_lease_ms * LEASE_PERCENT / 100;
        let timing = ShardTiming {
            lease_ms,
            look_wait_ms: lease_ms / LOOK_WAIT_PART,
            keep_ms: bounds.status_ms + KEEP_EXTRA_MS,
            ..ShardTiming::default()
        };
        let confirmation = Confirmation::new(taken.confirmed_ms, OWNERSHIP_MS);
        node.confirm_owned(shard, confirmation.clone());
        let log = CommitLog::new(node, &taken, confirmation.clone());
        Self {
            calls: WorkerCalls::new(node.caller.clone(), taken.token, WORKER_TIMEOUT),
            advisor: node
                .settings
                .advice
                .map(|address| Advisor::new(node.caller.clone(), address, ADVICE_TIMEOUT)),
            service: ServiceName::from(shard),
            shard: Shard::new(timing),
            token: taken.token,
            taken: Some(taken),
            log: Some(Box::new(log)),
            committing_since: Instant::now(),
            confirmation,
            journal: Journal::new(shard),
            lanes: Lanes::default(),
            callers: HashMap::new(),
            next_caller: 0,
            known: Arc::default(),
            evacuating: Vec::new(),
            evacuating_since: Instant::now(),
            sender,
            is_over: false,
        }
    }

    fn restore(&mut self) {
        let Some(taken) = self.taken.take() else {
            return;
        };
        let earlier_acts_ms = if taken.is_released { 0 } else { OWNERSHIP_MS };
        let unreadable = self.shard.restore(now(), taken.records, earlier_acts_ms);
        if unreadable > 0 {
            log::warn!(shard:% = self.service, records = unreadable; "records_unreadable");
        }
    }

    async fn serve(
        &mut self,
        receiver: &mut mpsc::UnboundedReceiver<OwnerMessage>,
        mut workers: watch::Receiver<Arc<Workers>>,
        mut orders: watch::Receiver<Orders>,
        mut owners: watch::Receiver<HashMap<String, Claimed>>,
    ) {
        let mut last_commit = Instant::now();
        while !self.is_over {
            self.end_old_evacuations();
            self.withdraw_stuck();
            self.shard.advance(now());
            self.carry_out_ready();
            let wait = self.commit(&mut last_commit);
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => break,
                },
                Ok(()) = workers.changed() => {
                    let workers = Arc::clone(&workers.borrow_and_update());
                    self.take_workers(&workers);
                }
                Ok(()) = owners.changed() => self.take_owners(&owners.borrow_and_update()),
                Ok(()) = orders.changed() => self.take_orders(&orders.borrow_and_update()),
                () = tokio::time::sleep(wait) => {}
            }
            while let Ok(message) = receiver.try_recv() {
                self.take(message);
            }
        }
    }

    /// Makes durable what is known, and answers the callers that wait for it.
    async fn finish(&mut self, receiver: &mut mpsc::UnboundedReceiver<OwnerMessage>) {
        let end = Instant::now() + FINISH_TIMEOUT;
        let mut is_last = false;
        loop {
            if self.log.is_some() {
                if is_last {
                    return;
                }
                is_last = true;
                let mut commit = self.shard.take_commit(now()).unwrap_or_default();
                commit.records.push(KeyedRecord {
                    key: RELEASE_KEY.to_owned(),
                    value: encode(&ReleaseRecord { token: self.token }),
                });
                self.spawn_commit(Some(commit));
            }
            match tokio::time::timeout_at(end, receiver.recv()).await {
                Ok(Some(OwnerMessage::Committed(commit, Ok(log)))) => {
                    self.log = Some(log);
                    for effect in self.shard.finish_commit(*commit) {
                        if let Effect::Answer(caller, answer) = effect {
                            self.answer(caller, answer);
                        }
                    }
                }
                Ok(Some(OwnerMessage::Ask(_, reply))) => drop(reply.send(Reply::NotOwner)),
                Ok(Some(OwnerMessage::Committed(_, Err(_))) | None) | Err(_) => return,
                Ok(Some(_)) => {}
            }
        }
    }

    /// Starts a commit if one is due; returns how long to wait for the next round.
    fn commit(&mut self, last_commit: &mut Instant) -> Duration {
        let is_busy = self.shard.is_busy();
        let tick = if is_busy { BUSY_TICK } else { IDLE_TICK };
        if self.log.is_none() {
            return tick;
        }
        if !self.shard.needs_commit() {
            if self.confirmation.age_ms() > CONFIRM_MS {
                self.spawn_commit(None);
            }
            return tick;
        }
        let since = last_commit.elapsed();
        if since < COMMIT_GAP {
            return COMMIT_GAP.saturating_sub(since);
        }
        *last_commit = Instant::now();
        if let Some(commit) = self.shard.take_commit(now()) {
            if commit.records.is_empty() {
                let effects = self.shard.finish_commit(commit);
                self.carry_out(effects);
            } else {
                self.spawn_commit(Some(commit));
            }
        }
        tick
    }

    fn spawn_commit(&mut self, commit: Option<Commit>) {
        let Some(log) = self.log.take() else {
            return;
        };
        self.committing_since = Instant::now();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let (commit, result) = match commit {
                Some(commit) => {
                    let result = log.append(&commit.records).await;
                    (commit, result)
                }
                None => (Commit::default(), log.confirm().await),
            };
            let result = result.map(Box::new);
            drop(sender.send(OwnerMessage::Committed(Box::new(commit), result)));
        });
    }

    fn take(&mut self, message: OwnerMessage) {
        let is_fenced = match message {
            OwnerMessage::Ask(question, reply) => {
                self.take_question(question, reply);
                false
            }
            OwnerMessage::Started(worker, task, run, outcome) => {
                self.lanes.finish(worker);
                metrics::count_order("start", &outcome);
                let is_fenced = self.shard.start_done(now(), task, run, &outcome);
                self.send_starts(worker);
                is_fenced
            }
            OwnerMessage::Stopped(task, run, outcome) => {
                metrics::count_order("stop", &outcome);
                self.shard.stop_done(now(), task, run, &outcome)
            }
            OwnerMessage::Looked(worker, seen, outcome) => {
                self.shard.look_done(now(), worker, seen, outcome)
            }
            OwnerMessage::Paced(task, run, is_done) => {
                self.shard.pace_done(task, run, is_done);
                false
            }
            OwnerMessage::Advised(question, outcome) => {
                self.shard.advice_done(now(), &question, outcome);
                false
            }
            OwnerMessage::Committed(commit, result) => {
                self.take_committed(*commit, result);
                false
            }
            OwnerMessage::Stop => {
                self.is_over = true;
                false
            }
        };
        if is_fenced {
            log::info!(shard:% = self.service; "fenced_by_worker");
            self.is_over = true;
        }
    }

    fn take_committed(&mut self, commit: Commit, result: Result<Box<CommitLog>, StoreError>) {
        match result {
            Ok(log) => {
                self.log = Some(log);
                let effects = self.shard.finish_commit(commit);
                self.carry_out(effects);
            }
            Err(error) => {
                log::info!(shard:% = self.service, error:% = error; "ownership_lost");
                self.is_over = true;
            }
        }
    }

    fn take_orders(&mut self, orders: &Orders) {
        if let Some(configuration) = &orders.configuration {
            let terms = configuration
                .routes
                .iter()
                .filter(|route| route.terms.service == self.service)
                .map(|route| route.terms.clone());
            self.shard.set_terms(terms);
        }
    }

    /// Gives up when another process has claimed the shard since.
    fn take_owners(&mut self, owners: &HashMap<String, Claimed>) {
        let newest = owners.get(self.service.as_str());
        if let Some(newest) = newest.filter(|newest| newest.token > self.token) {
            log::info!(shard:% = self.service, token = newest.token; "claimed_by_another");
            self.is_over = true;
        }
    }

    fn take_workers(&mut self, workers: &Arc<Workers>) {
        let now = now();
        for registration in workers.values() {
            if registration.service == self.service {
                self.shard.register(now, registration.clone());
            }
        }
        for (id, known) in self.known.iter() {
            let is_ours = known.service == self.service;
            let is_still = workers
                .get(id)
                .is_some_and(|listed| listed.service == self.service);
            if is_ours && !is_still {
                self.shard.unregister(&known.id);
            }
        }
        self.known = Arc::clone(workers);
    }
}
