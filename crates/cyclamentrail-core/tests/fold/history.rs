//! History of records as entries write them, and the fleet that results from folding it.

use std::collections::BTreeMap;

use cyclamentrail_core::{
    BootId, DrainReason, Fleet, FoldOutcome, Incarnation, Instance, InstanceName, LeaveReason,
    PoolName, Record, RecordBody, RecordId, Version, merge_documents,
};
use serde_json::{Value, json};

const BASE: &str = include_str!("../../../../sites/base.json");
/// Dispatch lease of the site in milliseconds.
pub(crate) const LEASE_MS: u64 = 2_000;

/// Folded records and the fleet that results from them.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    pub(crate) fleet: Fleet,
    pub(crate) now_ms: u64,
    pub(crate) records: Vec<(u64, Record)>,
    sequences: BTreeMap<u64, u64>,
}

impl History {
    /// Creates a history in which the given members joined and the settings are in force.
    pub(crate) fn with_members(members: &[u64]) -> Self {
        let mut history = Self::default();
        for &member in members {
            assert_eq!(history.join(member), FoldOutcome::Accepted);
        }
        let changed = history.write(members[0], settings_change(0, test_settings()));
        assert_eq!(changed, FoldOutcome::Accepted);
        history
    }

    /// Folds a record with the author's next id at the next offset.
    pub(crate) fn write(&mut self, author: u64, body: RecordBody) -> FoldOutcome {
        let record = self.record(author, body);
        self.fold(&record)
    }

    /// Creates a record with the author's next id.
    pub(crate) fn record(&mut self, author: u64, body: RecordBody) -> Record {
        let sequence = self.sequences.entry(author).or_default();
        *sequence += 1;
        Record {
            format: 1,
            id: RecordId::new(Incarnation::new(author), *sequence),
            body: Some(body),
        }
    }

    /// Folds a record at the next offset.
    pub(crate) fn fold(&mut self, record: &Record) -> FoldOutcome {
        self.records.push((self.now_ms, record.clone()));
        self.fleet
            .fold_record(self.fleet.next_offset(), self.now_ms, record)
    }

    pub(crate) fn join(&mut self, member: u64) -> FoldOutcome {
        self.write(member, entry_joined(1))
    }

    pub(crate) fn evict(&mut self, author: u64, gone: u64, witnesses: &[u64]) -> FoldOutcome {
        let witnesses = witnesses.iter().copied().map(Incarnation::new).collect();
        self.write(author, entry_left(gone, LeaveReason::Evicted { witnesses }))
    }

    pub(crate) fn begin_drain(&mut self, author: u64) -> FoldOutcome {
        let body = RecordBody::DrainBegun {
            instance: w1(),
            presumes: self.instance().version,
            reason: DrainReason::Move,
        };
        self.write(author, body)
    }

    pub(crate) fn release(&mut self, author: u64, drain: Version) -> FoldOutcome {
        let body = RecordBody::DrainReleased {
            instance: w1(),
            drain,
        };
        self.write(author, body)
    }

    pub(crate) fn boot(&mut self, author: u64, boot: u64) -> FoldOutcome {
        let body = RecordBody::InstanceBooted {
            instance: w1(),
            presumes: self.instance().version,
            boot: BootId::new(boot),
        };
        self.write(author, body)
    }

    pub(crate) fn assign(&mut self, author: u64, pool: &str) -> FoldOutcome {
        let body = RecordBody::InstanceAssigned {
            instance: w1(),
            presumes: self.instance().version,
            pool: PoolName::from(pool),
        };
        self.write(author, body)
    }

    /// Drains instance `w1`: the first listed member begins the drain and all of them release it.
    pub(crate) fn drain(&mut self, members: &[u64]) {
        assert_eq!(self.begin_drain(members[0]), FoldOutcome::Accepted);
        let drain = self.instance().version;
        for &member in members {
            assert_eq!(self.release(member, drain), FoldOutcome::Accepted);
        }
    }

    pub(crate) fn instance(&self) -> &Instance {
        self.fleet.instance(&w1()).expect("instance w1")
    }
}

pub(crate) fn w1() -> InstanceName {
    InstanceName::from("w1")
}

pub(crate) fn entry_joined(supports_format: u16) -> RecordBody {
    RecordBody::EntryJoined {
        entry: "entry".into(),
        zone: "za".into(),
        peer_address: "127.0.0.1:1".parse().expect("address"),
        supports_format,
    }
}

pub(crate) fn entry_left(gone: u64, reason: LeaveReason) -> RecordBody {
    RecordBody::EntryLeft {
        incarnation: Incarnation::new(gone),
        reason,
    }
}

pub(crate) fn settings_change(presumes: u64, patch: Value) -> RecordBody {
    RecordBody::SettingsChanged {
        presumes: Version::new(presumes),
        patch,
        operator: String::from("operator"),
    }
}

/// Returns settings with pools `a`, `b` and `c` and instances `w1` to `w3`.
pub(crate) fn test_settings() -> Value {
    let base = serde_json::from_str(BASE).expect("base settings");
    let site = json!({
        "site": "test",
        "region": "r",
        "zones": {"za": {
            "zone_delay_us": 1,
            "caller_delay_us": 1,
            "racks": {"r1": ["w1", "w2", "w3"]},
        }},
        "worker": {"cores": 1, "memory_mib": 1},
        "pools": {
            "a": {"instances": ["w1"]},
            "b": {"instances": ["w2"]},
            "c": {"instances": ["w3"]},
        },
        "services": {},
        "cost_weights": {"buffer": 1.0, "roll_out": 1.0, "moves": 1.0},
        "entries": {"entry": {
            "zone": "za",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "operator_address": "127.0.0.1:3",
        }},
        "control": {"dispatch_lease_ms": LEASE_MS},
    });
    merge_documents(base, &site)
}

pub(crate) const fn rejected(outcome: &FoldOutcome) -> bool {
    matches!(outcome, FoldOutcome::Rejected(_))
}
