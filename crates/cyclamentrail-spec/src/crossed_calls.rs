//! Model of calls that were sent to one incarnation of a worker and are carried out by a later one.
//!
//! Calls name the worker by its id. One without a response may be carried out at any later time, by
//! whatever incarnation runs then; a time in it that was meant for another clock grants the longest lease
//! that the worker accepts. The second owner takes the shard over after the first one has released it, or
//! while that one is dead or still acts.
//!
//! The rules: an owner calls each incarnation with a token of its own, higher than those before, and
//! a later owner's are higher still. No task is placed on an incarnation before it has responded to such a
//! call; from that response on, the lease counts for the longest lease. A run whose start may have reached
//! a newer incarnation is in doubt: until that contact it is neither given up nor recorded anew. A
//! successor counts the longest lease from its claim, or what the owner before it may still grant.
//!
//! Times are kept as what is left of them, so that any number of ticks may pass. The worker is cut off
//! while its calls or their responses are lost; an owner that takes no step is suspended or killed. A call
//! that grants a lease stands for the start of another task, too. Each incarnation ends with a clock that
//! is far ahead of its successor's, the worst case.
//!
//! Left out:
//!
//! - restarts after the run was given up ([`CrossedModel::late_restarts`]), unless the next run keeps to the
//!   worker ([`CrossedModel::keep_worker`]). A start without an outcome begins the run if it arrives before a
//!   further incarnation has seen a token, and nothing on the wire prevents it. The next run is therefore
//!   started on the present incarnation, once that one has responded and doesn't list the run, and elsewhere
//!   only once no start is under way any more, for which the product counts a time;
//! - restarts that an owner hasn't seen when it gives a run up, because its view of the registry is old, or
//!   the restart came after the list that lacks the run. A start that has reached the unseen incarnation
//!   runs there ([`CrossedModel::unseen_restarts`]). Where a run with a start without an outcome doesn't end
//!   with its lease, an old view of the registry does no harm ([`CrossedModel::await_outcomes`]);
//! - workers that the registry no longer lists, slow clocks, and recorded leases of silent workers, for
//!   which see [`HandoverModel`](crate::HandoverModel).

use crate::explore::{Model, Violation};

mod action;
mod fault;
mod rules;
mod state;

pub use action::{CrossedAction, Reply};
pub use fault::CrossedFault;
pub use state::{Call, CrossedState, Response};

use state::{Assignment, CallKind};

/// Length of a lease in ticks.
const LEASE: u8 = 2;
/// Longest lease that the worker accepts, in ticks.
const HOLD_MAX: u8 = 3;
/// Ticks for which an owner may act after its successor's claim, unless it released the shard.
const OWNER_ACTS: u8 = 2;
/// Largest number of calls in flight.
const MAX_CALLS: usize = 2;
/// Largest number of starts without an outcome.
const MAX_OPEN_STARTS: u8 = 2;
/// Distance between the first tokens of two owners.
const TOKENS_PER_OWNER: u8 = 4;

/// Which restarts are part of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restarts {
    /// Those that the owner has seen when it gives the run up.
    Seen,
    /// Those before the task is started elsewhere.
    Unseen,
    /// Those that the owner has seen, and later ones.
    Late,
}

/// Model of a task on a worker that restarts under its id while calls to it are in flight.
#[derive(Debug)]
pub struct CrossedModel {
    max_restarts: u8,
    fault: Option<CrossedFault>,
    restarts: Restarts,
    has_delayed_responses: bool,
    awaits_outcomes: bool,
    keeps_worker: bool,
}

impl CrossedModel {
    /// Creates a model in which the worker restarts up to `max_restarts` times.
    #[must_use]
    pub const fn new(max_restarts: u8) -> Self {
        Self {
            max_restarts,
            fault: None,
            restarts: Restarts::Seen,
            has_delayed_responses: false,
            awaits_outcomes: false,
            keeps_worker: false,
        }
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: CrossedFault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Lets the worker restart after the task was started elsewhere.
    #[must_use]
    pub const fn late_restarts(mut self) -> Self {
        self.restarts = Restarts::Late;
        self
    }

    /// Lets an owner give a run up before it has seen a restart.
    #[must_use]
    pub const fn unseen_restarts(mut self) -> Self {
        self.restarts = Restarts::Unseen;
        self
    }

    /// Delays responses, one at a time, so that others overtake it. A list that lacks a run that was known to
    /// be there doesn't end the run then, because it may be older.
    #[must_use]
    pub const fn delayed_responses(mut self) -> Self {
        self.has_delayed_responses = true;
        self
    }

    /// Lets no run end with the lease while a start has no outcome, so that it waits for a contact.
    #[must_use]
    pub const fn await_outcomes(mut self) -> Self {
        self.awaits_outcomes = true;
        self
    }

    /// Starts the next run of a task on the same worker while a start of the one before may be carried out.
    #[must_use]
    pub const fn keep_worker(mut self) -> Self {
        self.keeps_worker = true;
        self
    }

    fn has_fault(&self, fault: CrossedFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns whether a rule is left out by its own fault or by the one that stands for several.
    fn lacks(&self, fault: CrossedFault) -> bool {
        self.has_fault(fault) || self.has_fault(CrossedFault::CallsCountedForOneTick)
    }

    /// Returns the fencing token with which an owner calls an incarnation.
    fn token(&self, owner: u8, incarnation: u8) -> u8 {
        if self.lacks(CrossedFault::NoOwnToken) {
            1 + owner
        } else if self.has_fault(CrossedFault::TokensOverlap) {
            1 + incarnation
        } else {
            1 + owner * TOKENS_PER_OWNER + incarnation
        }
    }

    /// Adds the steps that an owner may take, whether or not it has been replaced.
    fn owner_actions(state: &CrossedState, index: u8, actions: &mut Vec<CrossedAction>) {
        if !state.may_act(index) {
            return;
        }
        let owner = &state.owners[usize::from(index)];
        if owner.known < state.worker.incarnation {
            actions.push(CrossedAction::ReadRegistration(index));
        }
        if !state.has_room() {
            return;
        }
        actions.push(CrossedAction::Poll(index));
        actions.push(CrossedAction::Hold(index));
        let may_repeat = |run: Assignment| {
            !run.is_in_doubt
                && !run.is_inherited
                && !run.is_listed
                && run.open_starts < MAX_OPEN_STARTS
        };
        if owner.run.is_some_and(may_repeat) {
            actions.push(CrossedAction::RepeatStart(index));
        }
    }

    /// Adds the steps that only the present owner may take, because they are stored.
    fn present_actions(&self, state: &CrossedState, actions: &mut Vec<CrossedAction>) {
        if state.present == 0 {
            actions.extend([true, false].map(|is_released| CrossedAction::Claim { is_released }));
        }
        let owner = &state.owners[usize::from(state.present)];
        if state.is_given_up {
            self.next_run_actions(state, actions);
            return;
        }
        match owner.run {
            None => {
                let may_place =
                    owner.is_acknowledged || self.lacks(CrossedFault::PlacedBeforeContact);
                if may_place && state.has_room() {
                    actions.push(CrossedAction::Place);
                }
            }
            Some(run) => {
                if owner.counted == 0 && self.may_end(run) && self.may_give_up(state) {
                    actions.push(CrossedAction::GiveUp);
                }
            }
        }
    }

    /// Adds the starts of the next run once the first one was given up.
    fn next_run_actions(&self, state: &CrossedState, actions: &mut Vec<CrossedAction>) {
        if state.worker.has_next_run {
            return;
        }
        let owner = &state.owners[usize::from(state.present)];
        let is_reached =
            owner.is_acknowledged || self.has_fault(CrossedFault::NextRunBeforeContact);
        let is_free = !state.worker.is_running();
        if is_reached && is_free && owner.known == state.worker.incarnation {
            actions.push(CrossedAction::StartAgain);
        }
        if is_free && !state.may_start() {
            actions.push(CrossedAction::StartElsewhere);
        }
    }

    /// Returns whether a run ends with the lease.
    fn may_end(&self, run: Assignment) -> bool {
        let has_outcome = run.open_starts == 0 || !self.awaits_outcomes;
        has_outcome && (!run.is_in_doubt || self.lacks(CrossedFault::DoubtEndsWithTime))
    }

    /// Returns whether the present owner has seen every restart, as is assumed of one that gives a run up.
    fn may_give_up(&self, state: &CrossedState) -> bool {
        let owner = &state.owners[usize::from(state.present)];
        self.restarts == Restarts::Unseen || owner.known == state.worker.incarnation
    }

    /// Returns whether the worker may restart.
    const fn may_restart(&self, state: &CrossedState) -> bool {
        state.worker.incarnation < self.max_restarts
            && (!state.is_elsewhere || matches!(self.restarts, Restarts::Late))
    }

    /// Drops the calls that the last incarnation rejects, and the first owner once it rejects all of
    /// that one's calls.
    fn drop_rejected(&self, state: &mut CrossedState) {
        if self.may_restart(state) {
            return;
        }
        let highest_token = state.worker.highest_token;
        for slot in &mut state.calls {
            *slot = slot.filter(|call| self.token(call.owner, call.sent_to) >= highest_token);
        }
        if self.token(0, self.max_restarts) < highest_token {
            state.former_acts = None;
        }
    }
}

impl Model for CrossedModel {
    type State = CrossedState;
    type Action = CrossedAction;

    fn initial_state(&self) -> CrossedState {
        CrossedState::default()
    }

    fn actions(&self, state: &CrossedState) -> Vec<CrossedAction> {
        let mut actions = vec![CrossedAction::Tick];
        if self.may_restart(state) {
            actions.push(CrossedAction::Restart);
        }
        for call in state.calls.iter().flatten().copied() {
            actions.push(CrossedAction::Lose(call));
            let replies = [Reply::Arrives, Reply::IsLost].into_iter();
            let may_delay = self.has_delayed_responses && state.response.is_none();
            let replies = replies.chain(may_delay.then_some(Reply::IsDelayed));
            actions.extend(replies.map(|reply| CrossedAction::Execute { call, reply }));
        }
        if state.response.is_some() {
            actions.push(CrossedAction::Receive);
        }
        if state.present == 1 {
            Self::owner_actions(state, 0, &mut actions);
        }
        if !state.is_elsewhere {
            Self::owner_actions(state, state.present, &mut actions);
            self.present_actions(state, &mut actions);
        }
        actions
    }

    fn next_state(&self, state: &CrossedState, action: &CrossedAction) -> CrossedState {
        let mut state = state.clone();
        match *action {
            CrossedAction::Tick => state.tick(),
            CrossedAction::Claim { is_released } => self.claim(&mut state, is_released),
            CrossedAction::Restart => state.restart(),
            CrossedAction::ReadRegistration(index) => {
                let incarnation = state.worker.incarnation;
                self.learn_restart(&mut state, index, incarnation);
            }
            CrossedAction::Place => Self::place(&mut state),
            CrossedAction::RepeatStart(index) => {
                if let Some(run) = &mut state.owner(index).run {
                    run.open_starts += 1;
                }
                state.send(CallKind::Start, index);
            }
            CrossedAction::Poll(index) => state.send(CallKind::Poll, index),
            CrossedAction::Hold(index) => state.send(CallKind::Hold, index),
            CrossedAction::Execute { call, reply } => self.execute(&mut state, call, reply),
            CrossedAction::Receive => {
                if let Some(response) = state.response.take() {
                    self.receive(&mut state, response);
                }
            }
            CrossedAction::Lose(call) => state.remove(call),
            CrossedAction::GiveUp => {
                let index = state.present;
                self.free(&mut state, index);
            }
            CrossedAction::StartElsewhere => state.is_elsewhere = true,
            CrossedAction::StartAgain => state.worker.has_next_run = true,
        }
        self.drop_rejected(&mut state);
        state.drop_ineffective();
        state
    }

    fn check_invariants(&self, state: &CrossedState) -> Result<(), Violation> {
        let runs_next = state.is_elsewhere || state.worker.has_next_run;
        if runs_next && state.worker.is_running() {
            return Err(Violation {
                invariant: "a task has one run at a time",
                observed: format!(
                    "incarnation {} of the worker still runs it",
                    state.worker.incarnation
                ),
            });
        }
        Ok(())
    }
}
