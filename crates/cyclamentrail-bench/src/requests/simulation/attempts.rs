//! Handles an attempt from its arrival at a server to its reply, retry or timeout.

use cyclamentrail_core::{AttemptEnd, AttemptResult, RequestClass, may_eject};
use rand::Rng;

use super::{Attempt, BASELINE_RETRIES, Event, PROMISED_SERVERS, Reply, Simulation};
use crate::requests::entry::rack_of;
use crate::requests::policy::{Policy, Sharing};

impl Simulation {
    /// Starts an attempt at its server, or sends the refusal back.
    pub(super) fn start_at_server(&mut self, attempt: usize) {
        let Attempt {
            request,
            entry,
            server,
            ..
        } = self.attempts[attempt];
        let work_us = self.arrivals[request].work_us;
        if let Some(took_us) = self.servers[server].start(work_us, self.now_us) {
            self.schedule(self.now_us + took_us, Event::ServerDone(attempt));
            return;
        }
        let delay_us = self.entries[entry].delay_us(server);
        let result = Reply::Refused;
        self.schedule(self.now_us + delay_us, Event::Reply { attempt, result });
    }

    /// Ends an attempt at its server and sends the reply back.
    pub(super) fn finish_at_server(&mut self, attempt: usize) {
        let Attempt { entry, server, .. } = self.attempts[attempt];
        let served = self.servers[server].end(self.now_us);
        let result = if served { Reply::Served } else { Reply::Error };
        let delay_us = self.entries[entry].delay_us(server);
        self.schedule(self.now_us + delay_us, Event::Reply { attempt, result });
    }

    /// Handles a reply at the entry; a reply after the attempt's timeout is ignored.
    pub(super) fn reply(&mut self, attempt: usize, result: Reply) {
        if !std::mem::replace(&mut self.attempts[attempt].open, false) {
            return;
        }
        let request = self.attempts[attempt].request;
        if self.policy != Policy::Baseline {
            self.record_reply(attempt, result);
        }
        if self.states[request].ended {
            return;
        }
        match result {
            Reply::Served => self.record_response(request),
            Reply::Refused => self.retry_or_fail(attempt, AttemptEnd::Refused),
            Reply::Error => self.retry_or_fail(attempt, AttemptEnd::ServerError),
        }
    }

    /// Records the result of an attempt at its server's link and hands its slot to a waiting
    /// request.
    fn record_reply(&mut self, attempt: usize, result: Reply) {
        let Attempt {
            request,
            entry,
            server,
            started_us,
            ..
        } = self.attempts[attempt];
        let class = self.arrivals[request].class;
        let learns = matches!(
            self.policy,
            Policy::Core {
                sharing: Sharing::Learned,
                ..
            }
        );
        let took_us = self.now_us - started_us;
        match result {
            Reply::Served => {
                let entry = &mut self.entries[entry];
                entry.admission.record_response_time(class, took_us);
                let response_time = *entry.admission.response_time(class);
                let result = entry.links[server].record_response_time(
                    class,
                    took_us,
                    self.now_us,
                    &response_time,
                );
                self.record_result(self.attempts[attempt].entry, server, result);
            }
            Reply::Refused if learns => self.record_result(entry, server, AttemptResult::Refused),
            Reply::Refused => {}
            Reply::Error => self.record_result(entry, server, AttemptResult::ServerError),
        }
        self.release_slot(entry, server, class);
    }

    fn record_result(&mut self, entry: usize, server: usize, result: AttemptResult) {
        let entry = &mut self.entries[entry];
        let ejected = entry.other_ejected_count(server);
        let ejectable = may_eject(self.servers.len(), ejected, PROMISED_SERVERS);
        let jitter = self.random.random();
        entry.links[server].record_attempt(result, self.now_us, ejectable, jitter);
    }

    /// Releases a slot of a server and sends a waiting request to it, if one may use it.
    fn release_slot(&mut self, entry: usize, server: usize, class: RequestClass) {
        let now_us = self.now_us;
        let entry_state = &mut self.entries[entry];
        let link = &mut entry_state.links[server];
        link.release(class);
        let dequeued = entry_state
            .admission
            .dequeue_for_freed_slot(class, now_us, |class| {
                link.may_occupy_freed_slot(class, now_us)
            });
        let next_request = dequeued.request;
        if let Some(request) = next_request {
            link.occupy_freed_slot(self.arrivals[request].class, now_us);
        }
        for (late, refusal) in dequeued.late {
            self.refuse(late, refusal);
        }
        if let Some(request) = next_request {
            self.send(request, entry, server);
        }
    }

    fn record_response(&mut self, request: usize) {
        self.states[request].ended = true;
        let arrival = &self.arrivals[request];
        let in_time = self.now_us <= arrival.deadline_us;
        if in_time {
            self.useful_us += arrival.work_us;
        }
        if arrival.class == RequestClass::Long {
            self.report.long_in_time += u64::from(in_time);
            return;
        }
        self.report
            .response_us
            .saturating_record(self.now_us - arrival.at_us);
        if in_time {
            self.report.in_time += 1;
            self.report.team_in_time[arrival.team] += 1;
        } else {
            self.report.late += 1;
        }
    }

    /// Schedules the next attempt at a request, or counts the request as failed.
    fn retry_or_fail(&mut self, attempt: usize, end: AttemptEnd) {
        let Attempt {
            request,
            entry,
            server,
            ..
        } = self.attempts[attempt];
        if self.policy == Policy::Baseline {
            self.retry_baseline(request);
            return;
        }
        let state = &mut self.states[request];
        state.avoided_rack = Some(rack_of(server));
        let budget = &mut self.entries[entry].budget;
        match state
            .retry_state
            .next_pause_us(end, self.now_us, budget, &mut self.random)
        {
            Some(pause_us) => self.schedule(self.now_us + pause_us, Event::Retry(request)),
            None => self.fail(request),
        }
    }

    fn retry_baseline(&mut self, request: usize) {
        let state = &mut self.states[request];
        if state.baseline_retries >= BASELINE_RETRIES {
            self.fail(request);
            return;
        }
        state.baseline_retries += 1;
        self.start(request, self.states[request].entry, false);
    }

    fn fail(&mut self, request: usize) {
        self.states[request].ended = true;
        if self.arrivals[request].class == RequestClass::Quick {
            self.report.failed += 1;
        }
    }

    /// Handles the timeout of an attempt that has no reply.
    ///
    /// The core gives an attempt up only if another one is permitted; the baseline always does.
    pub(super) fn time_out(&mut self, attempt: usize) {
        let Attempt {
            request,
            entry,
            server,
            open,
            ..
        } = self.attempts[attempt];
        if !open || self.states[request].ended {
            return;
        }
        if self.policy == Policy::Baseline {
            self.attempts[attempt].open = false;
            self.retry_baseline(request);
            return;
        }
        let state = &mut self.states[request];
        let budget = &mut self.entries[entry].budget;
        let pause = state.retry_state.next_pause_us(
            AttemptEnd::Stalled,
            self.now_us,
            budget,
            &mut self.random,
        );
        let Some(pause_us) = pause else { return };
        state.avoided_rack = Some(rack_of(server));
        self.attempts[attempt].open = false;
        self.record_result(entry, server, AttemptResult::Broken);
        self.release_slot(entry, server, self.arrivals[request].class);
        self.schedule(self.now_us + pause_us, Event::Retry(request));
    }

    /// Sends a second attempt that avoids the rack of the first one, if the retry budget permits it
    /// and no quick request waits.
    pub(super) fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request,
            entry,
            server,
            open,
            ..
        } = self.attempts[attempt];
        let state = &self.states[request];
        let waiting = self.entries[entry].admission.waiting(RequestClass::Quick);
        if !open
            || state.ended
            || state.hedged
            || waiting > 0
            || !self.entries[entry].budget.try_withdraw()
        {
            return;
        }
        self.states[request].hedged = true;
        let avoided_rack = Some(rack_of(server));
        let picked = self.entries[entry].pick(
            RequestClass::Quick,
            true,
            avoided_rack,
            self.now_us,
            &mut self.random,
        );
        if let Some(other) = picked {
            self.send(request, entry, other);
        }
    }
}
