//! The small site of the models.

use cyclamentrail_core::{
    EntryName, Fleet, InstanceName, Record, RecordBody, RecordId, Version, ZoneName,
    merge_documents,
};
use serde_json::{Value, json};

use crate::fact::incarnation;

const BASE: &str = include_str!("../../../sites/base.json");
/// Pool that the instance starts in.
pub(crate) const POOL_A: &str = "a";
/// The other pool.
pub(crate) const POOL_B: &str = "b";
/// Sequence numbers that the start takes from the entries.
pub(crate) const START_SEQUENCE: u8 = 2;

/// Milliseconds of one tick of the models' clocks.
pub(crate) const TICK_MS: u64 = 10;

/// Returns the only instance.
pub(crate) fn instance() -> InstanceName {
    InstanceName::from("w")
}

/// Returns the body of an entry's join record.
pub(crate) fn joined(entry: u8) -> RecordBody {
    RecordBody::EntryJoined {
        entry: EntryName::from(format!("entry-{entry}")),
        zone: ZoneName::from("z"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        supports_format: 1,
    }
}

/// Returns a fleet with members and settings; the dispatch lease is `lease` ticks of the log.
pub(crate) fn fleet(members: u8, lease: u8) -> Fleet {
    let mut fleet = Fleet::new();
    for entry in 0..members {
        fold(&mut fleet, entry, 1, joined(entry));
    }
    let settings = RecordBody::SettingsChanged {
        presumes: Version::default(),
        patch: document(lease),
        operator: String::from("start"),
    };
    fold(&mut fleet, 0, u64::from(START_SEQUENCE), settings);
    fleet
}

fn fold(fleet: &mut Fleet, author: u8, sequence: u64, body: RecordBody) {
    let record = Record {
        format: 1,
        id: RecordId::new(incarnation(author), sequence),
        body: Some(body),
    };
    fleet.fold_record(fleet.next_offset(), 0, &record);
}

fn document(lease: u8) -> Value {
    let base: Value = serde_json::from_str(BASE).unwrap_or_default();
    let site = json!({
        "site": "spec",
        "region": "0",
        "zones": {"z": {"zone_delay_us": 1, "caller_delay_us": 1, "racks": {"r": ["w"]}}},
        "worker": {"cores": 1, "memory_mib": 1},
        "pools": {"a": {"instances": ["w"]}, "b": {"instances": []}},
        "services": {},
        "cost_weights": {"buffer": 1.0, "roll_out": 1.0, "moves": 1.0},
        "entries": {"entry-0": {
            "zone": "z",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "operator_address": "127.0.0.1:3",
        }},
        "control": {
            "heartbeat_ms": 1,
            "append_delay_ms": 1,
            "dispatch_lease_ms": u64::from(lease) * TICK_MS,
        },
    });
    merge_documents(base, &site)
}
