//! The owner of a shard: carries out what the shard decides, and reports back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{StoreError, WorkerCalls, Writer};
use cyclamentrail_core::{ServiceName, WorkerId};
use cyclamentrail_jobs::{
    Answer, CallerTicket, Commit, Effect, KeyedRecord, LookOutcome, OrderOutcome, RELEASE_KEY,
    RejectReason, ReleaseRecord, Shard, ShardTiming, Submission, TaskKey, WorkerKey, encode,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::boot_clock::now;
use super::commits::{CommitLog, Confirmation};
use super::journal::Journal;
use super::lanes::Lanes;
use super::messages::{FLEET_SHARD, Question, Reply};
use super::node::{Node, Orders, Owner as Claimed, Workers};
use super::takeover::{FIRST_SEQUENCE, Taken, take_over};

/// Time limit of a call to a worker, beside what it may wait for.
const WORKER_TIMEOUT: Duration = Duration::from_millis(800);
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
/// Age of the last confirmation up to which a job is said to be unknown, in milliseconds.
const MAX_UNKNOWN_AGE_MS: u64 = 2_000;
/// Age of a commit at which new jobs are rejected, because the store doesn't answer.
const STUCK_COMMIT: Duration = Duration::from_millis(700);
/// Time for which workers are kept empty after they were last asked for; longer than the holder
/// of the duties takes between its last question and its last order.
const EVACUATION_LEASE: Duration = Duration::from_secs(6);
/// Longest time for which an owner that gives up makes durable what it knows.
const FINISH_TIMEOUT: Duration = Duration::from_millis(800);
/// Part of the longest lease that is granted, in percent.
const LEASE_PERCENT: u64 = 75;
/// Part of a lease for which a worker may wait before it answers a look, as a divisor.
const LOOK_WAIT_PART: u64 = 4;
/// Time in milliseconds for which a state is kept beyond what is asked for.
const KEEP_EXTRA_MS: u64 = 10_000;
/// When a caller may come back to an owner that can't store anything, in milliseconds.
const STUCK_RETRY_MS: u64 = 1_000;

/// What an owner is told.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// A question, and where the reply goes.
    Ask(Question, oneshot::Sender<Reply>),
    /// What became of a start.
    Started(WorkerKey, TaskKey, u32, OrderOutcome),
    /// What became of a stop.
    Stopped(TaskKey, u32, OrderOutcome),
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
        let writer = Writer {
            epoch: taken.token,
            sequence: FIRST_SEQUENCE,
        };
        let log = CommitLog::new(
            node.store.clone(),
            &taken.topic,
            writer,
            node.settings.max_append_bytes,
            confirmation.clone(),
        );
        Self {
            calls: WorkerCalls::new(node.caller.clone(), taken.token, WORKER_TIMEOUT),
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
                let is_fenced = self.shard.start_done(now(), task, run, &outcome);
                self.send_starts(worker);
                is_fenced
            }
            OwnerMessage::Stopped(task, run, outcome) => {
                self.shard.stop_done(now(), task, run, &outcome)
            }
            OwnerMessage::Looked(worker, seen, outcome) => {
                self.shard.look_done(now(), worker, seen, outcome)
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

    fn take_question(&mut self, question: Question, reply: oneshot::Sender<Reply>) {
        if !self.confirmation.is_valid() {
            drop(reply.send(Reply::NotOwner));
            return;
        }
        let caller = CallerTicket(self.next_caller);
        self.next_caller += 1;
        match question {
            Question::Submit { id, route, spec } => {
                if self.is_stuck() && self.shard.job(&id).is_none() {
                    drop(reply.send(stuck()));
                    return;
                }
                self.callers.insert(caller, reply);
                let submission = Submission {
                    caller,
                    id,
                    route,
                    spec,
                };
                self.shard.submit(now(), submission);
            }
            // Another process may have taken over and accepted the job since.
            Question::State(id) | Question::Cancel(id)
                if self.shard.job(&id).is_none()
                    && self.confirmation.age_ms() > MAX_UNKNOWN_AGE_MS =>
            {
                drop(reply.send(Reply::NotOwner));
            }
            Question::State(id) => {
                self.callers.insert(caller, reply);
                self.shard.tell_state(caller, &id);
            }
            Question::Cancel(id) => {
                self.callers.insert(caller, reply);
                self.shard.cancel(caller, &id);
            }
            Question::Pending(route) => {
                self.callers.insert(caller, reply);
                self.shard.tell_pending(caller, &route);
            }
            Question::Release => drop(reply.send(Reply::NotOwner)),
            Question::Evacuate(workers) => drop(reply.send(self.evacuate(workers))),
        }
        self.carry_out_ready();
    }

    fn is_stuck(&self) -> bool {
        self.log.is_none() && self.committing_since.elapsed() > STUCK_COMMIT
    }

    /// Keeps exactly these workers empty, and replies with the load of the pool.
    fn evacuate(&mut self, workers: Vec<WorkerId>) -> Reply {
        let now = now();
        for worker in self.evacuating.iter().filter(|old| !workers.contains(old)) {
            self.shard.set_evacuating(now, worker, false);
        }
        for worker in &workers {
            self.shard.set_evacuating(now, worker, true);
        }
        self.evacuating = workers;
        self.evacuating_since = Instant::now();
        Reply::Load(self.shard.load(now).into())
    }

    /// Uses workers again whose evacuation nobody has asked for lately.
    fn end_old_evacuations(&mut self) {
        if !self.evacuating.is_empty() && self.evacuating_since.elapsed() > EVACUATION_LEASE {
            for worker in std::mem::take(&mut self.evacuating) {
                self.shard.set_evacuating(now(), &worker, false);
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

    fn carry_out_ready(&mut self) {
        let effects = self.shard.take_ready();
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut touched = Vec::new();
        for effect in effects {
            match effect {
                Effect::Answer(caller, answer) => self.answer(caller, answer),
                Effect::Start(task) => {
                    if let Some(worker) = self.shard.worker_of(task) {
                        self.lanes.push(worker, task);
                        touched.push(worker);
                    }
                }
                Effect::Stop(order) => {
                    let (sender, calls) = (self.sender.clone(), self.calls.clone());
                    let confirmation = self.confirmation.clone();
                    tokio::spawn(async move {
                        let outcome = if confirmation.is_valid() {
                            calls.stop(&order).await
                        } else {
                            OrderOutcome::NotSent
                        };
                        drop(sender.send(OwnerMessage::Stopped(order.task, order.run, outcome)));
                    });
                }
                Effect::Look(look) => {
                    let (sender, calls) = (self.sender.clone(), self.calls.clone());
                    let confirmation = self.confirmation.clone();
                    tokio::spawn(async move {
                        let outcome = if confirmation.is_valid() {
                            calls.look(&look).await
                        } else {
                            LookOutcome::NotSent
                        };
                        drop(sender.send(OwnerMessage::Looked(
                            look.target.key,
                            look.seen,
                            outcome,
                        )));
                    });
                }
                Effect::Note(note) => self.journal.note(&note),
            }
        }
        touched.sort_unstable();
        touched.dedup();
        for worker in touched {
            self.send_starts(worker);
        }
    }

    /// Sends the next starts of a worker.
    fn send_starts(&mut self, worker: WorkerKey) {
        while let Some(task) = self.lanes.pop(worker) {
            if !self.confirmation.is_valid() {
                self.lanes.finish(worker);
                self.lanes.push(worker, task);
                return;
            }
            let Some(order) = self.shard.start_order(now(), task) else {
                self.lanes.finish(worker);
                continue;
            };
            let (sender, calls) = (self.sender.clone(), self.calls.clone());
            tokio::spawn(async move {
                let outcome = calls.start(&order).await;
                let message = OwnerMessage::Started(worker, order.task, order.run, outcome);
                drop(sender.send(message));
            });
        }
    }

    fn answer(&mut self, caller: CallerTicket, answer: Answer) {
        if let Some(reply) = self.callers.remove(&caller) {
            drop(reply.send(Reply::from(answer)));
        }
    }
}

/// Returns the reply to a job that can't be stored now.
fn stuck() -> Reply {
    Reply::from(Answer::Rejected {
        retry_after_ms: STUCK_RETRY_MS,
        reason: RejectReason::NotReady,
    })
}
