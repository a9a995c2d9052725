//! Tests of the decisions about teams' shares of a full pool.

use cyclamentrail_jobs::{
    AdmissionRequest, Backlog, FairShares, JobRate, RejectReason, TeamAdmission, TeamDemand,
    TeamLoad, WHOLE_POOL_PPB, admit_for_team, weight_milli,
};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

/// One hundredth of the pool.
const PERCENT: u64 = WHOLE_POOL_PPB / 100;

/// A job with a slack of 1,200 ms that may be expected to wait for 10 s.
const JOB: AdmissionRequest = AdmissionRequest {
    work_ms: 200,
    critical_path_ms: 1_000,
    objective_ms: 2_200,
    jitter_seed: 0,
};

fn demand(weight_milli: u64, placed: u64, waiting: u64) -> TeamDemand {
    TeamDemand {
        weight_milli,
        placed_ppb: placed * PERCENT,
        waiting_ppb: waiting * PERCENT,
    }
}

/// Returns the shares due in percent of the pool.
fn due(demands: &[TeamDemand]) -> Vec<u64> {
    let shares = FairShares::new(demands);
    (0..demands.len())
        .map(|team| shares.due_ppb(team) / PERCENT)
        .collect()
}

/// Decides on a job of a team with a weight of one twentieth; `rate_wait_ms` is 0 within the rate.
fn decide(pool_work_ms: u64, own_work_ms: u64, rate_wait_ms: u64) -> TeamAdmission {
    let pool = Backlog {
        work_ms: pool_work_ms,
        workers: 10,
    };
    let team = TeamLoad {
        work_ms: own_work_ms,
        weight_milli: 1_000,
        total_weight_milli: 20_000,
        rate_wait_ms,
    };
    admit_for_team(pool, &team, JOB)
}

#[rstest]
#[case::equal(&[demand(1_000, 0, 200), demand(1_000, 0, 200)], &[50, 50])]
#[case::weighted(&[demand(1_000, 0, 200), demand(3_000, 0, 200)], &[25, 75])]
#[case::idle_leaves_all(&[demand(1_000, 0, 0), demand(1_000, 10, 200)], &[0, 100])]
#[case::small_leaves_rest(&[demand(1_000, 5, 5), demand(1_000, 90, 200), demand(1_000, 0, 50)], &[10, 45, 45])]
#[case::leaves_by_weight(&[demand(8_000, 2, 2), demand(1_000, 0, 99), demand(3_000, 0, 99)], &[4, 24, 72])]
#[case::room_for_all(&[demand(1_000, 10, 50), demand(1_000, 20, 20)], &[60, 40])]
#[case::nobody(&[demand(1_000, 0, 0)], &[0])]
fn shares_due(#[case] demands: &[TeamDemand], #[case] expected: &[u64]) {
    assert_eq!(due(demands), expected);
}

/// The first jobs of a team that has nothing placed are within its share, the later ones over it.
#[test]
fn first_jobs_within_share() {
    let mut shares = FairShares::new(&[demand(1_000, 0, 200), demand(1_000, 50, 200)]);
    let over: Vec<bool> = (0..4)
        .map(|_| shares.is_next_over(0, 20 * PERCENT))
        .collect();
    assert_eq!(over, [false, false, false, true]);
    assert!(shares.is_next_over(1, 20 * PERCENT));
}

/// A team that holds the whole pool when others come back to it isn't within its share until they
/// have theirs.
#[test]
fn pool_holder_over_share() {
    let mut shares = FairShares::new(&[demand(1_000, 100, 30), demand(1_000, 0, 80)]);
    assert!(shares.is_next_over(0, PERCENT));
    assert!(!shares.is_next_over(1, PERCENT));
}

/// The team's own part of 10 workers is half a worker.
#[rstest]
#[case::calm(1_000, 0, 0, Some(0))]
#[case::behind_hot_team(900_000, 100, 0, Some(200))]
#[case::own_backlog(900_000, 1_100, 0, Some(2_200))]
#[case::alone_in_pool(20_000, 20_000, 0, Some(2_000))]
#[case::excess_with_room(11_000, 11_000, 100, Some(1_100))]
#[case::excess_in_own_part(900_000, 300, 100, Some(600))]
fn accepted(
    #[case] pool_ms: u64,
    #[case] own_ms: u64,
    #[case] rate_wait_ms: u64,
    #[case] expected_ms: Option<u64>,
) {
    let wait_ms = match decide(pool_ms, own_ms, rate_wait_ms) {
        TeamAdmission::Accept { wait_ms } => Some(wait_ms),
        TeamAdmission::Reject { .. } => None,
    };
    assert_eq!(wait_ms, expected_ms);
}

#[rstest]
#[case::own_backlog(900_000, 7_000, 0, RejectReason::Overload, 4_000)]
#[case::long_own_backlog(900_000, 30_000, 0, RejectReason::Overload, 10_000)]
#[case::whole_backlog_shorter(102_000, 20_000, 0, RejectReason::Overload, 10_000)]
#[case::excess(900_000, 1_100, 3_000, RejectReason::OverRate, 3_000)]
#[case::excess_with_one_job_more(900_000, 500, 100, RejectReason::OverRate, 1_000)]
#[case::excess_beyond_slack(13_000, 13_000, 100, RejectReason::OverRate, 10_000)]
fn rejected(
    #[case] pool_ms: u64,
    #[case] own_ms: u64,
    #[case] rate_wait_ms: u64,
    #[case] expected: RejectReason,
    #[case] expected_retry_ms: u64,
) {
    let TeamAdmission::Reject {
        reason,
        retry_after_ms,
        ..
    } = decide(pool_ms, own_ms, rate_wait_ms)
    else {
        panic!("the job is accepted");
    };
    assert_eq!((reason, retry_after_ms), (expected, expected_retry_ms));
}

/// Work without a worker that may do it is rejected.
#[test]
fn no_workers_rejects() {
    let team = TeamLoad {
        work_ms: 0,
        weight_milli: 1_000,
        total_weight_milli: 1_000,
        rate_wait_ms: 0,
    };
    let admission = admit_for_team(Backlog::default(), &team, JOB);
    assert!(matches!(admission, TeamAdmission::Reject { .. }));
}

/// A weight of two a second allows ten jobs at once after an idle time, and then two a second.
#[test]
fn rate_counts_burst() {
    let mut rate = JobRate::default();
    let mut within = 0;
    for now_ms in (50_000..60_000).step_by(100) {
        if rate.wait_ms(now_ms, 2_000) == 0 {
            within += 1;
            rate.count_job(now_ms, 2_000);
        }
    }
    assert_eq!(within, 10 + 19);
}

/// A team with a weight far below one isn't excess with its first job after an idle time.
#[test]
fn small_weight_sends_one() {
    let mut rate = JobRate::default();
    assert_eq!(rate.wait_ms(0, 100), 0);
    rate.count_job(0, 100);
    assert_eq!(rate.wait_ms(0, 100), 10_000);
    assert_eq!(rate.wait_ms(10_000, 100), 0);
}

#[rstest]
#[case(1.0, 1_000)]
#[case(0.000_1, 1)]
#[case(f64::NAN, 1)]
#[case(1e30, 1_000_000_000)]
fn weights_bounded(#[case] weight: f64, #[case] expected: u64) {
    assert_eq!(weight_milli(weight), expected);
}

proptest! {
    /// Shares never exceed the pool or a team's wish, use the pool up where there is enough work, and
    /// give no team less for its weight than another, unless it wants no more.
    #[test]
    fn shares_are_max_min(
        teams in vec((1_u64..100_000, 0_u64..100, 0_u64..300), 1..40)
    ) {
        let demands: Vec<TeamDemand> = teams
            .iter()
            .map(|&(weight, placed, waiting)| demand(weight, placed, waiting))
            .collect();
        let shares = FairShares::new(&demands);
        let wanted = |team: usize| demands[team].placed_ppb + demands[team].waiting_ppb;
        let total: u64 = (0..demands.len()).map(|team| shares.due_ppb(team)).sum();
        let total_wanted: u64 = (0..demands.len()).map(wanted).sum();
        prop_assert!(total <= WHOLE_POOL_PPB);
        prop_assert!(total + demands.len() as u64 >= total_wanted.min(WHOLE_POOL_PPB));
        for team in 0..demands.len() {
            prop_assert!(shares.due_ppb(team) <= wanted(team));
            if shares.due_ppb(team) == wanted(team) {
                continue;
            }
            for other in 0..demands.len() {
                // Each division rounds down by less than one part, which goes to the teams after it.
                let rounding = demands.len() as u64;
                let own = (shares.due_ppb(team) + rounding) * demands[other].weight_milli;
                let others =
                    shares.due_ppb(other).saturating_sub(rounding) * demands[team].weight_milli;
                prop_assert!(own >= others, "team {team} has less than {other}");
            }
        }
    }
}
