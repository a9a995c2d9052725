//! Settings: racing operators, one of whom wins, and nothing accepted that reverts.
//!
//! Each entry passes on changes of its operator, made on whatever prefix of the log it has folded.
//! An entry is replaced at any step by one that starts from the log or from any peer.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::Fleet;

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, small};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

/// The model.
#[derive(Debug)]
pub struct ChangeModel {
    folds: Folds,
    fault: Option<Fault>,
    entries: u8,
    max_log: usize,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ChangeState {
    log: Vec<Logged>,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    view: usize,
    /// Newest version of the settings that it had in force.
    version: u8,
    sequence: u8,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum ChangeAction {
    /// A change is appended.
    Append(Logged),
    /// A record that was appended before comes a second time.
    Copy(usize),
    /// An entry folds the next record of the log.
    Read(u8),
    /// An entry takes the state of a peer.
    Take {
        /// The entry.
        to: u8,
        /// The peer.
        from: u8,
    },
}

impl fmt::Display for ChangeAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            Self::Copy(index) => write!(f, "a copy of record {index} is appended"),
            Self::Read(entry) => write!(f, "entry {entry} folds a record"),
            Self::Take { to, from } => write!(f, "entry {to} takes the state of {from}"),
        }
    }
}

impl ChangeModel {
    /// Creates a model of some entries whose log takes `max_log` records.
    #[must_use]
    pub fn new(entries: u8, max_log: usize) -> Self {
        Self {
            folds: Folds::new(entries, 1, None),
            fault: None,
            entries,
            max_log,
        }
    }

    /// Leaves out a rule.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.folds = Folds::new(self.entries, 1, Some(fault));
        self.fault = Some(fault);
        self
    }

    fn view(&self, state: &ChangeState, entry: u8) -> Rc<Fleet> {
        self.folds
            .fleet(&state.log[..state.entries[usize::from(entry)].view])
    }

    fn note_version(&self, state: &mut ChangeState, entry: u8) {
        let version = version(&self.view(state, entry));
        let entry = &mut state.entries[usize::from(entry)];
        entry.version = entry.version.max(version);
    }

    /// Checks that each accepted change was made on the settings that it replaced.
    fn check_changes(&self, state: &ChangeState) -> Result<(), Violation> {
        for length in 1..=state.log.len() {
            let Fact::Change { presumes, .. } = state.log[length - 1].fact else {
                continue;
            };
            let before = version(&self.folds.fleet(&state.log[..length - 1]));
            if self.folds.accepts(&state.log[..length]) && presumes != before {
                return Err(Violation {
                    invariant: "nothing accepted reverts unseen",
                    seen: format!("{} replaced version {before}", state.log[length - 1]),
                });
            }
        }
        Ok(())
    }
}

fn version(fleet: &Fleet) -> u8 {
    fleet
        .settings()
        .map_or(0, |settings| small(settings.version.get()))
}

impl Model for ChangeModel {
    type State = ChangeState;
    type Action = ChangeAction;

    fn start(&self) -> ChangeState {
        let entry = Entry {
            view: 0,
            version: 1,
            sequence: site::START_SEQUENCE,
        };
        ChangeState {
            log: Vec::new(),
            entries: vec![entry; usize::from(self.entries)],
        }
    }

    fn actions(&self, state: &ChangeState) -> Vec<ChangeAction> {
        let mut actions = Vec::new();
        for number in 0..self.entries {
            let entry = state.entries[usize::from(number)];
            if entry.view < state.log.len() {
                actions.push(ChangeAction::Read(number));
            }
            for from in (0..self.entries).filter(|&from| from != number) {
                let peer = state.entries[usize::from(from)].view;
                let older = self.fault == Some(Fault::NoOrder) && peer < entry.view;
                if peer > entry.view || older {
                    actions.push(ChangeAction::Take { to: number, from });
                }
            }
            if state.log.len() < self.max_log {
                actions.push(ChangeAction::Append(Logged {
                    author: number,
                    sequence: entry.sequence + 1,
                    at: 0,
                    fact: Fact::Change {
                        presumes: version(&self.view(state, number)),
                        value: number + 1,
                    },
                }));
            }
        }
        if state.log.len() < self.max_log {
            actions.extend((0..state.log.len()).map(ChangeAction::Copy));
        }
        actions
    }

    fn next(&self, state: &ChangeState, action: &ChangeAction) -> ChangeState {
        let mut state = state.clone();
        match *action {
            ChangeAction::Append(logged) => {
                state.entries[usize::from(logged.author)].sequence = logged.sequence;
                state.log.push(logged);
            }
            ChangeAction::Copy(index) => {
                let logged = state.log[index];
                state.log.push(logged);
            }
            ChangeAction::Read(entry) => {
                state.entries[usize::from(entry)].view += 1;
                self.note_version(&mut state, entry);
            }
            ChangeAction::Take { to, from } => {
                state.entries[usize::from(to)].view = state.entries[usize::from(from)].view;
                self.note_version(&mut state, to);
            }
        }
        state
    }

    fn check(&self, state: &ChangeState) -> Result<(), Violation> {
        for number in 0..self.entries {
            let in_force = version(&self.view(state, number));
            let newest = state.entries[usize::from(number)].version;
            if in_force < newest {
                return Err(Violation {
                    invariant: "settings in force never revert",
                    seen: format!("entry {number} went from version {newest} to {in_force}"),
                });
            }
        }
        self.check_changes(state)
    }
}
