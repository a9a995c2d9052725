//! Model of the drain barrier: a drain of an instance ends only when no entry sends requests to it
//! any more, so that the instance works for one pool at a time.
//!
//! Two members and a joining entry, which starts from the log or from a lagging peer, send requests
//! to the instance and concurrently move it between two pools. An entry that takes no steps while
//! the others take all of theirs models a pause. A log that grows no further models an outage. An
//! append may be lost, which only a stop distinguishes from no append, or be repeated later.

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, Instance, InstanceState};

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, Pool, incarnation, to_u8};
use crate::site;

/// Number of members at the start.
const MEMBERS: u8 = 2;

/// Model of entries that send requests to the instance and move it between the pools.
#[derive(Debug)]
pub struct BarrierModel {
    fold_cache: FoldCache,
    fault: Option<Fault>,
    /// Number of entries.
    entries: u8,
    /// Largest number of records in the log.
    max_log: usize,
    /// Largest number of copies in the log.
    max_copies: u8,
}

/// State of the log and of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BarrierState {
    log: Vec<ModelRecord>,
    /// Number of copies in the log.
    copies: u8,
    /// Entries by number.
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    /// Number of records of the log that the entry has folded.
    folded_len: usize,
    /// Sequence number of the latest record that the entry wrote.
    sequence: u8,
    request: RequestState,
    /// Whether the entry has written its stop, which may have been lost.
    has_stopped: bool,
}

/// State of the one request of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RequestState {
    /// There is no request.
    Idle,
    /// The entry holds a slot of the instance, has checked its permission and is about to send.
    Checked(Pool),
    /// The instance works on the request.
    Sent(Pool),
}

impl RequestState {
    /// Returns the pool for which the instance works on the request.
    const fn sent_pool(self) -> Option<Pool> {
        match self {
            Self::Sent(pool) => Some(pool),
            Self::Idle | Self::Checked(_) => None,
        }
    }
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum BarrierAction {
    /// An entry appends a record.
    Append(ModelRecord),
    /// An append is lost, and its author continues as if the append had succeeded.
    LoseAppend(ModelRecord),
    /// A copy of the record at this index of the log is appended.
    AppendCopy(usize),
    /// The entry with this number folds the next record of the log.
    FoldNext(u8),
    /// An entry replaces its folded records by those of a peer.
    ReceiveRecords {
        /// Number of the receiving entry.
        to: u8,
        /// Number of the peer.
        from: u8,
    },
    /// An entry chooses the instance for a request and checks its permission.
    ChooseInstance(u8),
    /// An entry sends its request.
    SendRequest(u8),
    /// The request of an entry ends.
    EndRequest(u8),
}

impl fmt::Display for BarrierAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            Self::LoseAppend(record) => write!(f, "the append of {record} is lost"),
            Self::AppendCopy(index) => write!(f, "a copy of record {index} is appended"),
            Self::FoldNext(entry) => write!(f, "entry {entry} folds a record"),
            Self::ReceiveRecords { to, from } => {
                write!(f, "entry {to} receives records from entry {from}")
            }
            Self::ChooseInstance(entry) => write!(f, "entry {entry} chooses the instance"),
            Self::SendRequest(entry) => write!(f, "entry {entry} sends its request"),
            Self::EndRequest(entry) => write!(f, "entry {entry} ends its request"),
        }
    }
}

impl BarrierModel {
    /// Creates a model with a log of at most `max_log` records, of which at most `max_copies` are
    /// copies.
    #[must_use]
    pub fn new(max_log: usize, max_copies: u8) -> Self {
        Self {
            fold_cache: FoldCache::new(MEMBERS, 1, None),
            fault: None,
            entries: MEMBERS + 1,
            max_log,
            max_copies,
        }
    }

    /// Omits the entry that joins.
    #[must_use]
    pub const fn members_only(mut self) -> Self {
        self.entries = MEMBERS;
        self
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fold_cache = FoldCache::new(MEMBERS, 1, Some(fault));
        self.fault = Some(fault);
        self
    }

    /// Returns the fleet that results from the records that an entry has folded.
    fn folded_fleet(&self, state: &BarrierState, entry: u8) -> Rc<Fleet> {
        let folded_len = state.entries[usize::from(entry)].folded_len;
        self.fold_cache.fleet_after(&state.log[..folded_len])
    }

    /// Returns the records that an entry may write, given the fleet that it has folded.
    fn possible_bodies(fleet: &Fleet, entry: u8, request: RequestState) -> Vec<ModelBody> {
        if fleet.member(incarnation(entry)).is_none() {
            return if entry < MEMBERS || fleet.has_left(incarnation(entry)) {
                Vec::new()
            } else {
                vec![ModelBody::Join]
            };
        }
        let Some(instance) = fleet.instance(&site::instance_name()) else {
            return Vec::new();
        };
        let mut bodies = instance_bodies(instance, entry, request);
        if entry >= MEMBERS && request == RequestState::Idle {
            bodies.push(ModelBody::Stop);
        }
        bodies
    }

    /// Returns whether an entry may send requests, given the fleet that it has folded.
    fn may_dispatch(&self, fleet: &Fleet, entry: u8) -> bool {
        self.fault == Some(Fault::NoPermitCheck) || fleet.member(incarnation(entry)).is_some()
    }

    /// Adds the steps that an entry may take.
    fn entry_actions(&self, state: &BarrierState, number: u8, actions: &mut Vec<BarrierAction>) {
        let entry = state.entries[usize::from(number)];
        if entry.has_stopped {
            return;
        }
        let fleet = self.folded_fleet(state, number);
        if entry.folded_len < state.log.len() {
            actions.push(BarrierAction::FoldNext(number));
        }
        for from in (0..self.entries).filter(|&from| from != number) {
            let adopts_older = self.fault == Some(Fault::NoStateOrder);
            let peer_folded = state.entries[usize::from(from)].folded_len;
            if peer_folded > entry.folded_len + 1
                || (adopts_older && peer_folded < entry.folded_len)
            {
                actions.push(BarrierAction::ReceiveRecords { to: number, from });
            }
        }
        match entry.request {
            RequestState::Idle
                if self.may_dispatch(&fleet, number) && serving_pool(&fleet).is_some() =>
            {
                actions.push(BarrierAction::ChooseInstance(number));
            }
            RequestState::Idle => {}
            RequestState::Checked(_) => actions.push(BarrierAction::SendRequest(number)),
            RequestState::Sent(_) => actions.push(BarrierAction::EndRequest(number)),
        }
        if state.log.len() >= self.max_log {
            return;
        }
        for body in Self::possible_bodies(&fleet, number, entry.request) {
            let record = ModelRecord {
                author: number,
                sequence: entry.sequence + 1,
                tick: 0,
                body,
            };
            if self.takes_effect(state, record) {
                actions.push(BarrierAction::Append(record));
            }
            if body == ModelBody::Stop {
                actions.push(BarrierAction::LoseAppend(record));
            }
        }
    }

    /// Returns whether a record would take effect at the end of the log; other records are
    /// equivalent to lost ones and are not explored.
    fn takes_effect(&self, state: &BarrierState, record: ModelRecord) -> bool {
        let mut log = state.log.clone();
        log.push(record);
        self.fold_cache.is_last_accepted(&log)
    }

    /// Checks that a drain ends once each running entry has appended the release that it owes,
    /// without further faults.
    fn check_drain_ends(&self, state: &BarrierState) -> Result<(), Violation> {
        let mut log = state.log.clone();
        let mut sequences: Vec<u8> = state.entries.iter().map(|entry| entry.sequence).collect();
        for number in 0..self.entries {
            let fleet = self.fold_cache.fleet_after(&log);
            let due = fleet
                .instance(&site::instance_name())
                .and_then(|instance| due_release(instance, number));
            let Some(body) = due else { continue };
            if state.entries[usize::from(number)].has_stopped {
                continue;
            }
            sequences[usize::from(number)] += 1;
            log.push(ModelRecord {
                author: number,
                sequence: sequences[usize::from(number)],
                tick: 0,
                body,
            });
        }
        let fleet = self.fold_cache.fleet_after(&log);
        let instance = fleet.instance(&site::instance_name());
        match instance.map(|instance| &instance.state) {
            Some(InstanceState::Draining { awaiting, .. })
                if !waits_for_lost_stop(state, awaiting) =>
            {
                Err(Violation {
                    invariant: "a drain ends once faults stop",
                    observed: format!("it waits for {awaiting:?}"),
                })
            }
            _ => Ok(()),
        }
    }
}

/// Returns whether a drain waits for an entry whose stop was lost; such a drain ends with the
/// eviction of that entry, which this model doesn't contain.
fn waits_for_lost_stop(state: &BarrierState, awaiting: &BTreeSet<Incarnation>) -> bool {
    (0..).zip(&state.entries).any(|(number, entry)| {
        entry.has_stopped
            && !state.is_stop_logged(number)
            && awaiting.contains(&incarnation(number))
    })
}

/// Returns the pool of the instance if it is serving.
fn serving_pool(fleet: &Fleet) -> Option<Pool> {
    fleet
        .instance(&site::instance_name())
        .filter(|instance| instance.state == InstanceState::Serving)
        .map(|instance| Pool::from_name(&instance.pool))
}

/// Returns the release that an entry owes if a drain awaits it.
fn due_release(instance: &Instance, entry: u8) -> Option<ModelBody> {
    match &instance.state {
        InstanceState::Draining {
            drain, awaiting, ..
        } if awaiting.contains(&incarnation(entry)) => Some(ModelBody::ReleaseDrain {
            drain: to_u8(drain.get()),
        }),
        _ => None,
    }
}

/// Returns the records about the instance that a member may write.
fn instance_bodies(instance: &Instance, entry: u8, request: RequestState) -> Vec<ModelBody> {
    let presumes = to_u8(instance.version.get());
    match &instance.state {
        InstanceState::Serving => vec![ModelBody::BeginDrain { presumes }],
        InstanceState::Draining { .. } if request == RequestState::Idle => {
            due_release(instance, entry).into_iter().collect()
        }
        InstanceState::Draining { .. } => Vec::new(),
        InstanceState::Drained { .. } => vec![ModelBody::Assign {
            presumes,
            pool: Pool::from_name(&instance.pool).other(),
        }],
    }
}

impl Model for BarrierModel {
    type State = BarrierState;
    type Action = BarrierAction;

    fn initial_state(&self) -> BarrierState {
        let entry = Entry {
            folded_len: 0,
            sequence: site::START_SEQUENCE,
            request: RequestState::Idle,
            has_stopped: false,
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
            let copies =
                (0..state.log.len()).filter(|&index| self.takes_effect(state, state.log[index]));
            actions.extend(copies.map(BarrierAction::AppendCopy));
        }
        actions
    }

    fn next_state(&self, state: &BarrierState, action: &BarrierAction) -> BarrierState {
        let mut state = state.clone();
        match *action {
            BarrierAction::Append(record) => {
                state.log.push(record);
                state.update_author(record);
            }
            BarrierAction::LoseAppend(record) => state.update_author(record),
            BarrierAction::AppendCopy(index) => {
                let record = state.log[index];
                state.log.push(record);
                state.copies += 1;
            }
            BarrierAction::FoldNext(entry) => state.entry_mut(entry).folded_len += 1,
            BarrierAction::ReceiveRecords { to, from } => {
                state.entry_mut(to).folded_len = state.entries[usize::from(from)].folded_len;
            }
            BarrierAction::ChooseInstance(entry) => {
                let pool = serving_pool(&self.folded_fleet(&state, entry));
                state.entry_mut(entry).request =
                    pool.map_or(RequestState::Idle, RequestState::Checked);
            }
            BarrierAction::SendRequest(entry) => {
                let request = &mut state.entry_mut(entry).request;
                if let RequestState::Checked(pool) = *request {
                    *request = RequestState::Sent(pool);
                }
            }
            BarrierAction::EndRequest(entry) => state.entry_mut(entry).request = RequestState::Idle,
        }
        state
    }

    fn check_invariants(&self, state: &BarrierState) -> Result<(), Violation> {
        let pools: Vec<Pool> = state
            .entries
            .iter()
            .filter_map(|entry| entry.request.sent_pool())
            .collect();
        if pools.contains(&Pool::A) && pools.contains(&Pool::B) {
            return Err(Violation {
                invariant: "an instance works for one pool",
                observed: String::from("it works for both pools"),
            });
        }
        let fleet = self.fold_cache.fleet_after(&state.log);
        let instance = fleet.instance(&site::instance_name());
        let is_drained = instance
            .is_some_and(|instance| matches!(instance.state, InstanceState::Drained { .. }));
        if is_drained && !pools.is_empty() {
            return Err(Violation {
                invariant: "a drained instance has nothing in flight",
                observed: format!("requests in flight for {pools:?}"),
            });
        }
        self.check_drain_ends(state)
    }
}

impl BarrierState {
    fn entry_mut(&mut self, number: u8) -> &mut Entry {
        &mut self.entries[usize::from(number)]
    }

    /// Returns whether the log contains the stop of an entry.
    fn is_stop_logged(&self, number: u8) -> bool {
        self.log
            .iter()
            .any(|record| record.author == number && record.body == ModelBody::Stop)
    }

    /// Updates the author of a record that was appended or lost.
    fn update_author(&mut self, record: ModelRecord) {
        let entry = self.entry_mut(record.author);
        entry.sequence = entry.sequence.max(record.sequence);
        entry.has_stopped |= record.body == ModelBody::Stop;
    }
}
