//! Bursts of demand that move between queues by turns, and what serves them.
//!
//! ```
//! use cyclamentrail_bench::capacity::{BurstRun, OverloadPolicy};
//!
//! let quiet = BurstRun::new(9, 0.0).overload_policy(OverloadPolicy::QueueOrRefuse).run();
//! assert_eq!(quiet.asked, 0);
//! ```

use std::collections::VecDeque;

use cyclamentrail_core::CostWeights;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Step in milliseconds.
const STEP_MS: u64 = 20;
/// Lengths of one turn in milliseconds that are measured.
pub const TURN_LENGTHS_MS: [u64; 3] = [5_000, 10_000, 20_000];
/// Queues that take turns.
const QUEUES: u64 = 5;
/// Demand in a queue's own turn, as a multiple of its mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand in the other turns, as a multiple of the mean.
const LULL_FACTOR: f64 = 0.05;
/// Rounds of turns in one run.
const ROUNDS: u64 = 20;
/// Slots of one instance.
const SLOTS: u64 = 8;
/// Work of one request in milliseconds of one slot.
const WORK_MS: u64 = 200;
/// Deadline of a request in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Time in milliseconds from the decision to move an instance until it serves its new pool.
const MOVE_MS: u64 = 6_000;
/// Instances that are moved into a queue's pool in its turn.
const MOVED_INSTANCES: u64 = 4;
/// Share of requests answered in time below which a choice doesn't serve.
const MIN_IN_TIME_SHARE: f64 = 0.999;
const SEED: u64 = 6;

/// What is done with requests that find no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverloadPolicy {
    /// They are refused at once.
    RefuseAtOnce,
    /// They wait, however long it takes.
    Queue,
    /// They wait if they will be answered within their deadline, and are refused at once if not.
    QueueOrRefuse,
}

/// One queue through some rounds of turns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstRun {
    instances: u64,
    rate_per_s: f64,
    turn_ms: u64,
    overload_policy: OverloadPolicy,
    moves: bool,
}

/// What became of the requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct BurstOutcome {
    /// Requests asked.
    pub asked: u64,
    /// Requests answered within their deadline.
    pub in_time: u64,
    /// Requests answered after it.
    pub late: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Moves of instances, there and back.
    pub moves: u64,
}

/// One way to serve bursts, with its cost at a site's weights.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BurstChoice {
    /// Instances held beyond the mean demand's need.
    pub buffer: u64,
    /// What is done with requests that find no free slot.
    pub answer: OverloadPolicy,
    /// Whether instances move to the queue whose turn it is.
    pub moves: bool,
    /// What became of the requests.
    pub outcome: BurstOutcome,
    /// Buffer and moves of one hour at the site's weights.
    pub cost: f64,
}

impl BurstOutcome {
    /// Returns the share of requests answered in time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

impl BurstRun {
    /// Creates a run of a pool and the mean rate of its queue.
    #[must_use]
    pub const fn new(instances: u64, rate_per_s: f64) -> Self {
        Self {
            instances,
            rate_per_s,
            turn_ms: TURN_LENGTHS_MS[1],
            overload_policy: OverloadPolicy::QueueOrRefuse,
            moves: false,
        }
    }

    /// Sets the length of one turn in milliseconds.
    #[must_use]
    pub const fn turn_ms(mut self, turn_ms: u64) -> Self {
        self.turn_ms = turn_ms;
        self
    }

    /// Sets what is done with requests that find no free slot.
    #[must_use]
    pub const fn overload_policy(mut self, overload_policy: OverloadPolicy) -> Self {
        self.overload_policy = overload_policy;
        self
    }

    /// Sets whether instances move to the queue whose turn it is.
    #[must_use]
    pub const fn moves(mut self, moves: bool) -> Self {
        self.moves = moves;
        self
    }

    /// Runs the turns.
    #[must_use]
    pub fn run(&self) -> BurstOutcome {
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let mut outcome = BurstOutcome::default();
        let mut waiting: VecDeque<u64> = VecDeque::new();
        let mut running: VecDeque<u64> = VecDeque::new();
        let mut arrivals = 0.0;
        let mut at_ms = 0;
        let length_ms = ROUNDS * QUEUES * self.turn_ms;
        while at_ms < length_ms || !waiting.is_empty() {
            while running.front().is_some_and(|&end_ms| end_ms <= at_ms) {
                running.pop_front();
            }
            let slots = self.slots(at_ms);
            start_waiting(&mut waiting, &mut running, slots, at_ms, &mut outcome);
            if at_ms < length_ms {
                let mean = self.demand(at_ms) * STEP_MS as f64 / 1_000.0;
                arrivals += mean * random.random_range(0.0..2.0);
                while arrivals >= 1.0 {
                    arrivals -= 1.0;
                    outcome.asked += 1;
                    self.admit_or_refuse(
                        &mut waiting,
                        running.len() as u64,
                        slots,
                        at_ms,
                        &mut outcome,
                    );
                }
                start_waiting(&mut waiting, &mut running, slots, at_ms, &mut outcome);
            }
            at_ms += STEP_MS;
        }
        if self.moves {
            outcome.moves = 2 * MOVED_INSTANCES * ROUNDS;
        }
        outcome
    }

    fn demand(&self, at_ms: u64) -> f64 {
        let is_own_turn = at_ms % (QUEUES * self.turn_ms) < self.turn_ms;
        let factor = if is_own_turn {
            BURST_FACTOR
        } else {
            LULL_FACTOR
        };
        self.rate_per_s * factor
    }

    fn slots(&self, at_ms: u64) -> u64 {
        let into_turn_ms = at_ms % (QUEUES * self.turn_ms);
        let moved = self.moves && (MOVE_MS..self.turn_ms + MOVE_MS).contains(&into_turn_ms);
        (self.instances + if moved { MOVED_INSTANCES } else { 0 }) * SLOTS
    }

    fn admit_or_refuse(
        &self,
        waiting: &mut VecDeque<u64>,
        running: u64,
        slots: u64,
        at_ms: u64,
        outcome: &mut BurstOutcome,
    ) {
        let ahead = waiting.len() as u64 + running;
        let wait_ms = ahead.saturating_sub(slots - slots.min(1)) * WORK_MS / slots.max(1);
        let refuses = match self.overload_policy {
            OverloadPolicy::Queue => false,
            OverloadPolicy::RefuseAtOnce => ahead >= slots,
            OverloadPolicy::QueueOrRefuse => wait_ms + WORK_MS > DEADLINE_MS,
        };
        if refuses {
            outcome.refused += 1;
        } else {
            waiting.push_back(at_ms);
        }
    }
}

fn start_waiting(
    waiting: &mut VecDeque<u64>,
    running: &mut VecDeque<u64>,
    slots: u64,
    at_ms: u64,
    outcome: &mut BurstOutcome,
) {
    while (running.len() as u64) < slots {
        let Some(arrived_ms) = waiting.pop_front() else {
            return;
        };
        running.push_back(at_ms + WORK_MS);
        if at_ms + WORK_MS - arrived_ms <= DEADLINE_MS {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
    }
}

/// Returns every way weighed, from a pool without a buffer on, at a site's weights.
#[must_use]
pub fn evaluate_choices(base: BurstRun, weights: &CostWeights) -> Vec<BurstChoice> {
    let answers = [
        OverloadPolicy::RefuseAtOnce,
        OverloadPolicy::Queue,
        OverloadPolicy::QueueOrRefuse,
    ];
    let mut choices = Vec::new();
    for buffer in 0..=8 {
        for answer in answers {
            for moves in [false, true] {
                let mut run = base.overload_policy(answer).moves(moves);
                run.instances += buffer;
                let outcome = run.run();
                let length_ms = ROUNDS * QUEUES * base.turn_ms;
                let moves_per_h = outcome.moves as f64 * 3_600_000.0 / length_ms as f64;
                choices.push(BurstChoice {
                    buffer,
                    answer,
                    moves,
                    outcome,
                    cost: weights.buffer * buffer as f64 + weights.moves * moves_per_h,
                });
            }
        }
    }
    choices
}

/// Returns the cheapest way that answers enough in time, and nothing late.
#[must_use]
pub fn cheapest_sufficient(choices: &[BurstChoice]) -> Option<&BurstChoice> {
    let serving = choices.iter().filter(|choice| {
        choice.outcome.in_time_share() >= MIN_IN_TIME_SHARE && choice.outcome.late == 0
    });
    serving.min_by(|left, right| {
        let by_cost = left.cost.total_cmp(&right.cost);
        by_cost.then(left.outcome.refused.cmp(&right.outcome.refused))
    })
}
