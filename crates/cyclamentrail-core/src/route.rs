//! Chooses the instance that a request is sent to.

use rand::Rng;

/// What routing needs to know of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Slots that this entry may use there.
    pub slots: u32,
}

impl Candidate {
    /// Returns whether the instance has a free slot.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }
}

/// Chooses the less loaded of two random instances, or any with room when neither has.
///
/// `candidate` describes the instance at an index below `count`. Returns `None` when no instance
/// has room.
pub fn choose(
    count: usize,
    candidate: impl Fn(usize) -> Candidate,
    random: &mut impl Rng,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let first = random.random_range(0..count);
    let second = random.random_range(0..count);
    let best = if candidate(second).in_flight < candidate(first).in_flight {
        second
    } else {
        first
    };
    if candidate(best).has_room() {
        return Some(best);
    }
    (0..count)
        .map(|step| (first + step) % count)
        .find(|&index| candidate(index).has_room())
}
