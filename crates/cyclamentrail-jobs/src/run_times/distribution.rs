//! Distribution of a positive quantity, with decay of old observations.

use hdrhistogram::Histogram;

/// Number of significant decimal figures: cells are at most a sixteenth of their value wide. A
/// second figure would take seven times the memory.
const SIGNIFICANT_FIGURES: u8 = 1;
/// Weight of the first observation, large enough to be divided among many cells.
const FIRST_WEIGHT: f64 = 1_024.0;
/// Part by which each observation weighs more than the one before; the inverse is about the number
/// of observations that count. Tails of 3 in 100 have to be seen several times in them.
const WEIGHT_GROWTH: f64 = 1.0 / 256.0;
/// Weight at which all counts are scaled down, so that their sum stays below 2^32.
const MAX_WEIGHT: f64 = 1_048_576.0;
/// Number of quantiles that are kept ready for queries and stored.
const POINTS: usize = 64;
/// [`POINTS`] as a float.
const POINTS_F: f64 = 64.0;
/// Weight of values above the largest observed one, in points.
const UNSEEN_POINTS: f64 = 0.5;
/// Size of these values, as a multiple of the largest observed value or of the lower bound.
const UNSEEN_FACTOR: f64 = 1.5;
/// Number of newest observations that are compared with the distribution.
const RECENT: usize = 16;
/// Number of those beyond the same quartile from which the quantity has shifted. Without a shift
/// this happens to 1 in 25,000 groups.
const SHIFTED: usize = 12;
/// Quartiles that the newest observations are compared with.
const QUARTILES: (f64, f64) = (0.25, 0.75);
/// Number of observations that the distribution from before a shift counts as.
const WEIGHT_AFTER_SHIFT: f64 = 8.0;
/// Most observations that a restored distribution counts as.
const RESTORED_WEIGHT: f64 = 64.0;

/// Distribution of a positive quantity, such as a duration in milliseconds.
///
/// New observations weigh more than old ones. When most of the newest lie beyond the same quartile,
/// the quantity has shifted and the old ones lose most of their weight.
#[derive(Debug, Clone)]
pub struct Distribution {
    counts: Histogram<u32>,
    /// Weight of the next observation.
    weight: f64,
    /// Newest completed observations.
    recent: Vec<u32>,
    /// Number of values that were observed.
    observations: u32,
    /// Number of shifts that were noticed.
    shifts: u32,
    /// Quantiles at equal distances, ascending.
    points: [u32; POINTS],
    mean: f64,
    max: u32,
}

impl Distribution {
    /// Creates a distribution of values from 1 to `highest`; others count as the nearest of these.
    #[must_use]
    pub fn new(highest: u64) -> Self {
        Self {
            counts: empty_counts(highest),
            weight: FIRST_WEIGHT,
            recent: Vec::new(),
            observations: 0,
            shifts: 0,
            points: [0; POINTS],
            mean: 0.0,
            max: 0,
        }
    }

    /// Returns whether nothing was observed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns the number of values that were observed.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.observations
    }

    /// Returns the number of shifts that were noticed.
    #[must_use]
    pub const fn shifts(&self) -> u32 {
        self.shifts
    }

    /// Returns the memory that the distribution takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.counts.distinct_values() * size_of::<u32>()
            + RECENT * size_of::<u32>()
    }

    /// Records a value.
    pub fn observe(&mut self, value: u64) {
        let value = self.cell(value);
        if self.recent.len() == RECENT {
            self.recent.remove(0);
        }
        self.recent.push(value);
        self.observations = self.observations.saturating_add(1);
        self.add(value, self.weight);
        if self.has_shifted() {
            self.shifts = self.shifts.saturating_add(1);
            self.forget_before_recent();
        }
        self.age();
        self.update_points();
    }

    /// Records that a value is at least `least`. Its weight is divided among the larger values as
    /// they are distributed (redistribution to the right); if there is none, it counts as `least`.
    pub fn censor(&mut self, least: u64) {
        let least = self.cell(least);
        let larger: Vec<(u32, u32)> = self
            .cells()
            .into_iter()
            .filter(|&(value, _)| value > least)
            .collect();
        let total: f64 = larger.iter().map(|&(_, count)| f64::from(count)).sum();
        if larger.is_empty() {
            self.add(least, self.weight);
        }
        for (value, count) in larger {
            self.add(value, self.weight * f64::from(count) / total);
        }
        self.age();
        self.update_points();
    }

    /// Returns the mean.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean lies between the smallest and the largest value"
    )]
    pub const fn mean(&self) -> u64 {
        self.mean as u64
    }

    /// Returns the value that a part `level` of the values doesn't exceed.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is limited to the range of the points"
    )]
    pub fn quantile(&self, level: f64) -> u64 {
        let position = level.clamp(0.0, 1.0) * POINTS_F - 0.5;
        if position <= 0.0 {
            return u64::from(self.points[0]);
        }
        let index = (position as usize).min(POINTS - 1);
        let low = f64::from(self.points[index]);
        let (high, length) = match self.points.get(index + 1) {
            Some(&next) => (f64::from(next), 1.0),
            // The last point is half a distance from the largest value.
            None => (f64::from(self.max), 0.5),
        };
        let fraction = ((position - index_f(index)) / length).min(1.0);
        (low + (high - low) * fraction) as u64
    }

    /// Returns the part of the values that are at most `limit`.
    #[must_use]
    pub fn probability_within(&self, limit: u64) -> f64 {
        let limit = u32::try_from(limit).unwrap_or(u32::MAX);
        if limit >= self.max {
            return 1.0;
        }
        let below = self.points.partition_point(|&point| point <= limit);
        let Some(index) = below.checked_sub(1) else {
            return 0.0;
        };
        let low = f64::from(self.points[index]);
        let (high, length) = match self.points.get(below) {
            Some(&next) => (f64::from(next), 1.0),
            None => (f64::from(self.max), 0.5),
        };
        let fraction = (f64::from(limit) - low) / (high - low);
        (index_f(index) + 0.5 + fraction * length) / POINTS_F
    }

    /// Returns by how much a value that is above `lasted` exceeds it on average. What is longer than
    /// anything seen counts a little, so that the result grows beyond the longest value.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the excess is positive and below the largest value"
    )]
    pub fn mean_excess(&self, lasted: u64) -> u64 {
        let lasted = f64::from(u32::try_from(lasted).unwrap_or(u32::MAX));
        let unseen = lasted.max(f64::from(self.max)) * UNSEEN_FACTOR - lasted;
        let (mut sum, mut count) = (unseen * UNSEEN_POINTS, UNSEEN_POINTS);
        let larger = self.points.iter().rev().map(|&point| f64::from(point));
        for point in larger.take_while(|&point| point > lasted) {
            sum += point - lasted;
            count += 1.0;
        }
        (sum / count) as u64
    }

    /// Returns by how much half of the values that are above `lasted` exceed it.
    #[must_use]
    pub fn median_excess(&self, lasted: u64) -> u64 {
        let above = 1.0 - self.probability_within(lasted);
        if above <= 0.0 {
            return self.mean_excess(lasted);
        }
        self.quantile(1.0 - above / 2.0).saturating_sub(lasted)
    }

    /// Returns quantiles at equal distances, ascending.
    pub(super) fn compacted(&self) -> Vec<u32> {
        self.points.to_vec()
    }

    /// Replaces the distribution by one that [`Distribution::compacted`] gave. It counts as at most
    /// [`RESTORED_WEIGHT`] of its `observations`, so that new ones soon outweigh it.
    pub(super) fn restore(&mut self, points: &[u32], observations: u32) {
        if points.is_empty() {
            return;
        }
        let share = f64::from(observations).min(RESTORED_WEIGHT) / index_f(points.len());
        for &point in points {
            let value = self.cell(u64::from(point));
            self.add(value, self.weight * share);
        }
        self.update_points();
    }

    /// Returns whether most of the newest observations lie beyond the same quartile.
    fn has_shifted(&self) -> bool {
        if self.recent.len() < SHIFTED || self.max == 0 {
            return false;
        }
        let (low, high) = (self.quantile(QUARTILES.0), self.quantile(QUARTILES.1));
        let count = |is_beyond: &dyn Fn(u64) -> bool| {
            let recent = self.recent.iter().map(|&value| u64::from(value));
            recent.filter(|&value| is_beyond(value)).count()
        };
        count(&|value| value > high) >= SHIFTED || count(&|value| value < low) >= SHIFTED
    }

    /// Takes most of the weight from all but the newest observations.
    fn forget_before_recent(&mut self) {
        let total: f64 = self
            .cells()
            .iter()
            .map(|&(_, count)| f64::from(count))
            .sum();
        let kept = self.weight * WEIGHT_AFTER_SHIFT;
        self.scale_counts((kept / total).min(1.0));
        for value in std::mem::take(&mut self.recent) {
            self.add(value, self.weight);
        }
    }

    /// Lets older observations count less from now on.
    fn age(&mut self) {
        self.weight *= 1.0 + WEIGHT_GROWTH;
        if self.weight > MAX_WEIGHT {
            let factor = FIRST_WEIGHT / self.weight;
            self.scale_counts(factor);
            self.weight = FIRST_WEIGHT;
        }
    }

    fn scale_counts(&mut self, factor: f64) {
        let cells = self.cells();
        self.counts.reset();
        for (value, count) in cells {
            self.add(value, f64::from(count) * factor);
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "weights are positive and far below 2^32"
    )]
    fn add(&mut self, value: u32, weight: f64) {
        self.counts
            .saturating_record_n(u64::from(value), weight.round() as u32);
    }

    /// Returns the middle of the cell that a value belongs to.
    fn cell(&self, value: u64) -> u32 {
        let value = value.clamp(1, self.counts.high());
        u32::try_from(self.counts.median_equivalent(value)).unwrap_or(u32::MAX)
    }

    /// Returns the middle and the weight of each cell that isn't empty, ascending.
    fn cells(&self) -> Vec<(u32, u32)> {
        self.counts
            .iter_recorded()
            .map(|cell| (self.cell(cell.value_iterated_to()), cell.count_at_value()))
            .collect()
    }

    /// Computes the quantiles anew; each is the middle of its cell.
    fn update_points(&mut self) {
        let cells = self.cells();
        let total: f64 = cells.iter().map(|&(_, count)| f64::from(count)).sum();
        let Some(&(max, _)) = cells.last() else {
            return;
        };
        let mut below = 0.0;
        let mut remaining = cells.iter().copied();
        let mut cell = remaining.next();
        for (index, point) in self.points.iter_mut().enumerate() {
            let target = total * (index_f(index) + 0.5) / POINTS_F;
            while let Some((_, count)) = cell
                && below + f64::from(count) < target
            {
                below += f64::from(count);
                cell = remaining.next();
            }
            *point = cell.map_or(max, |(value, _)| value);
        }
        let weighted = cells
            .iter()
            .map(|&(value, count)| f64::from(value) * f64::from(count));
        self.mean = weighted.sum::<f64>() / total;
        self.max = max;
    }
}

/// Returns an index below [`POINTS`] as a float.
fn index_f(index: usize) -> f64 {
    u32::try_from(index).map_or(POINTS_F, f64::from)
}

fn empty_counts(highest: u64) -> Histogram<u32> {
    Histogram::new_with_bounds(1, highest, SIGNIFICANT_FIGURES)
        .expect("the bounds are constants that the histogram accepts")
}
