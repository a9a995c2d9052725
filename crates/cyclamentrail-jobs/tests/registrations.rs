//! Registrations whose numbers can't be those of a worker.

use cyclamentrail_core::{ServiceName, WorkerId, ZoneName};
use cyclamentrail_jobs::{Lease, Resources, WorkerRegistration};
use rstest::rstest;

const NOW_UNIX_MS: u64 = 1_700_000_000_000;

fn registration() -> WorkerRegistration {
    WorkerRegistration {
        id: WorkerId::from("i-1"),
        started_ms: NOW_UNIX_MS,
        address: ([127, 0, 0, 1], 9).into(),
        zone: ZoneName::from("z"),
        service: ServiceName::from("svc"),
        capacity: Resources::new(16_000, 32_768, 0),
        labels: Vec::new(),
        is_draining: false,
        warmup_ms: 0,
        clock_ms: 480_000,
    }
}

/// Clocks differ by seconds, and a worker's own may count from 1970.
#[rstest]
#[case::usual(registration(), true)]
#[case::clocks_differ(WorkerRegistration { started_ms: NOW_UNIX_MS + 8_000, ..registration() }, true)]
#[case::unix_clock(WorkerRegistration { clock_ms: NOW_UNIX_MS, ..registration() }, true)]
#[case::started_ahead(WorkerRegistration { started_ms: NOW_UNIX_MS * 2, ..registration() }, false)]
#[case::clock_at_limit(WorkerRegistration { clock_ms: u64::MAX, ..registration() }, false)]
#[case::warmup_at_limit(WorkerRegistration { warmup_ms: u64::MAX, ..registration() }, false)]
#[case::large(WorkerRegistration { capacity: Resources::new(512_000, 4_000_000, 64), ..registration() }, true)]
#[case::too_large(WorkerRegistration { capacity: Resources::new(u64::MAX, 1, 0), ..registration() }, false)]
fn plausible(#[case] registration: WorkerRegistration, #[case] is_plausible: bool) {
    assert_eq!(registration.is_plausible(NOW_UNIX_MS), is_plausible);
}

/// A reading at the end of its range overflowed the end of the lease.
#[test]
fn clock_at_limit() {
    let mut lease = Lease::new();
    lease.record_clock(u64::MAX, 10_000);
    assert_eq!(lease.extend(10_100, 4_000), Some(u64::MAX));
    lease.record_clock(0, 10_200);
    assert!(!lease.is_expired(10_000));
}
