//! State of the link between one entry and one backend server.

use super::SlotShare;
use crate::admit::{MeanResponseTime, RequestClass};
use crate::eject::{AttemptResult, Eligibility, Health, HealthChange};
use crate::route::Candidate;

/// Ratio of a server's mean response time to that of the service, above which the limit of the
/// server is lowered.
const SLOW_RATIO: f64 = 3.0;

/// Ratio of a server's mean response time to that of the service, above which its responses count
/// as failures.
const FAILING_RATIO: f64 = 6.0;
/// Time without a new request after which a slow server is probed, in microseconds.
const SLOW_PROBE_US: u64 = 1_000_000;
/// Ratio of the time without a quick response to the mean response time, above which a server
/// counts as stalled.
const STALL_RATIO: u64 = 8;
/// Shortest time without a quick response after which a server counts as stalled, in microseconds.
const MIN_STALL_US: u64 = 500_000;

/// Limits on what one entry may use of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// All slots of the server.
    pub slots: u32,
    /// Slots that are guaranteed to this entry.
    pub guaranteed: u32,
    /// Maximum number of connections from this entry to the server.
    pub connections: u32,
    /// Maximum number of long requests from this entry in flight at the server.
    pub long_requests: u32,
}

/// Requests of one entry in flight at one server, with the learned share of the server's slots and
/// the server's health.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkState {
    limits: LinkLimits,
    in_flight: u32,
    long_in_flight: u32,
    share: SlotShare,
    health: Health,
    /// Response times of the server by request class.
    response_times: [MeanResponseTime; 2],
    /// Time of the last quick response, or of the start of the first quick request in flight,
    /// whichever is later.
    quick_progress_us: u64,
    /// Whether the last recorded attempt was refused.
    refused_last: bool,
    /// Time at which a slot was last occupied.
    last_start_us: u64,
}

impl LinkState {
    /// Creates the state of a link without requests in flight or borrowed slots.
    #[must_use]
    pub fn new(limits: LinkLimits) -> Self {
        Self {
            limits,
            in_flight: 0,
            long_in_flight: 0,
            share: SlotShare::new(limits.slots, limits.guaranteed),
            health: Health::new(),
            response_times: [MeanResponseTime::default(); 2],
            quick_progress_us: 0,
            refused_last: false,
            last_start_us: 0,
        }
    }

    /// Sets new limits.
    pub fn set_limits(&mut self, limits: LinkLimits) {
        self.limits = limits;
        self.share.set_guaranteed(limits.slots, limits.guaranteed);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the maximum number of connections from this entry to the server.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.limits.connections
    }

    /// Returns the health of the server.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the number of requests that may be in flight at once while the server is healthy.
    #[must_use]
    pub fn limit(&self, now_us: u64) -> u32 {
        self.share.limit(now_us).min(self.limits.connections)
    }

    /// Returns the state of the server for routing one more request of this kind.
    #[must_use]
    pub fn candidate(
        &self,
        class: RequestClass,
        idempotent: bool,
        rack: u32,
        now_us: u64,
    ) -> Candidate {
        let eligibility = self.health.eligibility(now_us);
        let limit = match eligibility {
            _ if self.is_stalled(now_us) || self.is_full(class) => 0,
            Eligibility::Open => self.limit(now_us),
            Eligibility::Probe if !idempotent => 0,
            Eligibility::Probe | Eligibility::Single => 1,
            Eligibility::Closed => 0,
        };
        Candidate {
            in_flight: self.in_flight,
            limit,
            rack,
            needs_probe: self.needs_probe(eligibility, now_us),
        }
    }

    /// Returns whether one request should be sent to find out whether the server has recovered.
    fn needs_probe(&self, eligibility: Eligibility, now_us: u64) -> bool {
        let idle_us = now_us.saturating_sub(self.last_start_us);
        let is_outdated = self.share.is_slowed() && idle_us > SLOW_PROBE_US;
        is_outdated || matches!(eligibility, Eligibility::Probe | Eligibility::Single)
    }

    /// Returns whether a waiting request may use the slot that another request has just freed.
    ///
    /// The server has a free slot then, even if it refused requests before, unless it refused the
    /// request that freed the slot; in that case the same rules apply as to a new request.
    #[must_use]
    pub fn may_occupy_freed_slot(&self, class: RequestClass, now_us: u64) -> bool {
        if self.refused_last {
            return self.candidate(class, false, 0, now_us).has_room();
        }
        let is_open = self.health.is_active() && !self.is_stalled(now_us);
        is_open && !self.is_full(class) && self.in_flight < self.limit(now_us)
    }

    /// Occupies a slot if one is free for the request; returns whether it did.
    pub fn try_occupy(&mut self, class: RequestClass, idempotent: bool, now_us: u64) -> bool {
        let is_free = self.candidate(class, idempotent, 0, now_us).has_room();
        if is_free {
            self.occupy(class, now_us);
        }
        is_free
    }

    /// Occupies the slot that another request has just freed; see
    /// [`LinkState::may_occupy_freed_slot`].
    pub fn occupy_freed_slot(&mut self, class: RequestClass, now_us: u64) {
        self.occupy(class, now_us);
    }

    /// Counts a request that starts now.
    const fn occupy(&mut self, class: RequestClass, now_us: u64) {
        if matches!(class, RequestClass::Quick) && self.in_flight == self.long_in_flight {
            self.quick_progress_us = now_us;
        }
        self.last_start_us = now_us;
        self.in_flight += 1;
        if matches!(class, RequestClass::Long) {
            self.long_in_flight += 1;
        }
    }

    /// Returns whether the limit of long requests is reached, for a long request.
    const fn is_full(&self, class: RequestClass) -> bool {
        matches!(class, RequestClass::Long) && self.long_in_flight >= self.limits.long_requests
    }

    /// Returns whether quick requests are in flight and none has been answered for longer than
    /// [`stall_timeout_us`].
    #[must_use]
    pub fn is_stalled(&self, now_us: u64) -> bool {
        let silent_us = now_us.saturating_sub(self.quick_progress_us);
        self.in_flight > self.long_in_flight
            && silent_us > stall_timeout_us(&self.response_times[0])
    }

    /// Frees the slot of a request that has ended.
    pub const fn release(&mut self, class: RequestClass) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(class, RequestClass::Long) {
            self.long_in_flight = self.long_in_flight.saturating_sub(1);
        }
    }

    /// Records the result of an attempt and returns the change of the server's health, if there is
    /// one.
    ///
    /// Must be called before the slot is freed. `ejectable` tells whether enough servers remain
    /// when this one is ejected; `jitter` is a random number from 0 to 1.
    pub fn record_attempt(
        &mut self,
        result: AttemptResult,
        now_us: u64,
        ejectable: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
        self.refused_last = result == AttemptResult::Refused;
        match result {
            AttemptResult::Served => self.share.record_accepted(self.in_flight, now_us),
            AttemptResult::Refused => self.share.record_refused(self.in_flight, now_us),
            _ => {}
        }
        self.health
            .record_attempt(result, now_us, ejectable, jitter)
    }

    /// Records the response time of a whole response and returns the result of the attempt.
    ///
    /// `service` holds the response times of the service, with which the server is compared.
    pub fn record_response_time(
        &mut self,
        class: RequestClass,
        took_us: u64,
        now_us: u64,
        service: &MeanResponseTime,
    ) -> AttemptResult {
        if class == RequestClass::Quick {
            self.quick_progress_us = now_us;
        }
        let is_suspect = self.share.is_slowed() || !self.health.is_active();
        if is_suspect && took_us <= service.upper_bound_us() {
            self.response_times[class as usize] = MeanResponseTime::default();
            self.share.reset_slow_limit();
        }
        let response_time = &mut self.response_times[class as usize];
        response_time.record(took_us);
        if response_time.is_slower_than(service, SLOW_RATIO) {
            self.share.lower_slow_limit();
        }
        if response_time.is_slower_than(service, FAILING_RATIO) {
            AttemptResult::Slow
        } else {
            AttemptResult::Served
        }
    }
}

/// Returns the time in microseconds without a response after which a quick request or its server
/// counts as stalled: eight times the mean response time, but at least half a second.
#[must_use]
pub fn stall_timeout_us(response_time: &MeanResponseTime) -> u64 {
    (response_time.mean_us() * STALL_RATIO).max(MIN_STALL_US)
}
