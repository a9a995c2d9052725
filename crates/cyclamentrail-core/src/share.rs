//! Limits how many slots of a backend server one entry uses while others use the same server.
//!
//! Each entry is guaranteed an equal share of the slots. All entries compute the shares from the
//! same list of members, so that they add up to the server's slots. Beyond its share, an entry
//! borrows slots that others leave free: its limit rises while the server accepts requests, and
//! falls back towards the guaranteed share when the server refuses one.
//!
//! ```
//! use cyclamentrail_core::SlotShare;
//!
//! let mut share = SlotShare::new(8, 2);
//! share.record_accepted(2, 0);
//! share.record_accepted(2, 0);
//! assert_eq!(share.limit(0), 3);
//! share.record_refused(3, 0);
//! assert_eq!(share.limit(0), 2);
//! ```

mod ring;
mod state;

pub use ring::{HomeRing, guaranteed_slots};
pub use state::{LinkLimits, LinkState, stall_timeout_us};

/// Time after a refusal during which no further slot is borrowed, in microseconds.
const BORROW_HOLD_US: u64 = 1_000_000;
/// Factor by which the bound of a slow server is multiplied after each response while its mean
/// response time is too high.
const SLOW_LIMIT_FACTOR: f64 = 0.7;

/// Share of one server's slots that one entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotShare {
    slots: u32,
    guaranteed: u32,
    borrowed: u32,
    /// Requests accepted at the full limit since the limit last changed.
    accepted_at_limit: u32,
    /// Time before which no further slot is borrowed.
    no_borrowing_until_us: u64,
    /// Bound that falls while the server is slow and rises slowly with each accepted request.
    slow_limit: f64,
}

impl SlotShare {
    /// Creates a share with `guaranteed` of the server's slots and none borrowed.
    #[must_use]
    pub fn new(slots: u32, guaranteed: u32) -> Self {
        Self {
            slots,
            guaranteed: guaranteed.min(slots),
            borrowed: 0,
            accepted_at_limit: 0,
            no_borrowing_until_us: 0,
            slow_limit: f64::from(slots),
        }
    }

    /// Sets the slots of the server and those that the entry is guaranteed.
    pub fn set_guaranteed(&mut self, slots: u32, guaranteed: u32) {
        self.slots = slots;
        self.guaranteed = guaranteed.min(slots);
        self.borrowed = self.borrowed.min(self.slots - self.guaranteed);
    }

    /// Returns the number of requests that the entry may have in flight at the server.
    ///
    /// An entry without guaranteed slots may use one, except for some time after a refusal.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and the slots"
    )]
    pub fn limit(&self, now_us: u64) -> u32 {
        let minimum = u32::from(now_us >= self.no_borrowing_until_us);
        let limit = (self.guaranteed + self.borrowed).max(minimum);
        limit.min(self.slots).min(self.slow_limit as u32)
    }

    /// Records that the server accepted a request; `in_flight` includes it.
    pub fn record_accepted(&mut self, in_flight: u32, now_us: u64) {
        let slow_limit = self.slow_limit + 1.0 / self.slow_limit;
        self.slow_limit = slow_limit.min(f64::from(self.slots)).max(1.0);
        let limit = self.limit(now_us);
        if in_flight < limit || now_us < self.no_borrowing_until_us {
            return;
        }
        self.accepted_at_limit += 1;
        if self.accepted_at_limit >= limit && self.guaranteed + self.borrowed < self.slots {
            self.accepted_at_limit = 0;
            self.borrowed += 1;
        }
    }

    /// Records that the server refused a request because all its slots are taken; `in_flight`
    /// includes it.
    pub fn record_refused(&mut self, in_flight: u32, now_us: u64) {
        let borrowed_in_use = in_flight.saturating_sub(self.guaranteed);
        self.borrowed = self.borrowed.min(borrowed_in_use) / 2;
        self.accepted_at_limit = 0;
        self.no_borrowing_until_us = now_us + BORROW_HOLD_US;
    }

    /// Returns whether the limit is lowered because the server is slow.
    #[must_use]
    pub fn is_slowed(&self) -> bool {
        self.slow_limit < f64::from(self.slots)
    }

    /// Lifts the bound of a slow server, since it is as fast as its peers again.
    pub fn reset_slow_limit(&mut self) {
        self.slow_limit = f64::from(self.slots);
    }

    /// Lowers the limit, since the server is much slower than its peers.
    pub fn lower_slow_limit(&mut self) {
        self.slow_limit = (self.slow_limit * SLOW_LIMIT_FACTOR).max(1.0);
    }
}
