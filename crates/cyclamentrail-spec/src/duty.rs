//! The fleet duty: any number of entries may claim it at once, and a stale holder has no effect.
//!
//! Each entry claims the duty or begins a drain as the holder, on whatever prefix of the log it
//! has folded. A paused holder is one that reads no further.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, InstanceState};

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, incarnation, small};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

/// The model.
#[derive(Debug)]
pub struct DutyModel {
    folds: Folds,
    entries: u8,
    max_log: usize,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutyState {
    /// Records, each with the prefix that its author had folded.
    log: Vec<(Logged, usize)>,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    view: usize,
    sequence: u8,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum DutyAction {
    /// A record is appended.
    Append(Logged),
    /// A record that was appended before comes a second time.
    Copy(usize),
    /// An entry folds the next record of the log.
    Read(u8),
}

impl fmt::Display for DutyAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            Self::Copy(index) => write!(f, "a copy of record {index} is appended"),
            Self::Read(entry) => write!(f, "entry {entry} folds a record"),
        }
    }
}

impl DutyModel {
    /// Creates a model of some entries whose log takes `max_log` records.
    #[must_use]
    pub fn new(entries: u8, max_log: usize) -> Self {
        Self {
            folds: Folds::new(entries, 1, None),
            entries,
            max_log,
        }
    }

    /// Leaves out a rule.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.folds = Folds::new(self.entries, 1, Some(fault));
        self
    }

    fn fleet(&self, state: &DutyState, length: usize) -> Rc<Fleet> {
        self.folds.fleet(&state.records(length))
    }
}

impl DutyState {
    fn records(&self, length: usize) -> Vec<Logged> {
        self.log[..length]
            .iter()
            .map(|(logged, _)| *logged)
            .collect()
    }
}

fn facts(fleet: &Fleet, entry: u8) -> Vec<Fact> {
    let mut facts = vec![Fact::Claim {
        presumes: small(fleet.duty().term.get()),
    }];
    let serving = fleet
        .instance(&site::instance())
        .filter(|instance| instance.state == InstanceState::Serving);
    if let Some(instance) = serving
        && fleet.duty().holder == Some(incarnation(entry))
    {
        facts.push(Fact::Drain {
            presumes: small(instance.version.get()),
        });
    }
    facts
}

impl Model for DutyModel {
    type State = DutyState;
    type Action = DutyAction;

    fn start(&self) -> DutyState {
        let entry = Entry {
            view: 0,
            sequence: site::START_SEQUENCE,
        };
        DutyState {
            log: Vec::new(),
            entries: vec![entry; usize::from(self.entries)],
        }
    }

    fn actions(&self, state: &DutyState) -> Vec<DutyAction> {
        let mut actions = Vec::new();
        for number in 0..self.entries {
            let entry = state.entries[usize::from(number)];
            if entry.view < state.log.len() {
                actions.push(DutyAction::Read(number));
            }
            if state.log.len() >= self.max_log {
                continue;
            }
            let fleet = self.fleet(state, entry.view);
            actions.extend(facts(&fleet, number).into_iter().map(|fact| {
                DutyAction::Append(Logged {
                    author: number,
                    sequence: entry.sequence + 1,
                    at: 0,
                    fact,
                })
            }));
        }
        if state.log.len() < self.max_log {
            actions.extend((0..state.log.len()).map(DutyAction::Copy));
        }
        actions
    }

    fn next(&self, state: &DutyState, action: &DutyAction) -> DutyState {
        let mut state = state.clone();
        match *action {
            DutyAction::Append(logged) => {
                let entry = &mut state.entries[usize::from(logged.author)];
                entry.sequence = logged.sequence;
                state.log.push((logged, entry.view));
            }
            DutyAction::Copy(index) => {
                let copy = state.log[index];
                state.log.push(copy);
            }
            DutyAction::Read(entry) => state.entries[usize::from(entry)].view += 1,
        }
        state
    }

    fn check(&self, state: &DutyState) -> Result<(), Violation> {
        let Some(&(last, seen)) = state.log.last() else {
            return Ok(());
        };
        let length = state.log.len();
        if !self.folds.accepts(&state.records(length)) {
            return Ok(());
        }
        let before = self.fleet(state, length - 1);
        let known = self.fleet(state, seen);
        let is_behind = match last.fact {
            Fact::Claim { .. } => before.duty() != known.duty(),
            _ => before.instance(&site::instance()) != known.instance(&site::instance()),
        };
        if is_behind {
            return Err(Violation {
                invariant: "a record takes effect only on the state that its author knew",
                seen: format!("{last} took effect on another state"),
            });
        }
        Ok(())
    }
}
