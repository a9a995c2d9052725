//! How many of a server's slots one entry uses, while other entries use the same server.
//!
//! Each entry is sure of an equal share, which all entries work out alike from the members, so
//! that the shares of all together are just the server's slots. Beyond it, an entry borrows what
//! it learns that others leave free: its limit rises while the server accepts, and falls back
//! towards the share when the server refuses.
//!
//! ```
//! use cyclamentrail_core::Share;
//!
//! let mut share = Share::new(8, 2);
//! share.accepted(2, 0);
//! share.accepted(2, 0);
//! assert_eq!(share.limit(0), 3);
//! share.refused(3, 0);
//! assert_eq!(share.limit(0), 2);
//! ```

mod ring;
mod state;

pub use ring::{HomeRing, sure_slots};
pub use state::{LinkLimits, LinkState, stall_us};

/// Time after a refusal for which nothing more is borrowed, in microseconds.
const HOLD_US: u64 = 1_000_000;
/// Factor by which the limit of a slow server falls.
const SLOW_DECREASE: f64 = 0.7;

/// One entry's share of one server's slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    slots: u32,
    sure: u32,
    borrowed: u32,
    accepted: u32,
    hold_until_us: u64,
    slow_limit: f64,
}

impl Share {
    /// Creates a share that is sure of `sure` of the server's slots and borrows none.
    #[must_use]
    pub fn new(slots: u32, sure: u32) -> Self {
        Self {
            slots,
            sure: sure.min(slots),
            borrowed: 0,
            accepted: 0,
            hold_until_us: 0,
            slow_limit: f64::from(slots),
        }
    }

    /// Sets the slots of the server and those that the entry is sure of.
    pub fn set_sure(&mut self, slots: u32, sure: u32) {
        self.slots = slots;
        self.sure = sure.min(slots);
        self.borrowed = self.borrowed.min(self.slots - self.sure);
    }

    /// Returns the number of requests that the entry may have in flight at the server.
    ///
    /// An entry that is sure of none borrows one when no refusal forbids it.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and the slots"
    )]
    pub fn limit(&self, now_us: u64) -> u32 {
        let tries_one = u32::from(now_us >= self.hold_until_us);
        let limit = (self.sure + self.borrowed).max(tries_one);
        limit.min(self.slots).min(self.slow_limit as u32)
    }

    /// Notes that the server accepted a request while `in_flight` were there with it.
    pub fn accepted(&mut self, in_flight: u32, now_us: u64) {
        let slow_limit = self.slow_limit + 1.0 / self.slow_limit;
        self.slow_limit = slow_limit.min(f64::from(self.slots)).max(1.0);
        let limit = self.limit(now_us);
        if in_flight < limit || now_us < self.hold_until_us {
            return;
        }
        self.accepted += 1;
        if self.accepted >= limit && self.sure + self.borrowed < self.slots {
            self.accepted = 0;
            self.borrowed += 1;
        }
    }

    /// Notes that the server refused a request because its slots are taken.
    pub fn refused(&mut self, in_flight: u32, now_us: u64) {
        let reached = in_flight.saturating_sub(self.sure);
        self.borrowed = self.borrowed.min(reached) / 2;
        self.accepted = 0;
        self.hold_until_us = now_us + HOLD_US;
    }

    /// Returns whether the limit is lowered because the server is slow.
    #[must_use]
    pub fn is_slowed(&self) -> bool {
        self.slow_limit < f64::from(self.slots)
    }

    /// Notes that the server is as fast as its peers again.
    pub fn restored(&mut self) {
        self.slow_limit = f64::from(self.slots);
    }

    /// Notes that the server takes much longer than its peers.
    pub fn slowed(&mut self) {
        self.slow_limit = (self.slow_limit * SLOW_DECREASE).max(1.0);
    }
}
