//! Model of one task with two workers and two shard owners: fencing tokens, leases, late start
//! commands, ends of runs and suspended owners.
//!
//! The owners use the same [`Lease`] as the process. Time passes in ticks, and the clock of the
//! second worker is slow. A start command that was sent may be executed at any later time or never.
//! Owner 0 may be suspended once, at any time, and doesn't notice it.

use std::collections::BTreeSet;
use std::fmt;

use cyclamentrail_jobs::Lease;

use crate::explore::{Model, Violation};

/// Length of a tick in milliseconds.
const TICK_MS: u64 = 1_000;
/// Length of a lease in milliseconds; shorter than a tick, so that few ticks are needed.
const LEASE_MS: u64 = 900;
/// Time in milliseconds after its last confirmed append for which an owner may act.
const OWNER_ACTS_MS: u64 = 900;
/// Longest duration of a lease on the slowest worker clock, in milliseconds of true time.
const LONGEST_LEASE_MS: u64 = LEASE_MS * 41 / 40 + 1;
/// Rate of each worker's clock, in thousandths of true time.
const CLOCK_RATES: [u64; 2] = [1_000, 980];
/// Largest number of runs of the task.
const MAX_RUNS: u8 = 2;
/// Largest number of claims of the shard.
const MAX_CLAIMS: u8 = 2;
/// Largest number of start commands in flight.
const MAX_COMMANDS: usize = 2;
/// Index of the owner that may be suspended.
const SUSPENDABLE_OWNER: u8 = 0;

/// Rule of the jobs protocol that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobsFault {
    /// A claim gets the fencing token of the claim before.
    TokenReused,
    /// The end of a run is acknowledged to the worker before the store has it.
    AcknowledgedEarly,
    /// The clock of an owner doesn't advance while the owner is suspended.
    SuspensionNotCounted,
    /// A task is freed and placed elsewhere before the lease of its unconfirmed start has ended.
    UnansweredStartFreed,
}

/// Model of the placement of one task.
#[derive(Debug)]
pub struct JobsModel {
    /// Largest number of ticks that pass.
    max_ticks: u8,
    fault: Option<JobsFault>,
}

/// Record of the task in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct TaskRecord {
    /// Worker and number of the current run; `None` while the task is placed nowhere.
    placement: Option<(u8, u8)>,
    /// Number of the latest run; 0 before the first.
    run: u8,
    is_done: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Owner {
    /// Fencing token of the owner's claim; 0 while it doesn't own the shard.
    token: u8,
    /// Time of the latest confirmed append or claim on the owner's clock, in milliseconds.
    confirmed_ms: u64,
    /// Record of the task as of the owner's latest claim or append.
    known_record: TaskRecord,
    leases: [Lease; 2],
    /// Whether a poll since the owner's claim has reported the end of a run.
    has_seen_end: bool,
    is_suspended: bool,
    /// Whether the owner was ever suspended; it is suspended at most once.
    was_suspended: bool,
    /// Total time for which the owner was suspended, in milliseconds.
    missed_ms: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Worker {
    /// Highest fencing token in a command or poll that the worker has received.
    highest_token: u8,
    /// Number of the latest run that the worker has started.
    highest_run: u8,
    /// Number of the current run, and the end of its lease on the worker's clock in milliseconds.
    running: Option<(u8, u64)>,
    /// Number of the run that ended successfully, and the end of its lease on the worker's clock in
    /// milliseconds. An acknowledgement after that time doesn't count.
    ended: Option<(u8, u64)>,
}

/// Command of an owner to a worker to start the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartCommand {
    /// Index of the worker.
    worker: u8,
    /// Fencing token of the owner.
    token: u8,
    /// Number of the run.
    run: u8,
    /// End of the run's lease on the worker's clock, in milliseconds.
    until_ms: u64,
}

/// State of the store, the owners, the workers and the commands in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JobsState {
    tick: u8,
    /// Number of claims of the shard so far.
    claims: u8,
    /// Smallest fencing token with which the store accepts appends.
    fence: u8,
    record: TaskRecord,
    owners: [Owner; 2],
    workers: [Worker; 2],
    /// Start commands in flight.
    commands: BTreeSet<StartCommand>,
    /// Whether the end of a run was acknowledged to its worker before the run's lease ended.
    is_end_acknowledged: bool,
    /// Whether a worker has started the task after the end of a run was acknowledged.
    has_started_after_end: bool,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum JobsAction {
    /// A tick passes.
    Tick,
    /// An owner is suspended.
    Suspend(u8),
    /// A suspended owner continues.
    Resume(u8),
    /// A process claims the shard, fences the earlier owner and reads the record of the task.
    Claim(u8),
    /// An owner (first index) places the task on a worker (second index) and stores the placement.
    PlaceTask(u8, u8),
    /// An owner sends a start command to the worker on which the task is placed.
    SendStart(u8),
    /// A worker executes a start command, or rejects it if its token, run or lease is too old.
    ExecuteCommand(StartCommand),
    /// An owner (first index) polls a worker (second index) and renews the lease of its run.
    PollWorker(u8, u8),
    /// The run on a worker ends successfully.
    EndRun(u8),
    /// An owner stores the end of the run.
    RecordEnd(u8),
    /// An owner (first index) acknowledges the end of the run to a worker (second index).
    Acknowledge(u8, u8),
    /// An owner frees the task because the lease of its worker has ended.
    FreeTask(u8),
}

impl fmt::Display for JobsAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a second passes"),
            Self::Suspend(owner) => write!(f, "process {owner} is suspended"),
            Self::Resume(owner) => write!(f, "process {owner} resumes"),
            Self::Claim(owner) => write!(f, "process {owner} claims the shard"),
            Self::PlaceTask(owner, worker) => {
                write!(f, "process {owner} places the task on worker {worker}")
            }
            Self::SendStart(owner) => write!(f, "process {owner} sends a start command"),
            Self::ExecuteCommand(command) => write!(
                f,
                "worker {} executes the start of run {} under token {}, leased until {} ms",
                command.worker, command.run, command.token, command.until_ms
            ),
            Self::PollWorker(owner, worker) => {
                write!(f, "process {owner} polls worker {worker}")
            }
            Self::EndRun(worker) => write!(f, "the task ends on worker {worker}"),
            Self::RecordEnd(owner) => write!(f, "process {owner} stores the end"),
            Self::Acknowledge(owner, worker) => {
                write!(f, "process {owner} acknowledges the end to worker {worker}")
            }
            Self::FreeTask(owner) => write!(f, "process {owner} frees the task"),
        }
    }
}

impl JobsModel {
    /// Creates a model in which at most `max_ticks` ticks pass.
    #[must_use]
    pub const fn new(max_ticks: u8) -> Self {
        Self {
            max_ticks,
            fault: None,
        }
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub const fn with_fault(mut self, fault: JobsFault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Returns whether the model omits the rule.
    fn has_fault(&self, fault: JobsFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the time on an owner's clock in milliseconds.
    fn owner_ms(&self, state: &JobsState, owner: &Owner) -> u64 {
        let missed_ms = if self.has_fault(JobsFault::SuspensionNotCounted) {
            owner.missed_ms
        } else {
            0
        };
        state.now_ms() - missed_ms
    }

    /// Returns whether an owner may act by its own clock, without a new confirmation.
    fn may_act(&self, state: &JobsState, owner: &Owner) -> bool {
        owner.token > 0
            && !owner.is_suspended
            && self.owner_ms(state, owner) <= owner.confirmed_ms + OWNER_ACTS_MS
    }

    /// Adds the steps that an owner may take.
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
        if !owner.was_suspended && index == SUSPENDABLE_OWNER {
            actions.push(JobsAction::Suspend(index));
        }
        let known = owner.known_record;
        if owner.has_seen_end && !known.is_done {
            actions.push(JobsAction::RecordEnd(index));
        }
        let has_ended = known.is_done || owner.has_seen_end;
        let is_free = known.placement.is_none() && !has_ended && known.run < MAX_RUNS;
        if is_free {
            // The first run is placed on the worker whose clock is slow, the second on the other.
            actions.push(JobsAction::PlaceTask(index, 1 - known.run));
        }
        if let Some((worker, _)) = known.placement {
            let lease = owner.leases[usize::from(worker)];
            let is_over = lease.is_expired(self.owner_ms(state, owner));
            if is_over || self.has_fault(JobsFault::UnansweredStartFreed) {
                actions.push(JobsAction::FreeTask(index));
            }
        }
        if !self.may_act(state, owner) {
            return;
        }
        if known.placement.is_some() && state.commands.len() < MAX_COMMANDS {
            actions.push(JobsAction::SendStart(index));
        }
        for worker in [0, 1] {
            let worker_state = &state.workers[usize::from(worker)];
            let poll_has_effect = owner.token > worker_state.highest_token
                || worker_state.running.is_some()
                || (worker_state.ended.is_some() && !owner.has_seen_end);
            if poll_has_effect {
                actions.push(JobsAction::PollWorker(index, worker));
            }
            let may_acknowledge = known.is_done
                || (owner.has_seen_end && self.has_fault(JobsFault::AcknowledgedEarly));
            if may_acknowledge && state.workers[usize::from(worker)].ended.is_some() {
                actions.push(JobsAction::Acknowledge(index, worker));
            }
        }
    }

    /// Makes a process the owner of the shard and fences the owner before it.
    fn claim(&self, state: &mut JobsState, index: u8) {
        let now_ms = state.now_ms();
        state.claims += 1;
        let token = if self.has_fault(JobsFault::TokenReused) {
            1
        } else {
            state.claims
        };
        state.fence = token;
        let mut leases = [Lease::new(); 2];
        for (worker, lease) in leases.iter_mut().enumerate() {
            lease.record_clock(worker_ms(worker, state.tick), now_ms);
            if state.claims > 1 {
                lease.inherit(now_ms + OWNER_ACTS_MS + LONGEST_LEASE_MS);
            }
        }
        let owner = &mut state.owners[usize::from(index)];
        owner.token = token;
        owner.confirmed_ms =
            now_ms - owner.missed_ms_if(self.has_fault(JobsFault::SuspensionNotCounted));
        owner.known_record = state.record;
        owner.leases = leases;
        owner.has_seen_end = false;
    }

    /// Sends a start command with an extended lease to the worker on which the task is placed.
    fn send_start(&self, state: &mut JobsState, index: u8) {
        let now_ms = self.owner_ms(state, &state.owners[usize::from(index)]);
        let owner = &mut state.owners[usize::from(index)];
        let Some((worker, run)) = owner.known_record.placement else {
            return;
        };
        if let Some(until_ms) = owner.leases[usize::from(worker)].extend(now_ms, LEASE_MS) {
            state.commands.insert(StartCommand {
                worker,
                token: owner.token,
                run,
                until_ms,
            });
        }
    }

    /// Polls a worker: renews the lease of the worker's run and fetches the end of a run. An owner
    /// whose token the worker rejects loses the shard.
    fn poll_worker(&self, state: &mut JobsState, index: u8, number: u8) {
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
        lease.record_clock(clock_ms, now_ms);
        lease.drop_inherited();
        if let Some((_, until_ms)) = &mut worker.running
            && let Some(longer_ms) = lease.extend(now_ms, LEASE_MS)
        {
            *until_ms = longer_ms.max(*until_ms);
        }
        owner.has_seen_end |= worker.ended.is_some();
    }

    /// Changes the stored record with the owner's fencing token; an owner that is fenced loses the
    /// shard.
    fn append(&self, state: &mut JobsState, index: u8, change: impl Fn(&mut TaskRecord)) {
        let now_ms = self.owner_ms(state, &state.owners[usize::from(index)]);
        let owner = &mut state.owners[usize::from(index)];
        if owner.token < state.fence {
            owner.token = 0;
            return;
        }
        change(&mut state.record);
        owner.known_record = state.record;
        owner.confirmed_ms = now_ms;
    }
}

impl Owner {
    /// Returns the time that the owner's clock has missed if it doesn't count suspensions, in
    /// milliseconds.
    const fn missed_ms_if(&self, is_not_counted: bool) -> u64 {
        if is_not_counted { self.missed_ms } else { 0 }
    }
}

impl JobsState {
    fn now_ms(&self) -> u64 {
        u64::from(self.tick) * TICK_MS
    }

    /// Advances the time and ends the runs whose leases have ended.
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

    /// Executes a start command on its worker, which rejects old tokens, old runs and ended leases.
    fn execute_command(&mut self, command: StartCommand) {
        self.commands.remove(&command);
        let clock_ms = worker_ms(usize::from(command.worker), self.tick);
        let worker = &mut self.workers[usize::from(command.worker)];
        if command.token < worker.highest_token {
            return;
        }
        worker.highest_token = command.token;
        if command.run <= worker.highest_run || command.until_ms <= clock_ms {
            return;
        }
        worker.highest_run = command.run;
        worker.running = Some((command.run, command.until_ms));
        self.has_started_after_end |= self.is_end_acknowledged;
    }

    /// Drops the commands that can no longer have an effect, so that fewer states differ.
    fn drop_ineffective_commands(&mut self) {
        let (workers, tick) = (self.workers, self.tick);
        self.commands.retain(|command| {
            let worker = workers[usize::from(command.worker)];
            let clock_ms = worker_ms(usize::from(command.worker), tick);
            let starts = command.run > worker.highest_run && command.until_ms > clock_ms;
            command.token > worker.highest_token
                || (command.token == worker.highest_token && starts)
        });
    }

    fn end_run(&mut self, number: u8) {
        let worker = &mut self.workers[usize::from(number)];
        worker.ended = worker.running.take();
    }
}

/// Returns a worker's clock in milliseconds.
fn worker_ms(worker: usize, tick: u8) -> u64 {
    u64::from(tick) * TICK_MS * CLOCK_RATES[worker] / 1_000
}

impl Model for JobsModel {
    type State = JobsState;
    type Action = JobsAction;

    fn initial_state(&self) -> JobsState {
        JobsState {
            tick: 0,
            claims: 0,
            fence: 0,
            record: TaskRecord::default(),
            owners: [Owner::default(); 2],
            workers: [Worker::default(); 2],
            commands: BTreeSet::new(),
            is_end_acknowledged: false,
            has_started_after_end: false,
        }
    }

    fn actions(&self, state: &JobsState) -> Vec<JobsAction> {
        let mut actions = Vec::new();
        if state.tick < self.max_ticks {
            actions.push(JobsAction::Tick);
        }
        for index in [0, 1] {
            self.owner_actions(state, index, &mut actions);
            if state.workers[usize::from(index)].running.is_some() {
                actions.push(JobsAction::EndRun(index));
            }
        }
        actions.extend(
            state
                .commands
                .iter()
                .copied()
                .map(JobsAction::ExecuteCommand),
        );
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
            JobsAction::PlaceTask(index, worker) => self.append(&mut state, index, |record| {
                record.run += 1;
                record.placement = Some((worker, record.run));
            }),
            JobsAction::SendStart(index) => self.send_start(&mut state, index),
            JobsAction::ExecuteCommand(command) => state.execute_command(command),
            JobsAction::PollWorker(index, worker) => self.poll_worker(&mut state, index, worker),
            JobsAction::EndRun(worker) => state.end_run(worker),
            JobsAction::RecordEnd(index) => self.append(&mut state, index, |record| {
                record.is_done = true;
                record.placement = None;
            }),
            JobsAction::Acknowledge(_, worker) => {
                let clock_ms = worker_ms(usize::from(worker), state.tick);
                let ended = state.workers[usize::from(worker)].ended.take();
                state.is_end_acknowledged |= ended.is_some_and(|(_, until_ms)| clock_ms < until_ms);
            }
            JobsAction::FreeTask(index) => {
                self.append(&mut state, index, |record| record.placement = None);
            }
        }
        state.drop_ineffective_commands();
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
        if state.is_end_acknowledged && !state.record.is_done {
            return violation(
                "the end of a run is stored before it is acknowledged",
                "the store doesn't have the end",
            );
        }
        if state.has_started_after_end {
            return violation("a finished task doesn't start again", "it started");
        }
        Ok(())
    }
}
