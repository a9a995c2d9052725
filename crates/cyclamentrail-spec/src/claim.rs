//! Model of idempotency keys: a request that reaches several entries runs at most once.
//!
//! Each entry has a caller that sends the same request with the same key. An entry claims the key.
//! Once it has folded its accepted claim, it either runs the request or reports "not run" to its
//! caller. A pause is modelled as an entry that takes no steps for a while.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Claim, Fleet};

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, incarnation, key_digest, to_u8};
use crate::site;

/// Model of entries that claim the same idempotency key.
#[derive(Debug)]
pub struct ClaimModel {
    fold_cache: FoldCache,
    entries: u8,
    /// Largest number of records in the log.
    max_log: usize,
}

/// State of the log and of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimState {
    log: Vec<ModelRecord>,
    /// Entries by number.
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    /// Number of records of the log that the entry has folded.
    folded_len: usize,
    /// Sequence number of the latest record that the entry wrote.
    sequence: u8,
    /// Number of requests that the caller of this entry has sent.
    requests: u8,
    /// Number of "not run" reports to the caller.
    not_run_reports: u8,
    /// Number of times that this entry has run the request.
    runs: u8,
    /// Offset of the entry's latest claim under which it ran the request or reported "not run".
    last_handled_claim: Option<u8>,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum ClaimAction {
    /// An entry appends a record.
    Append(ModelRecord),
    /// A copy of the record at this index of the log is appended.
    AppendCopy(usize),
    /// The entry with this number folds the next record of the log.
    FoldNext(u8),
    /// An entry runs the request under its claim.
    RunRequest {
        /// Number of the entry.
        entry: u8,
        /// Offset of the entry's claim in the log.
        claim: u8,
    },
    /// An entry reports "not run" to its caller.
    ReportNotRun {
        /// Number of the entry.
        entry: u8,
        /// Offset of the entry's claim in the log.
        claim: u8,
    },
}

impl fmt::Display for ClaimAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            Self::AppendCopy(index) => write!(f, "a copy of record {index} is appended"),
            Self::FoldNext(entry) => write!(f, "entry {entry} folds a record"),
            Self::RunRequest { entry, claim } => {
                write!(f, "entry {entry} runs the request under claim {claim}")
            }
            Self::ReportNotRun { entry, claim } => {
                write!(f, "entry {entry} reports \"not run\" under claim {claim}")
            }
        }
    }
}

impl ClaimModel {
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

    /// Returns the fleet that results from the records that an entry has folded.
    fn folded_fleet(&self, state: &ClaimState, entry: u8) -> Rc<Fleet> {
        self.fold_cache
            .fleet_after(&state.log[..state.entries[usize::from(entry)].folded_len])
    }

    /// Returns whether a record would take effect at the end of the log.
    fn takes_effect(&self, state: &ClaimState, record: ModelRecord) -> bool {
        let mut log = state.log.clone();
        log.push(record);
        self.fold_cache.is_last_accepted(&log)
    }

    /// Adds the steps that an entry may take.
    fn entry_actions(&self, state: &ClaimState, number: u8, actions: &mut Vec<ClaimAction>) {
        let entry = state.entries[usize::from(number)];
        if entry.folded_len < state.log.len() {
            actions.push(ClaimAction::FoldNext(number));
        }
        let fleet = self.folded_fleet(state, number);
        let claim = fleet.claims().get(&key_digest());
        let own = claim.filter(|claim| claim.owner == incarnation(number));
        if let Some(claim) = own.filter(|claim| is_unhandled(claim, entry)) {
            let claim = to_u8(claim.offset.get());
            actions.push(ClaimAction::RunRequest {
                entry: number,
                claim,
            });
            actions.push(ClaimAction::ReportNotRun {
                entry: number,
                claim,
            });
        }
        if state.log.len() >= self.max_log {
            return;
        }
        let body = match (claim, own) {
            (None, _) => Some(ModelBody::ClaimKey),
            (_, Some(claim)) if entry.last_handled_claim == Some(to_u8(claim.offset.get())) => {
                Some(claim_end(claim, entry))
            }
            _ => None,
        };
        let record = body.map(|body| ModelRecord {
            author: number,
            sequence: entry.sequence + 1,
            tick: 0,
            body,
        });
        let effective = record.filter(|&record| self.takes_effect(state, record));
        actions.extend(effective.map(ClaimAction::Append));
    }
}

/// Returns whether an entry has neither run the request nor reported "not run" under its claim.
fn is_unhandled(claim: &Claim, entry: Entry) -> bool {
    claim.outcome.is_none() && entry.last_handled_claim != Some(to_u8(claim.offset.get()))
}

/// Returns the record that ends an entry's handled claim: finished if the entry ever ran the
/// request, released otherwise.
fn claim_end(claim: &Claim, entry: Entry) -> ModelBody {
    let claim = to_u8(claim.offset.get());
    if entry.runs > 0 {
        ModelBody::FinishClaim { claim }
    } else {
        ModelBody::ReleaseClaim { claim }
    }
}

impl Model for ClaimModel {
    type State = ClaimState;
    type Action = ClaimAction;

    fn initial_state(&self) -> ClaimState {
        let entry = Entry {
            folded_len: 0,
            sequence: site::START_SEQUENCE,
            requests: 0,
            not_run_reports: 0,
            runs: 0,
            last_handled_claim: None,
        };
        ClaimState {
            log: Vec::new(),
            entries: vec![entry; usize::from(self.entries)],
        }
    }

    fn actions(&self, state: &ClaimState) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for number in 0..self.entries {
            self.entry_actions(state, number, &mut actions);
        }
        if state.log.len() < self.max_log {
            let copies =
                (0..state.log.len()).filter(|&index| self.takes_effect(state, state.log[index]));
            actions.extend(copies.map(ClaimAction::AppendCopy));
        }
        actions
    }

    fn next_state(&self, state: &ClaimState, action: &ClaimAction) -> ClaimState {
        let mut state = state.clone();
        match *action {
            ClaimAction::Append(record) => {
                let entry = &mut state.entries[usize::from(record.author)];
                entry.sequence = record.sequence;
                entry.requests += u8::from(record.body == ModelBody::ClaimKey);
                state.log.push(record);
            }
            ClaimAction::AppendCopy(index) => {
                let record = state.log[index];
                state.log.push(record);
            }
            ClaimAction::FoldNext(entry) => state.entries[usize::from(entry)].folded_len += 1,
            ClaimAction::RunRequest { entry, claim } => {
                let entry = &mut state.entries[usize::from(entry)];
                entry.runs += 1;
                entry.last_handled_claim = Some(claim);
            }
            ClaimAction::ReportNotRun { entry, claim } => {
                let entry = &mut state.entries[usize::from(entry)];
                entry.not_run_reports += 1;
                entry.last_handled_claim = Some(claim);
            }
        }
        state
    }

    fn check_invariants(&self, state: &ClaimState) -> Result<(), Violation> {
        let runs: u8 = state.entries.iter().map(|entry| entry.runs).sum();
        if runs > 1 {
            return Err(Violation {
                invariant: "a request runs at most once",
                observed: format!("it ran {runs} times"),
            });
        }
        let is_false_not_run =
            |entry: &Entry| entry.runs > 0 && entry.runs + entry.not_run_reports > entry.requests;
        if state.entries.iter().any(is_false_not_run) {
            return Err(Violation {
                invariant: "a request that was reported as \"not run\" doesn't run",
                observed: String::from("it ran"),
            });
        }
        Ok(())
    }
}
