//! What one entry knows of its link to one server.

use super::Share;
use crate::admit::{Pace, RequestClass};
use crate::eject::{Health, HealthChange, Intake, TryResult};
use crate::route::Candidate;

/// Ratio to the service's mean time from which a server counts as slow.
const SLOW_RATIO: f64 = 3.0;

/// Ratio to the service's mean time from which a slow answer counts as a failure.
const FAILING_RATIO: f64 = 6.0;
/// Time without a request after which a slow server is probed, in microseconds.
const SLOW_PROBE_US: u64 = 1_000_000;
/// Mean times without any quick answer after which a server counts as stalled.
const STALL_RATIO: u64 = 8;
/// Shortest time without any quick answer after which a server counts as stalled, in microseconds.
const MIN_STALL_US: u64 = 500_000;

/// Limits of one entry at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Slots of the server.
    pub slots: u32,
    /// Slots that this entry is sure of.
    pub sure: u32,
    /// Connections that this entry may hold.
    pub connections: u32,
    /// Long requests that this entry may have there.
    pub long: u32,
}

/// Requests in flight at one server, with its learned share and its health.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkState {
    limits: LinkLimits,
    in_flight: u32,
    long_in_flight: u32,
    share: Share,
    health: Health,
    pace: [Pace; 2],
    quick_progress_us: u64,
    refused_last: bool,
    taken_us: u64,
}

impl LinkState {
    /// Creates the state of a link that borrows no slots yet.
    #[must_use]
    pub fn new(limits: LinkLimits) -> Self {
        Self {
            limits,
            in_flight: 0,
            long_in_flight: 0,
            share: Share::new(limits.slots, limits.sure),
            health: Health::new(),
            pace: [Pace::default(); 2],
            quick_progress_us: 0,
            refused_last: false,
            taken_us: 0,
        }
    }

    /// Sets new limits.
    pub fn set_limits(&mut self, limits: LinkLimits) {
        self.limits = limits;
        self.share.set_sure(limits.slots, limits.sure);
    }

    /// Returns the requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the connections that this entry may hold.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.limits.connections
    }

    /// Returns the health.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the requests that may be in flight at once while the server is healthy.
    #[must_use]
    pub fn limit(&self, now_us: u64) -> u32 {
        self.share.limit(now_us).min(self.limits.connections)
    }

    /// Returns what routing needs to know about one more request.
    #[must_use]
    pub fn candidate(
        &self,
        class: RequestClass,
        idempotent: bool,
        rack: u32,
        now_us: u64,
    ) -> Candidate {
        let intake = self.health.eligibility(now_us);
        let limit = match intake {
            _ if self.is_stalled(now_us) || self.is_full(class) => 0,
            Intake::Open => self.limit(now_us),
            Intake::Probe if !idempotent => 0,
            Intake::Probe | Intake::Single => 1,
            Intake::Closed => 0,
        };
        Candidate {
            in_flight: self.in_flight,
            limit,
            rack,
            probe: self.wants_probe(intake, now_us),
        }
    }

    /// Returns whether one request is to find out how the server is now.
    fn wants_probe(&self, intake: Intake, now_us: u64) -> bool {
        let idle_us = now_us.saturating_sub(self.taken_us);
        let unsure = self.share.is_slowed() && idle_us > SLOW_PROBE_US;
        unsure || matches!(intake, Intake::Probe | Intake::Single)
    }

    /// Returns whether a request may have the slot that another one has just left.
    ///
    /// The server has a free slot then, whatever it refused before, unless it refused that one.
    #[must_use]
    pub fn may_follow(&self, class: RequestClass, now_us: u64) -> bool {
        if self.refused_last {
            return self.candidate(class, false, 0, now_us).has_room();
        }
        let open = self.health.is_active() && !self.is_stalled(now_us);
        open && !self.is_full(class) && self.in_flight < self.limit(now_us)
    }

    /// Takes a slot if there is one.
    pub fn take(&mut self, class: RequestClass, idempotent: bool, now_us: u64) -> bool {
        let room = self.candidate(class, idempotent, 0, now_us).has_room();
        if room {
            self.occupy(class, now_us);
        }
        room
    }

    /// Takes a slot that another request has just left.
    pub fn follow(&mut self, class: RequestClass, now_us: u64) {
        self.occupy(class, now_us);
    }

    const fn occupy(&mut self, class: RequestClass, now_us: u64) {
        if matches!(class, RequestClass::Quick) && self.in_flight == self.long_in_flight {
            self.quick_progress_us = now_us;
        }
        self.taken_us = now_us;
        self.in_flight += 1;
        if matches!(class, RequestClass::Long) {
            self.long_in_flight += 1;
        }
    }

    const fn is_full(&self, class: RequestClass) -> bool {
        matches!(class, RequestClass::Long) && self.long_in_flight >= self.limits.long
    }

    /// Returns whether quick requests are in flight and none has been answered for long.
    #[must_use]
    pub fn is_stalled(&self, now_us: u64) -> bool {
        let quiet_us = now_us.saturating_sub(self.quick_progress_us);
        self.in_flight > self.long_in_flight && quiet_us > stall_us(&self.pace[0])
    }

    /// Frees a slot.
    pub const fn release(&mut self, class: RequestClass) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(class, RequestClass::Long) {
            self.long_in_flight = self.long_in_flight.saturating_sub(1);
        }
    }

    /// Takes in how a try went; call it before the slot is freed.
    pub fn note(
        &mut self,
        result: TryResult,
        now_us: u64,
        spare: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
        self.refused_last = result == TryResult::Refused;
        match result {
            TryResult::Served => self.share.accepted(self.in_flight, now_us),
            TryResult::Refused => self.share.refused(self.in_flight, now_us),
            _ => {}
        }
        self.health.record_attempt(result, now_us, spare, jitter)
    }

    /// Takes in how long a whole answer took, beside the service's mean, and returns how the
    /// try went.
    pub fn note_time(
        &mut self,
        class: RequestClass,
        took_us: u64,
        now_us: u64,
        service: &Pace,
    ) -> TryResult {
        if class == RequestClass::Quick {
            self.quick_progress_us = now_us;
        }
        let suspect = self.share.is_slowed() || !self.health.is_active();
        if suspect && took_us <= service.upper_bound_us() {
            self.pace[class as usize] = Pace::default();
            self.share.restored();
        }
        let pace = &mut self.pace[class as usize];
        pace.record(took_us);
        if pace.is_slower_than(service, SLOW_RATIO) {
            self.share.slowed();
        }
        if pace.is_slower_than(service, FAILING_RATIO) {
            TryResult::Slow
        } else {
            TryResult::Served
        }
    }
}

/// Returns the time without an answer after which a quick request or its server counts as
/// stalled.
#[must_use]
pub fn stall_us(pace: &Pace) -> u64 {
    (pace.mean_us() * STALL_RATIO).max(MIN_STALL_US)
}
