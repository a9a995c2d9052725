//! How many of a server's slots one entry uses, while other entries use the same server.
//!
//! Nothing is agreed: each entry learns its share from the server's answers. The limit rises by
//! about one for each limit's worth of accepted requests, and falls by a third when the server
//! refuses or has become slow.
//!
//! ```
//! use cyclamentrail_core::Share;
//!
//! let mut share = Share::new(8, 8);
//! share.refused(6);
//! assert_eq!(share.limit(), 4);
//! ```

mod ring;
mod state;

pub use ring::{HomeRing, long_slots};
pub use state::{LinkLimits, LinkState, stall_us};

/// Factor by which the limit falls.
const DECREASE: f64 = 0.7;
/// Smallest limit: one request at a time, by which the entry learns of free slots.
const MIN_LIMIT: f64 = 1.0;

/// The learned share of one server's slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    slots: u32,
    limit: f64,
}

impl Share {
    /// Creates a share that starts at `start` of the server's slots.
    #[must_use]
    pub fn new(slots: u32, start: u32) -> Self {
        Self {
            slots,
            limit: f64::from(start.clamp(1, slots.max(1))),
        }
    }

    /// Returns the number of requests that the entry may have in flight at the server.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and the slots"
    )]
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Notes that the server accepted a request while `in_flight` were there with it.
    pub fn accepted(&mut self, in_flight: u32) {
        if in_flight >= self.limit() {
            let raised = self.limit + 1.0 / self.limit;
            self.limit = raised.min(f64::from(self.slots)).max(MIN_LIMIT);
        }
    }

    /// Notes that the server refused a request because its slots are taken.
    pub fn refused(&mut self, in_flight: u32) {
        let reached = self.limit.min(f64::from(in_flight.max(1)));
        self.limit = (reached * DECREASE).max(MIN_LIMIT);
    }

    /// Notes that the server takes much longer than its peers.
    pub fn slowed(&mut self) {
        self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
    }
}
