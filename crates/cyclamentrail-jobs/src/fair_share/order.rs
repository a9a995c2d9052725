//! Which jobs are within the share of their team.

/// A whole pool, in parts per billion; shares of one task are as small as some millionths.
pub const WHOLE_POOL_PPB: u64 = 1_000_000_000;

/// What a team takes and wants of a pool, in parts per billion of the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Weight of the team, in thousandths.
    pub weight_milli: u64,
    /// Part of the pool that the team's placed tasks take.
    pub placed_ppb: u64,
    /// Part of the pool that the team's waiting tasks would take.
    pub waiting_ppb: u64,
}

/// Shares of the teams in a pool, for one placement pass.
///
/// The load it answers: the waiting work of one or more teams exceeds the pool, and by deadline
/// alone it would be served in the order in which it came, so that a small team's job waits behind
/// all of a large team's. The pool is divided by weight among the teams with work (max-min
/// fairness): a team that wants less than its part gets what it wants, and what it leaves is divided
/// among the others in the same way.
///
/// The waiting jobs are counted in the order of their ranks. A job is over its team's share if the
/// team's placed tasks and its jobs before this one take up the share; so the first jobs of each
/// team are within it, as far as it goes.
///
/// The wait of a job that is over the share is bounded by its own team: the jobs that go before it
/// are within the shares of their teams, and these leave this team's share free. As its team's tasks
/// end, its jobs move up into the share, the earliest deadline first. A job that has become late
/// comes after all that aren't, and a stream of these could keep it waiting for ever. So once it is
/// long overdue, the first such job of a team goes with those that aren't late, if the team has
/// nothing else placed or waiting before it ([`FairShares::has_none`]).
///
/// ```
/// use cyclamentrail_jobs::{FairShares, TeamDemand};
///
/// let hot = TeamDemand { weight_milli: 1_000, placed_ppb: 900_000_000, waiting_ppb: 800_000_000 };
/// let small = TeamDemand { weight_milli: 1_000, placed_ppb: 0, waiting_ppb: 100_000_000 };
/// let mut shares = FairShares::new(&[hot, small]);
/// assert!(shares.is_next_over(0, 100_000_000));
/// assert!(!shares.is_next_over(1, 100_000_000));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FairShares {
    teams: Vec<TeamShare>,
}

/// Share of one team, and what of it is taken, in parts per billion of the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TeamShare {
    due_ppb: u64,
    taken_ppb: u64,
}

impl FairShares {
    /// Divides a pool among teams, which are identified by their index in `demands`. The cost is
    /// that of sorting the teams with work.
    #[must_use]
    pub fn new(demands: &[TeamDemand]) -> Self {
        let mut teams: Vec<TeamShare> = demands
            .iter()
            .map(|demand| TeamShare {
                due_ppb: 0,
                taken_ppb: demand.placed_ppb,
            })
            .collect();
        let mut by_need: Vec<(u64, usize)> = (0..demands.len())
            .filter(|&index| demands[index].wanted_ppb() > 0)
            .map(|index| (demands[index].wanted_per_weight(), index))
            .collect();
        by_need.sort_unstable();
        let mut left_ppb = WHOLE_POOL_PPB;
        let mut left_weight: u64 = by_need
            .iter()
            .map(|&(_, index)| demands[index].weight_milli)
            .sum();
        for (_, index) in by_need {
            let demand = &demands[index];
            let part = u128::from(left_ppb) * u128::from(demand.weight_milli);
            let part_ppb = part
                .checked_div(u128::from(left_weight))
                .and_then(|part| u64::try_from(part).ok())
                .unwrap_or(left_ppb);
            let due_ppb = part_ppb.min(demand.wanted_ppb());
            teams[index].due_ppb = due_ppb;
            left_ppb = left_ppb.saturating_sub(due_ppb);
            left_weight = left_weight.saturating_sub(demand.weight_milli);
        }
        Self { teams }
    }

    /// Counts the next waiting job, which wants a part of the pool, to its team; returns whether it
    /// is over the team's share.
    pub fn is_next_over(&mut self, team: usize, wanted_ppb: u64) -> bool {
        let Some(share) = self.teams.get_mut(team) else {
            return false;
        };
        let is_over = share.taken_ppb >= share.due_ppb;
        share.taken_ppb = share.taken_ppb.saturating_add(wanted_ppb);
        is_over
    }

    /// Returns whether a team has nothing placed, and no waiting job was counted yet.
    #[must_use]
    pub fn has_none(&self, team: usize) -> bool {
        self.teams
            .get(team)
            .is_some_and(|share| share.taken_ppb == 0)
    }

    /// Returns the part of the pool that is due to a team, in parts per billion.
    #[must_use]
    pub fn due_ppb(&self, team: usize) -> u64 {
        self.teams.get(team).map_or(0, |share| share.due_ppb)
    }
}

impl TeamDemand {
    const fn wanted_ppb(&self) -> u64 {
        self.placed_ppb.saturating_add(self.waiting_ppb)
    }

    const fn wanted_per_weight(&self) -> u64 {
        let weight = if self.weight_milli == 0 {
            1
        } else {
            self.weight_milli
        };
        self.wanted_ppb().saturating_mul(1_000) / weight
    }
}
