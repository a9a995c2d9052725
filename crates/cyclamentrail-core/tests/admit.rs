//! Tests of admission: queues by class and team, deadlines and evictions.

use std::collections::BTreeSet;

use cyclamentrail_core::{
    Admission, AdmissionLimits, AdmissionRequest, NotRunReason, QueueTicket, RequestClass, TeamName,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 4;
const LIMITS: AdmissionLimits = AdmissionLimits {
    max_waiting: 8,
    initial_start_interval_us: 1_000,
};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn request(class: RequestClass, team: &str, deadline_us: u64) -> AdmissionRequest {
    AdmissionRequest {
        class,
        team: TeamName::from(team),
        deadline_us,
    }
}

fn quick(team: &str, deadline_us: u64) -> AdmissionRequest {
    request(RequestClass::Quick, team, deadline_us)
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Enqueue {
        team: usize,
        long: bool,
        remaining_us: u64,
    },
    Next {
        long: bool,
    },
    Remove(usize),
    Sweep,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0_usize..4, any::<bool>(), 0_u64..20_000)
            .prop_map(|(team, long, remaining_us)| Step::Enqueue { team, long, remaining_us }),
        3 => any::<bool>().prop_map(|long| Step::Next { long }),
        1 => (0_usize..50).prop_map(Step::Remove),
        1 => Just(Step::Sweep),
    ];
    prop::collection::vec(step, 0..120)
}

proptest! {
    #![proptest_config(config())]

    /// Each queued request leaves the queue exactly once: started, late, evicted or removed.
    #[test]
    fn requests_leave_once(steps in steps()) {
        let mut admission = Admission::new(LIMITS);
        let mut waiting = BTreeSet::new();
        let mut tickets: Vec<(usize, QueueTicket)> = Vec::new();
        let mut now_us = 0;
        for (number, step) in steps.into_iter().enumerate() {
            now_us += 700;
            match step {
                Step::Enqueue { team, long, remaining_us } => {
                    let class = if long { RequestClass::Long } else { RequestClass::Quick };
                    let request = request(class, ["a", "b", "c", "d"][team], now_us + remaining_us);
                    if let Ok(queued) = admission.enqueue(&request, now_us, number) {
                        waiting.insert(number);
                        tickets.push((number, queued.ticket));
                        if let Some((evicted, _)) = queued.evicted {
                            prop_assert!(waiting.remove(&evicted));
                        }
                    }
                }
                Step::Next { long } => {
                    let freed = if long { RequestClass::Long } else { RequestClass::Quick };
                    let dequeued = admission.dequeue_for_freed_slot(freed, now_us, |_class| true);
                    for (late, refusal) in dequeued.late {
                        prop_assert!(waiting.remove(&late));
                        prop_assert_eq!(refusal.reason, NotRunReason::Deadline);
                    }
                    match dequeued.request {
                        Some(request) => prop_assert!(waiting.remove(&request)),
                        None => prop_assert!(waiting.is_empty()),
                    }
                }
                Step::Remove(index) => {
                    if let Some((number, ticket)) = tickets.get(index) {
                        let removed = admission.remove(ticket);
                        prop_assert_eq!(removed.is_some(), waiting.remove(number));
                    }
                }
                Step::Sweep => {
                    for (late, _) in admission.remove_late(now_us) {
                        prop_assert!(waiting.remove(&late));
                    }
                }
            }
            let queue_lengths = admission.waiting(RequestClass::Quick) + admission.waiting(RequestClass::Long);
            prop_assert_eq!(queue_lengths, waiting.len());
            prop_assert!(admission.waiting(RequestClass::Quick) <= 8);
        }
    }
}

#[test]
fn late_request_refused() {
    let mut admission = Admission::new(LIMITS);
    for number in 0..4 {
        admission
            .enqueue(&quick("a", 1_000_000), 0, number)
            .expect("the deadline can be met");
    }
    let refusal = admission
        .enqueue(&quick("a", 2_000), 0, 4)
        .expect_err("four requests are ahead");
    assert_eq!(refusal.reason, NotRunReason::Deadline);
    let expected_wait_us = 5 * LIMITS.initial_start_interval_us;
    let with_margin_us = expected_wait_us + expected_wait_us / 3;
    assert_eq!(refusal.retry_after_us, with_margin_us - 2_000);
}

#[test]
fn largest_team_evicted() {
    let mut admission = Admission::new(LIMITS);
    for number in 0..8 {
        admission
            .enqueue(&quick("large", 1_000_000), 0, number)
            .expect("the queue has room");
    }
    let queued = admission
        .enqueue(&quick("small", 1_000_000), 0, 8)
        .expect("a request of the large team is evicted");
    let (evicted, refusal) = queued.evicted.expect("the queue was full");
    assert_eq!((evicted, refusal.reason), (7, NotRunReason::TeamShare));
    let rejected = admission.enqueue(&quick("large", 1_000_000), 0, 9);
    assert_eq!(
        rejected.map(|_| ()).map_err(|refusal| refusal.reason),
        Err(NotRunReason::QueueFull)
    );
    let order: Vec<i32> = (0..2)
        .filter_map(|_| admission.dequeue(RequestClass::Quick, 0).request)
        .collect();
    assert_eq!(order, [0, 8]);
}

#[test]
fn long_after_three_quick() {
    let mut admission = Admission::new(LIMITS);
    for number in 0..8 {
        let class = if number < 4 {
            RequestClass::Long
        } else {
            RequestClass::Quick
        };
        admission
            .enqueue(&request(class, "a", 1_000_000), 0, number)
            .expect("the queue has room");
    }
    let order: Vec<i32> = (0..5)
        .filter_map(|_| {
            admission
                .dequeue_for_freed_slot(RequestClass::Quick, 0, |_class| true)
                .request
        })
        .collect();
    assert_eq!(order, [4, 5, 6, 0, 7]);
}

#[test]
fn stall_raises_wait() {
    let mut admission = Admission::new(LIMITS);
    admission
        .enqueue(&quick("a", 10_000_000), 0, 0)
        .expect("the queue is empty");
    let team = TeamName::from("b");
    let wait_us = |now_us| admission.expected_wait_us(RequestClass::Quick, &team, now_us);
    assert!(wait_us(1_000_000) > wait_us(1_000) + 900_000);
}
