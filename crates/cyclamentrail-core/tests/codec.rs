//! Decoders of records and settings against arbitrary, cut and changed bytes.

use cyclamentrail_core::{
    FORMAT, Incarnation, Record, RecordId, decode_heartbeat, decode_record, decode_snapshot,
    encode_record, load_settings, merge_documents,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{change, document, joined};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn encoded(format: u16) -> Vec<u8> {
    let record = Record {
        format,
        id: RecordId::new(Incarnation::new(7), 3),
        body: Some(change(1, json!({"region": "x", "pools": {"a": null}}))),
    };
    encode_record(&record).expect("record")
}

/// Returns JSON of any shape.
fn value() -> impl Strategy<Value = Value> {
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
    fn arbitrary_record(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(record) = decode_record(&bytes) {
            prop_assert!(record.format > FORMAT || record.body.is_none());
        }
    }

    #[test]
    fn cut_record(cut in any::<prop::sample::Index>()) {
        let whole = encoded(FORMAT);
        prop_assert!(decode_record(&whole[..cut.index(whole.len())]).is_err());
    }

    #[test]
    fn changed_record(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encoded(FORMAT);
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Ok(record) = decode_record(&bytes)
            && record.body.is_some()
        {
            prop_assert!(encode_record(&record).is_ok());
        }
    }

    #[test]
    fn any_format(format in any::<u16>()) {
        let record = decode_record(&encoded(format)).expect("the envelope is whole");
        prop_assert_eq!(record.format, format);
        prop_assert_eq!(record.body.is_some(), format <= FORMAT);
    }

    #[test]
    fn arbitrary_patch(patch in value()) {
        let merged = merge_documents(document(), &patch);
        if let Err(error) = load_settings(&merged) {
            prop_assert!(!error.faults.is_empty());
            prop_assert!(error.faults.iter().all(|fault| !fault.remedy.is_empty()));
        }
    }

    #[test]
    fn arbitrary_settings(document in value()) {
        prop_assert!(load_settings(&document).is_err());
    }
}

/// Lengths that promise more bytes or items than follow.
#[rstest]
#[case::bytes(&[0xc6, 0xff, 0xff, 0xff, 0xff])]
#[case::text(&[0xdb, 0xff, 0xff, 0xff, 0xff])]
#[case::array(&[0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::map(&[0xdf, 0xff, 0xff, 0xff, 0xff])]
fn large_length(#[case] prefix: &[u8]) {
    decode_record(prefix).expect_err("no record");
    let whole = encoded(FORMAT);
    for at in 0..whole.len() {
        let mut bytes = whole[..at].to_vec();
        bytes.extend_from_slice(prefix);
        let is_read = decode_record(&bytes).is_ok_and(|record| record.body.is_some());
        assert!(!is_read, "{at}");
        let body = envelope(&bytes);
        let decoded = decode_record(&body).expect("the envelope is whole");
        assert!(decoded.body.is_none(), "{at}");
    }
}

/// Arrays in arrays, far deeper than the stack could follow.
#[test]
fn deep_body() {
    let mut bytes = encoded(FORMAT);
    let at = bytes.len() / 2;
    bytes.splice(at..at, std::iter::repeat_n(0x91, 1_000_000));
    if let Ok(record) = decode_record(&bytes) {
        assert!(record.body.is_none());
    }
    let mut body = vec![0x81, 0xa5];
    body.extend_from_slice(b"claim");
    body.extend(std::iter::repeat_n(0x91, 1_000_000));
    assert!(
        decode_record(&envelope(&body))
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
        decode_record(&envelope(&patch))
            .expect("envelope")
            .body
            .is_none()
    );
}

/// A field that no decoder knows, with arrays in arrays.
#[test]
fn deep_field() {
    let mut bytes = vec![0x81, 0xa1, b'x'];
    bytes.extend(std::iter::repeat_n(0x91, 1_000_000));
    decode_record(&bytes).expect_err("no record");
    decode_heartbeat(&bytes).expect_err("no heartbeat");
    decode_snapshot(&bytes).expect_err("no snapshot");
}

/// Returns a record with a body of any bytes.
fn envelope(body: &[u8]) -> Vec<u8> {
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
fn unread_body() {
    let record = Record {
        format: FORMAT,
        id: RecordId::new(Incarnation::new(1), 1),
        body: None,
    };
    encode_record(&record).expect_err("no body");
    let joined = Record {
        body: Some(joined(FORMAT)),
        ..record
    };
    let bytes = encode_record(&joined).expect("record");
    assert_eq!(decode_record(&bytes).expect("record"), joined);
}
