//! Forecasts the demand for a pool's workers from its history.
//!
//! A rise of the demand counts at once. Once the demand has repeated itself, the forecast also
//! expects the next rise before it comes.

use std::collections::VecDeque;

/// Time that one slot of the history covers, in milliseconds.
const SLOT_MS: u64 = 250;
/// Longest history, in slots.
const MAX_SLOTS: usize = 480;
/// Shortest period that is detected, in slots.
const MIN_PERIOD_SLOTS: usize = 16;
/// Number of times that a period has to fit into the history to be detected. A period seen once
/// may be two bursts of different length.
const MIN_REPETITIONS: usize = 2;
/// Mean difference up to which the demand counts as equal to the demand one period before, in
/// percent of its mean deviation.
const MAX_DIFFERENCE_PERCENT: u64 = 45;

/// History of the demand for one pool, and the forecast from it.
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
/// assert!(forecast.predict_milli(199 * 250, 57 * 250) > 8_000);
/// assert!(forecast.predict_milli(199 * 250, 30 * 250) < 2_000);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Highest demand of each slot, the newest last, in thousandths of a worker.
    slots: VecDeque<u64>,
    /// Number of the newest slot, counted from time 0.
    newest_slot: u64,
}

impl Forecast {
    /// Creates a forecast without history.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            slots: VecDeque::new(),
            newest_slot: 0,
        }
    }

    /// Records the demand at `now_ms`, in thousandths of a worker. Slots without an observation
    /// are filled with the new demand.
    pub fn observe(&mut self, now_ms: u64, demand_milli: u64) {
        let slot = now_ms / SLOT_MS;
        if self.slots.is_empty() {
            self.newest_slot = slot;
            self.slots.push_back(demand_milli);
            return;
        }
        if slot == self.newest_slot {
            if let Some(demand) = self.slots.back_mut() {
                *demand = (*demand).max(demand_milli);
            }
            return;
        }
        let added_slots = slot.saturating_sub(self.newest_slot).min(MAX_SLOTS as u64);
        for _ in 0..added_slots {
            self.slots.push_back(demand_milli);
        }
        while self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
        }
        self.newest_slot = slot;
    }

    /// Returns the demand expected at `ahead_ms` after `now_ms`, in thousandths of a worker; the
    /// current demand if no period is detected.
    #[must_use]
    pub fn predict_milli(&self, now_ms: u64, ahead_ms: u64) -> u64 {
        let current = self.slots.back().copied().unwrap_or(0);
        let Some(period) = self.period_slots() else {
            return current;
        };
        let slots_ahead = (now_ms + ahead_ms) / SLOT_MS;
        let slots_ahead =
            usize::try_from(slots_ahead.saturating_sub(self.newest_slot)).unwrap_or(usize::MAX);
        let last_index = self.slots.len() - 1;
        let target_index = last_index.saturating_add(slots_ahead);
        let shift = target_index
            .saturating_sub(last_index)
            .div_ceil(period)
            .max(1)
            * period;
        target_index
            .checked_sub(shift)
            .and_then(|index| self.slots.get(index))
            .copied()
            .unwrap_or(current)
    }

    /// Returns the period of the demand in slots, or `None` if the demand doesn't repeat itself.
    #[must_use]
    pub fn period_slots(&self) -> Option<usize> {
        let length = self.slots.len();
        let longest_period = length / MIN_REPETITIONS;
        let mean_deviation = self.mean_deviation();
        if mean_deviation == 0 {
            return None;
        }
        let mut best: Option<(u64, usize)> = None;
        for period in MIN_PERIOD_SLOTS..=longest_period {
            let mean_difference = self.mean_difference(period);
            // Prefers the shorter of two similar periods: a longer one has to be 10% better.
            let is_better = best.is_none_or(|(least, _)| mean_difference * 10 < least * 9);
            if mean_difference * 100 <= mean_deviation * MAX_DIFFERENCE_PERCENT && is_better {
                best = Some((mean_difference, period));
            }
        }
        best.map(|(_, period)| period)
    }

    /// Returns the mean distance of the demand from its mean.
    fn mean_deviation(&self) -> u64 {
        let count = self.slots.len() as u64;
        let mean = self.slots.iter().sum::<u64>() / count.max(1);
        self.slots
            .iter()
            .map(|&slot| slot.abs_diff(mean))
            .sum::<u64>()
            / count.max(1)
    }

    /// Returns the mean distance between the demand and the demand one period before.
    fn mean_difference(&self, period: usize) -> u64 {
        let pairs = self.slots.iter().skip(period).zip(&self.slots);
        let count = self.slots.len().saturating_sub(period) as u64;
        pairs.map(|(new, old)| new.abs_diff(*old)).sum::<u64>() / count.max(1)
    }
}
