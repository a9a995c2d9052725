//! Properties of the fold for random records: it is deterministic, ignores repeated records, and
//! resumes from a snapshot taken at any record.

use cyclamentrail_core::{
    BootId, DrainReason, Fleet, FoldOutcome, Incarnation, LeaveReason, PoolName, Record,
    RecordBody, RecordId, Term, Version,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{History, entry_joined, entry_left, settings_change, w1};

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
        (1..3_u16).prop_map(entry_joined),
        (number(), reason()).prop_map(|(gone, reason)| entry_left(gone, reason)),
        (number(), number()).prop_map(|(presumes, region)| settings_change(
            presumes,
            json!({"region": region.to_string()})
        )),
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

/// Generates records in the order of their ids, each with the time in milliseconds since the last.
fn records() -> impl Strategy<Value = Vec<(u64, Record)>> {
    let one = (1..5_u64, 1..3_u16, body(), 0..3_000_u64, any::<bool>());
    proptest::collection::vec(one, 0..40).prop_map(|drafts| {
        (10..)
            .zip(drafts)
            .map(|(sequence, (author, format, body, wait_ms, is_decoded))| {
                let record = Record {
                    format,
                    id: RecordId::new(Incarnation::new(author), sequence),
                    body: is_decoded.then_some(body),
                };
                (wait_ms, record)
            })
            .collect()
    })
}

fn start() -> Fleet {
    History::with_members(&[1, 2, 3]).fleet
}

fn fold(fleet: &mut Fleet, records: &[(u64, Record)]) -> Vec<FoldOutcome> {
    let mut outcomes = Vec::new();
    for (wait_ms, record) in records {
        let now_ms = fleet.clock_ms() + wait_ms;
        outcomes.push(fleet.fold_record(fleet.next_offset(), now_ms, record));
    }
    outcomes
}

/// Returns the parts of the state that don't depend on offsets in the log.
fn state_without_offsets(fleet: &Fleet) -> impl PartialEq + std::fmt::Debug {
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
    fn fold_is_deterministic(records in records()) {
        let (mut first, mut second) = (start(), start());
        prop_assert_eq!(fold(&mut first, &records), fold(&mut second, &records));
        prop_assert_eq!(first, second);
    }

    #[test]
    fn repeated_records_ignored(
        records in records(),
        copies in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..8),
    ) {
        let mut once = start();
        let outcomes = fold(&mut once, &records);
        let accepted: Vec<&Record> = records
            .iter()
            .zip(&outcomes)
            .filter(|(_, outcome)| **outcome == FoldOutcome::Accepted)
            .map(|((_, record), _)| record)
            .collect();
        let mut with_copies = records.clone();
        for (from, to) in copies.iter().filter(|_| !accepted.is_empty()) {
            let copy = accepted[from.index(accepted.len())].clone();
            let first = with_copies.iter().position(|(_, record)| record.id == copy.id);
            let first = first.expect("the original");
            let at = first + 1 + to.index(with_copies.len() - first);
            with_copies.insert(at, (0, copy));
        }
        let mut repeated = start();
        fold(&mut repeated, &with_copies);
        prop_assert_eq!(state_without_offsets(&once), state_without_offsets(&repeated));
    }

    #[test]
    fn snapshot_resumes_fold(records in records(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(records.len() + 1);
        let mut uninterrupted = start();
        fold(&mut uninterrupted, &records);
        let mut before_cut = start();
        fold(&mut before_cut, &records[..cut]);
        let bytes = rmp_serde::to_vec_named(&before_cut).expect("snapshot");
        let mut resumed: Fleet = rmp_serde::from_slice(&bytes).expect("snapshot");
        prop_assert_eq!(&resumed, &before_cut);
        fold(&mut resumed, &records[cut..]);
        prop_assert_eq!(resumed, uninterrupted);
    }

    #[test]
    fn versions_never_fall(records in records()) {
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
