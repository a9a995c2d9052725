//! Summary of an owner's work in each second: one log line that stays bounded under load, while
//! the lines about single decisions are left out.

use std::time::Duration;

use cyclamentrail_adapter::BodyBytes;
use cyclamentrail_jobs::{CommandOutcome, Decision, PollOutcome, RejectReason, Timeliness};

use crate::edge::clocks::{boot_ms, whole_ms};

/// Length of the window that one line covers, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Free part of a pool from which a job that is rejected for the backlog counts as rejected with room,
/// in percent; tasks don't fill workers exactly.
const ROOM_PERCENT: u64 = 10;

/// Counts of one window.
#[derive(Debug, Default)]
struct Counts {
    rounds: u32,
    /// Time that the rounds took.
    deciding: Duration,
    /// Time that the handling of messages took.
    handling: Duration,
    /// Calls to workers that the owner sent itself.
    direct_calls: u32,
    /// Calls to workers that were given to relays.
    relayed_calls: u32,
    accepted: u32,
    rejected_overload: u32,
    rejected_other: u32,
    /// Those of `rejected_overload` that were rejected while the pool had room.
    rejected_with_room: u32,
    on_time: u32,
    late_waiting: u32,
    late_repeated: u32,
    late_running: u32,
    starts: u32,
    /// Starts sent to workers that are known to leave.
    starts_to_leaving: u32,
    /// Largest age of the registrations at a start.
    registry_age_ms: u64,
    longest_start_ms: u64,
    longest_poll_ms: u64,
    /// Calls to workers without a response.
    unanswered: u32,
    commits: u32,
    longest_commit_ms: u64,
    committed_bytes: usize,
    ended: u32,
    /// Tasks that admission looked at to know the backlog.
    counted_tasks: u64,
}

/// Counts an owner's work and writes one line for each window in which there was any.
#[derive(Debug)]
pub(super) struct Activity {
    shard: String,
    window_start_ms: u64,
    /// Body bytes of the process's calls to workers and the store at the beginning of the window.
    bytes_before: BodyBytes,
    counts: Counts,
}

impl Activity {
    /// Creates the summary of a shard's owner.
    pub(super) fn new(shard: &str) -> Self {
        Self {
            shard: shard.to_owned(),
            window_start_ms: boot_ms(),
            bytes_before: BodyBytes::default(),
            counts: Counts::default(),
        }
    }

    /// Counts a scheduling round and the time that it took.
    pub(super) fn record_round(&mut self, duration: Duration) {
        self.counts.rounds += 1;
        self.counts.deciding += duration;
    }

    /// Counts the time that the messages between two rounds took.
    pub(super) fn record_handling(&mut self, duration: Duration) {
        self.counts.handling += duration;
    }

    /// Counts tasks that admission looked at to know the backlog.
    pub(super) const fn record_counted_tasks(&mut self, tasks: u64) {
        self.counts.counted_tasks += tasks;
    }

    /// Counts a call to a worker.
    pub(super) fn record_call(&mut self, is_relayed: bool) {
        self.counts.relayed_calls += u32::from(is_relayed);
        self.counts.direct_calls += u32::from(!is_relayed);
    }

    /// Counts a decision.
    pub(super) const fn record_decision(&mut self, decision: &Decision) {
        match decision {
            Decision::JobAccepted { .. } => self.counts.accepted += 1,
            Decision::JobRejected {
                reason,
                free_percent,
                ..
            } => match reason {
                RejectReason::Overload | RejectReason::OverRate => {
                    self.counts.rejected_overload += 1;
                    if *free_percent >= ROOM_PERCENT {
                        self.counts.rejected_with_room += 1;
                    }
                }
                _ => self.counts.rejected_other += 1,
            },
            Decision::JobFinal {
                timeliness: Some(timeliness),
                ..
            } => self.counts.record_timeliness(*timeliness),
            Decision::RunEnded { .. } => self.counts.ended += 1,
            _ => {}
        }
    }

    /// Counts a start command that is sent, by the state in which its worker is known to be.
    pub(super) fn record_start(&mut self, is_worker_leaving: bool, registry_age_ms: u64) {
        self.counts.starts += 1;
        self.counts.starts_to_leaving += u32::from(is_worker_leaving);
        self.counts.registry_age_ms = self.counts.registry_age_ms.max(registry_age_ms);
    }

    /// Counts the result of a start command.
    pub(super) fn record_start_result(&mut self, outcome: &CommandOutcome, duration: Duration) {
        self.counts.unanswered += u32::from(matches!(outcome, CommandOutcome::NoResponse));
        self.counts.longest_start_ms = self.counts.longest_start_ms.max(whole_ms(duration));
    }

    /// Counts the result of a poll; `duration` is the time beyond that for which the worker was
    /// allowed to wait.
    pub(super) fn record_poll_result(&mut self, outcome: &PollOutcome, duration: Duration) {
        self.counts.unanswered += u32::from(matches!(outcome, PollOutcome::NoResponse));
        self.counts.longest_poll_ms = self.counts.longest_poll_ms.max(whole_ms(duration));
    }

    /// Counts a commit that has ended.
    pub(super) fn record_commit(&mut self, bytes: usize, duration: Duration) {
        self.counts.commits += 1;
        self.counts.committed_bytes += bytes;
        self.counts.longest_commit_ms = self.counts.longest_commit_ms.max(whole_ms(duration));
    }

    /// Writes the line of the window if the window is over; `bytes` are the body bytes of the
    /// process's calls to workers and the store so far.
    pub(super) fn write_if_due(&mut self, bytes: BodyBytes) {
        let now_ms = boot_ms();
        if now_ms.saturating_sub(self.window_start_ms) < WINDOW_MS {
            return;
        }
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        let counts = std::mem::take(&mut self.counts);
        let sent_bytes = bytes.sent.saturating_sub(self.bytes_before.sent);
        let received_bytes = bytes.received.saturating_sub(self.bytes_before.received);
        self.bytes_before = bytes;
        self.window_start_ms = now_ms;
        if !counts.has_any() {
            return;
        }
        log::info!(
            shard = self.shard, window_ms,
            rounds = counts.rounds,
            deciding_ms = whole_ms(counts.deciding),
            handling_ms = whole_ms(counts.handling),
            direct_calls = counts.direct_calls,
            relayed_calls = counts.relayed_calls,
            accepted = counts.accepted,
            rejected_overload = counts.rejected_overload,
            rejected_other = counts.rejected_other,
            rejected_with_room = counts.rejected_with_room,
            counted_tasks = counts.counted_tasks,
            on_time = counts.on_time,
            late_waiting = counts.late_waiting,
            late_repeated = counts.late_repeated,
            late_running = counts.late_running,
            ended = counts.ended,
            starts = counts.starts,
            starts_to_leaving = counts.starts_to_leaving,
            registry_age_ms = counts.registry_age_ms,
            longest_start_ms = counts.longest_start_ms,
            longest_poll_ms = counts.longest_poll_ms,
            unanswered = counts.unanswered,
            commits = counts.commits,
            longest_commit_ms = counts.longest_commit_ms,
            committed_bytes = counts.committed_bytes,
            sent_bytes, received_bytes;
            "owner_activity"
        );
    }
}

impl Counts {
    const fn record_timeliness(&mut self, timeliness: Timeliness) {
        let count = match timeliness {
            Timeliness::OnTime => &mut self.on_time,
            Timeliness::LateByWaiting => &mut self.late_waiting,
            Timeliness::LateByRepetition => &mut self.late_repeated,
            Timeliness::LateByRunning => &mut self.late_running,
        };
        *count += 1;
    }

    const fn has_any(&self) -> bool {
        self.accepted > 0
            || self.rejected_overload > 0
            || self.rejected_other > 0
            || self.ended > 0
            || self.starts > 0
            || self.unanswered > 0
    }
}
