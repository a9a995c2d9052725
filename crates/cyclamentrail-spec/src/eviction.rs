//! Eviction: an entry that nobody hears of is removed, and has no effect when it wakes up.
//!
//! Entry 0 is the one that is evicted, entry 1 moves the instance from pool A to pool B, and
//! entry 2 is a witness, which releases whatever entry 1 releases. Time passes in ticks, and a dispatch lease is one of them. Entry 0 may
//! stop between any two of its steps, also between its check and its send. The platform may reboot
//! the instance at any time, and its list shows a boot late.
//!
//! To keep the model small, each step is taken at the moment that is worst for the invariant: the
//! witnesses promise when the eviction is appended, a connection is opened at the check, and a
//! checked request is sent once entry 1 has sent one.

use std::fmt;
use std::rc::Rc;

use cyclamentrail_core::{Fleet, Incarnation, InstanceState, Permit};

use crate::explore::{Model, Violation};
use crate::fact::{Fact, Logged, Pool, incarnation, small};
use crate::fault::Fault;
use crate::folds::Folds;
use crate::site;

const ENTRIES: u8 = 3;
const EVICTED: u8 = 0;
const MOVER: u8 = 1;
const WITNESS: u8 = 2;
/// Dispatch lease in ticks.
const LEASE: u8 = 1;

/// The model.
#[derive(Debug)]
pub struct EvictionModel {
    folds: Folds,
    fault: Option<Fault>,
    max_log: usize,
    max_ticks: u8,
    max_boot: u8,
    slow_ticks: u8,
    list_lag: ListLag,
}

/// How late the platform's list shows a boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListLag {
    /// At once.
    None,
    /// Within one tick.
    Bounded,
    /// At any later time.
    Unbounded,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EvictionState {
    log: Vec<Logged>,
    now: u8,
    sequences: [u8; 3],
    permits: [Permit; 3],
    /// Records that the evicted entry has folded.
    view: usize,
    /// Clock of the evicted entry.
    clock: u8,
    slow_ticks: u8,
    /// Clock of the evicted entry when it was last confirmed, plus one; 0 before that.
    confirmed: u8,
    evicted_work: Work,
    mover_work: Work,
    boot: u8,
    boot_before_tick: u8,
    listed_boot: u8,
}

/// What an entry does with its one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Work {
    Idle,
    Checked { pool: Pool, boot: u8 },
    Sent { pool: Pool, boot: u8 },
}

impl Work {
    /// Returns the pool that the instance works for in a boot.
    fn pool_in(self, current: u8) -> Option<Pool> {
        match self {
            Self::Sent { pool, boot } if boot == current => Some(pool),
            _ => None,
        }
    }
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
pub enum EvictionAction {
    /// A tick passes.
    Tick,
    /// A tick passes that the evicted entry's clock misses.
    SlowTick,
    /// A record is appended.
    Append(Logged),
    /// Entry 0 folds the next record.
    Read,
    /// The log confirms entry 0.
    ConfirmLog,
    /// Entry 2 confirms entry 0.
    ConfirmPeer,
    /// Entry 0 connects to the instance and checks its permission.
    Check,
    /// Entry 0 sends.
    Send,
    /// Entry 1 sends a request.
    MoverSend,
    /// The instance reboots.
    Reboot,
    /// The list shows the newest boot.
    List,
}

impl fmt::Display for EvictionAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append(logged) => write!(f, "{logged} is appended"),
            other => write!(f, "{other:?}"),
        }
    }
}

impl EvictionModel {
    /// Creates a model whose log takes `max_log` records within `max_ticks` ticks.
    #[must_use]
    pub fn new(max_log: usize, max_ticks: u8) -> Self {
        Self {
            folds: Folds::new(ENTRIES, LEASE, None),
            fault: None,
            max_log,
            max_ticks,
            max_boot: 2,
            slow_ticks: 0,
            list_lag: ListLag::Bounded,
        }
    }

    /// Leaves out a rule.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.folds = Folds::new(ENTRIES, LEASE, Some(fault));
        self.fault = Some(fault);
        self
    }

    /// Sets how many ticks the evicted entry's clock misses at most.
    #[must_use]
    pub const fn slow_ticks(mut self, slow_ticks: u8) -> Self {
        self.slow_ticks = slow_ticks;
        self
    }

    /// Lets the platform's list show a boot at once.
    #[must_use]
    pub const fn no_list_lag(mut self) -> Self {
        self.list_lag = ListLag::None;
        self
    }

    /// Lets the platform's list show a boot arbitrarily late.
    #[must_use]
    pub const fn unbounded_list_lag(mut self) -> Self {
        self.list_lag = ListLag::Unbounded;
        self
    }

    fn head(&self, state: &EvictionState) -> Rc<Fleet> {
        self.folds.fleet(&state.log)
    }

    fn view(&self, state: &EvictionState) -> Rc<Fleet> {
        self.folds.fleet(&state.log[..state.view])
    }

    fn logged(state: &EvictionState, author: u8, fact: Fact) -> Logged {
        Logged {
            author,
            sequence: state.sequences[usize::from(author)] + 1,
            at: state.now,
            fact,
        }
    }

    fn evicted_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        if state.view < state.log.len() {
            actions.push(EvictionAction::Read);
        }
        if state.confirmed <= state.clock {
            if state.view == state.log.len() {
                actions.push(EvictionAction::ConfirmLog);
            }
            if !state.has_promised(WITNESS) {
                actions.push(EvictionAction::ConfirmPeer);
            }
        }
        match state.evicted_work {
            Work::Checked { boot, .. } if state.mover_work.pool_in(boot).is_some() => {
                actions.push(EvictionAction::Send);
            }
            _ => {}
        }
        if self.is_permitted(state) && serving(&self.view(state)).is_some() {
            actions.push(EvictionAction::Check);
        }
    }

    fn platform_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        if state.now < self.max_ticks {
            actions.push(EvictionAction::Tick);
            if state.slow_ticks < self.slow_ticks {
                actions.push(EvictionAction::SlowTick);
            }
        }
        if state.boot < self.max_boot {
            actions.push(EvictionAction::Reboot);
        }
        if state.listed_boot < state.boot {
            actions.push(EvictionAction::List);
        }
        if state.mover_work == Work::Idle && serving(&self.head(state)) == Some(Pool::B) {
            actions.push(EvictionAction::MoverSend);
        }
    }

    fn append_actions(&self, state: &EvictionState, actions: &mut Vec<EvictionAction>) {
        let head = self.head(state);
        let Some(instance) = head.instance(&site::instance()) else {
            return;
        };
        let presumes = small(instance.version.get());
        let mut facts = Vec::new();
        if head.member(incarnation(EVICTED)).is_some() {
            let witnesses = 1 << MOVER | 1 << WITNESS;
            facts.push((
                MOVER,
                Fact::Evict {
                    gone: EVICTED,
                    witnesses,
                },
            ));
        }
        match &instance.state {
            InstanceState::Serving => facts.push((MOVER, Fact::Drain { presumes })),
            InstanceState::Draining {
                drain, awaiting, ..
            } => {
                let has_folded = self
                    .view(state)
                    .instance(&site::instance())
                    .is_some_and(|known| known.state != InstanceState::Serving);
                let drain = small(drain.get());
                for (entry, is_idle) in [
                    (EVICTED, has_folded),
                    (MOVER, state.mover_work == Work::Idle),
                ] {
                    if is_idle && awaiting.contains(&incarnation(entry)) {
                        facts.push((entry, Fact::Release { drain }));
                    }
                }
            }
            InstanceState::Drained { .. } => {
                facts.push((
                    MOVER,
                    Fact::Assign {
                        presumes,
                        pool: Pool::B,
                    },
                ));
                let boot = state.listed_boot;
                facts.push((MOVER, Fact::Boot { presumes, boot }));
            }
        }
        let facts = facts
            .into_iter()
            .map(|(author, fact)| Self::logged(state, author, fact));
        actions.extend(
            facts
                .filter(|logged| self.takes_effect(state, *logged))
                .map(EvictionAction::Append),
        );
    }

    /// Returns whether a record would take effect; one that wouldn't changes nothing.
    fn takes_effect(&self, state: &EvictionState, logged: Logged) -> bool {
        let mut log = state.log.clone();
        log.push(logged);
        self.folds.accepts(&log)
    }

    /// Lets the witnesses of the eviction promise, as late as they may.
    fn promise(&self, state: &mut EvictionState) {
        state.permits[usize::from(MOVER)].witness_eviction(incarnation(EVICTED));
        if self.fault != Some(Fault::NoWitnesses) {
            state.permits[usize::from(WITNESS)].witness_eviction(incarnation(EVICTED));
        }
    }

    fn is_permitted(&self, state: &EvictionState) -> bool {
        if self.fault == Some(Fault::NoPermission) {
            return true;
        }
        let view = self.view(state);
        let members: Vec<Incarnation> = view.members().map(|(member, _)| member).collect();
        let until_ms = state.permits[usize::from(EVICTED)].valid_until_ms(&members);
        state.clock_ms() < until_ms
    }
}

fn serving(fleet: &Fleet) -> Option<Pool> {
    fleet
        .instance(&site::instance())
        .filter(|instance| instance.state == InstanceState::Serving)
        .map(|instance| Pool::of(&instance.pool))
}

impl EvictionState {
    fn clock_ms(&self) -> u64 {
        u64::from(self.clock) * site::TICK_MS
    }

    fn has_promised(&self, entry: u8) -> bool {
        !self.permits[usize::from(entry)].may_confirm(incarnation(EVICTED))
    }

    fn append(&mut self, logged: Logged) {
        let sequence = &mut self.sequences[usize::from(logged.author)];
        *sequence = (*sequence).max(logged.sequence);
        self.log.push(logged);
    }

    /// Passes over records that change nothing that entry 0 does.
    fn pass_over(&mut self) {
        while let Some(Fact::Release { .. } | Fact::Boot { .. }) =
            self.log.get(self.view).map(|logged| logged.fact)
        {
            self.view += 1;
        }
    }

    fn tick(&mut self, list_lag: ListLag) {
        self.now += 1;
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

    fn start(&self) -> EvictionState {
        let permit = |entry| Permit::new(incarnation(entry), u64::from(LEASE) * site::TICK_MS);
        EvictionState {
            log: Vec::new(),
            now: 0,
            sequences: [site::START_SEQUENCE; 3],
            permits: [permit(EVICTED), permit(MOVER), permit(WITNESS)],
            view: 0,
            clock: 0,
            slow_ticks: 0,
            confirmed: 0,
            evicted_work: Work::Idle,
            mover_work: Work::Idle,
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

    fn next(&self, state: &EvictionState, action: &EvictionAction) -> EvictionState {
        let mut state = state.clone();
        match *action {
            EvictionAction::Tick => {
                state.tick(self.list_lag);
                state.clock += 1;
            }
            EvictionAction::SlowTick => {
                state.tick(self.list_lag);
                state.slow_ticks += 1;
            }
            EvictionAction::Append(logged) => {
                state.append(logged);
                match logged.fact {
                    Fact::Evict { .. } => self.promise(&mut state),
                    Fact::Release { .. } if logged.author == MOVER => {
                        state.append(Self::logged(&state, WITNESS, logged.fact));
                    }
                    Fact::Release { .. } => state.evicted_work = Work::Idle,
                    _ => {}
                }
            }
            EvictionAction::Read => state.view += 1,
            EvictionAction::ConfirmLog => {
                let clock_ms = state.clock_ms();
                state.evicted_permit().record_log_confirmation(clock_ms);
                state.confirmed = state.clock + 1;
            }
            EvictionAction::ConfirmPeer => {
                let clock_ms = state.clock_ms();
                state
                    .evicted_permit()
                    .confirm_peer(incarnation(WITNESS), clock_ms);
                state.confirmed = state.clock + 1;
            }
            EvictionAction::Check => {
                if let Some(pool) = serving(&self.view(&state)) {
                    let boot = state.boot;
                    state.evicted_work = Work::Checked { pool, boot };
                }
            }
            EvictionAction::Send => {
                state.evicted_work = match state.evicted_work {
                    Work::Checked { pool, boot } if boot == state.boot => Work::Sent { pool, boot },
                    _ => Work::Idle,
                };
            }
            EvictionAction::MoverSend => {
                if let Some(pool) = serving(&self.head(&state)) {
                    let boot = state.boot;
                    state.mover_work = Work::Sent { pool, boot };
                }
            }
            EvictionAction::Reboot => {
                state.boot += 1;
                if self.list_lag == ListLag::None {
                    state.listed_boot = state.boot;
                }
            }
            EvictionAction::List => state.listed_boot = state.boot,
        }
        state.pass_over();
        state
    }

    fn check(&self, state: &EvictionState) -> Result<(), Violation> {
        let evicted = state.evicted_work.pool_in(state.boot);
        let mover = state.mover_work.pool_in(state.boot);
        match (evicted, mover) {
            (Some(first), Some(second)) if first != second => Err(Violation {
                invariant: "an instance works for one pool",
                seen: String::from("it works for both"),
            }),
            _ => Ok(()),
        }
    }
}
