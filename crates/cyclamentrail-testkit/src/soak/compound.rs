//! Compound faults: several that follow one another closely, or hit one another's recovery.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::schedule::{Fault, ScheduledFault};

/// Difference between the seeds of the other faults and of the compound ones.
const COMPOUND_STREAM: u64 = 5;
/// Time from the start to the first compound fault: the calls of earlier incarnations name times that are
/// ahead of the clocks of later ones.
const FIRST_MS: u64 = 4_000;
/// Mean time between two compound faults.
const MEAN_PAUSE_MS: u64 = 2_000;
/// Shortest time that a part of a compound fault lasts.
const MIN_PART_MS: u64 = 20;
/// Delay of late calls.
const LATE_MS: std::ops::RangeInclusive<u64> = 0..=12_000;
/// Time from the first late call to the worker's restart, which ends the lateness of further calls.
const UNTIL_RESTART_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// Time from the restart to the cut; 0 cuts the new incarnation off before its first contact.
const UNTIL_CUT_MS: std::ops::RangeInclusive<u64> = 0..=1_500;
/// Time for which a worker is cut off.
const CUT_MS: std::ops::RangeInclusive<u64> = 500..=9_000;
/// Time for which the store is away.
const AWAY_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// Time for which the queue leads to the other service.
const MOVED_MS: std::ops::RangeInclusive<u64> = 500..=4_000;
/// Time from the beginning of a compound fault to the stop of the owner.
const UNTIL_STOP_MS: std::ops::RangeInclusive<u64> = 0..=2_000;
/// Time from the owner's stop to the start of its next incarnation.
const STOPPED_MS: std::ops::RangeInclusive<u64> = 300..=1_500;

/// Compound faults under way, within the time of a soak.
struct Draft {
    end_ms: u64,
    parts: Vec<ScheduledFault>,
}

impl Draft {
    /// Adds a part; it is over by the end of the soak, and left out if it would begin too late.
    fn add(&mut self, at_ms: u64, duration_ms: u64, fault: Fault) {
        if at_ms + MIN_PART_MS < self.end_ms {
            self.parts.push(ScheduledFault {
                at_ms,
                duration_ms: duration_ms.min(self.end_ms - at_ms),
                fault,
            });
        }
    }
}

/// Draws the compound faults of a soak, apart from its other faults.
pub(super) fn draw_compound_faults(
    seed: u64,
    duration: Duration,
    workers: usize,
) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(COMPOUND_STREAM);
    let mut draft = Draft {
        end_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
        parts: Vec::new(),
    };
    let mut at_ms = FIRST_MS;
    while at_ms < draft.end_ms {
        draw_parts(&mut random, &mut draft, at_ms, workers);
        at_ms += random.random_range(0..=2 * MEAN_PAUSE_MS);
    }
    draft.parts
}

fn draw_parts(random: &mut ChaCha8Rng, draft: &mut Draft, at_ms: u64, workers: usize) {
    let worker = random.random_range(0..workers);
    match random.random_range(0..7) {
        0..=3 => draw_crossed_calls(random, draft, at_ms, worker),
        4 => draft.add(at_ms, random.random_range(AWAY_MS), Fault::StoreDown),
        5 => draft.add(at_ms, random.random_range(MOVED_MS), Fault::MoveQueue),
        _ => draft.add(at_ms, 0, Fault::CrashIdle { first: worker }),
    }
    let stop_ms = at_ms + random.random_range(UNTIL_STOP_MS);
    let stopped_ms = random.random_range(STOPPED_MS);
    match random.random_range(0..4) {
        0 => draft.add(stop_ms, stopped_ms, Fault::StopOwner),
        1 => draft.add(stop_ms, stopped_ms, Fault::KillOwner),
        _ => {}
    }
}

/// Draws late calls of a worker, a restart under its id and a cut soon after that.
fn draw_crossed_calls(random: &mut ChaCha8Rng, draft: &mut Draft, at_ms: u64, worker: usize) {
    let delay_ms = random.random_range(LATE_MS);
    let restart_ms = random.random_range(UNTIL_RESTART_MS);
    let cut_ms = at_ms + restart_ms + random.random_range(UNTIL_CUT_MS);
    draft.add(at_ms, 0, Fault::DelayCalls { worker, delay_ms });
    draft.add(at_ms, restart_ms, Fault::RestartWorker { worker });
    draft.add(
        cut_ms,
        random.random_range(CUT_MS),
        Fault::CutWorker { worker },
    );
}
