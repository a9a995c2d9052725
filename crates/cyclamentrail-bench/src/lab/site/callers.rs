//! Attempts, retries and cancellations of callers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::lab::{LATE_FACTOR, Trace, TraceJob};

/// Times at which callers act, by time in milliseconds and index of the job.
type Agenda = BinaryHeap<Reverse<(u64, usize)>>;

/// Callers of a day.
#[derive(Debug)]
pub(super) struct Callers {
    /// Attempts to submit.
    pub(super) attempts: Agenda,
    /// Cancellations.
    pub(super) cancellations: Agenda,
    /// Retries of each job so far.
    retries: Vec<u32>,
}

impl Callers {
    /// Schedules the first attempts and the cancellations of a trace.
    pub(super) fn new(trace: &Trace) -> Self {
        let jobs = trace.jobs.iter().enumerate();
        let attempts = jobs.clone().map(|(index, job)| Reverse((job.at_ms, index)));
        let cancellations = jobs
            .filter(|(_, job)| job.cancels)
            .map(|(index, job)| Reverse((job.at_ms + job.objective_ms, index)));
        Self {
            attempts: attempts.collect(),
            cancellations: cancellations.collect(),
            retries: vec![0; trace.jobs.len()],
        }
    }

    /// Schedules the next attempt of a caller that was rejected; returns whether it makes one. A
    /// caller gives up after `max_retries`, and when the job would be of no use any more.
    pub(super) fn schedule_retry(
        &mut self,
        job: &TraceJob,
        index: usize,
        now_ms: u64,
        retry_after_ms: u64,
        max_retries: u32,
    ) -> bool {
        let delay_ms = if job.returns_early {
            retry_after_ms / 2
        } else {
            retry_after_ms
        };
        let at_ms = now_ms + delay_ms;
        let is_of_use = at_ms < job.at_ms + LATE_FACTOR * job.objective_ms;
        if self.retries[index] >= max_retries || !is_of_use {
            return false;
        }
        self.retries[index] += 1;
        self.attempts.push(Reverse((at_ms, index)));
        true
    }
}
