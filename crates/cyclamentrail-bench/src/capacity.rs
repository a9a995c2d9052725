//! Compares ways to serve bursts of demand that rotate between the queues of several pools.
//!
//! One queue is simulated: its demand is high in its own turn and low in all other turns. Each
//! combination of buffer, overload policy and moving instances has a cost and a result.
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

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 20;
/// Measured lengths of one turn in milliseconds.
pub const TURN_LENGTHS_MS: [u64; 3] = [5_000, 10_000, 20_000];
/// Queues that have their burst one after the other.
const QUEUES: u64 = 5;
/// Demand in the queue's own turn, as a multiple of its mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand in the other turns, as a multiple of the mean.
const LULL_FACTOR: f64 = 0.05;
/// Rounds in one run; in one round each queue has one turn.
const ROUNDS: u64 = 20;
/// Requests that one instance serves at once.
const SLOTS: u64 = 8;
/// Time in milliseconds for which one request occupies a slot.
const WORK_MS: u64 = 200;
/// Time in milliseconds from arrival within which a request has to be answered.
const DEADLINE_MS: u64 = 5_000;
/// Time in milliseconds from the decision to move an instance until it serves its new pool.
const MOVE_MS: u64 = 6_000;
/// Instances that are moved into the queue's pool for its turn.
const MOVED_INSTANCES: u64 = 4;
/// Smallest share of requests answered in time with which a choice is sufficient.
const MIN_IN_TIME_SHARE: f64 = 0.999;
const SEED: u64 = 6;

/// Policy for requests that find no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverloadPolicy {
    /// Refuses the request at once.
    RefuseAtOnce,
    /// Queues the request, even past its deadline.
    Queue,
    /// Queues the request if its estimated response is within the deadline, else refuses it at
    /// once.
    QueueOrRefuse,
}

/// Parameters of the simulation of one queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstRun {
    instances: u64,
    rate_per_s: f64,
    turn_ms: u64,
    overload_policy: OverloadPolicy,
    moves: bool,
}

/// Counted results of one simulated queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct BurstOutcome {
    /// Requests that arrived.
    pub asked: u64,
    /// Requests answered within their deadline.
    pub in_time: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Moves of instances into the pool and back.
    pub moves: u64,
}

/// One combination of buffer, overload policy and moves, with its results and cost.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BurstChoice {
    /// Instances held beyond those of the base run, which has none to spare at the mean demand.
    pub buffer: u64,
    /// Policy for requests that find no free slot.
    pub answer: OverloadPolicy,
    /// Whether instances move into the queue's pool for its turn.
    pub moves: bool,
    /// Counted results of one simulated queue.
    pub outcome: BurstOutcome,
    /// Cost of the buffer and of the moves per hour, by the cost weights of the site.
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
    /// Creates a run with the size of the pool and the mean request rate of its queue.
    ///
    /// The defaults are turns of 10 seconds, [`OverloadPolicy::QueueOrRefuse`] and no moves.
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

    /// Sets the policy for requests that find no free slot.
    #[must_use]
    pub const fn overload_policy(mut self, overload_policy: OverloadPolicy) -> Self {
        self.overload_policy = overload_policy;
        self
    }

    /// Sets whether instances move into the queue's pool for its turn.
    #[must_use]
    pub const fn moves(mut self, moves: bool) -> Self {
        self.moves = moves;
        self
    }

    /// Simulates all rounds until no request waits.
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

    /// Returns the mean rate of arriving requests per second at a virtual time.
    fn demand(&self, at_ms: u64) -> f64 {
        let is_own_turn = at_ms % (QUEUES * self.turn_ms) < self.turn_ms;
        let factor = if is_own_turn {
            BURST_FACTOR
        } else {
            LULL_FACTOR
        };
        self.rate_per_s * factor
    }

    /// Returns the slots of the pool at a virtual time, moved instances included.
    fn slots(&self, at_ms: u64) -> u64 {
        let into_turn_ms = at_ms % (QUEUES * self.turn_ms);
        let moved = self.moves && (MOVE_MS..self.turn_ms + MOVE_MS).contains(&into_turn_ms);
        (self.instances + if moved { MOVED_INSTANCES } else { 0 }) * SLOTS
    }

    /// Queues an arriving request or refuses it, by the overload policy.
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

/// Starts waiting requests on free slots and counts whether their responses are in time.
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

/// Simulates every combination of overload policy, moves and a buffer of 0 to 8 instances.
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

/// Returns the cheapest choice that answers at least 99.9 % of the requests in time and none late.
///
/// Among equal costs, the choice with fewer refusals is preferred.
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
