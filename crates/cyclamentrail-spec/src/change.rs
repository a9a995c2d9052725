//! Model of settings changes: one of several conflicting changes by operators takes effect, and no
//! accepted change silently reverts another.
//!
//! Each entry passes on changes of its operator, based on the prefix of the log that it has folded.
//! At any step an entry may adopt the state of a peer, which also models an entry that is replaced
//! by one that starts from that peer.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::Fleet;

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, to_u8};
use crate::site;

/// Model of entries that change the settings concurrently.
#[derive(Debug)]
pub struct ChangeModel {
    fold_cache: FoldCache,
    fault: Option<Fault>,
    entries: u8,
    /// Largest number of records in the log.
    max_log: usize,
}

/// State of the log and of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ChangeState {
    log: Vec<ModelRecord>,
    /// Entries by number.
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    /// Number of records of the log that the entry has folded.
    folded_len: usize,
    /// Newest version of the settings that the entry ever had in force.
    newest_version: u8,
    /// Sequence number of the latest record that the entry wrote.
    sequence: u8,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum ChangeAction {
    /// An entry appends a change of the settings.
    Append(ModelRecord),
    /// A copy of the record at this index of the log is appended.
    AppendCopy(usize),
    /// The entry with this number folds the next record of the log.
    FoldNext(u8),
    /// An entry replaces its state by that of a peer.
    AdoptState {
        /// Number of the entry that adopts the state.
        to: u8,
        /// Number of the peer.
        from: u8,
    },
}

impl fmt::Display for ChangeAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            Self::AppendCopy(index) => write!(f, "a copy of record {index} is appended"),
            Self::FoldNext(entry) => write!(f, "entry {entry} folds a record"),
            Self::AdoptState { to, from } => {
                write!(f, "entry {to} adopts the state of entry {from}")
            }
        }
    }
}

impl ChangeModel {
    /// Creates a model with `entries` entries and a log of at most `max_log` records.
    #[must_use]
    pub fn new(entries: u8, max_log: usize) -> Self {
        Self {
            fold_cache: FoldCache::new(entries, 1, None),
            fault: None,
            entries,
            max_log,
        }
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fold_cache = FoldCache::new(self.entries, 1, Some(fault));
        self.fault = Some(fault);
        self
    }

    /// Returns the fleet that results from the records that an entry has folded.
    fn folded_fleet(&self, state: &ChangeState, entry: u8) -> Rc<Fleet> {
        self.fold_cache
            .fleet_after(&state.log[..state.entries[usize::from(entry)].folded_len])
    }

    /// Raises the newest version of an entry to the version that it has in force now.
    fn update_newest_version(&self, state: &mut ChangeState, entry: u8) {
        let version = settings_version(&self.folded_fleet(state, entry));
        let entry = &mut state.entries[usize::from(entry)];
        entry.newest_version = entry.newest_version.max(version);
    }

    /// Checks that each accepted change presumes the version of the settings that it replaced.
    fn check_changes(&self, state: &ChangeState) -> Result<(), Violation> {
        for length in 1..=state.log.len() {
            let ModelBody::ChangeSettings { presumes, .. } = state.log[length - 1].body else {
                continue;
            };
            let version_before =
                settings_version(&self.fold_cache.fleet_after(&state.log[..length - 1]));
            if self.fold_cache.is_last_accepted(&state.log[..length]) && presumes != version_before
            {
                return Err(Violation {
                    invariant: "an accepted change replaces the version that it presumes",
                    observed: format!(
                        "{} replaced version {version_before}",
                        state.log[length - 1]
                    ),
                });
            }
        }
        Ok(())
    }
}

/// Returns the version of the settings in force; 0 without settings.
fn settings_version(fleet: &Fleet) -> u8 {
    fleet
        .settings()
        .map_or(0, |settings| to_u8(settings.version.get()))
}

impl Model for ChangeModel {
    type State = ChangeState;
    type Action = ChangeAction;

    fn initial_state(&self) -> ChangeState {
        let entry = Entry {
            folded_len: 0,
            newest_version: 1,
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
            if entry.folded_len < state.log.len() {
                actions.push(ChangeAction::FoldNext(number));
            }
            for from in (0..self.entries).filter(|&from| from != number) {
                let peer_folded = state.entries[usize::from(from)].folded_len;
                let adopts_older =
                    self.fault == Some(Fault::NoStateOrder) && peer_folded < entry.folded_len;
                if peer_folded > entry.folded_len || adopts_older {
                    actions.push(ChangeAction::AdoptState { to: number, from });
                }
            }
            if state.log.len() < self.max_log {
                actions.push(ChangeAction::Append(ModelRecord {
                    author: number,
                    sequence: entry.sequence + 1,
                    tick: 0,
                    body: ModelBody::ChangeSettings {
                        presumes: settings_version(&self.folded_fleet(state, number)),
                        value: number + 1,
                    },
                }));
            }
        }
        if state.log.len() < self.max_log {
            actions.extend((0..state.log.len()).map(ChangeAction::AppendCopy));
        }
        actions
    }

    fn next_state(&self, state: &ChangeState, action: &ChangeAction) -> ChangeState {
        let mut state = state.clone();
        match *action {
            ChangeAction::Append(record) => {
                state.entries[usize::from(record.author)].sequence = record.sequence;
                state.log.push(record);
            }
            ChangeAction::AppendCopy(index) => {
                let record = state.log[index];
                state.log.push(record);
            }
            ChangeAction::FoldNext(entry) => {
                state.entries[usize::from(entry)].folded_len += 1;
                self.update_newest_version(&mut state, entry);
            }
            ChangeAction::AdoptState { to, from } => {
                state.entries[usize::from(to)].folded_len =
                    state.entries[usize::from(from)].folded_len;
                self.update_newest_version(&mut state, to);
            }
        }
        state
    }

    fn check_invariants(&self, state: &ChangeState) -> Result<(), Violation> {
        for number in 0..self.entries {
            let in_force = settings_version(&self.folded_fleet(state, number));
            let newest = state.entries[usize::from(number)].newest_version;
            if in_force < newest {
                return Err(Violation {
                    invariant: "settings in force never revert",
                    observed: format!("entry {number} went from version {newest} to {in_force}"),
                });
            }
        }
        self.check_changes(state)
    }
}
