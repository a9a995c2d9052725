//! Calls between the owners and the ledgers: reports, reservations, grants and replies.

use super::state::{Account, Content, Ledger, Owner};
use super::{BASE, Lowering, QuotaFault, QuotaModel, QuotaState, Replacement, SHARDS};
use crate::explore::Violation;

impl QuotaModel {
    /// Returns what an owner reports.
    pub(super) fn content(&self, owner: Owner, epoch: u8) -> Content {
        Content {
            epoch,
            usage: self.usage(owner),
            allowance: owner.allowance,
            is_lowered: owner.is_lowered,
        }
    }

    /// Returns the grants with which a ledger may reply to a report.
    pub(super) fn possible_grants(
        &self,
        ledger: Ledger,
        shard: usize,
        content: Content,
    ) -> Vec<u8> {
        if !self.is_report_taken(ledger, shard, content) {
            return vec![content.allowance];
        }
        let others: Vec<Option<Account>> = (0..SHARDS)
            .filter(|&other| other != shard)
            .map(|other| ledger.accounts[other])
            .collect();
        let has_all = others.iter().all(Option::is_some);
        let lends = has_all || self.has_fault(QuotaFault::LendsBeforeReports);
        let reserved: u8 = others
            .iter()
            .flatten()
            .map(|account| account.reservation)
            .sum();
        if self.lowering == Lowering::AwaitsReply && content.is_lowered {
            let are_lowered = others.iter().flatten().all(|account| account.is_lowered);
            let may_raise = |grant: u8| {
                has_all && are_lowered && reserved + grant.max(content.usage) <= self.cap
            };
            return (0..=self.cap)
                .filter(|&grant| grant <= content.allowance || may_raise(grant))
                .collect();
        }
        (BASE..=self.cap)
            .filter(|&grant| {
                let reservation = grant.max(content.usage).max(content.allowance);
                grant <= content.allowance || (lends && reserved + reservation <= self.cap)
            })
            .collect()
    }

    /// Returns whether a ledger counts a report, by the epoch of its owner.
    pub(super) fn is_report_taken(&self, ledger: Ledger, shard: usize, content: Content) -> bool {
        let known_epoch = ledger.accounts[shard].map_or(0, |account| account.epoch);
        let is_successor = ledger.accounts[shard].is_some() && content.epoch > known_epoch;
        if is_successor && self.has_fault(QuotaFault::SuccessorIgnored) {
            return false;
        }
        let is_replaced = content.epoch < known_epoch;
        (!is_replaced || self.has_fault(QuotaFault::ReplacedOwnerTaken))
            && content.epoch >= ledger.lowest_epochs[shard]
    }

    /// Lets a ledger count a report and reserve its grant.
    pub(super) fn record_report(
        &self,
        ledger: &mut Ledger,
        shard: usize,
        content: Content,
        grant: u8,
    ) {
        if !self.is_report_taken(*ledger, shard, content) {
            return;
        }
        let Content {
            usage, allowance, ..
        } = content;
        let reservation = match self.fault {
            Some(QuotaFault::GrantNotReserved) => usage.max(allowance),
            Some(QuotaFault::ReportNotReserved) => grant,
            Some(QuotaFault::UsageNotReserved) => allowance.max(grant),
            _ => usage.max(allowance).max(grant),
        };
        ledger.accounts[shard] = Some(Account {
            epoch: content.epoch,
            reservation,
            is_lowered: content.is_lowered,
        });
    }

    /// Lets the owner of a shard report to a ledger, which replies.
    pub(super) fn report(&self, state: &mut QuotaState, shard: usize, token: u8, grant: u8) {
        let reporting = &mut state.shards[shard];
        reporting.owner.highest_token = reporting.owner.highest_token.max(token);
        reporting.owner.reply = Some((token, grant));
        let content = self.content(reporting.owner, reporting.epoch);
        if let Some(delayed) = &mut state.delayed
            && delayed.shard == shard
            && delayed.token == token
            && delayed.content.epoch == content.epoch
        {
            delayed.is_overtaken = true;
        }
        if let Some(ledger) = state.ledger_mut(token) {
            self.record_report(ledger, shard, content, grant);
        }
    }

    /// Lets an owner take an allowance from a reply, unless it has reported to a later ledger.
    pub(super) fn accept_reply(&self, owner: &mut Owner, token: u8, grant: u8) {
        if token >= owner.highest_token || self.has_fault(QuotaFault::LowerTokenAccepted) {
            owner.allowance = grant;
        }
    }

    /// Delivers the delayed report.
    pub(super) fn deliver_delayed(&self, state: &mut QuotaState, grant: u8) {
        let Some(delayed) = state.delayed.take() else {
            return;
        };
        let reply = (delayed.token, grant);
        if delayed.is_call_open {
            state.shards[delayed.shard].owner.reply = Some(reply);
        } else if self.has_fault(QuotaFault::LateReplyAccepted) {
            state.late_reply = Some((delayed.shard, delayed.token, grant));
        }
        let is_taken = !delayed.is_overtaken || self.has_fault(QuotaFault::OvertakenReportTaken);
        if is_taken && let Some(ledger) = state.ledger_mut(delayed.token) {
            self.record_report(ledger, delayed.shard, delayed.content, grant);
        }
    }

    /// Returns the ledger with a token if it replies.
    pub(super) fn acting_ledger(&self, state: &QuotaState, token: u8) -> Option<Ledger> {
        let is_replaced = token < state.present_token();
        state
            .ledger(token)
            .filter(|_| !is_replaced || self.replacement == Replacement::GoesOn)
    }

    /// Checks that all loans can be lent again once faults stop: each run ends, and each owner
    /// reports to the present ledger twice and gets its replies.
    pub(super) fn check_loans_return(&self, state: &QuotaState) -> Result<(), Violation> {
        let mut state = state.clone();
        let token = state.present_token();
        for shard in 0..SHARDS {
            state.shards[shard].owner.tasks = 0;
            if self.lowering != Lowering::Never {
                self.learn_cap(&mut state, shard);
            }
        }
        for _ in 0..2 {
            for shard in 0..SHARDS {
                let owner = &state.shards[shard].owner;
                let grant = owner.allowance.min(BASE);
                self.report(&mut state, shard, token, grant);
                self.accept_reply(&mut state.shards[shard].owner, token, grant);
            }
        }
        let present = state.ledgers.iter().flatten().next_back();
        let reservations: Vec<Option<u8>> = present
            .into_iter()
            .flat_map(|ledger| ledger.accounts)
            .map(|account| account.map(|account| account.reservation))
            .collect();
        if reservations
            .iter()
            .all(|it| it.is_some_and(|reservation| reservation <= BASE))
        {
            return Ok(());
        }
        Err(Violation {
            invariant: "the loan of a lost owner comes back",
            observed: format!("the ledger reserves {reservations:?} after all runs have ended"),
        })
    }
}
