//! What one entry knows of its link to one server.

use super::Share;
use crate::admit::{Pace, RequestClass};
use crate::eject::{Health, HealthChange, Intake, TryResult};
use crate::route::Candidate;

/// Ratio to the service's mean time from which a server counts as slow.
const SLOW_RATIO: f64 = 3.0;

/// Mean times without any quick answer after which a server counts as stalled.
const STALL_RATIO: u64 = 8;
/// Shortest time without any quick answer after which a server counts as stalled, in microseconds.
const MIN_STALL_US: u64 = 500_000;

/// Limits of one entry at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Slots of the server.
    pub slots: u32,
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
}

impl LinkState {
    /// Creates the state of a link that starts with `start` slots.
    #[must_use]
    pub fn new(limits: LinkLimits, start: u32) -> Self {
        Self {
            limits,
            in_flight: 0,
            long_in_flight: 0,
            share: Share::new(limits.slots, start),
            health: Health::new(),
            pace: [Pace::default(); 2],
            quick_progress_us: 0,
        }
    }

    /// Sets new limits.
    pub const fn set_limits(&mut self, limits: LinkLimits) {
        self.limits = limits;
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
    pub fn limit(&self) -> u32 {
        self.share.limit().min(self.limits.connections)
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
        let limit = match self.health.intake(now_us) {
            _ if self.is_stalled(now_us) => 0,
            Intake::Open => self.limit(),
            Intake::Probe if !idempotent => 0,
            Intake::Probe | Intake::Single => 1,
            Intake::Closed => 0,
        };
        let full = class == RequestClass::Long && self.long_in_flight >= self.limits.long;
        Candidate {
            in_flight: self.in_flight,
            limit: if full { 0 } else { limit },
            rack,
        }
    }

    /// Takes a slot if there is one.
    pub fn take(&mut self, class: RequestClass, idempotent: bool, now_us: u64) -> bool {
        let room = self.candidate(class, idempotent, 0, now_us).has_room();
        if room {
            if class == RequestClass::Quick && self.in_flight == self.long_in_flight {
                self.quick_progress_us = now_us;
            }
            self.in_flight += 1;
            self.long_in_flight += u32::from(class == RequestClass::Long);
        }
        room
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
        match result {
            TryResult::Served => self.share.accepted(self.in_flight),
            TryResult::Refused => self.share.refused(self.in_flight),
            _ => {}
        }
        self.health.note(result, now_us, spare, jitter)
    }

    /// Takes in how long an answer took, beside the service's mean.
    pub fn note_time(&mut self, class: RequestClass, took_us: u64, now_us: u64, service: &Pace) {
        if class == RequestClass::Quick {
            self.quick_progress_us = now_us;
        }
        let pace = &mut self.pace[class as usize];
        pace.add(took_us);
        if pace.is_slower(service, SLOW_RATIO) {
            self.share.slowed();
        }
    }
}

/// Returns the time without an answer after which a quick request or its server counts as
/// stalled.
#[must_use]
pub fn stall_us(pace: &Pace) -> u64 {
    (pace.mean_us() * STALL_RATIO).max(MIN_STALL_US)
}
