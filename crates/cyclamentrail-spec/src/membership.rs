//! Model of member sets: an evicted entry gets no majority of confirmations in any member set that
//! it may still hold.
//!
//! There are three members and two entries that may join. An entry that is cut off from the log
//! folds nothing from it, but may still receive records from its peers. Witnesses stop confirming
//! the evicted entry at the append of the eviction, which is the latest time allowed.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, Permit, can_evict};

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, incarnation};
use crate::site;

/// Number of members at the start.
const MEMBERS: u8 = 3;
/// Number of entries: members at the start and those that may join.
const MAX_ENTRIES: u8 = 5;
/// Number of entries that may be evicted; their numbers start at 0.
const EVICTABLE: u8 = 2;

/// Model of entries that join and evict others.
#[derive(Debug)]
pub struct MembershipModel {
    fold_cache: FoldCache,
    /// Largest number of records in the log.
    max_log: usize,
}

/// State of the log and of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipState {
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
    /// Evicted entries whose witness this entry is, as a bit set: bit n stands for entry n, which
    /// this entry no longer confirms.
    witnessed: u8,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum MembershipAction {
    /// An entry appends a record.
    Append(ModelRecord),
    /// The entry with this number folds the next record of the log.
    FoldNext(u8),
    /// An entry receives and folds the records that a peer has folded.
    ReceiveRecords {
        /// Number of the receiving entry.
        to: u8,
        /// Number of the peer.
        from: u8,
    },
}

impl fmt::Display for MembershipAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            Self::FoldNext(entry) => write!(f, "entry {entry} folds a record"),
            Self::ReceiveRecords { to, from } => {
                write!(f, "entry {to} receives records from entry {from}")
            }
        }
    }
}

impl MembershipModel {
    /// Creates a model with a log of at most `max_log` records.
    #[must_use]
    pub fn new(max_log: usize) -> Self {
        Self {
            fold_cache: FoldCache::new(MEMBERS, 1, None),
            max_log,
        }
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fold_cache = FoldCache::new(MEMBERS, 1, Some(fault));
        self
    }

    /// Returns the fleet that results from the records that an entry has folded.
    fn folded_fleet(&self, state: &MembershipState, entry: u8) -> Rc<Fleet> {
        self.fold_cache
            .fleet_after(&state.log[..state.entries[usize::from(entry)].folded_len])
    }

    /// Returns the records that an entry may write: its join, or evictions with any set of
    /// witnesses that is valid at the end of the log.
    fn possible_bodies(&self, state: &MembershipState, author: u8) -> Vec<ModelBody> {
        let fleet = self.folded_fleet(state, author);
        if fleet.member(incarnation(author)).is_none() {
            let is_next = author <= MEMBERS || state.has_joined(author - 1);
            let joins = author >= MEMBERS && is_next && !state.has_joined(author);
            return joins.then_some(ModelBody::Join).into_iter().collect();
        }
        let head_fleet = self.fold_cache.fleet_after(&state.log);
        let mut bodies = Vec::new();
        for evicted in (0..EVICTABLE).filter(|&evicted| evicted != author) {
            for witnesses in 1..1_u8 << MAX_ENTRIES {
                if are_valid_witnesses(&head_fleet, witnesses, evicted) {
                    bodies.push(ModelBody::Evict { evicted, witnesses });
                }
            }
        }
        bodies
    }

    /// Returns whether a record would take effect at the end of the log.
    fn takes_effect(&self, state: &MembershipState, record: ModelRecord) -> bool {
        let mut log = state.log.clone();
        log.push(record);
        self.fold_cache.is_last_accepted(&log)
    }

    /// Returns whether an entry can get a valid permit from the peers that didn't witness its
    /// eviction.
    fn is_permitted(&self, state: &MembershipState, number: u8) -> bool {
        let entry = state.entries[usize::from(number)];
        let members: Vec<Incarnation> = self
            .folded_fleet(state, number)
            .members()
            .map(|(member, _)| member)
            .collect();
        let mut permit = Permit::new(incarnation(number), 1);
        for (peer, peer_state) in (0..).zip(&state.entries) {
            if entry.witnessed & (1 << peer) != 0 {
                permit.witness_eviction(incarnation(peer));
            }
            if peer_state.witnessed & (1 << number) == 0
                && peer_state.folded_len <= entry.folded_len
            {
                permit.confirm_peer(incarnation(peer), 0);
            }
        }
        permit.valid_until_ms(&members) > 0
    }
}

/// Returns whether a bit set of witnesses contains only members other than the evicted entry, and
/// enough of them for an eviction.
fn are_valid_witnesses(head_fleet: &Fleet, witnesses: u8, evicted: u8) -> bool {
    let named: Vec<u8> = (0..MAX_ENTRIES)
        .filter(|entry| witnesses & (1 << entry) != 0)
        .collect();
    let are_members = named
        .iter()
        .all(|&entry| entry != evicted && head_fleet.member(incarnation(entry)).is_some());
    are_members && can_evict(named.len(), head_fleet.members().count())
}

impl MembershipState {
    fn has_joined(&self, entry: u8) -> bool {
        self.log
            .iter()
            .any(|record| record.author == entry && record.body == ModelBody::Join)
    }
}

impl Model for MembershipModel {
    type State = MembershipState;
    type Action = MembershipAction;

    fn initial_state(&self) -> MembershipState {
        let entry = Entry {
            folded_len: 0,
            sequence: site::START_SEQUENCE,
            witnessed: 0,
        };
        MembershipState {
            log: Vec::new(),
            entries: vec![entry; usize::from(MAX_ENTRIES)],
        }
    }

    fn actions(&self, state: &MembershipState) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        for number in 0..MAX_ENTRIES {
            let entry = state.entries[usize::from(number)];
            let has_not_joined = number >= MEMBERS && !state.has_joined(number);
            if entry.folded_len < state.log.len() && !has_not_joined {
                actions.push(MembershipAction::FoldNext(number));
            }
            for from in (0..MAX_ENTRIES).filter(|_| !has_not_joined) {
                if state.entries[usize::from(from)].folded_len > entry.folded_len + 1 {
                    actions.push(MembershipAction::ReceiveRecords { to: number, from });
                }
            }
            if state.log.len() >= self.max_log {
                continue;
            }
            let bodies = self.possible_bodies(state, number).into_iter();
            let records = bodies.map(|body| ModelRecord {
                author: number,
                sequence: entry.sequence + 1,
                tick: 0,
                body,
            });
            actions.extend(
                records
                    .filter(|&record| self.takes_effect(state, record))
                    .map(MembershipAction::Append),
            );
        }
        actions
    }

    fn next_state(&self, state: &MembershipState, action: &MembershipAction) -> MembershipState {
        let mut state = state.clone();
        match *action {
            MembershipAction::Append(record) => {
                state.entries[usize::from(record.author)].sequence = record.sequence;
                state.log.push(record);
                if record.body == ModelBody::Join {
                    state.entries[usize::from(record.author)].folded_len = state.log.len();
                }
                if let ModelBody::Evict { evicted, witnesses } = record.body {
                    let witnesses = (0..)
                        .zip(&mut state.entries)
                        .filter(|(entry, _)| witnesses & (1_u8 << entry) != 0);
                    for (_, witness) in witnesses {
                        witness.witnessed |= 1 << evicted;
                    }
                }
            }
            MembershipAction::FoldNext(entry) => state.entries[usize::from(entry)].folded_len += 1,
            MembershipAction::ReceiveRecords { to, from } => {
                state.entries[usize::from(to)].folded_len =
                    state.entries[usize::from(from)].folded_len;
            }
        }
        state
    }

    fn check_invariants(&self, state: &MembershipState) -> Result<(), Violation> {
        let head_fleet = self.fold_cache.fleet_after(&state.log);
        for entry in 0..EVICTABLE {
            let is_evicted = head_fleet.member(incarnation(entry)).is_none();
            if is_evicted && self.is_permitted(state, entry) {
                return Err(Violation {
                    invariant: "an evicted entry can't get a valid permit",
                    observed: format!("entry {entry} can get one"),
                });
            }
        }
        Ok(())
    }
}
