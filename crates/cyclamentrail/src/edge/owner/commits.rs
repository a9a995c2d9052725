//! Commits of an owner: when one is due, what happens after it, and the last one.

use std::time::Duration;

use cyclamentrail_adapter::StoreError;
use cyclamentrail_jobs::{Commit, Effect};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Owner, OwnerMessage};
use crate::edge::clocks::now;
use crate::edge::commit_log::CommitLog;
use crate::edge::messages::Reply;

/// Longest time between two rounds while jobs or runs are unfinished.
const BUSY_TICK: Duration = Duration::from_millis(40);
/// Longest time between two rounds while there is nothing to do.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Shortest time between two commits, so that one commit covers several events.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(8);
/// Age of the last confirmation at which an idle owner requests another one, in milliseconds.
const CONFIRM_AGE_MS: u64 = 1_500;
/// Longest time that an owner takes for its last commits after it has lost or given up its shard.
const FINISH_TIMEOUT: Duration = Duration::from_millis(800);

impl Owner {
    /// Commits what isn't durable yet together with the release record, and replies to the callers
    /// that wait for it. Gives up after [`FINISH_TIMEOUT`].
    pub(super) async fn finish(&mut self, receiver: &mut mpsc::UnboundedReceiver<OwnerMessage>) {
        let end = Instant::now() + FINISH_TIMEOUT;
        let mut has_sent_last_commit = false;
        loop {
            if self.commit_log.is_some() {
                if has_sent_last_commit {
                    return;
                }
                has_sent_last_commit = true;
                let mut commit = self.shard.take_last_commit(now());
                commit.records.extend(self.shard.run_times_records(now()));
                commit.records.push(self.shard.release_record(now()));
                self.spawn_commit(Some(commit));
            }
            match tokio::time::timeout_at(end, receiver.recv()).await {
                Ok(Some(OwnerMessage::CommitResult(mut commit, Ok(commit_log)))) => {
                    self.keep_commit_log(commit_log, &mut commit);
                    for effect in self.shard.finish_commit(*commit) {
                        match effect {
                            Effect::Reply(caller, reply) => self.reply_to(caller, reply),
                            Effect::Log(decision) => self.record_decision(decision),
                            _ => {}
                        }
                    }
                }
                Ok(Some(OwnerMessage::Request(_, reply))) => drop(reply.send(Reply::NotOwner)),
                Ok(Some(OwnerMessage::CommitResult(_, Err(_))) | None) | Err(_) => return,
                Ok(Some(_)) => {}
            }
        }
    }

    /// Starts a commit if one is due, or requests a confirmation if the last one is old; returns
    /// the longest wait until the next round.
    pub(super) fn start_due_commit(&mut self, last_commit: &mut Instant) -> Duration {
        let is_busy = self.shard.is_busy();
        let tick = if is_busy { BUSY_TICK } else { IDLE_TICK };
        if self.commit_log.is_none() {
            return tick;
        }
        if !self.shard.needs_commit() {
            let is_old = self.confirmation.age_ms() > CONFIRM_AGE_MS;
            if is_old || self.is_unconfirmed_since_suspension() {
                self.spawn_commit(None);
            }
            return tick;
        }
        let time_since_commit = last_commit.elapsed();
        if time_since_commit < MIN_COMMIT_INTERVAL {
            return MIN_COMMIT_INTERVAL.saturating_sub(time_since_commit);
        }
        *last_commit = Instant::now();
        if let Some(commit) = self.shard.take_commit(now()) {
            if commit.records.is_empty() {
                let effects = self.shard.finish_commit(commit);
                self.carry_out(effects);
            } else {
                self.spawn_commit(Some(commit));
            }
        }
        tick
    }

    /// Appends the records of a commit in a task of its own, or only confirms the ownership if
    /// there is no commit.
    fn spawn_commit(&mut self, commit: Option<Commit>) {
        let Some(commit_log) = self.commit_log.take() else {
            return;
        };
        self.committing_since = Instant::now();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let (commit, result) = match commit {
                Some(commit) => {
                    let result = commit_log.append(&commit.records).await;
                    (commit, result)
                }
                None => (Commit::default(), commit_log.confirm().await),
            };
            let result = result.map(Box::new);
            drop(sender.send(OwnerMessage::CommitResult(Box::new(commit), result)));
        });
    }

    /// Keeps the log for the next commit, and takes what the store refused out of the last one.
    fn keep_commit_log(&mut self, mut commit_log: Box<CommitLog>, commit: &mut Commit) {
        let refused_keys = commit_log.take_refused_keys();
        self.commit_log = Some(commit_log);
        self.shard.refuse_records(commit, &refused_keys);
    }

    /// Carries out what waited for a commit; ends the ownership if the commit will never be durable.
    pub(super) fn handle_commit_result(
        &mut self,
        mut commit: Commit,
        result: Result<Box<CommitLog>, StoreError>,
    ) {
        let bytes = commit.records.iter().map(|record| record.value.len()).sum();
        self.activity
            .record_commit(bytes, self.committing_since.elapsed());
        match result {
            Ok(commit_log) => {
                self.keep_commit_log(commit_log, &mut commit);
                let effects = self.shard.finish_commit(commit);
                self.carry_out(effects);
            }
            Err(error) => {
                log::info!(shard:% = self.service, error:% = error; "ownership_lost");
                self.has_ended = true;
            }
        }
    }
}
