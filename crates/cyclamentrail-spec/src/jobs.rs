//! One task on two workers under two owners: tokens, leases, late orders, ends and suspension.
//!
//! The owners work with the same [`Lease`] as the process. Time passes in ticks; the second
//! worker's clock runs slow. An order that was sent may be carried out at any later time, or
//! never; an owner may be suspended at any time and finds out nothing of it by itself.

use std::collections::BTreeSet;
use std::fmt;

use cyclamentrail_jobs::Lease;

use crate::explore::{Model, Violation};

/// Length of a tick in milliseconds.
const TICK_MS: u64 = 1_000;
/// Length of a lease in milliseconds; under a tick, so that few ticks are needed.
const LEASE_MS: u64 = 900;
/// Time for which an owner acts after its last confirmation, in milliseconds.
const ACTS_MS: u64 = 900;
/// Longest lease on the slowest clock, in milliseconds.
const LONGEST_LEASE_MS: u64 = LEASE_MS * 41 / 40 + 1;
/// Rates of the workers' clocks, in thousandths.
const RATES: [u64; 2] = [1_000, 980];
/// Runs of the task at most.
const MAX_RUNS: u8 = 2;
/// Claims at most.
const MAX_CLAIMS: u8 = 2;
/// Orders that are on their way at most.
const MAX_ORDERS: usize = 2;
/// The process that may be suspended.
const SUSPENDABLE: u8 = 0;

/// A rule of the jobs' protocol that the model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobsFault {
    /// A claim gets the token of the one before.
    TokenStays,
    /// An end is acknowledged before it is durable.
    AcknowledgedEarly,
    /// An owner's clock doesn't count the time for which it was suspended.
    SuspensionMissed,
    /// A task whose start wasn't answered is placed elsewhere at once.
    UnansweredFreed,
}

/// The model.
#[derive(Debug)]
pub struct JobsModel {
    ticks: u8,
    fault: Option<JobsFault>,
}

/// What stands in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Record {
    /// Worker and number of the present run.
    placed: Option<(u8, u8)>,
    run: u8,
    is_done: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Owner {
    /// Its token; 0 while it owns nothing.
    token: u8,
    confirmed_ms: u64,
    view: Record,
    leases: [Lease; 2],
    has_seen_end: bool,
    is_suspended: bool,
    was_suspended: bool,
    /// Time that its clock has missed, in milliseconds.
    missed_ms: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Worker {
    highest_token: u8,
    highest_run: u8,
    /// Run and end of its lease on the worker's clock.
    running: Option<(u8, u64)>,
    /// Run that ended well, and end of its lease on the worker's clock: an end that is noted
    /// later than that doesn't count.
    ended: Option<(u8, u64)>,
}

/// An order to start the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    worker: u8,
    token: u8,
    run: u8,
    until_ms: u64,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JobsState {
    tick: u8,
    claims: u8,
    /// Epoch below which the store refuses appends.
    fence: u8,
    record: Record,
    owners: [Owner; 2],
    workers: [Worker; 2],
    orders: BTreeSet<Order>,
    is_noted: bool,
    has_started_after_end: bool,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum JobsAction {
    /// Time passes.
    Tick,
    /// An owner is suspended.
    Suspend(u8),
    /// A suspended owner goes on.
    Resume(u8),
    /// A process claims the shard, fences the earlier owner and reads the records.
    Claim(u8),
    /// An owner places the task on a worker and makes that durable.
    Place(u8, u8),
    /// An owner orders the start.
    Send(u8),
    /// A worker carries out an order.
    Deliver(Order),
    /// An owner looks at a worker, which renews the lease.
    Look(u8, u8),
    /// The task ends well on a worker.
    Finish(u8),
    /// An owner makes the end durable.
    RecordEnd(u8),
    /// An owner acknowledges the end to a worker.
    Acknowledge(u8, u8),
    /// An owner frees the task, because the lease of its worker has ended.
    Free(u8),
}

impl fmt::Display for JobsAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a second passes"),
            Self::Suspend(owner) => write!(f, "process {owner} is suspended"),
            Self::Resume(owner) => write!(f, "process {owner} goes on"),
            Self::Claim(owner) => write!(f, "process {owner} claims the shard"),
            Self::Place(owner, worker) => write!(f, "process {owner} places on worker {worker}"),
            Self::Send(owner) => write!(f, "process {owner} orders the start"),
            Self::Deliver(order) => write!(
                f,
                "worker {} carries out run {} under token {}, until {} ms",
                order.worker, order.run, order.token, order.until_ms
            ),
            Self::Look(owner, worker) => write!(f, "process {owner} looks at worker {worker}"),
            Self::Finish(worker) => write!(f, "the task ends on worker {worker}"),
            Self::RecordEnd(owner) => write!(f, "process {owner} makes the end durable"),
            Self::Acknowledge(owner, worker) => {
                write!(f, "process {owner} acknowledges to worker {worker}")
            }
            Self::Free(owner) => write!(f, "process {owner} frees the task"),
        }
    }
}

impl JobsModel {
    /// Creates a model in which some ticks pass.
    #[must_use]
    pub const fn new(ticks: u8) -> Self {
        Self { ticks, fault: None }
    }

    /// Leaves out a rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: JobsFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has(&self, fault: JobsFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the time on an owner's clock in milliseconds.
    fn owner_ms(&self, state: &JobsState, owner: &Owner) -> u64 {
        let missed_ms = if self.has(JobsFault::SuspensionMissed) {
            owner.missed_ms
        } else {
            0
        };
        state.now_ms() - missed_ms
    }

    fn may_act(&self, state: &JobsState, owner: &Owner) -> bool {
        owner.token > 0
            && !owner.is_suspended
            && self.owner_ms(state, owner) <= owner.confirmed_ms + ACTS_MS
    }

    fn owner_actions(&self, state: &JobsState, index: u8, actions: &mut Vec<JobsAction>) {
        let owner = &state.owners[usize::from(index)];
        if owner.is_suspended {
            actions.push(JobsAction::Resume(index));
            return;
        }
        if owner.token == 0 {
            if state.claims < MAX_CLAIMS && state.claims == index {
                actions.push(JobsAction::Claim(index));
            }
            return;
        }
        if !owner.was_suspended && index == SUSPENDABLE {
            actions.push(JobsAction::Suspend(index));
        }
        let view = owner.view;
        if owner.has_seen_end && !view.is_done {
            actions.push(JobsAction::RecordEnd(index));
        }
        let has_ended = view.is_done || owner.has_seen_end;
        let is_free = view.placed.is_none() && !has_ended && view.run < MAX_RUNS;
        if is_free {
            // The first run goes to the worker whose clock runs slow, the second to the other.
            actions.push(JobsAction::Place(index, 1 - view.run));
        }
        if let Some((worker, _)) = view.placed {
            let lease = owner.leases[usize::from(worker)];
            let is_over = lease.is_over(self.owner_ms(state, owner));
            if is_over || self.has(JobsFault::UnansweredFreed) {
                actions.push(JobsAction::Free(index));
            }
        }
        if !self.may_act(state, owner) {
            return;
        }
        if view.placed.is_some() && state.orders.len() < MAX_ORDERS {
            actions.push(JobsAction::Send(index));
        }
        for worker in [0, 1] {
            let seen = &state.workers[usize::from(worker)];
            let is_news = owner.token > seen.highest_token
                || seen.running.is_some()
                || (seen.ended.is_some() && !owner.has_seen_end);
            if is_news {
                actions.push(JobsAction::Look(index, worker));
            }
            let may_acknowledge =
                view.is_done || (owner.has_seen_end && self.has(JobsFault::AcknowledgedEarly));
            if may_acknowledge && state.workers[usize::from(worker)].ended.is_some() {
                actions.push(JobsAction::Acknowledge(index, worker));
            }
        }
    }

    fn claim(&self, state: &mut JobsState, index: u8) {
        let now_ms = state.now_ms();
        state.claims += 1;
        let token = if self.has(JobsFault::TokenStays) {
            1
        } else {
            state.claims
        };
        state.fence = token;
        let mut leases = [Lease::new(); 2];
        for (worker, lease) in leases.iter_mut().enumerate() {
            lease.read_clock(worker_ms(worker, state.tick), now_ms);
            if state.claims > 1 {
                lease.inherit(now_ms + ACTS_MS + LONGEST_LEASE_MS);
            }
        }
        let owner = &mut state.owners[usize::from(index)];
        owner.token = token;
        owner.confirmed_ms = now_ms - owner.missed_ms_if(self.has(JobsFault::SuspensionMissed));
        owner.view = state.record;
        owner.leases = leases;
        owner.has_seen_end = false;
    }

    fn send(&self, state: &mut JobsState, index: u8) {
        let now_ms = self.owner_ms(state, &state.owners[usize::from(index)]);
        let owner = &mut state.owners[usize::from(index)];
        let Some((worker, run)) = owner.view.placed else {
            return;
        };
        if let Some(until_ms) = owner.leases[usize::from(worker)].extend(now_ms, LEASE_MS) {
            state.orders.insert(Order {
                worker,
                token: owner.token,
                run,
                until_ms,
            });
        }
    }

    fn look(&self, state: &mut JobsState, index: u8, number: u8) {
        let now_ms = self.owner_ms(state, &state.owners[usize::from(index)]);
        let clock_ms = worker_ms(usize::from(number), state.tick);
        let owner = &mut state.owners[usize::from(index)];
        let worker = &mut state.workers[usize::from(number)];
        if owner.token < worker.highest_token {
            owner.token = 0;
            return;
        }
        worker.highest_token = owner.token;
        let lease = &mut owner.leases[usize::from(number)];
        lease.read_clock(clock_ms, now_ms);
        lease.adopt();
        if let Some((_, until_ms)) = &mut worker.running
            && let Some(longer_ms) = lease.extend(now_ms, LEASE_MS)
        {
            *until_ms = longer_ms.max(*until_ms);
        }
        owner.has_seen_end |= worker.ended.is_some();
    }

    /// Appends under an owner's epoch; an owner that is fenced loses the shard.
    fn append(&self, state: &mut JobsState, index: u8, change: impl Fn(&mut Record)) {
        let now_ms = self.owner_ms(state, &state.owners[usize::from(index)]);
        let owner = &mut state.owners[usize::from(index)];
        if owner.token < state.fence {
            owner.token = 0;
            return;
        }
        change(&mut state.record);
        owner.view = state.record;
        owner.confirmed_ms = now_ms;
    }
}

impl Owner {
    const fn missed_ms_if(&self, counts: bool) -> u64 {
        if counts { self.missed_ms } else { 0 }
    }
}

impl JobsState {
    fn now_ms(&self) -> u64 {
        u64::from(self.tick) * TICK_MS
    }

    fn tick(&mut self) {
        self.tick += 1;
        for owner in self.owners.iter_mut().filter(|owner| owner.is_suspended) {
            owner.missed_ms += TICK_MS;
        }
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let clock_ms = worker_ms(index, self.tick);
            worker.running = worker.running.filter(|(_, until_ms)| clock_ms < *until_ms);
        }
    }

    fn deliver(&mut self, order: Order) {
        self.orders.remove(&order);
        let clock_ms = worker_ms(usize::from(order.worker), self.tick);
        let worker = &mut self.workers[usize::from(order.worker)];
        if order.token < worker.highest_token {
            return;
        }
        worker.highest_token = order.token;
        if order.run <= worker.highest_run || order.until_ms <= clock_ms {
            return;
        }
        worker.highest_run = order.run;
        worker.running = Some((order.run, order.until_ms));
        self.has_started_after_end |= self.is_noted;
    }

    /// Drops the orders that can't have an effect any more, so that fewer states differ.
    fn drop_idle_orders(&mut self) {
        let (workers, tick) = (self.workers, self.tick);
        self.orders.retain(|order| {
            let worker = workers[usize::from(order.worker)];
            let clock_ms = worker_ms(usize::from(order.worker), tick);
            let starts = order.run > worker.highest_run && order.until_ms > clock_ms;
            order.token > worker.highest_token || (order.token == worker.highest_token && starts)
        });
    }

    fn finish(&mut self, number: u8) {
        let worker = &mut self.workers[usize::from(number)];
        worker.ended = worker.running.take();
    }
}

/// Returns a worker's clock in milliseconds.
fn worker_ms(worker: usize, tick: u8) -> u64 {
    u64::from(tick) * TICK_MS * RATES[worker] / 1_000
}

impl Model for JobsModel {
    type State = JobsState;
    type Action = JobsAction;

    fn initial_state(&self) -> JobsState {
        JobsState {
            tick: 0,
            claims: 0,
            fence: 0,
            record: Record::default(),
            owners: [Owner::default(); 2],
            workers: [Worker::default(); 2],
            orders: BTreeSet::new(),
            is_noted: false,
            has_started_after_end: false,
        }
    }

    fn actions(&self, state: &JobsState) -> Vec<JobsAction> {
        let mut actions = Vec::new();
        if state.tick < self.ticks {
            actions.push(JobsAction::Tick);
        }
        for index in [0, 1] {
            self.owner_actions(state, index, &mut actions);
            if state.workers[usize::from(index)].running.is_some() {
                actions.push(JobsAction::Finish(index));
            }
        }
        actions.extend(state.orders.iter().copied().map(JobsAction::Deliver));
        actions
    }

    fn next_state(&self, state: &JobsState, action: &JobsAction) -> JobsState {
        let mut state = state.clone();
        match *action {
            JobsAction::Tick => state.tick(),
            JobsAction::Suspend(index) => {
                let owner = &mut state.owners[usize::from(index)];
                owner.is_suspended = true;
                owner.was_suspended = true;
            }
            JobsAction::Resume(index) => state.owners[usize::from(index)].is_suspended = false,
            JobsAction::Claim(index) => self.claim(&mut state, index),
            JobsAction::Place(index, worker) => self.append(&mut state, index, |record| {
                record.run += 1;
                record.placed = Some((worker, record.run));
            }),
            JobsAction::Send(index) => self.send(&mut state, index),
            JobsAction::Deliver(order) => state.deliver(order),
            JobsAction::Look(index, worker) => self.look(&mut state, index, worker),
            JobsAction::Finish(worker) => state.finish(worker),
            JobsAction::RecordEnd(index) => self.append(&mut state, index, |record| {
                record.is_done = true;
                record.placed = None;
            }),
            JobsAction::Acknowledge(_, worker) => {
                let clock_ms = worker_ms(usize::from(worker), state.tick);
                let ended = state.workers[usize::from(worker)].ended.take();
                state.is_noted |= ended.is_some_and(|(_, until_ms)| clock_ms < until_ms);
            }
            JobsAction::Free(index) => {
                self.append(&mut state, index, |record| record.placed = None);
            }
        }
        state.drop_idle_orders();
        state
    }

    fn check_invariants(&self, state: &JobsState) -> Result<(), Violation> {
        let violation = |invariant, observed: &str| {
            Err(Violation {
                invariant,
                observed: observed.to_owned(),
            })
        };
        if state.workers.iter().all(|worker| worker.running.is_some()) {
            return violation("a task runs on one worker at a time", "both workers run it");
        }
        if state.is_noted && !state.record.is_done {
            return violation(
                "an end is durable before it is acknowledged",
                "the store doesn't know the end",
            );
        }
        if state.has_started_after_end {
            return violation("a task that is done doesn't start again", "it started");
        }
        Ok(())
    }
}
