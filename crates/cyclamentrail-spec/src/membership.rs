//! Member sets: an evicted entry can't gather a majority in any member set that it may still hold.
//!
//! Three members and two newcomers. An entry that is cut off from the log reads nothing, but may
//! still hear its peers. Witnesses promise when the eviction is appended, as late as they may.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, Permit, can_evict};

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, incarnation};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

/// Members at the start.
const MEMBERS: u8 = 3;
/// Members and newcomers.
const ENTRIES: u8 = 5;
/// Entries that may be evicted.
const SUSPECTS: u8 = 2;

/// The model.
#[derive(Debug)]
pub struct MembershipModel {
    folds: Folds,
    max_log: usize,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipState {
    log: Vec<Logged>,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    view: usize,
    sequence: u8,
    /// Bit n stands for the promise not to confirm entry n.
    promised: u8,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum MembershipAction {
    /// A record is appended.
    Append(Logged),
    /// An entry folds the next record of the log.
    Read(u8),
    /// An entry takes the records that a peer has folded.
    Pass {
        /// The entry.
        to: u8,
        /// The peer.
        from: u8,
    },
}

impl fmt::Display for MembershipAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            Self::Read(entry) => write!(f, "entry {entry} folds a record"),
            Self::Pass { to, from } => write!(f, "entry {to} takes records of {from}"),
        }
    }
}

impl MembershipModel {
    /// Creates a model whose log takes `max_log` records.
    #[must_use]
    pub fn new(max_log: usize) -> Self {
        Self {
            folds: Folds::new(MEMBERS, 1, None),
            max_log,
        }
    }

    /// Leaves out a rule.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.folds = Folds::new(MEMBERS, 1, Some(fault));
        self
    }

    fn view(&self, state: &MembershipState, entry: u8) -> Rc<Fleet> {
        self.folds
            .fleet(&state.log[..state.entries[usize::from(entry)].view])
    }

    fn facts(&self, state: &MembershipState, author: u8) -> Vec<Fact> {
        let view = self.view(state, author);
        if view.member(incarnation(author)).is_none() {
            let is_next = author <= MEMBERS || state.has_joined(author - 1);
            let joins = author >= MEMBERS && is_next && !state.has_joined(author);
            return joins.then_some(Fact::Join).into_iter().collect();
        }
        let head = self.folds.fleet(&state.log);
        let mut facts = Vec::new();
        for gone in (0..SUSPECTS).filter(|&gone| gone != author) {
            for witnesses in 1..1_u8 << ENTRIES {
                if can_witness(&head, witnesses, gone) {
                    facts.push(Fact::Evict { gone, witnesses });
                }
            }
        }
        facts
    }

    fn takes_effect(&self, state: &MembershipState, logged: Logged) -> bool {
        let mut log = state.log.clone();
        log.push(logged);
        self.folds.accepts(&log)
    }

    /// Returns whether peers that promised nothing would permit an entry to dispatch.
    fn is_permitted(&self, state: &MembershipState, number: u8) -> bool {
        let entry = state.entries[usize::from(number)];
        let members: Vec<Incarnation> = self
            .view(state, number)
            .members()
            .map(|(member, _)| member)
            .collect();
        let mut permit = Permit::new(incarnation(number), 1);
        for (peer, known) in (0..).zip(&state.entries) {
            if entry.promised & (1 << peer) != 0 {
                permit.witness_eviction(incarnation(peer));
            }
            if known.promised & (1 << number) == 0 && known.view <= entry.view {
                permit.confirm_peer(incarnation(peer), 0);
            }
        }
        permit.valid_until_ms(&members) > 0
    }
}

/// Returns whether a set of witnesses has members only, without the evicted one.
fn can_witness(head: &Fleet, witnesses: u8, gone: u8) -> bool {
    let named: Vec<u8> = (0..ENTRIES)
        .filter(|entry| witnesses & (1 << entry) != 0)
        .collect();
    let are_members = named
        .iter()
        .all(|&entry| entry != gone && head.member(incarnation(entry)).is_some());
    are_members && can_evict(named.len(), head.members().count())
}

impl MembershipState {
    fn has_joined(&self, entry: u8) -> bool {
        self.log
            .iter()
            .any(|logged| logged.author == entry && logged.fact == Fact::Join)
    }
}

impl Model for MembershipModel {
    type State = MembershipState;
    type Action = MembershipAction;

    fn start(&self) -> MembershipState {
        let entry = Entry {
            view: 0,
            sequence: site::START_SEQUENCE,
            promised: 0,
        };
        MembershipState {
            log: Vec::new(),
            entries: vec![entry; usize::from(ENTRIES)],
        }
    }

    fn actions(&self, state: &MembershipState) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        for number in 0..ENTRIES {
            let entry = state.entries[usize::from(number)];
            let is_outside = number >= MEMBERS && !state.has_joined(number);
            if entry.view < state.log.len() && !is_outside {
                actions.push(MembershipAction::Read(number));
            }
            for from in (0..ENTRIES).filter(|_| !is_outside) {
                if state.entries[usize::from(from)].view > entry.view + 1 {
                    actions.push(MembershipAction::Pass { to: number, from });
                }
            }
            if state.log.len() >= self.max_log {
                continue;
            }
            let facts = self.facts(state, number).into_iter();
            let written = facts.map(|fact| Logged {
                author: number,
                sequence: entry.sequence + 1,
                at: 0,
                fact,
            });
            actions.extend(
                written
                    .filter(|&logged| self.takes_effect(state, logged))
                    .map(MembershipAction::Append),
            );
        }
        actions
    }

    fn next(&self, state: &MembershipState, action: &MembershipAction) -> MembershipState {
        let mut state = state.clone();
        match *action {
            MembershipAction::Append(logged) => {
                state.entries[usize::from(logged.author)].sequence = logged.sequence;
                state.log.push(logged);
                if logged.fact == Fact::Join {
                    state.entries[usize::from(logged.author)].view = state.log.len();
                }
                if let Fact::Evict { gone, witnesses } = logged.fact {
                    let witnesses = (0..)
                        .zip(&mut state.entries)
                        .filter(|(entry, _)| witnesses & (1_u8 << entry) != 0);
                    for (_, witness) in witnesses {
                        witness.promised |= 1 << gone;
                    }
                }
            }
            MembershipAction::Read(entry) => state.entries[usize::from(entry)].view += 1,
            MembershipAction::Pass { to, from } => {
                state.entries[usize::from(to)].view = state.entries[usize::from(from)].view;
            }
        }
        state
    }

    fn check(&self, state: &MembershipState) -> Result<(), Violation> {
        let head = self.folds.fleet(&state.log);
        for suspect in 0..SUSPECTS {
            let is_gone = head.member(incarnation(suspect)).is_none();
            if is_gone && self.is_permitted(state, suspect) {
                return Err(Violation {
                    invariant: "nobody permits an evicted entry to dispatch",
                    seen: format!("entry {suspect} is permitted"),
                });
            }
        }
        Ok(())
    }
}
