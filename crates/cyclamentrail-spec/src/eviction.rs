//! Model of evictions: an entry that its peers no longer hear from is removed from the members, and
//! has no effect when it continues after a pause.
//!
//! Entry 0 is evicted, entry 1 moves the instance from pool A to pool B, and entry 2 is a witness
//! that releases the instance whenever entry 1 does. Time passes in ticks, and a dispatch lease
//! lasts one tick. Entry 0 may pause between any two of its steps, also between the check of its
//! permit and the send. The platform may reboot the instance at any time, and its list of instances
//! may show the boot late.
//!
//! To keep the model small, each step happens at the time that is worst for the invariant: the
//! witnesses stop confirming entry 0 at the append of the eviction, entry 0 opens its connection
//! when it checks its permit, and sends the checked request only after entry 1 has sent one.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, InstanceState, Permit};

use crate::explore::{Model, Violation};
use crate::fault::Fault;
use crate::fold_cache::FoldCache;
use crate::record::{ModelBody, ModelRecord, Pool, incarnation, to_u8};
use crate::site;

/// Number of entries.
const ENTRIES: u8 = 3;
/// Number of the entry that is evicted.
const EVICTED: u8 = 0;
/// Number of the entry that moves the instance.
const MOVER: u8 = 1;
/// Number of the entry that, with the mover, witnesses the eviction.
const WITNESS: u8 = 2;
/// Length of the dispatch lease in ticks.
const LEASE_TICKS: u8 = 1;

/// Model of an eviction during a move of the instance.
#[derive(Debug)]
pub struct EvictionModel {
    fold_cache: FoldCache,
    fault: Option<Fault>,
    /// Largest number of records in the log.
    max_log: usize,
    /// Largest time on the log's clock, in ticks.
    max_ticks: u8,
    /// Highest boot number of the instance.
    max_boot: u8,
    /// Largest number of ticks that the evicted entry's clock misses.
    max_missed_ticks: u8,
    list_lag: ListLag,
}

/// Delay after which the platform's list of instances shows a boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListLag {
    /// No delay.
    None,
    /// At most one full tick: a boot is listed at the latest at the end of the tick after the one
    /// in which it happened.
    Bounded,
    /// No upper limit.
    Unbounded,
}

/// State of the log, the three entries, the instance and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EvictionState {
    log: Vec<ModelRecord>,
    /// Time on the log's clock, in ticks.
    log_tick: u8,
    /// Sequence number of the latest record of each entry.
    sequences: [u8; 3],
    /// Permit of each entry, which includes the evictions that the entry has witnessed.
    permits: [Permit; 3],
    /// Number of records of the log that the evicted entry has folded.
    evicted_folded_len: usize,
    /// Clock of the evicted entry, in ticks.
    evicted_clock: u8,
    /// Number of ticks that the evicted entry's clock has missed.
    missed_ticks: u8,
    /// Time on the evicted entry's clock from which it may be confirmed again: one tick after the
    /// last confirmation, 0 before the first.
    next_confirm_tick: u8,
    evicted_request: RequestState,
    mover_request: RequestState,
    /// Boot number of the instance.
    boot: u8,
    /// Boot number of the instance at the end of the last tick.
    boot_before_tick: u8,
    /// Boot number in the platform's list.
    listed_boot: u8,
}

/// State of the one request of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RequestState {
    /// There is no request.
    Idle,
    /// The entry has connected to the instance in this boot and checked its permit; `pool` is the
    /// instance's pool according to the records that the entry has folded.
    Checked { pool: Pool, boot: u8 },
    /// The request was sent in this boot; the instance works on it until the next boot.
    Sent { pool: Pool, boot: u8 },
}

impl RequestState {
    /// Returns the pool for which the instance works on this request in a boot.
    fn pool_in_boot(self, current_boot: u8) -> Option<Pool> {
        match self {
            Self::Sent { pool, boot } if boot == current_boot => Some(pool),
            _ => None,
        }
    }
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum EvictionAction {
    /// A tick passes on all clocks.
    Tick,
    /// A tick passes, but the evicted entry's clock doesn't advance.
    MissedTick,
    /// An entry appends a record.
    Append(ModelRecord),
    /// Entry 0 folds the next record.
    EvictedFold,
    /// The log confirms entry 0.
    ConfirmLog,
    /// Entry 2 confirms entry 0.
    ConfirmPeer,
    /// Entry 0 connects to the instance and checks its permit.
    EvictedCheck,
    /// Entry 0 sends its request.
    EvictedSend,
    /// Entry 1 sends its request.
    MoverSend,
    /// The instance reboots.
    Reboot,
    /// The platform's list shows the newest boot.
    ListBoot,
}

impl fmt::Display for EvictionAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(record) => write!(f, "{record} is appended"),
            other => write!(f, "{other:?}"),
        }
    }
}

impl EvictionModel {
    /// Creates a model with a log of at most `max_log` records and at most `max_ticks` ticks.
    #[must_use]
    pub fn new(max_log: usize, max_ticks: u8) -> Self {
        Self {
            fold_cache: FoldCache::new(ENTRIES, LEASE_TICKS, None),
            fault: None,
            max_log,
            max_ticks,
            max_boot: 2,
            max_missed_ticks: 0,
            list_lag: ListLag::Bounded,
        }
    }

    /// Omits one rule of the protocol.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fold_cache = FoldCache::new(ENTRIES, LEASE_TICKS, Some(fault));
        self.fault = Some(fault);
        self
    }

    /// Sets the largest number of ticks that the evicted entry's clock misses.
    #[must_use]
    pub const fn max_missed_ticks(mut self, max_missed_ticks: u8) -> Self {
        self.max_missed_ticks = max_missed_ticks;
        self
    }

    /// Makes the platform's list show a boot without delay.
    #[must_use]
    pub const fn no_list_lag(mut self) -> Self {
        self.list_lag = ListLag::None;
        self
    }

    /// Allows the platform's list to show a boot with any delay.
    #[must_use]
    pub const fn unbounded_list_lag(mut self) -> Self {
        self.list_lag = ListLag::Unbounded;
        self
    }

    /// Returns the fleet that results from the whole log.
    fn head_fleet(&self, state: &EvictionState) -> Rc<Fleet> {
        self.fold_cache.fleet_after(&state.log)
    }

    /// Returns the fleet that results from the records that the evicted entry has folded.
    fn evicted_fleet(&self, state: &EvictionState) -> Rc<Fleet> {
        self.fold_cache
            .fleet_after(&state.log[..state.evicted_folded_len])
    }

    /// Returns the next record of an entry, written at the present time.
    fn next_record(state: &EvictionState, author: u8, body: ModelBody) -> ModelRecord {
        ModelRecord {
            author,
            sequence: state.sequences[usize::from(author)] + 1,
            tick: state.log_tick,
            body,
        }
    }

    /// Adds the steps that entry 0 may take, except appends.
    fn evicted_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        if state.evicted_folded_len < state.log.len() {
            actions.push(EvictionAction::EvictedFold);
        }
        if state.next_confirm_tick <= state.evicted_clock {
            if state.evicted_folded_len == state.log.len() {
                actions.push(EvictionAction::ConfirmLog);
            }
            if !state.has_witnessed(WITNESS) {
                actions.push(EvictionAction::ConfirmPeer);
            }
        }
        match state.evicted_request {
            RequestState::Checked { boot, .. }
                if state.mover_request.pool_in_boot(boot).is_some() =>
            {
                actions.push(EvictionAction::EvictedSend);
            }
            _ => {}
        }
        if self.is_permitted(state) && serving_pool(&self.evicted_fleet(state)).is_some() {
            actions.push(EvictionAction::EvictedCheck);
        }
    }

    /// Adds the ticks, the steps of the platform and the request of entry 1.
    fn platform_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        if state.log_tick < self.max_ticks {
            actions.push(EvictionAction::Tick);
            if state.missed_ticks < self.max_missed_ticks {
                actions.push(EvictionAction::MissedTick);
            }
        }
        if state.boot < self.max_boot {
            actions.push(EvictionAction::Reboot);
        }
        if state.listed_boot < state.boot {
            actions.push(EvictionAction::ListBoot);
        }
        if state.mover_request == RequestState::Idle
            && serving_pool(&self.head_fleet(state)) == Some(Pool::B)
        {
            actions.push(EvictionAction::MoverSend);
        }
    }

    /// Adds the appends that take effect.
    fn append_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        let head_fleet = self.head_fleet(state);
        let Some(instance) = head_fleet.instance(&site::instance_name()) else {
            return;
        };
        let presumes = to_u8(instance.version.get());
        let mut bodies = Vec::new();
        if head_fleet.member(incarnation(EVICTED)).is_some() {
            let witnesses = 1 << MOVER | 1 << WITNESS;
            bodies.push((
                MOVER,
                ModelBody::Evict {
                    evicted: EVICTED,
                    witnesses,
                },
            ));
        }
        match &instance.state {
            InstanceState::Serving => bodies.push((MOVER, ModelBody::BeginDrain { presumes })),
            InstanceState::Draining {
                drain, awaiting, ..
            } => {
                let has_folded_drain = self
                    .evicted_fleet(state)
                    .instance(&site::instance_name())
                    .is_some_and(|folded| folded.state != InstanceState::Serving);
                let drain = to_u8(drain.get());
                for (entry, is_idle) in [
                    (EVICTED, has_folded_drain),
                    (MOVER, state.mover_request == RequestState::Idle),
                ] {
                    if is_idle && awaiting.contains(&incarnation(entry)) {
                        bodies.push((entry, ModelBody::ReleaseDrain { drain }));
                    }
                }
            }
            InstanceState::Drained { .. } => {
                bodies.push((
                    MOVER,
                    ModelBody::Assign {
                        presumes,
                        pool: Pool::B,
                    },
                ));
                let boot = state.listed_boot;
                bodies.push((MOVER, ModelBody::Boot { presumes, boot }));
            }
        }
        let bodies = bodies
            .into_iter()
            .map(|(author, body)| Self::next_record(state, author, body));
        actions.extend(
            bodies
                .filter(|record| self.takes_effect(state, *record))
                .map(EvictionAction::Append),
        );
    }

    /// Returns whether a record would take effect at the end of the log; other records change
    /// nothing and are not explored.
    fn takes_effect(&self, state: &EvictionState, record: ModelRecord) -> bool {
        let mut log = state.log.clone();
        log.push(record);
        self.fold_cache.is_last_accepted(&log)
    }

    /// Makes the witnesses of the eviction stop confirming entry 0, at the latest time allowed.
    fn add_witnesses(&self, state: &mut EvictionState) {
        state.permits[usize::from(MOVER)].witness_eviction(incarnation(EVICTED));
        if self.fault != Some(Fault::NoWitnessPromise) {
            state.permits[usize::from(WITNESS)].witness_eviction(incarnation(EVICTED));
        }
    }

    /// Returns whether the permit of entry 0 is valid by its own clock.
    fn is_permitted(&self, state: &EvictionState) -> bool {
        if self.fault == Some(Fault::NoPermitCheck) {
            return true;
        }
        let fleet = self.evicted_fleet(state);
        let members: Vec<Incarnation> = fleet.members().map(|(member, _)| member).collect();
        let until_ms = state.permits[usize::from(EVICTED)].valid_until_ms(&members);
        state.evicted_clock_ms() < until_ms
    }
}

/// Returns the pool of the instance if it is serving.
fn serving_pool(fleet: &Fleet) -> Option<Pool> {
    fleet
        .instance(&site::instance_name())
        .filter(|instance| instance.state == InstanceState::Serving)
        .map(|instance| Pool::from_name(&instance.pool))
}

impl EvictionState {
    fn evicted_clock_ms(&self) -> u64 {
        u64::from(self.evicted_clock) * site::TICK_MS
    }

    /// Returns whether an entry has witnessed the eviction of entry 0.
    fn has_witnessed(&self, entry: u8) -> bool {
        !self.permits[usize::from(entry)].may_confirm(incarnation(EVICTED))
    }

    fn append(&mut self, record: ModelRecord) {
        let sequence = &mut self.sequences[usize::from(record.author)];
        *sequence = (*sequence).max(record.sequence);
        self.log.push(record);
    }

    /// Folds, for entry 0, the records that don't influence its steps, so that fewer states differ.
    fn skip_irrelevant_records(&mut self) {
        while let Some(ModelBody::ReleaseDrain { .. } | ModelBody::Boot { .. }) = self
            .log
            .get(self.evicted_folded_len)
            .map(|record| record.body)
        {
            self.evicted_folded_len += 1;
        }
    }

    /// Advances the log's clock. With a bounded delay, the platform also lists the boot number that
    /// the instance had at the end of the tick before.
    fn tick(&mut self, list_lag: ListLag) {
        self.log_tick += 1;
        if list_lag == ListLag::Bounded {
            self.listed_boot = self.listed_boot.max(self.boot_before_tick);
            self.boot_before_tick = self.boot;
        }
    }

    fn evicted_permit(&mut self) -> &mut Permit {
        &mut self.permits[usize::from(EVICTED)]
    }
}

impl Model for EvictionModel {
    type State = EvictionState;
    type Action = EvictionAction;

    fn initial_state(&self) -> EvictionState {
        let permit =
            |entry| Permit::new(incarnation(entry), u64::from(LEASE_TICKS) * site::TICK_MS);
        EvictionState {
            log: Vec::new(),
            log_tick: 0,
            sequences: [site::START_SEQUENCE; 3],
            permits: [permit(EVICTED), permit(MOVER), permit(WITNESS)],
            evicted_folded_len: 0,
            evicted_clock: 0,
            missed_ticks: 0,
            next_confirm_tick: 0,
            evicted_request: RequestState::Idle,
            mover_request: RequestState::Idle,
            boot: 1,
            boot_before_tick: 1,
            listed_boot: 1,
        }
    }

    fn actions(&self, state: &EvictionState) -> Vec<EvictionAction> {
        let mut actions = Vec::new();
        self.evicted_actions(state, &mut actions);
        self.platform_actions(state, &mut actions);
        if state.log.len() < self.max_log {
            self.append_actions(state, &mut actions);
        }
        actions
    }

    fn next_state(&self, state: &EvictionState, action: &EvictionAction) -> EvictionState {
        let mut state = state.clone();
        match *action {
            EvictionAction::Tick => {
                state.tick(self.list_lag);
                state.evicted_clock += 1;
            }
            EvictionAction::MissedTick => {
                state.tick(self.list_lag);
                state.missed_ticks += 1;
            }
            EvictionAction::Append(record) => {
                state.append(record);
                match record.body {
                    ModelBody::Evict { .. } => self.add_witnesses(&mut state),
                    ModelBody::ReleaseDrain { .. } if record.author == MOVER => {
                        state.append(Self::next_record(&state, WITNESS, record.body));
                    }
                    ModelBody::ReleaseDrain { .. } => state.evicted_request = RequestState::Idle,
                    _ => {}
                }
            }
            EvictionAction::EvictedFold => state.evicted_folded_len += 1,
            EvictionAction::ConfirmLog => {
                let clock_ms = state.evicted_clock_ms();
                state.evicted_permit().record_log_confirmation(clock_ms);
                state.next_confirm_tick = state.evicted_clock + 1;
            }
            EvictionAction::ConfirmPeer => {
                let clock_ms = state.evicted_clock_ms();
                state
                    .evicted_permit()
                    .confirm_peer(incarnation(WITNESS), clock_ms);
                state.next_confirm_tick = state.evicted_clock + 1;
            }
            EvictionAction::EvictedCheck => {
                if let Some(pool) = serving_pool(&self.evicted_fleet(&state)) {
                    let boot = state.boot;
                    state.evicted_request = RequestState::Checked { pool, boot };
                }
            }
            EvictionAction::EvictedSend => {
                state.evicted_request = match state.evicted_request {
                    RequestState::Checked { pool, boot } if boot == state.boot => {
                        RequestState::Sent { pool, boot }
                    }
                    _ => RequestState::Idle,
                };
            }
            EvictionAction::MoverSend => {
                if let Some(pool) = serving_pool(&self.head_fleet(&state)) {
                    let boot = state.boot;
                    state.mover_request = RequestState::Sent { pool, boot };
                }
            }
            EvictionAction::Reboot => {
                state.boot += 1;
                if self.list_lag == ListLag::None {
                    state.listed_boot = state.boot;
                }
            }
            EvictionAction::ListBoot => state.listed_boot = state.boot,
        }
        state.skip_irrelevant_records();
        state
    }

    fn check_invariants(&self, state: &EvictionState) -> Result<(), Violation> {
        let evicted = state.evicted_request.pool_in_boot(state.boot);
        let mover = state.mover_request.pool_in_boot(state.boot);
        match (evicted, mover) {
            (Some(first), Some(second)) if first != second => Err(Violation {
                invariant: "an instance works for one pool",
                observed: String::from("it works for both pools"),
            }),
            _ => Ok(()),
        }
    }
}
