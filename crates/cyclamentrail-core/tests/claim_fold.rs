//! Tests of the fold of claim records into the state of idempotency keys.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{
    CLAIM_WINDOW_MS, ClaimLookup, ClaimOutcome, ClaimRecord, Claims, FoldContext, Incarnation,
    KeyDigest, MAX_STORED_BYTES, Offset, RejectionKind, RequestDigest, Settings, StoredBody,
    StoredResponse, load_settings, merge_documents,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const KEYS: usize = 3;
const AUTHORS: u64 = 3;

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

fn context(offset: u64, clock_ms: u64, author: u64) -> FoldContext<'static> {
    FoldContext {
        offset: Offset::new(offset),
        clock_ms,
        author: Incarnation::new(author),
        settings: None,
    }
}

fn key(number: usize) -> KeyDigest {
    KeyDigest::of(&[format!("key-{number}")])
}

fn request() -> RequestDigest {
    RequestDigest::of(&["POST /warn"])
}

fn claimed(number: usize, seen_ms: u64) -> ClaimRecord {
    ClaimRecord::Claimed {
        key: key(number),
        request: request(),
        seen_ms,
    }
}

fn finished(number: usize, claim: u64, bytes: usize) -> ClaimRecord {
    let answer = StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: StoredBody::Inline(vec![7; bytes]),
    };
    ClaimRecord::Finished {
        key: key(number),
        claim: Offset::new(claim),
        outcome: ClaimOutcome::Answered(answer),
    }
}

fn released(number: usize, claim: u64) -> ClaimRecord {
    ClaimRecord::Released {
        key: key(number),
        claim: Offset::new(claim),
    }
}

/// A record that a process may append; `claim` is any offset, as in a delayed or repeated record.
#[derive(Debug, Clone, Copy)]
enum Step {
    Claim { age_ms: u64 },
    Finish { claim: u64 },
    Release { claim: u64 },
}

fn step() -> impl Strategy<Value = (u64, usize, Step)> {
    let step = prop_oneof![
        (0..2 * CLAIM_WINDOW_MS).prop_map(|age_ms| Step::Claim { age_ms }),
        (0..30_u64).prop_map(|claim| Step::Finish { claim }),
        (0..30_u64).prop_map(|claim| Step::Release { claim }),
    ];
    (1..=AUTHORS, 0..KEYS, step)
}

fn record(number: usize, step: Step, clock_ms: u64) -> ClaimRecord {
    match step {
        Step::Claim { age_ms } => claimed(number, clock_ms - age_ms),
        Step::Finish { claim } => finished(number, claim, 10),
        Step::Release { claim } => released(number, claim),
    }
}

proptest! {
    #![proptest_config(config())]

    /// A key has one owner at a time: it is claimed again only after its owner has released it, and
    /// never after its request has run.
    #[test]
    fn one_owner_per_key(steps in prop::collection::vec(step(), 1..60)) {
        let mut claims = Claims::default();
        let mut owners = BTreeMap::new();
        let mut ended = BTreeSet::new();
        for (offset, &(author, number, step)) in (0_u64..).zip(&steps) {
            let clock_ms = 1_000_000 + offset * 10;
            let record = record(number, step, clock_ms);
            if claims.fold(&context(offset, clock_ms, author), &record).is_err() {
                continue;
            }
            match step {
                Step::Claim { age_ms } => {
                    prop_assert!(age_ms <= CLAIM_WINDOW_MS);
                    prop_assert!(!ended.contains(&number), "ran twice");
                    prop_assert!(owners.insert(number, (author, offset)).is_none(), "two owners");
                }
                Step::Finish { claim } => {
                    prop_assert_eq!(owners.get(&number), Some(&(author, claim)));
                    prop_assert!(ended.insert(number), "ended twice");
                }
                Step::Release { claim } => {
                    prop_assert!(!ended.contains(&number), "released after its run");
                    prop_assert_eq!(owners.remove(&number), Some((author, claim)));
                }
            }
        }
    }

    /// A state restored from its serialized form folds further records like the original.
    #[test]
    fn restored_state_folds_alike(steps in prop::collection::vec(step(), 2..60), cut in 1_u64..59) {
        let mut claims = Claims::default();
        let mut restored = None;
        for (offset, &(author, number, step)) in (0_u64..).zip(&steps) {
            if offset == cut {
                let bytes = rmp_serde::to_vec_named(&claims).expect("claims can be written");
                restored = rmp_serde::from_slice(&bytes).ok();
                prop_assert_eq!(restored.as_ref(), Some(&claims));
            }
            let clock_ms = 1_000_000 + offset * 10;
            let record = record(number, step, clock_ms);
            let context = context(offset, clock_ms, author);
            let folded = claims.fold(&context, &record);
            if let Some(restored) = &mut restored {
                prop_assert_eq!(restored.fold(&context, &record), folded);
            }
        }
    }
}

#[test]
fn delayed_claim_rejected() {
    let mut claims = Claims::default();
    let age_ms = CLAIM_WINDOW_MS + 1;
    let result = claims.fold(&context(0, 500_000, 1), &claimed(0, 500_000 - age_ms));
    assert_eq!(result, Err(RejectionKind::ClaimTooOld { age_ms }));
    assert!(claims.is_empty());
}

/// A repeated release of an earlier claim must not free a key that was claimed again since.
#[test]
fn repeated_release_rejected() {
    let mut claims = Claims::default();
    let steps = [claimed(0, 1_000), released(0, 0), claimed(0, 1_000)];
    for (offset, step) in (0_u64..).zip(&steps) {
        assert_eq!(claims.fold(&context(offset, 1_000, 1), step), Ok(()));
    }
    let repeated = claims.fold(&context(3, 1_000, 1), &released(0, 0));
    let claim = Offset::new(0);
    assert_eq!(repeated, Err(RejectionKind::ClaimEnded { claim }));
    assert!(claims.get(&key(0)).is_some());
}

#[test]
fn stored_responses_bounded() {
    let mut claims = Claims::default();
    for number in 0..20 {
        let offset = 2 * number as u64;
        let steps = [
            claimed(number, 1_000),
            finished(number, offset, 1024 * 1024),
        ];
        for (offset, step) in (offset..).zip(&steps) {
            assert_eq!(claims.fold(&context(offset, 1_000, 1), step), Ok(()));
        }
        assert!(claims.stored_bytes() <= MAX_STORED_BYTES);
    }
    let oldest_bytes = claims
        .get(&key(0))
        .and_then(|claim| claim.outcome.as_ref())
        .map(ClaimOutcome::stored_bytes);
    assert_eq!(oldest_bytes, Some(0));
    assert_eq!(claims.len(), 20);
}

fn settings() -> Settings {
    let base = serde_json::from_str(include_str!("../../../sites/base.json"));
    let site = serde_json::from_str(include_str!("../../../sites/corran.json"));
    let document = merge_documents(
        base.expect("the base settings are JSON"),
        &site.expect("the site settings are JSON"),
    );
    load_settings(&document).expect("the settings are valid")
}

/// A claim is remembered for the time promised to callers, plus the longest deadline and the
/// largest accepted age of a claim.
#[test]
fn claim_expires_after_retention() {
    let settings = settings();
    let memory_ms = u64::try_from(settings.requests.key_memory_ms.as_millis()).expect("fits");
    let deadline_ms = u64::try_from(settings.requests.max_deadline_ms.as_millis()).expect("fits");
    let retention_ms = memory_ms + deadline_ms + CLAIM_WINDOW_MS;
    let mut claims = Claims::default();
    let mut fold = |offset, clock_ms, author| {
        let context = FoldContext {
            settings: Some(&settings),
            ..context(offset, clock_ms, author)
        };
        claims.fold(&context, &claimed(0, clock_ms))
    };
    assert_eq!(fold(0, 1_000, 1), Ok(()));
    let owner = Incarnation::new(1);
    let rejected = Err(RejectionKind::KeyClaimed { owner });
    assert_eq!(fold(1, 1_000 + retention_ms - 1, 2), rejected);
    assert_eq!(fold(2, 1_000 + retention_ms, 2), Ok(()));
}

#[test]
fn lookup_reports_gone_owner() {
    let mut claims = Claims::default();
    let accepted = claims.fold(&context(0, 1_000, 1), &claimed(0, 1_000));
    assert_eq!(accepted, Ok(()));
    let lookup = |own, members: &[u64]| {
        let is_member = |process: Incarnation| members.contains(&process.get());
        claims.look_up(&key(0), &request(), Incarnation::new(own), is_member)
    };
    let owner = Incarnation::new(1);
    assert_eq!(lookup(2, &[1, 2]), ClaimLookup::OwnedElsewhere { owner });
    assert_eq!(lookup(2, &[2]), ClaimLookup::OwnerGone);
    let claim = Offset::new(0);
    assert_eq!(lookup(1, &[1, 2]), ClaimLookup::OwnedHere { claim });
    assert_eq!(lookup(1, &[2]), ClaimLookup::OwnerGone);
}

#[test]
fn key_of_other_request() {
    let mut claims = Claims::default();
    let accepted = claims.fold(&context(0, 1_000, 1), &claimed(0, 1_000));
    assert_eq!(accepted, Ok(()));
    let other = RequestDigest::of(&["POST /other"]);
    let result = claims.look_up(&key(0), &other, Incarnation::new(1), |_| true);
    assert_eq!(result, ClaimLookup::OtherRequest);
}
