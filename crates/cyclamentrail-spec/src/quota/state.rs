//! State of the shards, the ledgers and the calls in flight.

use super::{FIRST_TOKEN, SHARDS};

/// Owner of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Owner {
    /// Number of the team's tasks that count, as far as the owner knows.
    pub(super) tasks: u8,
    /// Allowance in force.
    pub(super) allowance: u8,
    /// Highest ledger token that the owner has reported to, or has read from the store.
    pub(super) highest_token: u8,
    /// Whether the owner knows the lowered cap.
    pub(super) is_lowered: bool,
    /// Token and grant of a reply in flight to a call that hasn't timed out.
    pub(super) reply: Option<(u8, u8)>,
}

/// What an owner reports to a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Content {
    pub(super) epoch: u8,
    pub(super) usage: u8,
    pub(super) allowance: u8,
    pub(super) is_lowered: bool,
}

/// Report in flight for some time; other reports are delivered when they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct DelayedReport {
    pub(super) shard: usize,
    pub(super) token: u8,
    pub(super) content: Content,
    /// Whether the ledger has a later report of the same owner, which its sequence number tells.
    pub(super) is_overtaken: bool,
    /// Whether the call hasn't timed out.
    pub(super) is_call_open: bool,
}

/// What a ledger knows of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Account {
    pub(super) epoch: u8,
    pub(super) reservation: u8,
    pub(super) is_lowered: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Ledger {
    /// Lowest epoch of each shard whose reports count.
    pub(super) lowest_epochs: [u8; SHARDS],
    pub(super) accounts: [Option<Account>; SHARDS],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Shard {
    /// Epoch of the owner, with which the store fences the owners before.
    pub(super) epoch: u8,
    /// Stored placements that weren't released.
    pub(super) records: u8,
    /// Tasks that run.
    pub(super) running: u8,
    /// Start commands that may still be carried out.
    pub(super) starts: u8,
    pub(super) owner: Owner,
    /// Owner that was replaced and doesn't know.
    pub(super) replaced: Option<Owner>,
}

/// State of the shards, the ledgers and the calls in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaState {
    pub(super) shards: [Shard; SHARDS],
    /// Ledgers in the order of their tokens; the last is the present one.
    pub(super) ledgers: [Option<Ledger>; 2],
    pub(super) delayed: Option<DelayedReport>,
    /// Number of reports that were delayed.
    pub(super) delays: u8,
    /// Shard, token and grant of a reply to a call that has timed out; kept only if it may be
    /// accepted.
    pub(super) late_reply: Option<(usize, u8, u8)>,
    /// Whether the operator has lowered the cap.
    pub(super) is_lowered: bool,
    /// Whether a start has raised the tasks above the highest cap in force.
    pub(super) has_exceeded: bool,
}

impl QuotaState {
    /// Returns the number of tasks that run or may still be started.
    pub(super) fn tasks(&self) -> u8 {
        self.shards
            .iter()
            .map(|shard| shard.running + shard.starts)
            .sum()
    }

    /// Lets the owner of a shard wait no longer for the reply to its call.
    pub(super) fn drop_call(&mut self, shard: usize) {
        self.shards[shard].owner.reply = None;
        if let Some(delayed) = &mut self.delayed
            && delayed.shard == shard
        {
            delayed.is_call_open = false;
        }
    }

    pub(super) fn present_token(&self) -> u8 {
        if self.ledgers[1].is_some() {
            FIRST_TOKEN + 1
        } else {
            FIRST_TOKEN
        }
    }

    pub(super) fn ledger(&self, token: u8) -> Option<Ledger> {
        self.ledgers[usize::from(token - FIRST_TOKEN)]
    }

    pub(super) fn ledger_mut(&mut self, token: u8) -> Option<&mut Ledger> {
        self.ledgers[usize::from(token - FIRST_TOKEN)].as_mut()
    }
}

impl Shard {
    /// Releases a task that runs no more.
    pub(super) fn release(&mut self) {
        self.records = self.records.saturating_sub(1);
        self.owner.tasks = self.owner.tasks.saturating_sub(1);
    }
}
