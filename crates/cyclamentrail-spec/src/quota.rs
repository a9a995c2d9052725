//! Model of a team's quota over the owners of two shards: bases, loans of a ledger, takeovers, late
//! starts and a lowered cap (docs/design/quota.md).
//!
//! Amounts are shares of the team's cap. The ledger grants any amount that its rule allows, so that
//! every distribution by demand is covered. A start command that was sent may be carried out at any
//! later time; its run counts until the owner knows for certain that it won't run any more. A
//! report may be delayed until after its owner was replaced, and an owner or ledger that was
//! replaced goes on without knowing.

mod action;
mod calls;
mod fault;
mod state;

pub use action::QuotaAction;
pub use fault::QuotaFault;
pub use state::QuotaState;

use crate::explore::{Model, Violation};
use state::{DelayedReport, Ledger, Owner, Shard};

/// Number of shards.
const SHARDS: usize = 2;
/// Number of shares of which the team's cap consists, unless a model has another.
const CAP: u8 = 3;
/// Share that each shard has without permission. The process's bases are a smaller part of the cap;
/// here one task of the ordinary size fits.
const BASE: u8 = 1;
/// Share of one task under the cap at the start.
const TASK: u8 = 1;
/// Share of one task under the lowered cap, which is half as large.
const TASK_LOWERED: u8 = 2;
/// Index of the shard whose owner is replaced; the shards are alike.
const REPLACED: usize = 0;
/// Largest number of start commands in flight for a shard.
const MAX_STARTS: u8 = 1;
/// Largest number of delayed reports.
const MAX_DELAYS: u8 = 1;
/// Fencing token of the first ledger; the second has the next.
const FIRST_TOKEN: u8 = 1;

/// What a ledger does that is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Replacement {
    /// No ledger is replaced.
    Never,
    /// It goes on replying.
    GoesOn,
    /// It replies to nothing.
    Stops,
}

/// How a lowered cap takes effect at an owner that learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lowering {
    /// The cap isn't lowered.
    Never,
    /// The owner keeps its allowance, which is a share of the lowered cap from then on.
    KeepsAllowance,
    /// The owner starts nothing until a reply to a report under the lowered cap. The ledger grants
    /// nothing to such a report until all shards have reported under the lowered cap.
    AwaitsReply,
}

/// Model of the quota of one team.
#[derive(Debug)]
pub struct QuotaModel {
    fault: Option<QuotaFault>,
    has_takeover: bool,
    replacement: Replacement,
    /// Whether each task is larger than the whole cap.
    has_oversize_tasks: bool,
    cap: u8,
    lowering: Lowering,
    /// Whether the cap before it was lowered counts as being in force.
    earlier_cap_counts: bool,
}

impl Default for QuotaModel {
    fn default() -> Self {
        Self::new()
    }
}

impl QuotaModel {
    /// Creates the model with one ledger, whose shards keep their owners.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            fault: None,
            has_takeover: false,
            replacement: Replacement::Never,
            has_oversize_tasks: false,
            cap: CAP,
            lowering: Lowering::Never,
            earlier_cap_counts: false,
        }
    }

    /// Lets another process take over a shard, once.
    #[must_use]
    pub const fn takeover(mut self) -> Self {
        self.has_takeover = true;
        self
    }

    /// Lets another process become the ledger, once.
    #[must_use]
    pub const fn second_ledger(mut self) -> Self {
        self.replacement = Replacement::GoesOn;
        self
    }

    /// Lets another process become the ledger, once; the one before replies to nothing from then on,
    /// as one whose clock tells it in time.
    #[must_use]
    pub const fn stopped_ledger(mut self) -> Self {
        self.replacement = Replacement::Stops;
        self
    }

    /// Sets the number of tasks of which the cap consists.
    #[must_use]
    pub const fn cap(mut self, tasks: u8) -> Self {
        self.cap = tasks;
        self
    }

    /// Judges starts by the cap before it was lowered.
    #[must_use]
    pub const fn earlier_cap_counts(mut self) -> Self {
        self.earlier_cap_counts = true;
        self
    }

    /// Makes each task larger than the whole cap.
    #[must_use]
    pub const fn oversize_tasks(mut self) -> Self {
        self.has_oversize_tasks = true;
        self
    }

    /// Lets the operator lower the cap; owners that learn of it keep their allowance.
    #[must_use]
    pub const fn lowered_cap(mut self) -> Self {
        self.lowering = Lowering::KeepsAllowance;
        self
    }

    /// Lets the operator lower the cap; owners that learn of it start nothing until a reply to a
    /// report under the lowered cap.
    #[must_use]
    pub const fn awaited_lowered_cap(mut self) -> Self {
        self.lowering = Lowering::AwaitsReply;
        self
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: QuotaFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: QuotaFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the share of one task under the cap that an owner knows.
    const fn task_share(&self, is_lowered: bool) -> u8 {
        if self.has_oversize_tasks {
            self.cap + 1
        } else if is_lowered {
            TASK_LOWERED
        } else {
            TASK
        }
    }

    const fn usage(&self, owner: Owner) -> u8 {
        owner.tasks * self.task_share(owner.is_lowered)
    }

    /// Returns whether an owner may start another task.
    fn may_place(&self, owner: Owner) -> bool {
        let task = self.task_share(owner.is_lowered);
        if task > self.cap {
            let holds_loans = owner.allowance >= self.cap - BASE
                || self.has_fault(QuotaFault::OversizeWithoutLoans);
            return owner.tasks == 0 && holds_loans;
        }
        self.usage(owner) + task <= owner.allowance
    }

    /// Returns how much may run at once, where `task` is the share of one task. Only with tasks that
    /// are larger than the cap, and for owners that keep their allowance when the cap is lowered, is
    /// it one task more than the cap, as the rule allows.
    fn largest_total(&self, task: u8) -> u8 {
        match self.lowering {
            Lowering::KeepsAllowance => self.cap + task,
            Lowering::Never | Lowering::AwaitsReply => self.cap.max(task),
        }
    }

    /// Stores and sends a start of the owner of a shard, or of the one that was replaced.
    fn place(&self, state: &mut QuotaState, shard: usize, is_replaced: bool) {
        let placed_in = &mut state.shards[shard];
        placed_in.starts += 1;
        if !self.has_fault(QuotaFault::StartedBeforeStored) {
            placed_in.records += 1;
        }
        match &mut placed_in.replaced {
            Some(replaced) if is_replaced => replaced.tasks += 1,
            _ => placed_in.owner.tasks += 1,
        }
        let is_lowered =
            !self.earlier_cap_counts && state.shards.iter().all(|shard| shard.owner.is_lowered);
        let task = self.task_share(is_lowered);
        state.has_exceeded |= state.tasks() * task > self.largest_total(task);
    }

    /// Lets another process take over a shard.
    fn take_over(&self, state: &mut QuotaState) {
        let token = state.present_token();
        state.drop_call(REPLACED);
        let shard = &mut state.shards[REPLACED];
        shard.replaced = Some(shard.owner);
        shard.epoch += 1;
        let may_read_token = !self.has_fault(QuotaFault::TokenNotRead);
        shard.owner = Owner {
            tasks: shard.records,
            allowance: BASE,
            highest_token: if may_read_token { token } else { FIRST_TOKEN },
            is_lowered: shard.owner.is_lowered,
            reply: None,
        };
    }

    /// Lets the owner of a shard take note of the lowered cap.
    fn learn_cap(&self, state: &mut QuotaState, shard: usize) {
        let owner = &mut state.shards[shard].owner;
        owner.is_lowered = true;
        if self.lowering == Lowering::AwaitsReply {
            owner.allowance = 0;
            state.drop_call(shard);
        }
    }

    /// Adds the steps of the tasks of a shard.
    fn task_actions(&self, state: &QuotaState, index: usize, actions: &mut Vec<QuotaAction>) {
        let shard = &state.shards[index];
        if shard.starts < MAX_STARTS && self.may_place(shard.owner) {
            actions.push(QuotaAction::Place(index));
        }
        let are_fenced = !self.has_fault(QuotaFault::PlacementsNotFenced);
        if let Some(replaced) = shard.replaced
            && !are_fenced
            && self.may_place(replaced)
        {
            actions.push(QuotaAction::PlaceReplaced(index));
        }
        if shard.starts > 0 {
            actions.push(QuotaAction::ExecuteStart(index));
            actions.push(QuotaAction::ConfirmStop(index));
            if self.has_fault(QuotaFault::LateStartFreed) {
                actions.push(QuotaAction::FreeUnanswered(index));
            }
        }
        if shard.running > 0 {
            actions.push(QuotaAction::EndRun(index));
            if self.has_fault(QuotaFault::StoppingNotCounted) {
                actions.push(QuotaAction::StopUncounted(index));
            }
        }
    }

    /// Adds the calls between a shard and the ledgers.
    fn call_actions(&self, state: &QuotaState, index: usize, actions: &mut Vec<QuotaAction>) {
        let shard = &state.shards[index];
        let is_delayed = state
            .delayed
            .is_some_and(|delayed| delayed.shard == index && delayed.is_call_open);
        if shard.owner.reply.is_some() {
            actions.push(QuotaAction::ReceiveReply(index));
            actions.push(QuotaAction::TimeOut(index));
        } else if is_delayed {
            actions.push(QuotaAction::TimeOut(index));
        }
        for token in FIRST_TOKEN..=state.present_token() {
            let Some(ledger) = self.acting_ledger(state, token) else {
                continue;
            };
            if shard.replaced.is_some() {
                actions.push(QuotaAction::ReportReplaced {
                    shard: index,
                    token,
                });
            }
            let is_replaced_ledger = token < shard.owner.highest_token
                && !self.has_fault(QuotaFault::LowerTokenAccepted);
            if shard.owner.reply.is_some() || is_delayed || is_replaced_ledger {
                continue;
            }
            let content = self.content(shard.owner, shard.epoch);
            let grants = self.possible_grants(ledger, index, content);
            actions.extend(grants.into_iter().map(|grant| QuotaAction::Report {
                shard: index,
                token,
                grant,
            }));
            if state.delays < MAX_DELAYS {
                actions.push(QuotaAction::DelayReport {
                    shard: index,
                    token,
                });
            }
        }
    }
}

impl Model for QuotaModel {
    type State = QuotaState;
    type Action = QuotaAction;

    fn initial_state(&self) -> QuotaState {
        let owner = Owner {
            tasks: 0,
            allowance: BASE,
            highest_token: FIRST_TOKEN,
            is_lowered: false,
            reply: None,
        };
        let shard = Shard {
            epoch: 0,
            records: 0,
            running: 0,
            starts: 0,
            owner,
            replaced: None,
        };
        QuotaState {
            shards: [shard; SHARDS],
            ledgers: [Some(Ledger::default()), None],
            delayed: None,
            delays: 0,
            late_reply: None,
            is_lowered: false,
            has_exceeded: false,
        }
    }

    fn actions(&self, state: &QuotaState) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        for index in 0..SHARDS {
            self.task_actions(state, index, &mut actions);
            self.call_actions(state, index, &mut actions);
            if state.is_lowered && !state.shards[index].owner.is_lowered {
                actions.push(QuotaAction::LearnCap(index));
            }
        }
        if let Some(delayed) = &state.delayed {
            let ignored = delayed.is_overtaken && !self.has_fault(QuotaFault::OvertakenReportTaken);
            let grants = match self.acting_ledger(state, delayed.token) {
                Some(ledger) if !ignored => {
                    self.possible_grants(ledger, delayed.shard, delayed.content)
                }
                Some(_) => vec![delayed.content.allowance],
                None => Vec::new(),
            };
            actions.extend(grants.into_iter().map(QuotaAction::DeliverDelayed));
        }
        if state.late_reply.is_some() {
            actions.push(QuotaAction::ReceiveLateReply);
        }
        if self.has_takeover && state.shards[REPLACED].epoch == 0 {
            actions.push(QuotaAction::TakeOver);
        }
        if self.replacement != Replacement::Never && state.ledgers[1].is_none() {
            actions.push(QuotaAction::ChangeLedger);
        }
        if self.lowering != Lowering::Never && !state.is_lowered {
            actions.push(QuotaAction::LowerCap);
        }
        actions
    }

    fn next_state(&self, state: &QuotaState, action: &QuotaAction) -> QuotaState {
        let mut state = state.clone();
        match *action {
            QuotaAction::Place(shard) => self.place(&mut state, shard, false),
            QuotaAction::PlaceReplaced(shard) => self.place(&mut state, shard, true),
            QuotaAction::ExecuteStart(shard) => {
                state.shards[shard].starts -= 1;
                state.shards[shard].running += 1;
            }
            QuotaAction::EndRun(shard) => {
                state.shards[shard].running -= 1;
                state.shards[shard].release();
            }
            QuotaAction::ConfirmStop(shard) => {
                state.shards[shard].starts -= 1;
                state.shards[shard].release();
            }
            QuotaAction::StopUncounted(shard) | QuotaAction::FreeUnanswered(shard) => {
                state.shards[shard].release();
            }
            QuotaAction::Report {
                shard,
                token,
                grant,
            } => self.report(&mut state, shard, token, grant),
            QuotaAction::DelayReport { shard, token } => {
                let reporting = &mut state.shards[shard];
                reporting.owner.highest_token = reporting.owner.highest_token.max(token);
                let content = self.content(reporting.owner, reporting.epoch);
                state.delays += 1;
                state.delayed = Some(DelayedReport {
                    shard,
                    token,
                    content,
                    is_overtaken: false,
                    is_call_open: true,
                });
            }
            QuotaAction::DeliverDelayed(grant) => self.deliver_delayed(&mut state, grant),
            QuotaAction::ReportReplaced { shard, token } => {
                let reporting = &mut state.shards[shard];
                if let Some(mut replaced) = reporting.replaced {
                    let content = self.content(replaced, reporting.epoch - 1);
                    replaced.allowance = replaced.allowance.min(BASE);
                    reporting.replaced = Some(replaced);
                    if let Some(ledger) = state.ledger_mut(token) {
                        self.record_report(ledger, shard, content, replaced.allowance);
                    }
                }
            }
            QuotaAction::ReceiveReply(shard) => {
                let owner = &mut state.shards[shard].owner;
                if let Some((token, grant)) = owner.reply.take() {
                    self.accept_reply(owner, token, grant);
                }
            }
            QuotaAction::TimeOut(shard) => {
                if let Some((token, grant)) = state.shards[shard].owner.reply
                    && self.has_fault(QuotaFault::LateReplyAccepted)
                {
                    state.late_reply = Some((shard, token, grant));
                }
                state.drop_call(shard);
            }
            QuotaAction::ReceiveLateReply => {
                if let Some((shard, token, grant)) = state.late_reply.take() {
                    self.accept_reply(&mut state.shards[shard].owner, token, grant);
                }
            }
            QuotaAction::TakeOver => self.take_over(&mut state),
            QuotaAction::ChangeLedger => {
                let may_read_epochs = !self.has_fault(QuotaFault::EpochsNotRead);
                let epochs = state.shards.map(|shard| shard.epoch);
                state.ledgers[1] = Some(Ledger {
                    lowest_epochs: if may_read_epochs { epochs } else { [0; SHARDS] },
                    accounts: [None; SHARDS],
                });
            }
            QuotaAction::LowerCap => state.is_lowered = true,
            QuotaAction::LearnCap(shard) => self.learn_cap(&mut state, shard),
        }
        state
    }

    fn check_invariants(&self, state: &QuotaState) -> Result<(), Violation> {
        if state.has_exceeded {
            let tasks = state.tasks();
            return Err(Violation {
                invariant: "a start never raises a team's tasks above its cap",
                observed: format!("{tasks} tasks run or may still be started"),
            });
        }
        self.check_loans_return(state)
    }
}
