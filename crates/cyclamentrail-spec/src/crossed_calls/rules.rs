//! What owners do about the worker's incarnations, and what the worker does with calls.

use super::action::Reply;
use super::fault::CrossedFault;
use super::state::{Assignment, Call, CallKind, CrossedState, Response};
use super::{CrossedModel, HOLD_MAX, LEASE, OWNER_ACTS};

/// Ticks for which crossed calls are counted by the fault that counts them.
const CALLS_UNDER_WAY: u8 = 1;

impl CrossedModel {
    /// Makes the second process the owner, which knows what the record tells.
    pub(super) fn claim(&self, state: &mut CrossedState, is_released: bool) {
        state.present = 1;
        state.is_elsewhere |=
            state.is_given_up && self.has_fault(CrossedFault::OpenStartNotRecorded);
        state.former_acts = (!is_released).then_some(OWNER_ACTS);
        let longest = if self.has_fault(CrossedFault::SuccessorCountsGrants) {
            0
        } else {
            HOLD_MAX
        };
        let ignores_acts = self.has_fault(CrossedFault::OwnerMayActIgnored);
        let active = state.former_acts.filter(|_| !ignores_acts).unwrap_or(0);
        let record = state.record;
        let owner = state.owner(1);
        owner.known = record.unwrap_or(0);
        owner.counted = longest.max(active + LEASE);
        owner.run = record.map(|incarnation| Assignment {
            incarnation,
            is_in_doubt: false,
            is_inherited: true,
            is_listed: false,
            open_starts: 1,
        });
        if self.has_fault(CrossedFault::FoundRegisteredNotCounted) {
            let (registered, counted) = (state.worker.incarnation, state.owner(1).counted);
            if state.owner(1).known < registered {
                self.learn_restart(state, 1, registered);
            }
            let owner = state.owner(1);
            owner.counted = counted;
            owner.is_found_registered = true;
        }
    }

    /// Places the task on the incarnation that the owner knows, and sends the start.
    pub(super) fn place(state: &mut CrossedState) {
        let index = state.present;
        let owner = state.owner(index);
        let incarnation = owner.known;
        owner.run = Some(Assignment {
            incarnation,
            is_in_doubt: false,
            is_inherited: false,
            is_listed: false,
            open_starts: 1,
        });
        state.record = Some(incarnation);
        state.send(CallKind::Start, index);
    }

    /// Lets an owner learn of a newer incarnation.
    pub(super) fn learn_restart(&self, state: &mut CrossedState, index: u8, incarnation: u8) {
        let owner = state.owner(index);
        owner.known = incarnation;
        owner.is_acknowledged = false;
        owner.is_found_registered = false;
        owner.counted = if self.has_fault(CrossedFault::CallsCountedForOneTick) {
            CALLS_UNDER_WAY + HOLD_MAX
        } else if self.has_fault(CrossedFault::DoubtEndsWithTime) {
            HOLD_MAX
        } else {
            0
        };
        let Some(run) = &mut owner.run else {
            return;
        };
        if run.is_listed && run.open_starts == 0 {
            self.free(state, index);
            return;
        }
        run.is_in_doubt = true;
        run.is_listed = false;
        if self.has_fault(CrossedFault::DoubtRecordedAsNew) && index == state.present {
            state.record = Some(incarnation);
        }
    }

    /// Lets an owner handle a response of the incarnation that it knows or of a newer one.
    pub(super) fn receive(&self, state: &mut CrossedState, response: Response) {
        let Response {
            call, incarnation, ..
        } = response;
        let index = call.owner;
        if call.kind == CallKind::Start {
            self.count_outcome(state, response);
        }
        if state.owner(index).known < incarnation {
            self.learn_restart(state, index, incarnation);
        }
        let known = state.owner(index).known;
        let has_own_token = self.token(index, call.sent_to) == self.token(index, known)
            || self.has_fault(CrossedFault::AnyResponseAcknowledges);
        let is_late = self.has_fault(CrossedFault::CallsCountedForOneTick) && call.sent_to < known;
        if !response.is_accepted || !has_own_token || is_late {
            return;
        }
        let owner = state.owner(index);
        if !owner.is_acknowledged {
            owner.is_acknowledged = true;
            if !self.lacks(CrossedFault::FirstContactIgnored) && !owner.is_found_registered {
                owner.counted = owner.counted.max(HOLD_MAX);
            }
        }
        if call.kind != CallKind::Start {
            self.settle(state, response);
        }
    }

    /// Counts the outcome of a start, which only the incarnation that it was sent to can tell.
    fn count_outcome(&self, state: &mut CrossedState, response: Response) {
        let Response {
            call, incarnation, ..
        } = response;
        let is_own = call.sent_to == incarnation;
        if !is_own && !self.has_fault(CrossedFault::CrossedOutcomeCounts) {
            return;
        }
        let Some(run) = &mut state.owner(call.owner).run else {
            return;
        };
        if !run.is_inherited {
            run.open_starts = run.open_starts.saturating_sub(1);
            run.is_listed |= is_own && run.incarnation == incarnation && response.is_running;
        }
    }

    /// Handles the list of an incarnation that has acknowledged its token.
    fn settle(&self, state: &mut CrossedState, response: Response) {
        let index = response.call.owner;
        let may_give_up = self.may_give_up(state);
        let Some(run) = &mut state.owner(index).run else {
            return;
        };
        let is_start_rejected = run.is_in_doubt || run.is_inherited;
        // A delayed list may be older than the response that told of the run.
        let has_ended = run.is_listed && !self.has_delayed_responses;
        if response.is_running {
            run.incarnation = response.incarnation;
            run.is_in_doubt = false;
            run.is_inherited = false;
            run.is_listed = true;
            if self.has_fault(CrossedFault::LateStartForgotten) {
                run.open_starts = 0;
            }
            if index == state.present {
                state.record = Some(response.incarnation);
            }
        } else if (is_start_rejected || has_ended) && may_give_up {
            if self.has_fault(CrossedFault::CallsCountedForOneTick) {
                state.worker.stop();
            }
            self.free(state, index);
        }
    }

    /// Gives the run up, after which the task is started again; a replaced owner can't.
    pub(super) fn free(&self, state: &mut CrossedState, index: u8) {
        if index != state.present {
            return;
        }
        if self.keeps_worker {
            state.is_given_up = true;
            state.record = None;
            state.owner(index).run = None;
        } else {
            state.is_elsewhere = true;
        }
    }

    /// Carries a call out.
    pub(super) fn execute(&self, state: &mut CrossedState, call: Call, reply: Reply) {
        state.remove(call);
        let token = self.token(call.owner, call.sent_to);
        let is_accepted = token >= state.worker.highest_token;
        if is_accepted {
            state.worker.highest_token = token;
            state.worker.execute(call);
        }
        let response = Response {
            call,
            incarnation: state.worker.incarnation,
            is_accepted,
            is_running: state.worker.is_running(),
        };
        match reply {
            Reply::Arrives if state.may_act(call.owner) => self.receive(state, response),
            Reply::IsDelayed => state.response = Some(response),
            Reply::Arrives | Reply::IsLost => {}
        }
    }
}
