//! Simulated backend server with a fixed number of slots.

use super::scenario::{SLOTS, Scenario};

/// Factor by which a slow server takes longer; a failing server is faster by the same factor.
const SLOW_FACTOR: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Slow,
    FailAll,
    Refuse,
}

/// Simulated server that refuses a request when all slots are occupied.
#[derive(Debug)]
pub(crate) struct Server {
    running: u32,
    fault: Fault,
    fault_from_us: u64,
    fault_until_us: u64,
    pub(crate) busy_us: u64,
    pub(crate) refused: u64,
}

impl Server {
    /// Creates the server at `index`.
    ///
    /// In a brown-out, servers 0 to 2 are faulty from a quarter to three quarters of the run.
    pub(crate) fn new(index: usize, scenario: &Scenario) -> Self {
        let fault = match index {
            0 if scenario.brown_out => Fault::Slow,
            1 if scenario.brown_out => Fault::FailAll,
            2 if scenario.brown_out => Fault::Refuse,
            _ => Fault::None,
        };
        Self {
            running: 0,
            fault,
            fault_from_us: scenario.end_us() / 4,
            fault_until_us: scenario.end_us() * 3 / 4,
            busy_us: 0,
            refused: 0,
        }
    }

    /// Starts a request and returns its duration in microseconds, or `None` if it is refused.
    pub(crate) fn start(&mut self, work_us: u64, now_us: u64) -> Option<u64> {
        let fault = self.fault_at(now_us);
        if fault == Fault::Refuse || self.running >= SLOTS {
            self.refused += 1;
            return None;
        }
        self.running += 1;
        let took_us = match fault {
            Fault::Slow => work_us * SLOW_FACTOR,
            Fault::FailAll => work_us / SLOW_FACTOR,
            _ => work_us,
        };
        self.busy_us += took_us;
        Some(took_us)
    }

    /// Ends a request and returns whether the response is a success.
    pub(crate) fn end(&mut self, now_us: u64) -> bool {
        self.running -= 1;
        self.fault_at(now_us) != Fault::FailAll
    }

    const fn fault_at(&self, now_us: u64) -> Fault {
        if self.fault_from_us <= now_us && now_us < self.fault_until_us {
            self.fault
        } else {
            Fault::None
        }
    }
}
