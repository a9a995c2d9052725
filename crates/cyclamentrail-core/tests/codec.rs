//! Decoders of records and settings, given arbitrary, truncated, changed and deeply nested input.

use cyclamentrail_core::{
    Incarnation, RECORD_FORMAT, Record, RecordId, decode_heartbeat, decode_record, decode_snapshot,
    encode_record, load_settings, merge_documents,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{entry_joined, settings_change, test_settings};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn encoded_change(format: u16) -> Vec<u8> {
    let record = Record {
        format,
        id: RecordId::new(Incarnation::new(7), 3),
        body: Some(settings_change(
            1,
            json!({"region": "x", "pools": {"a": null}}),
        )),
    };
    encode_record(&record).expect("record")
}

/// Generates JSON of any shape, with some keys that settings use.
fn arbitrary_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 64, 8, |inner| {
        let name = prop_oneof![
            "pools",
            "zones",
            "racks",
            "instances",
            "services",
            "[a-z]{1,4}"
        ];
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..8).prop_map(Value::from),
            proptest::collection::btree_map(name, inner, 0..8)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_give_no_body(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(record) = decode_record(&bytes) {
            prop_assert!(record.format > RECORD_FORMAT || record.body.is_none());
        }
    }

    #[test]
    fn truncated_record_rejected(end in any::<prop::sample::Index>()) {
        let whole = encoded_change(RECORD_FORMAT);
        prop_assert!(decode_record(&whole[..end.index(whole.len())]).is_err());
    }

    #[test]
    fn changed_record_reencodes(position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encoded_change(RECORD_FORMAT);
        let position = position.index(bytes.len());
        bytes[position] = byte;
        if let Ok(record) = decode_record(&bytes)
            && record.body.is_some()
        {
            prop_assert!(encode_record(&record).is_ok());
        }
    }

    #[test]
    fn newer_format_drops_body(format in any::<u16>()) {
        let record = decode_record(&encoded_change(format)).expect("the envelope is valid");
        prop_assert_eq!(record.format, format);
        prop_assert_eq!(record.body.is_some(), format <= RECORD_FORMAT);
    }

    #[test]
    fn rejected_patch_lists_faults(patch in arbitrary_json()) {
        let merged = merge_documents(test_settings(), &patch);
        if let Err(error) = load_settings(&merged) {
            prop_assert!(!error.faults.is_empty());
            prop_assert!(error.faults.iter().all(|fault| !fault.remedy.is_empty()));
        }
    }

    #[test]
    fn arbitrary_settings_rejected(document in arbitrary_json()) {
        prop_assert!(load_settings(&document).is_err());
    }
}

/// A length prefix may announce up to 4 Gi bytes or items that don't follow. The decoder must
/// reject such input at every position of a record and of a body.
#[rstest]
#[case::bytes(&[0xc6, 0xff, 0xff, 0xff, 0xff])]
#[case::text(&[0xdb, 0xff, 0xff, 0xff, 0xff])]
#[case::array(&[0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::map(&[0xdf, 0xff, 0xff, 0xff, 0xff])]
fn oversized_length_rejected(#[case] prefix: &[u8]) {
    decode_record(prefix).expect_err("no record");
    let whole = encoded_change(RECORD_FORMAT);
    for position in 0..whole.len() {
        let mut bytes = whole[..position].to_vec();
        bytes.extend_from_slice(prefix);
        let has_body = decode_record(&bytes).is_ok_and(|record| record.body.is_some());
        assert!(!has_body, "{position}");
        let body = record_with_body(&bytes);
        let decoded = decode_record(&body).expect("the envelope is valid");
        assert!(decoded.body.is_none(), "{position}");
    }
}

/// One million nested arrays would overflow the stack of a decoder without a depth limit.
#[test]
fn deep_nesting_drops_body() {
    let mut bytes = encoded_change(RECORD_FORMAT);
    let position = bytes.len() / 2;
    bytes.splice(position..position, std::iter::repeat_n(0x91, 1_000_000));
    if let Ok(record) = decode_record(&bytes) {
        assert!(record.body.is_none());
    }
    let mut body = vec![0x81, 0xa5];
    body.extend_from_slice(b"claim");
    body.extend(std::iter::repeat_n(0x91, 1_000_000));
    assert!(
        decode_record(&record_with_body(&body))
            .expect("envelope")
            .body
            .is_none()
    );
    let mut patch = vec![0x81, 0xb0];
    patch.extend_from_slice(b"settings_changed");
    patch.extend([0x81, 0xa5]);
    patch.extend_from_slice(b"patch");
    patch.extend(std::iter::repeat_n(0x91, 1_000_000));
    assert!(
        decode_record(&record_with_body(&patch))
            .expect("envelope")
            .body
            .is_none()
    );
}

/// Decoders that skip an unknown field must apply the depth limit to its value too.
#[test]
fn deep_unknown_field_rejected() {
    let mut bytes = vec![0x81, 0xa1, b'x'];
    bytes.extend(std::iter::repeat_n(0x91, 1_000_000));
    decode_record(&bytes).expect_err("no record");
    decode_heartbeat(&bytes).expect_err("no heartbeat");
    decode_snapshot(&bytes).expect_err("no snapshot");
}

/// Encodes a record of format 1 around the bytes of a body.
fn record_with_body(body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x83, 0xa6];
    bytes.extend_from_slice(b"format");
    bytes.extend([0x01, 0xa2]);
    bytes.extend_from_slice(b"id");
    bytes.extend([0x92, 0x01, 0x01, 0xa4]);
    bytes.extend_from_slice(b"body");
    bytes.push(0xc6);
    let length = u32::try_from(body.len()).expect("a short body");
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

#[test]
fn missing_body_not_encoded() {
    let record = Record {
        format: RECORD_FORMAT,
        id: RecordId::new(Incarnation::new(1), 1),
        body: None,
    };
    encode_record(&record).expect_err("no body");
    let joined = Record {
        body: Some(entry_joined(RECORD_FORMAT)),
        ..record
    };
    let bytes = encode_record(&joined).expect("record");
    assert_eq!(decode_record(&bytes).expect("record"), joined);
}
