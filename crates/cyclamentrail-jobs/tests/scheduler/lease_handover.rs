//! Tests of what a new owner knows of the leases of workers that don't respond.

use crate::world::{Simulation, job};
use cyclamentrail_jobs::{
    Decision, JobSpec, LEASE_PREFIX, LeaseSource, RELEASE_KEY, ReleaseRecord, Resources,
    ShardTiming, WorkerLeaseRecord,
};
use cyclamentrail_jobs::{Reachability, decode, encode};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Longest time that a granted lease lasts, in milliseconds.
const LONGEST_LEASE_MS: u64 = 4_617;
/// Time for which a killed owner may still extend leases, in milliseconds.
const ACTIVE_MS: u64 = 5_000;
/// Time in milliseconds after the first contact with a worker from which its lease ends no later than
/// what was granted since.
const REACHED_MS: u64 = 2_500;
/// Time in milliseconds for which calls to an earlier incarnation may begin runs and hold leases on one
/// that nobody reaches: 12 s until they are carried out, and the longest lease.
const UNREACHED_MS: u64 = 12_000 + 6_151;
/// Key of the lease record of the worker that falls silent.
const RECORD_KEY: &str = "~lease/w0";

fn lasting() -> JobSpec {
    let mut spec = job(1, 1_000, 0);
    spec.steps[0].long_running = true;
    spec
}

/// Returns a simulation with a lasting run on one worker, and with an idle worker.
fn running() -> Simulation {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", lasting());
    sim.run_for(REACHED_MS);
    assert_eq!(sim.running_on("w0"), 1);
    sim.add_worker("w9", WORKER, "r9");
    sim
}

/// Replaces the owner each `interval_ms` until the run is on the idle worker; returns after how many
/// milliseconds it is there, or `None` after 30 s.
fn replace_owners(
    sim: &mut Simulation,
    interval_ms: u64,
    replace: impl Fn(&mut Simulation),
) -> Option<u64> {
    for elapsed_ms in (0..30_000).step_by(20) {
        if sim.running_on("w9") == 1 {
            return Some(elapsed_ms);
        }
        if elapsed_ms > 0 && elapsed_ms % interval_ms == 0 {
            replace(sim);
        }
        sim.run_for(20);
    }
    None
}

#[rstest]
#[case::often(700)]
#[case::in_turn(1_600)]
#[case::at_once(60)]
fn released_owners_count_on(#[case] interval_ms: u64) {
    for is_gone in [false, true] {
        let mut sim = running();
        if is_gone {
            sim.remove_worker("w0");
        } else {
            sim.worker("w0").is_reachable = false;
        }
        let started_ms = replace_owners(&mut sim, interval_ms, Simulation::hand_over);
        let latest_ms = LONGEST_LEASE_MS + interval_ms + 100;
        assert!(
            started_ms.is_some_and(|started_ms| started_ms <= latest_ms),
            "started after {started_ms:?} ms, later than {latest_ms} ms"
        );
    }
}

/// The order of events that the model `lease_handover` finds where a release tells nothing: an owner that
/// doesn't know yet that it was replaced goes on extending the lease, while its successor is asked to
/// release before it has found the worker silent.
#[rstest]
#[case::at_once(0)]
#[case::polled(100)]
#[case::almost_silent(400)]
fn fenced_release_tells_earlier(#[case] owned_ms: u64) {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.take_over(ACTIVE_MS);
    sim.run_for(owned_ms);
    assert!(!sim.records.contains_key(RECORD_KEY));
    sim.hand_over_fenced();
    for _ in (owned_ms..ACTIVE_MS).step_by(100) {
        sim.extend_as_earlier("w0");
        sim.run_for(100);
    }
    assert_eq!(sim.running_on("w0"), 1);
    sim.run_for(LONGEST_LEASE_MS + 300);
    assert_eq!(sim.running_on("w9"), 1);
}

/// An owner that releases the shard soon after its takeover: its lease record names the incarnation that
/// the store has no run on, so that its successor counts the calls of the owners before it anew.
#[rstest]
#[case::at_once(0)]
#[case::polled(100)]
#[case::found_silent(900)]
fn release_record_tells_earlier(#[case] owned_ms: u64) {
    let mut sim = running();
    sim.take_over(ACTIVE_MS);
    let act_until_ms = sim.now().boot_ms + ACTIVE_MS;
    sim.restart_under_id("w0", 0);
    sim.worker("w0").is_reachable = false;
    sim.run_for(owned_ms);
    sim.hand_over();
    let lease = sim.shard.worker(&"w0".into()).expect("w0 is listed").lease;
    let waited_ms = lease.expiry_ms() - sim.now().boot_ms;
    assert!(
        lease.expiry_ms() >= act_until_ms + UNREACHED_MS,
        "{waited_ms} ms"
    );
    assert!(waited_ms <= ACTIVE_MS + UNREACHED_MS, "{waited_ms} ms");
}

/// The time is handed on by any number of owners, and ends.
#[test]
fn earlier_owners_end() {
    let mut sim = running();
    sim.take_over(ACTIVE_MS);
    for _ in 0..6 {
        sim.run_for(900);
        sim.hand_over();
    }
    assert_eq!(sim.shard.earlier_acts_ms(sim.now()), 0);
}

/// A release record of an earlier version tells nothing of the owners before; an earlier version reads
/// none of this one, and takes the owner for one that may still act.
#[test]
fn release_of_other_version() {
    let mut sim = running();
    let value = sim.shard.release_record(sim.now()).value;
    assert_eq!(decode::<(u64,)>(&value).ok(), None);
    let release: ReleaseRecord = decode(&value).expect("the record is readable");
    assert_eq!(release.earlier_acts_ms, Some(0));
    sim.records
        .insert(RELEASE_KEY.to_owned(), encode(&(release.token,)));
    sim.take_over(ACTIVE_MS);
    assert_eq!(sim.shard.earlier_acts_ms(sim.now()), ACTIVE_MS);
}

#[rstest]
#[case::often(1_300)]
#[case::in_turn(1_600)]
#[case::seldom(3_500)]
fn killed_owners_count_on(#[case] interval_ms: u64) {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    let started_ms = replace_owners(&mut sim, interval_ms, |sim| sim.take_over(ACTIVE_MS));
    // Each killed owner takes up to a second of the elapsed wait with it.
    let latest_ms = 2 * LONGEST_LEASE_MS;
    assert!(
        started_ms.is_some_and(|started_ms| started_ms <= latest_ms),
        "started after {started_ms:?} ms"
    );
}

/// A worker that responds again gets new leases, which a successor doesn't know: the record is gone
/// before the first of them.
#[rstest]
#[case::at_once(0)]
#[case::contacted(40)]
#[case::granted(200)]
#[case::later(2_000)]
fn responding_worker_reopened(#[case] contact_ms: u64) {
    for is_handed_over in [false, true] {
        let mut sim = running();
        sim.worker("w0").is_reachable = false;
        sim.run_for(3_800);
        sim.hand_over();
        sim.worker("w0").is_reachable = true;
        sim.run_for(contact_ms);
        sim.worker("w0").is_reachable = false;
        if is_handed_over {
            sim.hand_over();
        } else {
            sim.take_over(ACTIVE_MS);
        }
        sim.run_for(12_000);
        assert_eq!(sim.running_on("w9"), 1);
    }
}

/// A commit with a record may be under way when the worker responds again, or when the owner ends.
#[test]
fn commit_in_flight() {
    for silent_ms in (480..560).step_by(2) {
        for contact_ms in [0, 2, 4, 6, 8, 10, 12, 14, 16, 60, 70, 80, 100] {
            let mut sim = running();
            sim.worker("w0").is_reachable = false;
            sim.run_for(silent_ms);
            sim.worker("w0").is_reachable = true;
            sim.run_for(contact_ms);
            sim.worker("w0").is_reachable = false;
            sim.take_over(ACTIVE_MS);
            sim.run_for(12_000);
            assert_eq!(sim.running_on("w9"), 1, "{silent_ms} ms, {contact_ms} ms");
        }
    }
}

/// Guards against granting a lease while the store still holds the worker's record: a successor would
/// start the run elsewhere before that lease has ended.
#[test]
fn outage_delays_grants() {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(3_500);
    sim.store_responds = false;
    sim.worker("w0").is_reachable = true;
    sim.run_for(700);
    sim.worker("w0").is_reachable = false;
    sim.store_responds = true;
    sim.take_over(ACTIVE_MS);
    sim.run_for(3_000);
    assert_eq!(
        sim.running_on("w9"),
        1,
        "the record says when the lease ended"
    );
}

/// Guards against granting a lease while the deletion of the worker's record is under way.
#[test]
fn slow_commit_delays_grants() {
    for silent_ms in (2_800..3_800).step_by(20) {
        let mut sim = running();
        sim.append_ms = 300;
        sim.worker("w0").is_reachable = false;
        sim.run_for(silent_ms);
        sim.worker("w0").is_reachable = true;
        while sim.reachability("w0") != Reachability::Reachable {
            sim.run_for(2);
        }
        sim.run_for(200);
        sim.worker("w0").is_reachable = false;
        sim.take_over(ACTIVE_MS);
        sim.run_for(12_000);
        assert_eq!(sim.running_on("w9"), 1, "{silent_ms} ms");
    }
}

/// The runs of a worker that responds during an outage end with its lease, and start again after it.
#[test]
fn outage_ends_runs() {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(2_000);
    sim.store_responds = false;
    sim.worker("w0").is_reachable = true;
    sim.run_for(4_000);
    assert_eq!(sim.running(), 0, "the lease wasn't extended");
    sim.store_responds = true;
    sim.run_for(2_000);
    assert_eq!(sim.running(), 1);
    assert!(!sim.records.contains_key(RECORD_KEY));
}

/// A worker that falls silent again before this owner has granted it a lease may have one of the
/// previous owner.
#[test]
fn silent_before_grant() {
    for contact_ms in (0..120).step_by(2) {
        let mut sim = running();
        sim.submit("b", lasting());
        sim.run_for(300);
        sim.worker("w0").is_reachable = false;
        sim.run_for(1_000);
        sim.hand_over();
        sim.worker("w0").is_reachable = true;
        sim.run_for(contact_ms);
        sim.worker("w0").is_reachable = false;
        sim.cancel("b");
        sim.run_for(10_000);
        assert_eq!(sim.running_on("w9"), 1);
    }
}

/// A record tells nothing about another incarnation, whose leases may last longer.
#[test]
fn restarted_worker_reopened() {
    for contact_ms in [0, 40, 148, 152, 156, 160, 170, 200, 300, 500, 2_000] {
        let mut sim = running();
        sim.worker("w0").is_reachable = false;
        sim.run_for(4_000);
        sim.restart_under_id("w0", 150);
        sim.submit("b", job(8, 8_000, 3_000));
        sim.run_for(contact_ms);
        sim.worker("w0").is_reachable = false;
        sim.take_over(ACTIVE_MS);
        sim.run_for(ACTIVE_MS + UNREACHED_MS + 500);
        assert_eq!(sim.running(), 1, "contact for {contact_ms} ms");
    }
}

/// Returns after how many milliseconds a run starts elsewhere, with a record that an earlier owner has
/// left of its silent worker.
fn wait_with_record(change: impl Fn(&mut WorkerLeaseRecord)) -> u64 {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(4_000);
    let value = &sim.records[RECORD_KEY];
    let mut record: WorkerLeaseRecord = decode(value).expect("the record is readable");
    change(&mut record);
    sim.records.insert(RECORD_KEY.to_owned(), encode(&record));
    sim.take_over(0);
    replace_owners(&mut sim, u64::MAX, |_| {}).expect("the run starts")
}

#[test]
fn other_incarnation_waits() {
    let known_ms = wait_with_record(|_| {});
    assert!(known_ms < 1_800, "{known_ms} ms");
    for difference in [1, u64::MAX] {
        let other_ms = wait_with_record(|record| {
            record.started_ms = record.started_ms.wrapping_add(difference);
        });
        assert!(other_ms > 4_600, "{other_ms} ms");
    }
}

/// An owner between two that know lease records may grant leases beside them.
#[test]
fn older_record_waits() {
    let older_ms = wait_with_record(|record| record.token -= 1);
    assert!(older_ms > 4_600, "{older_ms} ms");
}

#[test]
fn listed_restart_waits() {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(4_000);
    sim.is_owner_active = false;
    sim.restart_under_id("w0", 150);
    let mut shard = sim.new_shard();
    assert_eq!(shard.restore(sim.now(), sim.stored_records(), 0), 0);
    let lease = shard.worker(&"w0".into()).expect("w0 is listed").lease;
    assert!(lease.expiry_ms() > sim.now().boot_ms + 4_600);
}

/// A call to the earlier incarnation may have given the new one the longest lease of all.
#[test]
fn crossed_lease_waits() {
    let mut sim = running();
    sim.is_owner_active = false;
    sim.restart_under_id("w0", 150);
    let mut shard = sim.new_shard();
    assert_eq!(shard.restore(sim.now(), sim.stored_records(), 0), 0);
    let lease = shard.worker(&"w0".into()).expect("w0 is listed").lease;
    let longest_ms = ShardTiming::default().max_lease_ms;
    assert!(lease.expiry_ms() > sim.now().boot_ms + longest_ms);
}

#[test]
fn unreadable_record_waits() {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(4_000);
    sim.take_over(0);
    let records = sim.stored_records().into_iter().map(|mut record| {
        if record.key.starts_with(LEASE_PREFIX) {
            record.value = vec![0xc1];
        }
        record
    });
    let mut shard = sim.new_shard();
    assert_eq!(shard.restore(sim.now(), records, 0), 1);
    let lease = shard.worker(&"w0".into()).expect("w0 is listed").lease;
    assert!(lease.expiry_ms() > sim.now().boot_ms + 4_600);
}

/// What on-call engineers see of a wait that is handed over.
#[test]
fn handover_is_logged() {
    let mut sim = running();
    sim.worker("w0").is_reachable = false;
    sim.run_for(2_000);
    let closed = sim.decisions.iter().find_map(|decision| match decision {
        Decision::LeaseClosed { remaining_ms, .. } => Some(*remaining_ms),
        _ => None,
    });
    assert!(
        closed.is_some_and(|ms| (3_500..4_200).contains(&ms)),
        "{closed:?}"
    );
    sim.hand_over();
    sim.run_for(20);
    let inherited = sim.decisions.iter().find_map(|decision| match decision {
        Decision::LeaseInherited {
            remaining_ms,
            source,
            ..
        } => Some((*remaining_ms, *source)),
        _ => None,
    });
    let (remaining_ms, source) = inherited.expect("a takeover logs what it inherits");
    assert_eq!(source, LeaseSource::Record);
    assert!((2_000..2_700).contains(&remaining_ms), "{remaining_ms} ms");
}

/// A worker that responds costs no record; one that is lost costs a short one a second.
#[test]
fn records_stay_few() {
    let mut sim = Simulation::new(8, WORKER);
    for index in 0..8 {
        sim.submit(&index.to_string(), lasting());
    }
    sim.run_for(3_000);
    sim.hand_over();
    sim.run_for(1_000);
    assert_eq!(sim.lease_records, (0, 0));
    let busy = (0..8)
        .map(|index| format!("w{index}"))
        .find(|id| sim.running_on(id) > 0)
        .expect("a worker runs something");
    sim.worker(&busy).is_reachable = false;
    sim.run_for(2_000);
    let value = &sim.records[&format!("{LEASE_PREFIX}{busy}")];
    assert!(value.len() <= 14, "{} bytes", value.len());
    sim.run_for(10_000);
    assert!(sim.records.keys().all(|key| !key.starts_with(LEASE_PREFIX)));
    let (records, bytes) = sim.lease_records;
    assert!(records <= 6, "{records} records");
    assert!(bytes <= 125, "{bytes} bytes");
}
