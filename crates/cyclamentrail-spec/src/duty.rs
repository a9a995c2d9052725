//! Model of the fleet duty: several entries may claim it at the same time, and records of a stale
//! holder have no effect.
//!
//! Each entry claims the duty, or begins a drain if it is the holder, based on the prefix of the
//! log that it has folded. A paused holder is an entry that folds no further records.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, InstanceState};

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, incarnation, to_u8};
use crate::site;

/// Model of entries that claim the fleet duty and drain the instance.
#[derive(Debug)]
pub struct DutyModel {
    fold_cache: FoldCache,
    entries: u8,
    /// Largest number of records in the log.
    max_log: usize,
}

/// State of the log and of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutyState {
    /// Records of the log, each with the number of records that its author had folded.
    log: Vec<(ModelRecord, usize)>,
    /// Entries by number.
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    /// Number of records of the log that the entry has folded.
    folded_len: usize,
    /// Sequence number of the latest record that the entry wrote.
    sequence: u8,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum DutyAction {
    /// An entry appends a record.
    Append(ModelRecord),
    /// A copy of the record at this index of the log is appended.
    AppendCopy(usize),
    /// The entry with this number folds the next record of the log.
    FoldNext(u8),
}

impl fmt::Display for DutyAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            Self::AppendCopy(index) => write!(f, "a copy of record {index} is appended"),
            Self::FoldNext(entry) => write!(f, "entry {entry} folds a record"),
        }
    }
}

impl DutyModel {
    /// Creates a model with `entries` entries and a log of at most `max_log` records.
    #[must_use]
    pub fn new(entries: u8, max_log: usize) -> Self {
        Self {
            fold_cache: FoldCache::new(entries, 1, None),
            entries,
            max_log,
        }
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fold_cache = FoldCache::new(self.entries, 1, Some(fault));
        self
    }

    /// Returns the fleet that results from the first `length` records.
    fn fleet_after(&self, state: &DutyState, length: usize) -> Rc<Fleet> {
        self.fold_cache.fleet_after(&state.records(length))
    }
}

impl DutyState {
    /// Returns the first `length` records of the log.
    fn records(&self, length: usize) -> Vec<ModelRecord> {
        self.log[..length]
            .iter()
            .map(|(record, _)| *record)
            .collect()
    }
}

/// Returns the records that an entry may write, given the fleet that it has folded.
fn possible_bodies(fleet: &Fleet, entry: u8) -> Vec<ModelBody> {
    let mut bodies = vec![ModelBody::ClaimDuty {
        presumes: to_u8(fleet.duty().term.get()),
    }];
    let serving_instance = fleet
        .instance(&site::instance_name())
        .filter(|instance| instance.state == InstanceState::Serving);
    if let Some(instance) = serving_instance
        && fleet.duty().holder == Some(incarnation(entry))
    {
        bodies.push(ModelBody::BeginDrain {
            presumes: to_u8(instance.version.get()),
        });
    }
    bodies
}

impl Model for DutyModel {
    type State = DutyState;
    type Action = DutyAction;

    fn initial_state(&self) -> DutyState {
        let entry = Entry {
            folded_len: 0,
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
            if entry.folded_len < state.log.len() {
                actions.push(DutyAction::FoldNext(number));
            }
            if state.log.len() >= self.max_log {
                continue;
            }
            let fleet = self.fleet_after(state, entry.folded_len);
            actions.extend(possible_bodies(&fleet, number).into_iter().map(|body| {
                DutyAction::Append(ModelRecord {
                    author: number,
                    sequence: entry.sequence + 1,
                    tick: 0,
                    body,
                })
            }));
        }
        if state.log.len() < self.max_log {
            actions.extend((0..state.log.len()).map(DutyAction::AppendCopy));
        }
        actions
    }

    fn next_state(&self, state: &DutyState, action: &DutyAction) -> DutyState {
        let mut state = state.clone();
        match *action {
            DutyAction::Append(record) => {
                let entry = &mut state.entries[usize::from(record.author)];
                entry.sequence = record.sequence;
                state.log.push((record, entry.folded_len));
            }
            DutyAction::AppendCopy(index) => {
                let copy = state.log[index];
                state.log.push(copy);
            }
            DutyAction::FoldNext(entry) => state.entries[usize::from(entry)].folded_len += 1,
        }
        state
    }

    fn check_invariants(&self, state: &DutyState) -> Result<(), Violation> {
        let Some(&(last, author_folded)) = state.log.last() else {
            return Ok(());
        };
        let length = state.log.len();
        if !self.fold_cache.is_last_accepted(&state.records(length)) {
            return Ok(());
        }
        let fleet_before = self.fleet_after(state, length - 1);
        let author_fleet = self.fleet_after(state, author_folded);
        let was_stale = match last.body {
            ModelBody::ClaimDuty { .. } => fleet_before.duty() != author_fleet.duty(),
            _ => {
                fleet_before.instance(&site::instance_name())
                    != author_fleet.instance(&site::instance_name())
            }
        };
        if was_stale {
            return Err(Violation {
                invariant: "a record takes effect only on the state that its author had folded",
                observed: format!("{last} took effect on a newer state"),
            });
        }
        Ok(())
    }
}
