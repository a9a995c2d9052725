//! The fold is the same for everybody, whatever is appended twice and wherever a snapshot falls.

use cyclamentrail_core::{
    Applied, BootId, DrainReason, Fleet, Incarnation, LeaveReason, PoolName, Record, RecordBody,
    RecordId, Term, Version,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{History, change, joined, left, w1};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn number() -> impl Strategy<Value = u64> {
    0..6_u64
}

fn reason() -> impl Strategy<Value = LeaveReason> {
    prop_oneof![
        Just(LeaveReason::Stopped),
        Just(LeaveReason::SwitchedOff {
            operator: String::from("operator"),
        }),
        proptest::collection::btree_set(number().prop_map(Incarnation::new), 0..5)
            .prop_map(|witnesses| LeaveReason::Evicted { witnesses }),
    ]
}

fn body() -> impl Strategy<Value = RecordBody> {
    let version = || number().prop_map(Version::new);
    prop_oneof![
        (1..3_u16).prop_map(joined),
        (number(), reason()).prop_map(|(gone, reason)| left(gone, reason)),
        (number(), number())
            .prop_map(|(presumes, region)| change(presumes, json!({"region": region.to_string()}))),
        number().prop_map(|presumes| RecordBody::DutyClaimed {
            presumes: Term::new(presumes),
        }),
        version().prop_map(|presumes| RecordBody::DrainBegun {
            instance: w1(),
            presumes,
            reason: DrainReason::Wave,
        }),
        version().prop_map(|drain| RecordBody::DrainReleased {
            instance: w1(),
            drain,
        }),
        (version(), number()).prop_map(|(presumes, boot)| RecordBody::InstanceBooted {
            instance: w1(),
            presumes,
            boot: BootId::new(boot),
        }),
        (version(), prop_oneof!["a", "b", "x"]).prop_map(|(presumes, pool)| {
            RecordBody::InstanceAssigned {
                instance: w1(),
                presumes,
                pool: PoolName::from(pool),
            }
        }),
    ]
}

/// Records with the time between them, written in the order of their ids.
fn records() -> impl Strategy<Value = Vec<(u64, Record)>> {
    let one = (1..5_u64, 1..3_u16, body(), 0..3_000_u64, any::<bool>());
    proptest::collection::vec(one, 0..40).prop_map(|drafts| {
        (10..)
            .zip(drafts)
            .map(|(sequence, (author, format, body, wait_ms, is_read))| {
                let record = Record {
                    format,
                    id: RecordId::new(Incarnation::new(author), sequence),
                    body: is_read.then_some(body),
                };
                (wait_ms, record)
            })
            .collect()
    })
}

fn start() -> Fleet {
    History::with_members(&[1, 2, 3]).fleet
}

fn fold(fleet: &mut Fleet, records: &[(u64, Record)]) -> Vec<Applied> {
    let mut applied = Vec::new();
    for (wait_ms, record) in records {
        let now_ms = fleet.clock_ms() + wait_ms;
        applied.push(fleet.apply(fleet.next_offset(), now_ms, record));
    }
    applied
}

/// Returns the state without its position in the log.
fn facts(fleet: &Fleet) -> impl PartialEq + std::fmt::Debug {
    let instances: Vec<_> = fleet
        .instances()
        .map(|(name, instance)| {
            (
                name.clone(),
                instance.version,
                instance.pool.clone(),
                instance.boot,
                instance.state.clone(),
                instance.needs_boot,
            )
        })
        .collect();
    let members: Vec<_> = fleet
        .members()
        .map(|(member, known)| (member, known.last_sequence))
        .collect();
    let settings = fleet
        .settings()
        .map(|settings| (settings.version, (*settings.document).clone()));
    (instances, members, settings, fleet.duty().clone())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn same_records(records in records()) {
        let (mut first, mut second) = (start(), start());
        prop_assert_eq!(fold(&mut first, &records), fold(&mut second, &records));
        prop_assert_eq!(first, second);
    }

    #[test]
    fn doubled_anywhere(
        records in records(),
        copies in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..8),
    ) {
        let mut once = start();
        let outcomes = fold(&mut once, &records);
        let accepted: Vec<&Record> = records
            .iter()
            .zip(&outcomes)
            .filter(|(_, outcome)| **outcome == Applied::Accepted)
            .map(|((_, record), _)| record)
            .collect();
        let mut doubled = records.clone();
        for (from, to) in copies.iter().filter(|_| !accepted.is_empty()) {
            let copy = accepted[from.index(accepted.len())].clone();
            let first = doubled.iter().position(|(_, record)| record.id == copy.id);
            let first = first.expect("the original");
            let at = first + 1 + to.index(doubled.len() - first);
            doubled.insert(at, (0, copy));
        }
        let mut twice = start();
        fold(&mut twice, &doubled);
        prop_assert_eq!(facts(&once), facts(&twice));
    }

    #[test]
    fn snapshot_between(records in records(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(records.len() + 1);
        let mut whole = start();
        fold(&mut whole, &records);
        let mut begun = start();
        fold(&mut begun, &records[..cut]);
        let bytes = rmp_serde::to_vec_named(&begun).expect("snapshot");
        let mut resumed: Fleet = rmp_serde::from_slice(&bytes).expect("snapshot");
        prop_assert_eq!(&resumed, &begun);
        fold(&mut resumed, &records[cut..]);
        prop_assert_eq!(resumed, whole);
    }

    #[test]
    fn versions_rise(records in records()) {
        let mut fleet = start();
        for record in &records {
            let before = fleet.clone();
            fold(&mut fleet, std::slice::from_ref(record));
            prop_assert!(fleet.clock_ms() >= before.clock_ms());
            prop_assert!(fleet.duty().term >= before.duty().term);
            prop_assert!(fleet.used_format() >= before.used_format());
            prop_assert!(
                fleet.settings().map(|settings| settings.version)
                    >= before.settings().map(|settings| settings.version)
            );
            for (name, instance) in before.instances() {
                let now = fleet.instance(name).expect("no instance is removed");
                prop_assert!(now.version >= instance.version);
            }
        }
    }
}
