//! Model of what owners of a shard hand on about a worker that doesn't respond: how long a run may
//! still be under a lease on it, over several takeovers in a row.
//!
//! The owners use the same [`Lease`] as the process. Each process has a boot clock of its own, and
//! the worker's clock is slow. An owner that takes no step is suspended, or killed if it takes none
//! any more; a worker that isn't polled is silent.

use std::collections::BTreeSet;

use cyclamentrail_jobs::Lease;

use crate::explore::{Model, Violation};

mod action;

pub use action::HandoverAction;

/// Length of a tick in milliseconds; an owner rewrites its record once in each.
const TICK_MS: u64 = 1_000;
/// Length of a lease in milliseconds.
const LEASE_MS: u64 = 1_900;
/// Longest duration of a lease on the slowest worker clock, in milliseconds of true time.
const LONGEST_LEASE_MS: u64 = LEASE_MS * 41 / 40 + 1;
/// Time in milliseconds after its last confirmed append for which an owner may act.
const OWNER_ACTS_MS: u64 = 1_000;
/// Rate of the worker's clock, in thousandths of true time.
const WORKER_RATE: u64 = 980;
/// Number of processes, which claim the shard one after the other.
const OWNERS: u8 = 3;
/// Largest number of hold commands in flight.
const MAX_HOLDS: usize = 1;

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverFault {
    /// A lease is granted before the deletion of the record is durable.
    GrantBeforeDeletion,
    /// A record of another incarnation is accepted.
    OtherIncarnation,
    /// The record tells the end on its writer's clock instead of the remaining time.
    AbsoluteEnd,
    /// The record leaves out the leases of earlier owners.
    InheritedLeftOut,
    /// Without a record, a successor doesn't wait.
    MissingMeansEnded,
    /// Without a record, a successor doesn't count the time for which an earlier owner may act.
    OwnerMayActIgnored,
    /// A release tells nothing of the owners before the one that releases.
    ReleaseEndsAll,
    /// A second copy of a record takes effect after later appends.
    LateCopy,
    /// Owners write no record.
    NoRecord,
}

/// Model of one run on a worker that may fall silent.
#[derive(Debug)]
pub struct HandoverModel {
    max_ticks: u8,
    fault: Option<HandoverFault>,
}

/// Record about the worker in the shard's topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    incarnation: u8,
    /// Time until every lease that was ever granted has ended, in milliseconds.
    remaining_ms: u64,
    /// Time of the writing on the writer's clock; kept only for the fault that relies on it.
    written_ms: u64,
}

/// The shard's topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Topic {
    /// Smallest fencing token with which appends are accepted.
    fence: u8,
    record: Option<Record>,
    /// Copy of a record with its token that may still arrive.
    late_copy: Option<(u8, Record)>,
    /// Incarnation of the worker on which the run is placed.
    placed: u8,
    /// Time for which an owner before the last one may still act, in milliseconds, if the last one
    /// released the shard.
    released_active_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Owner {
    /// Fencing token; 0 while the process doesn't own the shard.
    token: u8,
    confirmed_ms: u64,
    /// Incarnation on which the run is placed, as far as the owner knows.
    placed: u8,
    lease: Lease,
    /// Time until which an earlier owner may act, in milliseconds.
    earlier_act_until_ms: u64,
    /// Whether a record for the placed incarnation may stand, so that nothing is granted.
    has_ceased: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Worker {
    incarnation: u8,
    highest_token: u8,
    /// End of the run's lease on the worker's clock; 0 if the run never began.
    until_ms: u64,
}

/// Command to hold the run under a lease, in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HoldCommand {
    token: u8,
    incarnation: u8,
    until_ms: u64,
}

/// State of the topic, the owners, the worker and the commands in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct HandoverState {
    tick: u8,
    claims: u8,
    topic: Topic,
    owners: [Owner; OWNERS as usize],
    worker: Worker,
    holds: BTreeSet<HoldCommand>,
    /// Whether the run was started elsewhere.
    is_moved: bool,
    /// Latest time by which the wait may end, in milliseconds; `None` while leases are granted.
    allowed_end_ms: Option<u64>,
}

impl HandoverModel {
    /// Creates a model in which at most `max_ticks` ticks pass.
    #[must_use]
    pub const fn new(max_ticks: u8) -> Self {
        Self {
            max_ticks,
            fault: None,
        }
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: HandoverFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: HandoverFault) -> bool {
        self.fault == Some(fault)
    }

    /// Adds the steps that an owner may take. Appends of a fenced owner have no effect.
    fn owner_actions(&self, state: &HandoverState, index: u8, actions: &mut Vec<HandoverAction>) {
        let owner = &state.owners[usize::from(index)];
        if state.claims == index && !state.is_moved {
            actions.push(HandoverAction::Claim(index));
        }
        let is_fenced = owner.token < state.topic.fence;
        if state.is_moved && !is_fenced {
            return;
        }
        if !is_fenced && owner.confirmed_ms < state.owner_ms(index) {
            actions.push(HandoverAction::Confirm(index));
        }
        if !state.may_act(index) {
            return;
        }
        let may_grant = !owner.has_ceased || self.has_fault(HandoverFault::GrantBeforeDeletion);
        if !owner.lease_has_clock() {
            actions.push(HandoverAction::Poll(index));
        } else if may_grant && state.holds.len() < MAX_HOLDS {
            actions.push(HandoverAction::SendHold(index));
        }
        if is_fenced {
            return;
        }
        if index + 1 < OWNERS {
            actions.push(HandoverAction::Release(index));
        }
        if owner.lease.is_expired(state.owner_ms(index)) && index > 0 {
            actions.push(HandoverAction::StartElsewhere(index));
        }
        if owner.has_ceased {
            actions.push(HandoverAction::Delete(index));
        } else {
            actions.push(HandoverAction::Cease(index));
        }
        if state.topic.placed < state.worker.incarnation {
            actions.push(HandoverAction::PlaceAgain(index));
        }
    }

    /// Makes a process the owner, which takes the wait over from the topic.
    fn claim(&self, state: &mut HandoverState, index: u8) {
        state.claims += 1;
        let now_ms = state.owner_ms(index);
        let record = state.topic.record.filter(|record| {
            record.incarnation == state.topic.placed
                || self.has_fault(HandoverFault::OtherIncarnation)
        });
        let mut lease = Lease::new();
        let released_active_ms = state.topic.released_active_ms.take();
        let mut active_ms = 0;
        if state.claims > 1 {
            active_ms = released_active_ms.unwrap_or(OWNER_ACTS_MS);
            lease.inherit(self.inherited_end_ms(record, active_ms, now_ms));
        }
        state.topic.fence = state.claims;
        state.allowed_end_ms = state.allowed_end_ms.map(|end_ms| end_ms + TICK_MS);
        state.owners[usize::from(index)] = Owner {
            token: state.claims,
            confirmed_ms: now_ms,
            placed: state.topic.placed,
            lease,
            earlier_act_until_ms: now_ms + active_ms,
            has_ceased: record.is_some(),
        };
    }

    /// Returns when the leases of earlier owners have ended, on the clock of their successor.
    fn inherited_end_ms(&self, record: Option<Record>, active_ms: u64, now_ms: u64) -> u64 {
        match record {
            Some(record) if self.has_fault(HandoverFault::AbsoluteEnd) => {
                record.written_ms + record.remaining_ms
            }
            Some(record) => now_ms + record.remaining_ms,
            None if self.has_fault(HandoverFault::MissingMeansEnded) => 0,
            None if self.has_fault(HandoverFault::OwnerMayActIgnored) => now_ms + LONGEST_LEASE_MS,
            None => now_ms + LONGEST_LEASE_MS + active_ms,
        }
    }

    /// Appends with the owner's token, and rewrites its record if it has one. An owner that is
    /// fenced loses the shard; returns whether the append was accepted.
    fn append(&self, state: &mut HandoverState, index: u8) -> bool {
        let now_ms = state.owner_ms(index);
        let owner = &mut state.owners[usize::from(index)];
        if owner.token < state.topic.fence {
            owner.token = 0;
            return false;
        }
        owner.confirmed_ms = now_ms;
        if owner.has_ceased {
            let mut lease = owner.lease;
            let offset_ms = u64::from(index) * TICK_MS;
            let end_ms = lease.expiry_ms().saturating_sub(offset_ms);
            state.allowed_end_ms.get_or_insert(end_ms);
            if self.has_fault(HandoverFault::InheritedLeftOut) {
                lease.drop_inherited();
            }
            let needs_time = self.has_fault(HandoverFault::AbsoluteEnd);
            let record = Record {
                incarnation: state.topic.placed,
                remaining_ms: lease.expiry_ms().saturating_sub(now_ms),
                written_ms: if needs_time { now_ms } else { 0 },
            };
            if !self.has_fault(HandoverFault::NoRecord) {
                state.topic.record = Some(record);
            }
            if self.has_fault(HandoverFault::LateCopy) {
                state.topic.late_copy = Some((state.topic.fence, record));
            }
        }
        true
    }

    /// Gives the shard up after a last commit.
    fn release(&self, state: &mut HandoverState, index: u8) {
        let now_ms = state.owner_ms(index);
        if self.append(state, index) {
            let act_until_ms = state.owners[usize::from(index)].earlier_act_until_ms;
            let active_ms = if self.has_fault(HandoverFault::ReleaseEndsAll) {
                0
            } else {
                act_until_ms.saturating_sub(now_ms)
            };
            state.topic.released_active_ms = Some(active_ms);
        }
        state.owners[usize::from(index)] = Owner::default();
    }

    /// Deletes the record; the owner grants leases again once the deletion is durable.
    fn delete(&self, state: &mut HandoverState, index: u8) {
        state.owners[usize::from(index)].has_ceased = false;
        if self.append(state, index) {
            state.topic.record = None;
            state.allowed_end_ms = None;
        }
    }

    /// Places the run on the present incarnation. The record of the earlier one stays.
    fn place_again(&self, state: &mut HandoverState, index: u8) {
        state.owners[usize::from(index)].has_ceased = false;
        if self.append(state, index) {
            state.topic.placed = state.worker.incarnation;
            let owner = &mut state.owners[usize::from(index)];
            owner.placed = state.worker.incarnation;
            owner.lease = Lease::new();
            state.allowed_end_ms = None;
        }
    }
}

impl Owner {
    /// Returns whether the owner has read the worker's clock.
    fn lease_has_clock(&self) -> bool {
        let mut lease = self.lease;
        lease.extend(0, 0).is_some()
    }
}

impl HandoverState {
    fn now_ms(&self) -> u64 {
        u64::from(self.tick) * TICK_MS
    }

    /// Returns the time on a process's boot clock, which is ahead of those of earlier owners.
    fn owner_ms(&self, index: u8) -> u64 {
        self.now_ms() + u64::from(index) * TICK_MS
    }

    fn worker_ms(&self) -> u64 {
        self.now_ms() * WORKER_RATE / 1_000
    }

    fn may_act(&self, index: u8) -> bool {
        let owner = &self.owners[usize::from(index)];
        owner.token > 0 && self.owner_ms(index) <= owner.confirmed_ms + OWNER_ACTS_MS
    }

    fn is_running(&self) -> bool {
        self.worker_ms() < self.worker.until_ms
    }

    /// Returns whether the present owner has confirmed its ownership, and so rewritten its record, in
    /// this tick.
    fn is_confirmed(&self) -> bool {
        (0..OWNERS).any(|index| {
            let owner = &self.owners[usize::from(index)];
            owner.token == self.topic.fence && owner.confirmed_ms == self.owner_ms(index)
        })
    }

    fn tick(&mut self) {
        if !self.is_confirmed() {
            self.allowed_end_ms = self.allowed_end_ms.map(|end_ms| end_ms + TICK_MS);
        }
        self.tick += 1;
    }

    fn send_hold(&mut self, index: u8) {
        let now_ms = self.owner_ms(index);
        let owner = &mut self.owners[usize::from(index)];
        self.allowed_end_ms = None;
        if let Some(until_ms) = owner.lease.extend(now_ms, LEASE_MS) {
            self.holds.insert(HoldCommand {
                token: owner.token,
                incarnation: owner.placed,
                until_ms,
            });
        }
    }

    fn execute_hold(&mut self, hold: HoldCommand) {
        self.holds.remove(&hold);
        let worker = &mut self.worker;
        if hold.token >= worker.highest_token && hold.incarnation == worker.incarnation {
            worker.highest_token = hold.token;
            worker.until_ms = worker.until_ms.max(hold.until_ms);
        }
    }

    /// Drops what can have no effect any more, so that fewer states differ.
    fn drop_ineffective(&mut self) {
        let (worker, worker_ms) = (self.worker, self.worker_ms());
        self.holds.retain(|hold| {
            hold.token >= worker.highest_token
                && hold.incarnation == worker.incarnation
                && hold.until_ms > worker_ms.max(worker.until_ms)
        });
        if worker.until_ms <= worker_ms {
            self.worker.until_ms = 0;
        }
        for index in 0..OWNERS {
            self.drop_past_owner(index);
        }
        if self.is_moved {
            let fence = self.topic.fence;
            self.topic = Topic {
                fence,
                ..Topic::default()
            };
            self.allowed_end_ms = None;
        }
    }

    /// Drops what a process knows as far as it can't act on it any more.
    fn drop_past_owner(&mut self, index: u8) {
        let may_act = self.may_act(index);
        let owner = &mut self.owners[usize::from(index)];
        if owner.token == self.topic.fence {
            if self.is_moved {
                *owner = Owner {
                    token: owner.token,
                    ..Owner::default()
                };
            }
        } else if may_act && !owner.has_ceased {
            owner.earlier_act_until_ms = 0;
        } else {
            *owner = Owner::default();
        }
    }

    fn restart_worker(&mut self) {
        self.worker = Worker {
            incarnation: 1,
            ..Worker::default()
        };
    }
}

impl Model for HandoverModel {
    type State = HandoverState;
    type Action = HandoverAction;

    fn initial_state(&self) -> HandoverState {
        HandoverState::default()
    }

    fn actions(&self, state: &HandoverState) -> Vec<HandoverAction> {
        let mut actions = Vec::new();
        if state.tick < self.max_ticks {
            actions.push(HandoverAction::Tick);
        }
        for index in 0..OWNERS {
            self.owner_actions(state, index, &mut actions);
        }
        let holds = state.holds.iter().copied();
        actions.extend(holds.map(HandoverAction::ExecuteHold));
        if state.worker.incarnation == 0 && !state.is_moved {
            actions.push(HandoverAction::Restart);
        }
        if state.topic.late_copy.is_some() {
            actions.push(HandoverAction::CopyRecord);
        }
        actions
    }

    fn next_state(&self, state: &HandoverState, action: &HandoverAction) -> HandoverState {
        let mut state = state.clone();
        match *action {
            HandoverAction::Tick => state.tick(),
            HandoverAction::Claim(index) => self.claim(&mut state, index),
            HandoverAction::Release(index) => {
                self.release(&mut state, index);
            }
            HandoverAction::Confirm(index) => {
                self.append(&mut state, index);
            }
            HandoverAction::Cease(index) => {
                state.owners[usize::from(index)].has_ceased = true;
                self.append(&mut state, index);
            }
            HandoverAction::Delete(index) => self.delete(&mut state, index),
            HandoverAction::Poll(index) => {
                let (worker_ms, now_ms) = (state.worker_ms(), state.owner_ms(index));
                let owner = &mut state.owners[usize::from(index)];
                if owner.token < state.worker.highest_token {
                    owner.token = 0;
                } else {
                    state.worker.highest_token = owner.token;
                    owner.lease.record_clock(worker_ms, now_ms);
                }
            }
            HandoverAction::SendHold(index) => state.send_hold(index),
            HandoverAction::ExecuteHold(hold) => state.execute_hold(hold),
            HandoverAction::StartElsewhere(index) => {
                state.is_moved |= self.append(&mut state, index);
            }
            HandoverAction::PlaceAgain(index) => self.place_again(&mut state, index),
            HandoverAction::Restart => state.restart_worker(),
            HandoverAction::CopyRecord => {
                if let Some((token, record)) = state.topic.late_copy.take()
                    && token >= state.topic.fence
                {
                    state.topic.record = Some(record);
                }
            }
        }
        state.drop_ineffective();
        state
    }

    fn check_invariants(&self, state: &HandoverState) -> Result<(), Violation> {
        if state.is_moved && state.is_running() {
            return Err(Violation {
                invariant: "a run isn't started elsewhere while it may run under a lease",
                observed: format!("it runs until {} ms", state.worker.until_ms),
            });
        }
        for index in 0..OWNERS {
            let owner = &state.owners[usize::from(index)];
            let end_ms = owner.lease.expiry_ms();
            let offset_ms = u64::from(index) * TICK_MS;
            if let Some(allowed_ms) = state.allowed_end_ms
                && owner.token == state.topic.fence
                && end_ms > allowed_ms.max(state.now_ms()) + offset_ms
            {
                return Err(Violation {
                    invariant: "each takeover adds a bounded time to the wait",
                    observed: format!("{} ms instead of {allowed_ms} ms", end_ms - offset_ms),
                });
            }
        }
        Ok(())
    }
}
