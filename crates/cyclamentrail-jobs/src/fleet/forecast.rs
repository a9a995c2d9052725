//! What a pool will need, from what it has been asked for.
//!
//! Answers demand that comes by turns: a rise is followed at once, and once the demand has
//! repeated itself, the next rise is expected before it comes.

use std::collections::VecDeque;

/// Time that one entry of the history covers, in milliseconds.
const SLOT_MS: u64 = 250;
/// Longest history, in slots.
const MAX_SLOTS: usize = 480;
/// Shortest period that is looked for, in slots.
const MIN_PERIOD: usize = 16;
/// Repetitions that the history has to cover before a period is believed: one that is seen once
/// may be two turns of different length.
const MIN_REPETITIONS: usize = 2;
/// Difference up to which two periods agree, in percent of the demand's own variation.
const MAX_DIFFERENCE_PERCENT: u64 = 45;

/// The demand of one pool over time.
///
/// ```
/// use cyclamentrail_jobs::Forecast;
///
/// let mut forecast = Forecast::new();
/// for slot in 0..200_u64 {
///     let demand_milli = if slot % 64 < 16 { 10_000 } else { 200 };
///     forecast.observe(slot * 250, demand_milli);
/// }
/// // Slot 200 is 8 slots into the period, slot 256 begins the next one.
/// assert!(forecast.expect_milli(199 * 250, 57 * 250) > 8_000);
/// assert!(forecast.expect_milli(199 * 250, 30 * 250) < 2_000);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forecast {
    slots: VecDeque<u64>,
    last_slot: u64,
}

impl Forecast {
    /// Creates a forecast without history.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            slots: VecDeque::new(),
            last_slot: 0,
        }
    }

    /// Takes in the demand of a moment, in thousandths of a worker.
    pub fn observe(&mut self, now_ms: u64, demand_milli: u64) {
        let slot = now_ms / SLOT_MS;
        if self.slots.is_empty() {
            self.last_slot = slot;
            self.slots.push_back(demand_milli);
            return;
        }
        if slot == self.last_slot {
            if let Some(last) = self.slots.back_mut() {
                *last = (*last).max(demand_milli);
            }
            return;
        }
        let missing = slot.saturating_sub(self.last_slot).min(MAX_SLOTS as u64);
        for _ in 0..missing {
            self.slots.push_back(demand_milli);
        }
        while self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
        }
        self.last_slot = slot;
    }

    /// Returns the demand that is expected after a while, in thousandths of a worker; without a
    /// period, what it is now.
    #[must_use]
    pub fn expect_milli(&self, now_ms: u64, ahead_ms: u64) -> u64 {
        let present = self.slots.back().copied().unwrap_or(0);
        let Some(period) = self.period() else {
            return present;
        };
        let ahead = (now_ms + ahead_ms) / SLOT_MS;
        let ahead = usize::try_from(ahead.saturating_sub(self.last_slot)).unwrap_or(usize::MAX);
        let last = self.slots.len() - 1;
        let target = last.saturating_add(ahead);
        let back = target.saturating_sub(last).div_ceil(period).max(1) * period;
        target
            .checked_sub(back)
            .and_then(|index| self.slots.get(index))
            .copied()
            .unwrap_or(present)
    }

    /// Returns after how many slots the demand repeats itself, if it does.
    #[must_use]
    pub fn period(&self) -> Option<usize> {
        let length = self.slots.len();
        let longest = length / MIN_REPETITIONS;
        let variation = self.variation();
        if variation == 0 {
            return None;
        }
        let mut best: Option<(u64, usize)> = None;
        for period in MIN_PERIOD..=longest {
            let difference = self.difference(period);
            // A shorter period that is as good explains more of the history.
            let is_better = best.is_none_or(|(least, _)| difference * 10 < least * 9);
            if difference * 100 <= variation * MAX_DIFFERENCE_PERCENT && is_better {
                best = Some((difference, period));
            }
        }
        best.map(|(_, period)| period)
    }

    /// Returns the mean distance of the demand from its own mean.
    fn variation(&self) -> u64 {
        let count = self.slots.len() as u64;
        let mean = self.slots.iter().sum::<u64>() / count.max(1);
        self.slots
            .iter()
            .map(|&slot| slot.abs_diff(mean))
            .sum::<u64>()
            / count.max(1)
    }

    /// Returns the mean distance between the demand and the demand one period before.
    fn difference(&self, period: usize) -> u64 {
        let pairs = self.slots.iter().skip(period).zip(&self.slots);
        let count = self.slots.len().saturating_sub(period) as u64;
        pairs.map(|(new, old)| new.abs_diff(*old)).sum::<u64>() / count.max(1)
    }
}
