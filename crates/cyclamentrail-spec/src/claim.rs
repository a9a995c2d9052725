//! Idempotency keys: a request that reaches several entries runs at most once.
//!
//! Each entry has a caller that sends the same request with the same key. An entry claims the
//! key, and once it has folded that its claim was accepted it runs the request or gives it up and
//! tells its caller "not run". A pause is an entry that takes no steps for a while.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Claim, Fleet};

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, incarnation, key, small};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

/// The model.
#[derive(Debug)]
pub struct ClaimModel {
    folds: Folds,
    entries: u8,
    max_log: usize,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimState {
    log: Vec<Logged>,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    view: usize,
    sequence: u8,
    /// Requests that its caller sent.
    asked: u8,
    /// Requests of its caller that it answered with "not run".
    given_up: u8,
    /// Runs of the request.
    runs: u8,
    /// Offset of the last accepted claim that it acted on.
    handled: Option<u8>,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum ClaimAction {
    /// A record is appended.
    Append(Logged),
    /// A record that was appended before comes a second time.
    Copy(usize),
    /// An entry folds the next record of the log.
    Read(u8),
    /// An entry runs the request under its claim.
    Run {
        /// The entry.
        entry: u8,
        /// Offset of the claim.
        claim: u8,
    },
    /// An entry tells its caller "not run".
    GiveUp {
        /// The entry.
        entry: u8,
        /// Offset of the claim.
        claim: u8,
    },
}

impl fmt::Display for ClaimAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            Self::Copy(index) => write!(f, "a copy of record {index} is appended"),
            Self::Read(entry) => write!(f, "entry {entry} folds a record"),
            Self::Run { entry, claim } => write!(f, "entry {entry} runs claim {claim}"),
            Self::GiveUp { entry, claim } => {
                write!(f, "entry {entry} gives claim {claim} up")
            }
        }
    }
}

impl ClaimModel {
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

    fn view(&self, state: &ClaimState, entry: u8) -> Rc<Fleet> {
        self.folds
            .fleet(&state.log[..state.entries[usize::from(entry)].view])
    }

    fn takes_effect(&self, state: &ClaimState, logged: Logged) -> bool {
        let mut log = state.log.clone();
        log.push(logged);
        self.folds.accepts(&log)
    }

    fn entry_actions(&self, state: &ClaimState, number: u8, actions: &mut Vec<ClaimAction>) {
        let entry = state.entries[usize::from(number)];
        if entry.view < state.log.len() {
            actions.push(ClaimAction::Read(number));
        }
        let view = self.view(state, number);
        let claim = view.claims().get(&key());
        let own = claim.filter(|claim| claim.owner == incarnation(number));
        if let Some(claim) = own.filter(|claim| is_open(claim, entry)) {
            let claim = small(claim.offset.get());
            actions.push(ClaimAction::Run {
                entry: number,
                claim,
            });
            actions.push(ClaimAction::GiveUp {
                entry: number,
                claim,
            });
        }
        if state.log.len() >= self.max_log {
            return;
        }
        let fact = match (claim, own) {
            (None, _) => Some(Fact::KeyClaim),
            (_, Some(claim)) if entry.handled == Some(small(claim.offset.get())) => {
                Some(end(claim, entry))
            }
            _ => None,
        };
        let logged = fact.map(|fact| Logged {
            author: number,
            sequence: entry.sequence + 1,
            at: 0,
            fact,
        });
        let effective = logged.filter(|&logged| self.takes_effect(state, logged));
        actions.extend(effective.map(ClaimAction::Append));
    }
}

/// Returns whether an entry hasn't acted on its claim.
fn is_open(claim: &Claim, entry: Entry) -> bool {
    claim.outcome.is_none() && entry.handled != Some(small(claim.offset.get()))
}

/// Returns how an entry ends the claim that it acted on last.
fn end(claim: &Claim, entry: Entry) -> Fact {
    let claim = small(claim.offset.get());
    if entry.runs > 0 {
        Fact::KeyFinish { claim }
    } else {
        Fact::KeyRelease { claim }
    }
}

impl Model for ClaimModel {
    type State = ClaimState;
    type Action = ClaimAction;

    fn start(&self) -> ClaimState {
        let entry = Entry {
            view: 0,
            sequence: site::START_SEQUENCE,
            asked: 0,
            given_up: 0,
            runs: 0,
            handled: None,
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
            let copies = (0..state.log.len()).filter(|&at| self.takes_effect(state, state.log[at]));
            actions.extend(copies.map(ClaimAction::Copy));
        }
        actions
    }

    fn next(&self, state: &ClaimState, action: &ClaimAction) -> ClaimState {
        let mut state = state.clone();
        match *action {
            ClaimAction::Append(logged) => {
                let entry = &mut state.entries[usize::from(logged.author)];
                entry.sequence = logged.sequence;
                entry.asked += u8::from(logged.fact == Fact::KeyClaim);
                state.log.push(logged);
            }
            ClaimAction::Copy(index) => {
                let logged = state.log[index];
                state.log.push(logged);
            }
            ClaimAction::Read(entry) => state.entries[usize::from(entry)].view += 1,
            ClaimAction::Run { entry, claim } => {
                let entry = &mut state.entries[usize::from(entry)];
                entry.runs += 1;
                entry.handled = Some(claim);
            }
            ClaimAction::GiveUp { entry, claim } => {
                let entry = &mut state.entries[usize::from(entry)];
                entry.given_up += 1;
                entry.handled = Some(claim);
            }
        }
        state
    }

    fn check(&self, state: &ClaimState) -> Result<(), Violation> {
        let runs: u8 = state.entries.iter().map(|entry| entry.runs).sum();
        if runs > 1 {
            return Err(Violation {
                invariant: "a request runs at most once",
                seen: format!("it ran {runs} times"),
            });
        }
        let is_lie = |entry: &Entry| entry.runs > 0 && entry.runs + entry.given_up > entry.asked;
        if state.entries.iter().any(is_lie) {
            return Err(Violation {
                invariant: "a caller that was told \"not run\" was told the truth",
                seen: String::from("its request ran"),
            });
        }
        Ok(())
    }
}
