//! Records that the fold of the fleet accepts and rejects.

use cyclamentrail_core::{
    Fleet, FoldOutcome, Incarnation, InstanceState, LeaveReason, Offset, Record, RecordId, Version,
    decode_record, encode_record,
};
use rstest::rstest;
use serde_json::{Value, json};

#[path = "fold/history.rs"]
mod history;

use history::{
    History, LEASE_MS, entry_joined, entry_left, rejected, settings_change, test_settings, w1,
};

#[test]
fn repeated_join_rejected() {
    let mut history = History::default();
    let join = history.record(1, entry_joined(1));
    assert_eq!(history.fold(&join), FoldOutcome::Accepted);
    assert_eq!(
        history.write(1, entry_left(1, LeaveReason::Stopped)),
        FoldOutcome::Accepted
    );
    assert!(rejected(&history.fold(&join)));
    assert_eq!(history.fleet.members().count(), 0);
}

#[test]
fn repeated_record_rejected() {
    let mut history = History::with_members(&[1, 2]);
    let first = history.record(1, settings_change(1, json!({"region": "x"})));
    assert_eq!(history.fold(&first), FoldOutcome::Accepted);
    assert!(rejected(&history.fold(&first)));
    let late = history.record(1, settings_change(2, json!({"region": "y"})));
    let later = history.record(1, settings_change(2, json!({"region": "z"})));
    assert_eq!(history.fold(&later), FoldOutcome::Accepted);
    assert!(rejected(&history.fold(&late)));
}

#[test]
fn past_offset_rejected() {
    let mut history = History::with_members(&[1]);
    let before = history.fleet.clone();
    let record = history.record(1, settings_change(1, json!({"region": "x"})));
    let outcome = history.fleet.fold_record(Offset::new(0), 0, &record);
    assert!(rejected(&outcome));
    assert_eq!(history.fleet, before);
}

#[test]
fn offset_gap_rejected() {
    let mut history = History::with_members(&[1]);
    let before = history.fleet.clone();
    let record = history.record(1, settings_change(1, json!({"region": "x"})));
    let outcome = history.fleet.fold_record(Offset::new(99), 0, &record);
    assert!(rejected(&outcome));
    assert_eq!(history.fleet, before);
}

#[test]
fn foreign_stop_rejected() {
    let mut history = History::with_members(&[1, 2]);
    assert!(rejected(
        &history.write(1, entry_left(2, LeaveReason::Stopped))
    ));
    assert_eq!(history.fleet.members().count(), 2);
}

#[test]
fn newcomer_release_rejected() {
    let mut history = History::with_members(&[1, 2]);
    assert_eq!(history.begin_drain(1), FoldOutcome::Accepted);
    let drain = history.instance().version;
    assert_eq!(history.join(3), FoldOutcome::Accepted);
    assert!(rejected(&history.release(3, drain)));
    assert_eq!(history.release(1, drain), FoldOutcome::Accepted);
    assert_eq!(history.release(2, drain), FoldOutcome::Accepted);
    assert!(matches!(
        history.instance().state,
        InstanceState::Drained { .. }
    ));
}

#[test]
fn outdated_release_rejected() {
    let mut history = History::with_members(&[1, 2]);
    history.drain(&[1, 2]);
    let drain = Version::new(2);
    assert_eq!(history.assign(1, "a"), FoldOutcome::Accepted);
    assert_eq!(history.begin_drain(2), FoldOutcome::Accepted);
    assert!(rejected(&history.release(1, drain)));
}

#[test]
fn newer_format_rejected() {
    let mut old_build = History::with_members(&[1, 2]);
    let mut record = old_build.record(1, settings_change(1, json!({"region": "x"})));
    record.format = 2;
    let mut new_build = old_build.clone();
    let undecoded = Record {
        body: None,
        ..record.clone()
    };
    assert!(rejected(&new_build.fold(&record)));
    assert!(rejected(&old_build.fold(&undecoded)));
    assert_eq!(new_build.fleet, old_build.fleet);
}

#[test]
fn newer_join_rejected() {
    let mut old_build = History::with_members(&[1]);
    let mut record = old_build.record(9, entry_joined(2));
    record.format = 2;
    let mut new_build = old_build.clone();
    let undecoded = Record {
        body: None,
        ..record.clone()
    };
    assert!(rejected(&new_build.fold(&record)));
    assert!(rejected(&old_build.fold(&undecoded)));
    assert_eq!(new_build.fleet, old_build.fleet);
}

/// Returns a history in which format 2 is in use, with a body that this build can't decode.
fn with_used_format_2() -> History {
    let mut history = History::default();
    assert_eq!(history.write(1, entry_joined(2)), FoldOutcome::Accepted);
    let record = Record {
        format: 2,
        id: RecordId::new(Incarnation::new(1), 50),
        body: None,
    };
    assert!(rejected(&history.fold(&record)));
    history
}

#[test]
fn older_join_rejected() {
    let mut history = with_used_format_2();
    assert!(rejected(&history.write(5, entry_joined(1))));
    assert_eq!(history.write(6, entry_joined(2)), FoldOutcome::Accepted);
}

#[test]
fn rollout_raises_format() {
    let mut history = History::default();
    for member in 1..=3 {
        assert_eq!(history.join(member), FoldOutcome::Accepted);
    }
    for member in 1..=3 {
        assert_eq!(history.fleet.agreed_format(), 1);
        assert_eq!(
            history.write(member + 10, entry_joined(2)),
            FoldOutcome::Accepted
        );
        let gone = history.write(member, entry_left(member, LeaveReason::Stopped));
        assert_eq!(gone, FoldOutcome::Accepted);
    }
    assert_eq!(history.fleet.agreed_format(), 2);
}

#[test]
fn malformed_body_rejected() {
    let mut history = History::with_members(&[1]);
    let good = history.record(1, settings_change(1, json!({"region": "x"})));
    let mut bytes = encode_record(&good).expect("record");
    let at = bytes.len() - 3;
    bytes[at] = 0xc1;
    let record = decode_record(&bytes).expect("the envelope is whole");
    assert!(rejected(&history.fold(&record)));
    assert!(rejected(&history.fold(&good)), "the id was used");
}

#[rstest]
#[case::majority(&[1, 2, 3], &[1, 2], true)]
#[case::minority(&[1, 2, 3], &[1], false)]
#[case::evicted_itself(&[1, 2, 3], &[1, 3], false)]
#[case::no_members(&[1, 2, 3], &[1, 8, 9], false)]
#[case::half(&[1, 2, 3, 4], &[1, 2], true)]
#[case::below_half(&[1, 2, 3, 4, 5], &[1, 2], false)]
fn eviction_needs_majority(
    #[case] members: &[u64],
    #[case] witnesses: &[u64],
    #[case] accepted: bool,
) {
    let mut history = History::with_members(members);
    assert_eq!(!rejected(&history.evict(1, 3, witnesses)), accepted);
}

#[test]
fn newcomer_witnesses_insufficient() {
    let mut history = History::with_members(&[1, 2, 3]);
    history.join(4);
    history.join(5);
    let outcome = history.evict(3, 1, &[3, 4, 5]);
    assert!(rejected(&outcome), "1 and 2 are a majority of 1, 2 and 3");
}

#[test]
fn drain_confirms_members() {
    let mut history = History::with_members(&[1, 2, 3]);
    history.join(4);
    history.join(5);
    history.drain(&[1, 2, 3, 4, 5]);
    assert_eq!(history.evict(3, 1, &[3, 4, 5]), FoldOutcome::Accepted);
}

#[test]
fn all_members_replaced() {
    let mut history = History::with_members(&[1, 2, 3]);
    for gone in 1..=20 {
        history.join(gone + 3);
        let witnesses = [gone + 1, gone + 2, gone + 3];
        assert_eq!(
            history.evict(gone + 3, gone, &witnesses),
            FoldOutcome::Accepted,
            "{gone}"
        );
    }
}

#[test]
fn eviction_requires_boots() {
    let mut history = History::with_members(&[1, 2, 3]);
    history.now_ms = 10_000;
    assert_eq!(history.evict(1, 3, &[1, 2]), FoldOutcome::Accepted);
    history.drain(&[1, 2]);
    assert!(rejected(&history.assign(1, "b")));
    history.now_ms += 2 * LEASE_MS;
    assert!(rejected(&history.assign(1, "b")));
    assert_eq!(history.boot(1, 1), FoldOutcome::Accepted);
    assert!(rejected(&history.assign(1, "b")));
    assert_eq!(history.boot(1, 2), FoldOutcome::Accepted);
    assert!(rejected(&history.assign(1, "b")));
    assert_eq!(history.boot(1, 3), FoldOutcome::Accepted);
    assert_eq!(history.assign(1, "b"), FoldOutcome::Accepted);
}

#[test]
fn single_boot_insufficient() {
    let mut history = History::with_members(&[1, 2, 3]);
    assert_eq!(history.evict(1, 3, &[1, 2]), FoldOutcome::Accepted);
    history.now_ms += 2 * LEASE_MS;
    history.drain(&[1, 2]);
    assert_eq!(history.boot(1, 1), FoldOutcome::Accepted);
    assert!(
        rejected(&history.assign(1, "b")),
        "the boot may have happened while the evicted member could still connect"
    );
}

#[test]
fn same_pool_needs_no_boot() {
    let mut history = History::with_members(&[1, 2, 3]);
    assert_eq!(history.evict(1, 3, &[1, 2]), FoldOutcome::Accepted);
    history.drain(&[1, 2]);
    assert_eq!(history.assign(1, "a"), FoldOutcome::Accepted);
}

#[test]
fn shortened_lease_keeps_fence() {
    let mut history = History::with_members(&[1, 2, 3]);
    let patch = json!({"control": {"dispatch_lease_ms": 1000}});
    assert_eq!(
        history.write(1, settings_change(1, patch)),
        FoldOutcome::Accepted
    );
    assert_eq!(history.evict(1, 3, &[1, 2]), FoldOutcome::Accepted);
    assert_eq!(history.fleet.fenced_until_ms(), 2 * LEASE_MS);
}

#[test]
fn used_pool_removal_rejected() {
    let mut history = History::with_members(&[1, 2]);
    history.drain(&[1, 2]);
    assert_eq!(history.assign(1, "c"), FoldOutcome::Accepted);
    let patch = json!({"pools": {"c": null, "b": {"instances": ["w2", "w3"]}}});
    assert!(rejected(
        &history.write(1, settings_change(1, patch.clone()))
    ));
    history.drain(&[1, 2]);
    assert_eq!(history.assign(1, "a"), FoldOutcome::Accepted);
    assert!(
        rejected(&history.write(1, settings_change(1, patch))),
        "w3 is still in pool c"
    );
}

fn without_w1() -> Value {
    json!({
        "zones": {"za": {"racks": {"r1": ["w2", "w3"]}}},
        "pools": {"a": {"instances": []}},
    })
}

#[test]
fn serving_instance_removal_rejected() {
    let mut history = History::with_members(&[1, 2]);
    let patch = without_w1();
    assert!(rejected(
        &history.write(1, settings_change(1, patch.clone()))
    ));
    history.drain(&[1, 2]);
    assert_eq!(
        history.write(1, settings_change(1, patch)),
        FoldOutcome::Accepted
    );
    assert!(history.fleet.instance(&w1()).is_none());
}

#[test]
fn readded_instance_needs_boot() {
    let mut history = History::with_members(&[1, 2, 3]);
    assert_eq!(history.evict(1, 3, &[1, 2]), FoldOutcome::Accepted);
    history.drain(&[1, 2]);
    let version = history.instance().version;
    assert_eq!(
        history.write(1, settings_change(1, without_w1())),
        FoldOutcome::Accepted
    );
    let again = json!({
        "zones": {"za": {"racks": {"r1": ["w1", "w2", "w3"]}}},
        "pools": {"b": {"instances": ["w1", "w2"]}},
    });
    assert_eq!(
        history.write(1, settings_change(2, again)),
        FoldOutcome::Accepted
    );
    assert!(history.instance().version > version);
    assert!(history.instance().needs_boot);
}

#[test]
fn moved_listing_ignored() {
    let mut history = History::with_members(&[1]);
    let patch = json!({"pools": {
        "a": {"instances": []},
        "b": {"instances": ["w1", "w2"]},
    }});
    assert_eq!(
        history.write(1, settings_change(1, patch)),
        FoldOutcome::Accepted
    );
    assert_eq!(history.instance().pool.as_str(), "a");
    assert_eq!(history.instance().state, InstanceState::Serving);
}

#[test]
fn second_change_rejected() {
    let mut history = History::with_members(&[1, 2]);
    let first = history.write(1, settings_change(1, json!({"region": "x"})));
    assert_eq!(first, FoldOutcome::Accepted);
    let second = history.write(2, settings_change(1, json!({"region": "y"})));
    let FoldOutcome::Rejected(rejection) = second else {
        panic!("both changes were accepted");
    };
    assert!(rejection.kind.to_string().contains("operator"));
    let accepted = history.fleet.settings().expect("settings");
    assert_eq!(accepted.settings.region, "x");
}

#[test]
fn last_offset_saturates() {
    assert_eq!(Offset::new(u64::MAX).next(), Offset::new(u64::MAX));
}

#[test]
fn incomplete_first_settings_rejected() {
    let mut history = History::default();
    history.join(1);
    assert!(rejected(&history.write(1, settings_change(0, json!({})))));
    assert_eq!(
        history.write(1, settings_change(0, test_settings())),
        FoldOutcome::Accepted
    );
    assert_ne!(history.fleet, Fleet::new());
}
