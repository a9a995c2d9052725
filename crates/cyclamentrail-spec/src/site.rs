//! Settings and initial fleet that the models share: one availability zone, one instance and two
//! pools.

use cyclamentrail_core::{
    EntryName, Fleet, InstanceName, Record, RecordBody, RecordId, Version, ZoneName,
    merge_documents,
};
use serde_json::{Value, json};

use crate::record::incarnation;

const BASE_SETTINGS: &str = include_str!("../../../sites/base.json");
/// Name of the pool that the instance belongs to at the start.
pub(crate) const POOL_A: &str = "a";
/// Name of the pool that is empty at the start.
pub(crate) const POOL_B: &str = "b";
/// Highest sequence number that the records of [`initial_fleet`] use; entries continue after it.
pub(crate) const START_SEQUENCE: u8 = 2;

/// Length of one tick of the models' clocks in milliseconds.
pub(crate) const TICK_MS: u64 = 10;

/// Returns the name of the only instance.
pub(crate) fn instance_name() -> InstanceName {
    InstanceName::from("w")
}

/// Returns the body of the record with which the entry of this number joins.
pub(crate) fn joined_body(entry: u8) -> RecordBody {
    RecordBody::EntryJoined {
        entry: EntryName::from(format!("entry-{entry}")),
        zone: ZoneName::from("z"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        supports_format: 1,
    }
}

/// Returns a fleet in which entries 0 to `members - 1` have joined and the settings are in force.
///
/// The dispatch lease is `lease_ticks` ticks long.
pub(crate) fn initial_fleet(members: u8, lease_ticks: u8) -> Fleet {
    let mut fleet = Fleet::new();
    for entry in 0..members {
        apply_record(&mut fleet, entry, 1, joined_body(entry));
    }
    let settings = RecordBody::SettingsChanged {
        presumes: Version::default(),
        patch: settings_patch(lease_ticks),
        operator: String::from("start"),
    };
    apply_record(&mut fleet, 0, u64::from(START_SEQUENCE), settings);
    fleet
}

fn apply_record(fleet: &mut Fleet, author: u8, sequence: u64, body: RecordBody) {
    let record = Record {
        format: 1,
        id: RecordId::new(incarnation(author), sequence),
        body: Some(body),
    };
    fleet.fold_record(fleet.next_offset(), 0, &record);
}

fn settings_patch(lease_ticks: u8) -> Value {
    let base: Value = serde_json::from_str(BASE_SETTINGS).unwrap_or_default();
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
            "dispatch_lease_ms": u64::from(lease_ticks) * TICK_MS,
        },
    });
    merge_documents(base, &site)
}
