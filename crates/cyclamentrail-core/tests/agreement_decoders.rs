//! Decoders of heartbeats and snapshots, given arbitrary, truncated, changed and oversized input.

use cyclamentrail_core::{
    Fleet, Heartbeat, Incarnation, Offset, RelayedRecord, SnapshotError, decode_heartbeat,
    decode_snapshot, encode_heartbeat, encode_snapshot,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn heartbeat() -> Heartbeat {
    let mut heartbeat = Heartbeat::new(Incarnation::new(7), 250);
    heartbeat.echo_ms = Some(240);
    heartbeat.suspects = vec![Incarnation::new(9)];
    heartbeat.records = vec![RelayedRecord {
        offset: Offset::new(3),
        appended_ms: 1,
        bytes: vec![1, 2, 3],
    }];
    heartbeat
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_fail_or_reencode(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(decode_snapshot(&bytes).is_err());
        if let Ok(decoded) = decode_heartbeat(&bytes) {
            prop_assert!(encode_heartbeat(&decoded).is_ok());
        }
    }

    #[test]
    fn truncated_bytes_rejected(end in any::<prop::sample::Index>()) {
        let whole = encode_heartbeat(&heartbeat()).expect("heartbeat");
        prop_assert!(decode_heartbeat(&whole[..end.index(whole.len())]).is_err());
        let whole = encode_snapshot(&Fleet::new()).expect("snapshot");
        prop_assert!(decode_snapshot(&whole[..end.index(whole.len())]).is_err());
    }

    #[test]
    fn changed_byte_keeps_fleet(position in any::<prop::sample::Index>(), bit_mask in 1..=255_u8) {
        let mut bytes = encode_snapshot(&Fleet::new()).expect("snapshot");
        let position = position.index(bytes.len());
        bytes[position] ^= bit_mask;
        if let Ok(fleet) = decode_snapshot(&bytes) {
            prop_assert_eq!(fleet, Fleet::new());
        }
    }
}

#[test]
fn long_lists_rejected() {
    let mut heartbeat = heartbeat();
    heartbeat.suspects = vec![Incarnation::new(1); 5_000];
    let bytes = encode_heartbeat(&heartbeat).expect("heartbeat");
    decode_heartbeat(&bytes).expect_err("the list is too long");
}

#[test]
fn damaged_snapshot_rejected() {
    let mut bytes = encode_snapshot(&Fleet::new()).expect("snapshot");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(decode_snapshot(&bytes), Err(SnapshotError::Damaged));
}

#[test]
fn oversized_snapshot_rejected() {
    let bytes = vec![0; cyclamentrail_core::MAX_SNAPSHOT_BYTES + 1];
    assert!(matches!(
        decode_snapshot(&bytes),
        Err(SnapshotError::TooLarge(_))
    ));
}
