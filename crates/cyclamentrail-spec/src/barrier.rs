//! One instance, one pool: a drain ends only when nobody sends to the instance any more.
//!
//! Two members and an entry that joins, from the log or from a lagging peer, take work for the
//! instance and race to move it between two pools. An entry may stop between any two of its
//! steps, for as long as the others take to do all that they can: that is a pause. The log may
//! stop at any step: that is an outage. An append may be lost, or come a second time later.

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, Instance, InstanceState};

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, Pool, incarnation, small};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

/// Members at the start.
const MEMBERS: u8 = 2;

/// The model.
#[derive(Debug)]
pub struct BarrierModel {
    folds: Folds,
    fault: Option<Fault>,
    entries: u8,
    max_log: usize,
    max_copies: u8,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BarrierState {
    log: Vec<Logged>,
    copies: u8,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    /// Records of the log that it has folded.
    view: usize,
    sequence: u8,
    work: Work,
    stopped: bool,
}

/// What an entry does with its one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Work {
    Idle,
    /// It holds a slot of the instance, checked its permission and is about to send.
    Checked(Pool),
    /// The instance works on it.
    Sent(Pool),
}

impl Work {
    const fn sent(self) -> Option<Pool> {
        match self {
            Self::Sent(pool) => Some(pool),
            Self::Idle | Self::Checked(_) => None,
        }
    }
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum BarrierAction {
    /// A record is appended.
    Append(Logged),
    /// An append is lost; its author goes on.
    Lose(Logged),
    /// A record that was appended before comes a second time.
    Copy(usize),
    /// An entry folds the next record of the log.
    Read(u8),
    /// An entry takes the records that a peer has folded.
    Pass {
        /// The entry.
        to: u8,
        /// The peer.
        from: u8,
    },
    /// An entry chooses the instance for a request and checks its permission.
    Choose(u8),
    /// It sends the request.
    Send(u8),
    /// The request ends.
    End(u8),
}

impl fmt::Display for BarrierAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            Self::Lose(logged) => write!(f, "{logged} is lost"),
            Self::Copy(index) => write!(f, "a copy of record {index} is appended"),
            Self::Read(entry) => write!(f, "entry {entry} folds a record"),
            Self::Pass { to, from } => write!(f, "entry {to} takes records of {from}"),
            Self::Choose(entry) => write!(f, "entry {entry} chooses the instance"),
            Self::Send(entry) => write!(f, "entry {entry} sends"),
            Self::End(entry) => write!(f, "entry {entry} ends its request"),
        }
    }
}

impl BarrierModel {
    /// Creates a model whose log takes `max_log` records, `max_copies` of which are copies.
    #[must_use]
    pub fn new(max_log: usize, max_copies: u8) -> Self {
        Self {
            folds: Folds::new(MEMBERS, 1, None),
            fault: None,
            entries: MEMBERS + 1,
            max_log,
            max_copies,
        }
    }

    /// Leaves out the entry that joins.
    #[must_use]
    pub const fn members_only(mut self) -> Self {
        self.entries = MEMBERS;
        self
    }

    /// Leaves out a rule.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.folds = Folds::new(MEMBERS, 1, Some(fault));
        self.fault = Some(fault);
        self
    }

    fn view(&self, state: &BarrierState, entry: u8) -> Rc<Fleet> {
        let view = state.entries[usize::from(entry)].view;
        self.folds.fleet(&state.log[..view])
    }

    fn facts(fleet: &Fleet, entry: u8, work: Work) -> Vec<Fact> {
        if fleet.member(incarnation(entry)).is_none() {
            return if entry < MEMBERS || fleet.has_left(incarnation(entry)) {
                Vec::new()
            } else {
                vec![Fact::Join]
            };
        }
        let Some(instance) = fleet.instance(&site::instance()) else {
            return Vec::new();
        };
        let mut facts = instance_facts(instance, entry, work);
        if entry >= MEMBERS && work == Work::Idle {
            facts.push(Fact::Stop);
        }
        facts
    }

    fn may_dispatch(&self, fleet: &Fleet, entry: u8) -> bool {
        self.fault == Some(Fault::NoPermission) || fleet.member(incarnation(entry)).is_some()
    }

    fn entry_actions(&self, state: &BarrierState, number: u8, actions: &mut Vec<BarrierAction>) {
        let entry = state.entries[usize::from(number)];
        if entry.stopped {
            return;
        }
        let fleet = self.view(state, number);
        if entry.view < state.log.len() {
            actions.push(BarrierAction::Read(number));
        }
        for from in (0..self.entries).filter(|&from| from != number) {
            let takes_older = self.fault == Some(Fault::NoOrder);
            let peer = state.entries[usize::from(from)].view;
            if peer > entry.view + 1 || (takes_older && peer < entry.view) {
                actions.push(BarrierAction::Pass { to: number, from });
            }
        }
        match entry.work {
            Work::Idle if self.may_dispatch(&fleet, number) && serving(&fleet).is_some() => {
                actions.push(BarrierAction::Choose(number));
            }
            Work::Idle => {}
            Work::Checked(_) => actions.push(BarrierAction::Send(number)),
            Work::Sent(_) => actions.push(BarrierAction::End(number)),
        }
        if state.log.len() >= self.max_log {
            return;
        }
        for fact in Self::facts(&fleet, number, entry.work) {
            let logged = Logged {
                author: number,
                sequence: entry.sequence + 1,
                at: 0,
                fact,
            };
            if self.takes_effect(state, logged) {
                actions.push(BarrierAction::Append(logged));
            }
            if fact == Fact::Stop {
                actions.push(BarrierAction::Lose(logged));
            }
        }
    }

    /// Returns whether a record would take effect; one that wouldn't is as good as lost.
    fn takes_effect(&self, state: &BarrierState, logged: Logged) -> bool {
        let mut log = state.log.clone();
        log.push(logged);
        self.folds.accepts(&log)
    }

    /// Lets everybody do what is due, without further faults, and checks that a drain ends.
    fn check_drain_ends(&self, state: &BarrierState) -> Result<(), Violation> {
        let mut log = state.log.clone();
        let mut sequences: Vec<u8> = state.entries.iter().map(|entry| entry.sequence).collect();
        for number in 0..self.entries {
            let fleet = self.folds.fleet(&log);
            let due = fleet
                .instance(&site::instance())
                .and_then(|instance| release(instance, number));
            let Some(fact) = due else { continue };
            if state.entries[usize::from(number)].stopped {
                continue;
            }
            sequences[usize::from(number)] += 1;
            log.push(Logged {
                author: number,
                sequence: sequences[usize::from(number)],
                at: 0,
                fact,
            });
        }
        let fleet = self.folds.fleet(&log);
        let instance = fleet.instance(&site::instance());
        match instance.map(|instance| &instance.state) {
            Some(InstanceState::Draining { awaiting, .. }) if !waits_for_stop(state, awaiting) => {
                Err(Violation {
                    invariant: "a drain ends once faults stop",
                    seen: format!("it waits for {awaiting:?}"),
                })
            }
            _ => Ok(()),
        }
    }
}

/// Returns whether a drain waits for an entry whose stop was lost; an eviction ends that.
fn waits_for_stop(state: &BarrierState, awaiting: &BTreeSet<Incarnation>) -> bool {
    (0..).zip(&state.entries).any(|(number, entry)| {
        entry.stopped && !state.is_stop_logged(number) && awaiting.contains(&incarnation(number))
    })
}

fn serving(fleet: &Fleet) -> Option<Pool> {
    fleet
        .instance(&site::instance())
        .filter(|instance| instance.state == InstanceState::Serving)
        .map(|instance| Pool::of(&instance.pool))
}

fn release(instance: &Instance, entry: u8) -> Option<Fact> {
    match &instance.state {
        InstanceState::Draining {
            drain, awaiting, ..
        } if awaiting.contains(&incarnation(entry)) => Some(Fact::Release {
            drain: small(drain.get()),
        }),
        _ => None,
    }
}

fn instance_facts(instance: &Instance, entry: u8, work: Work) -> Vec<Fact> {
    let presumes = small(instance.version.get());
    match &instance.state {
        InstanceState::Serving => vec![Fact::Drain { presumes }],
        InstanceState::Draining { .. } if work == Work::Idle => {
            release(instance, entry).into_iter().collect()
        }
        InstanceState::Draining { .. } => Vec::new(),
        InstanceState::Drained { .. } => vec![Fact::Assign {
            presumes,
            pool: Pool::of(&instance.pool).other(),
        }],
    }
}

impl Model for BarrierModel {
    type State = BarrierState;
    type Action = BarrierAction;

    fn start(&self) -> BarrierState {
        let entry = Entry {
            view: 0,
            sequence: site::START_SEQUENCE,
            work: Work::Idle,
            stopped: false,
        };
        BarrierState {
            log: Vec::new(),
            copies: 0,
            entries: vec![entry; usize::from(self.entries)],
        }
    }

    fn actions(&self, state: &BarrierState) -> Vec<BarrierAction> {
        let mut actions = Vec::new();
        for number in 0..self.entries {
            self.entry_actions(state, number, &mut actions);
        }
        if state.copies < self.max_copies && state.log.len() < self.max_log {
            let copies = (0..state.log.len()).filter(|&at| self.takes_effect(state, state.log[at]));
            actions.extend(copies.map(BarrierAction::Copy));
        }
        actions
    }

    fn next(&self, state: &BarrierState, action: &BarrierAction) -> BarrierState {
        let mut state = state.clone();
        match *action {
            BarrierAction::Append(logged) => {
                state.log.push(logged);
                state.note_written(logged);
            }
            BarrierAction::Lose(logged) => state.note_written(logged),
            BarrierAction::Copy(index) => {
                let logged = state.log[index];
                state.log.push(logged);
                state.copies += 1;
            }
            BarrierAction::Read(entry) => state.entry(entry).view += 1,
            BarrierAction::Pass { to, from } => {
                state.entry(to).view = state.entries[usize::from(from)].view;
            }
            BarrierAction::Choose(entry) => {
                let pool = serving(&self.view(&state, entry));
                state.entry(entry).work = pool.map_or(Work::Idle, Work::Checked);
            }
            BarrierAction::Send(entry) => {
                let work = &mut state.entry(entry).work;
                if let Work::Checked(pool) = *work {
                    *work = Work::Sent(pool);
                }
            }
            BarrierAction::End(entry) => state.entry(entry).work = Work::Idle,
        }
        state
    }

    fn check(&self, state: &BarrierState) -> Result<(), Violation> {
        let pools: Vec<Pool> = state
            .entries
            .iter()
            .filter_map(|entry| entry.work.sent())
            .collect();
        if pools.contains(&Pool::A) && pools.contains(&Pool::B) {
            return Err(Violation {
                invariant: "an instance works for one pool",
                seen: String::from("it works for both"),
            });
        }
        let fleet = self.folds.fleet(&state.log);
        let instance = fleet.instance(&site::instance());
        let drained = instance
            .is_some_and(|instance| matches!(instance.state, InstanceState::Drained { .. }));
        if drained && !pools.is_empty() {
            return Err(Violation {
                invariant: "a drained instance has nothing in flight",
                seen: format!("{pools:?}"),
            });
        }
        self.check_drain_ends(state)
    }
}

impl BarrierState {
    fn entry(&mut self, number: u8) -> &mut Entry {
        &mut self.entries[usize::from(number)]
    }

    fn is_stop_logged(&self, number: u8) -> bool {
        self.log
            .iter()
            .any(|logged| logged.author == number && logged.fact == Fact::Stop)
    }

    fn note_written(&mut self, logged: Logged) {
        let entry = self.entry(logged.author);
        entry.sequence = entry.sequence.max(logged.sequence);
        entry.stopped |= logged.fact == Fact::Stop;
    }
}
