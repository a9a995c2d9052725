//! Model of the revocation of an API key: a process that can't confirm that its configuration is the
//! newest serves no call that needs a key (docs/design/authentication.md).
//!
//! The store is one register of the configuration, with and without the key. Processes read it with
//! calls that the store may answer at any later time; an answer may be lost, late or overtaken by a
//! later one. A process may be suspended and restarted. Time passes in ticks, and a process's clock
//! may miss some. A call is answered at the tick at which it is sent: one that is answered later was
//! sent earlier, which the bound allows.

use std::collections::BTreeSet;
use std::fmt;

use crate::explore::{Model, Violation};

/// Bound in ticks, for which a revoked key may be served after the store's acknowledgement.
const BOUND: u8 = 3;
/// Margin in ticks, by which a process ends its service before the bound.
const MARGIN: u8 = 1;

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevocationFault {
    /// The age of the configuration isn't checked.
    NoCheck,
    /// The age is checked only when a configuration is read.
    CheckedAtReads,
    /// The age is counted from the arrival of the answer instead of the sending of the read.
    CountedFromAnswer,
    /// The clock of a process doesn't advance while the process is suspended.
    SuspensionNotCounted,
    /// A restarted process uses the configuration of its earlier incarnation and counts it as
    /// confirmed at its start.
    ConfirmedByStart,
    /// A process goes back to an older configuration that a late answer holds.
    OlderAnswerTaken,
    /// An operator's change is acknowledged before it is in the store.
    AcknowledgedEarly,
    /// Without a configuration, calls are served without a look at their key.
    ServedWithoutConfiguration,
}

/// Model of processes that serve calls with one key.
#[derive(Debug)]
pub struct RevocationModel {
    processes: usize,
    max_ticks: u8,
    /// Largest number of reads in flight of a process.
    max_reads: usize,
    max_missed_ticks: u8,
    fault: Option<RevocationFault>,
}

/// Configuration that a process has or that an answer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Configuration {
    WithKey,
    WithoutKey,
}

/// Read of the configuration, in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Read {
    /// Time of sending on the clock of the process.
    sent: u8,
    /// Answer of the store, on its way.
    answer: Option<Configuration>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Process {
    configuration: Option<Configuration>,
    /// Time at which the latest read that succeeded was sent, on the clock of the process.
    confirmed: Option<u8>,
    reads: BTreeSet<Read>,
    is_suspended: bool,
    /// Number of ticks that the clock has missed.
    missed_ticks: u8,
    has_restarted: bool,
    /// Result of the latest check of the age, kept only if it is made at reads.
    has_passed: bool,
}

/// State of the store, the processes and the reads in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RevocationState {
    tick: u8,
    stored: Configuration,
    /// Tick at which the store acknowledged the configuration without the key.
    acknowledged: Option<u8>,
    processes: Vec<Process>,
    /// Whether a process has gone back to an older configuration within one incarnation.
    has_reverted: bool,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum RevocationAction {
    /// A tick passes.
    Tick,
    /// A tick passes, which the clock of the process with this index misses.
    MissedTick(usize),
    /// The store takes the configuration without the key.
    Revoke,
    /// The store acknowledges the configuration without the key.
    Acknowledge,
    /// A process sends a read.
    SendRead(usize),
    /// The store answers a read of a process.
    AnswerRead(usize, Read),
    /// A process gets the answer to a read.
    ReceiveAnswer(usize, Read),
    /// A read of a process fails: it is refused, cut off, or given up.
    FailRead(usize, Read),
    /// A process is suspended.
    Suspend(usize),
    /// A suspended process continues.
    Resume(usize),
    /// A process ends and starts again.
    Restart(usize),
}

impl fmt::Display for RevocationAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a tick passes"),
            Self::MissedTick(process) => {
                write!(
                    f,
                    "a tick passes, which the clock of process {process} misses"
                )
            }
            Self::Revoke => write!(f, "the store takes the configuration without the key"),
            Self::Acknowledge => write!(f, "the store acknowledges it"),
            Self::SendRead(process) => write!(f, "process {process} sends a read"),
            Self::AnswerRead(process, read) => write!(
                f,
                "the store answers the read that process {process} sent at {}",
                read.sent
            ),
            Self::ReceiveAnswer(process, read) => write!(
                f,
                "process {process} gets the answer to the read sent at {}",
                read.sent
            ),
            Self::FailRead(process, read) => write!(
                f,
                "the read that process {process} sent at {} fails",
                read.sent
            ),
            Self::Suspend(process) => write!(f, "process {process} is suspended"),
            Self::Resume(process) => write!(f, "process {process} continues"),
            Self::Restart(process) => write!(f, "process {process} restarts"),
        }
    }
}

impl RevocationModel {
    /// Creates a model with a number of processes, each with at most two reads in flight, in which
    /// `max_ticks` ticks pass.
    #[must_use]
    pub const fn new(processes: usize, max_ticks: u8) -> Self {
        Self {
            processes,
            max_ticks,
            max_reads: 2,
            max_missed_ticks: 0,
            fault: None,
        }
    }

    /// Lets each process have one read in flight.
    #[must_use]
    pub const fn single_reads(mut self) -> Self {
        self.max_reads = 1;
        self
    }

    /// Sets the number of ticks that the clock of a process may miss while it runs.
    #[must_use]
    pub const fn max_missed_ticks(mut self, ticks: u8) -> Self {
        self.max_missed_ticks = ticks;
        self
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: RevocationFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: RevocationFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns whether a process knows at this tick that its configuration was the newest recently.
    fn is_confirmed(process: &Process, tick: u8) -> bool {
        process
            .confirmed
            .is_some_and(|confirmed| process.clock(tick) - confirmed <= BOUND - MARGIN)
    }

    /// Returns whether a process answers a call with the key with success, at this tick.
    fn serves(&self, process: &Process, tick: u8) -> bool {
        let is_confirmed = match self.fault {
            Some(RevocationFault::NoCheck) => true,
            Some(RevocationFault::CheckedAtReads) => process.has_passed,
            _ => Self::is_confirmed(process, tick),
        };
        match process.configuration {
            Some(configuration) => is_confirmed && configuration == Configuration::WithKey,
            None => self.has_fault(RevocationFault::ServedWithoutConfiguration),
        }
    }

    /// Lets a process take the answer to a read.
    fn receive(&self, state: &mut RevocationState, index: usize, read: Read) {
        let tick = state.tick;
        let process = &mut state.processes[index];
        process.reads.remove(&read);
        let Some(answer) = read.answer else {
            return;
        };
        let taken = if self.has_fault(RevocationFault::OlderAnswerTaken) {
            Some(answer)
        } else {
            process.configuration.max(Some(answer))
        };
        state.has_reverted |= taken < process.configuration;
        process.configuration = taken;
        let confirmed = if self.has_fault(RevocationFault::CountedFromAnswer) {
            process.clock(tick)
        } else {
            read.sent
        };
        process.confirmed = process.confirmed.max(Some(confirmed));
        if self.has_fault(RevocationFault::CheckedAtReads) {
            process.has_passed = Self::is_confirmed(process, tick);
        }
    }

    /// Lets a process start again.
    fn restart(&self, state: &mut RevocationState, index: usize) {
        let tick = state.tick;
        let process = &mut state.processes[index];
        let mut started = Process {
            has_restarted: true,
            missed_ticks: process.missed_ticks,
            ..Process::default()
        };
        if self.has_fault(RevocationFault::ConfirmedByStart) {
            started.configuration = process.configuration;
            started.confirmed = Some(process.clock(tick));
        }
        *process = started;
    }

    /// Adds the steps of a process and of its reads.
    fn process_actions(
        &self,
        state: &RevocationState,
        index: usize,
        actions: &mut Vec<RevocationAction>,
    ) {
        let process = &state.processes[index];
        for &read in &process.reads {
            if read.answer.is_none() {
                actions.push(RevocationAction::AnswerRead(index, read));
            }
            if !process.is_suspended {
                actions.push(RevocationAction::FailRead(index, read));
                if read.answer.is_some() {
                    actions.push(RevocationAction::ReceiveAnswer(index, read));
                }
            }
        }
        if process.is_suspended {
            actions.push(RevocationAction::Resume(index));
            return;
        }
        actions.push(RevocationAction::Suspend(index));
        if process.reads.len() < self.max_reads {
            actions.push(RevocationAction::SendRead(index));
        }
        if !process.has_restarted {
            actions.push(RevocationAction::Restart(index));
        }
        if state.tick < self.max_ticks && process.missed_ticks < self.max_missed_ticks {
            actions.push(RevocationAction::MissedTick(index));
        }
    }

    /// Lets a tick pass; suspended processes miss it only if their clocks don't count suspension.
    fn tick(&self, state: &mut RevocationState) {
        state.tick += 1;
        if self.has_fault(RevocationFault::SuspensionNotCounted) {
            for process in &mut state.processes {
                process.missed_ticks += u8::from(process.is_suspended);
            }
        }
    }
}

impl Process {
    /// Returns the time on the clock of the process.
    const fn clock(&self, tick: u8) -> u8 {
        tick - self.missed_ticks
    }
}

impl Model for RevocationModel {
    type State = RevocationState;
    type Action = RevocationAction;

    fn initial_state(&self) -> RevocationState {
        RevocationState {
            tick: 0,
            stored: Configuration::WithKey,
            acknowledged: None,
            processes: vec![Process::default(); self.processes],
            has_reverted: false,
        }
    }

    fn actions(&self, state: &RevocationState) -> Vec<RevocationAction> {
        let mut actions = Vec::new();
        if state.tick < self.max_ticks {
            actions.push(RevocationAction::Tick);
        }
        let is_stored = state.stored == Configuration::WithoutKey;
        if !is_stored {
            actions.push(RevocationAction::Revoke);
        }
        let may_acknowledge = is_stored || self.has_fault(RevocationFault::AcknowledgedEarly);
        if state.acknowledged.is_none() && may_acknowledge {
            actions.push(RevocationAction::Acknowledge);
        }
        for index in 0..self.processes {
            self.process_actions(state, index, &mut actions);
        }
        actions
    }

    fn next_state(&self, state: &RevocationState, action: &RevocationAction) -> RevocationState {
        let mut state = state.clone();
        match *action {
            RevocationAction::Tick => self.tick(&mut state),
            RevocationAction::MissedTick(index) => {
                self.tick(&mut state);
                state.processes[index].missed_ticks += 1;
            }
            RevocationAction::Revoke => state.stored = Configuration::WithoutKey,
            RevocationAction::Acknowledge => state.acknowledged = Some(state.tick),
            RevocationAction::SendRead(index) => {
                let process = &mut state.processes[index];
                let sent = process.clock(state.tick);
                process.reads.insert(Read { sent, answer: None });
            }
            RevocationAction::AnswerRead(index, read) => {
                let reads = &mut state.processes[index].reads;
                reads.remove(&read);
                let answer = Some(state.stored);
                reads.insert(Read { answer, ..read });
            }
            RevocationAction::ReceiveAnswer(index, read) => self.receive(&mut state, index, read),
            RevocationAction::FailRead(index, read) => {
                state.processes[index].reads.remove(&read);
            }
            RevocationAction::Suspend(index) => state.processes[index].is_suspended = true,
            RevocationAction::Resume(index) => state.processes[index].is_suspended = false,
            RevocationAction::Restart(index) => self.restart(&mut state, index),
        }
        state
    }

    fn check_invariants(&self, state: &RevocationState) -> Result<(), Violation> {
        if state.has_reverted {
            return Err(Violation {
                invariant: "a process never goes back to an older configuration",
                observed: String::from("it has the key again"),
            });
        }
        let Some(acknowledged) = state.acknowledged else {
            return Ok(());
        };
        let is_late = state.tick > acknowledged + BOUND;
        let mut running = state.processes.iter().filter(|it| !it.is_suspended);
        if is_late && running.any(|process| self.serves(process, state.tick)) {
            return Err(Violation {
                invariant: "no call sent later than the bound is served with a revoked key",
                observed: format!(
                    "revoked at {acknowledged}, served at {} with a bound of {BOUND}",
                    state.tick
                ),
            });
        }
        Ok(())
    }
}
