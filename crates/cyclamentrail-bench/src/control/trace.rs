//! Writes a day of control records and folds them as an entry does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use anyhow::{Result, bail};
use cyclamentrail_core::{
    BootId, DrainReason, EntryName, Fleet, FoldOutcome, Incarnation, InstanceName, LeaveReason,
    RECORD_FORMAT, Record, RecordBody, RecordId, ZoneName, decode_record, encode_record,
};
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::size::{ControlSize, instance, service};

/// Virtual time in milliseconds between two events of the trace.
const EVENT_STEP_MS: u64 = 60_000;

/// State of the fleet and counts of the records after one day.
#[derive(Debug)]
pub(super) struct ControlDay {
    fleet: Fleet,
    /// Incarnations of the live entries, oldest first, each with the number of its last record.
    members: VecDeque<(Incarnation, u64)>,
    next_incarnation: u64,
    clock_ms: u64,
    records: u64,
    bytes: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An operator changes the mean rate of one service.
    Change,
    /// The oldest entry leaves and a new incarnation joins.
    Restart,
    /// The worker with this number is drained, rebooted and assigned to its pool again.
    Drain(u32),
}

impl ControlDay {
    /// Writes and folds the records of a day; those that set up the site aren't counted.
    pub(super) fn run(size: &ControlSize, entries: u64, seed: u64) -> Result<Self> {
        let mut day = Self {
            fleet: Fleet::new(),
            members: VecDeque::new(),
            next_incarnation: 1,
            clock_ms: 0,
            records: 0,
            bytes: 0,
        };
        for _ in 0..entries {
            day.join_entry()?;
        }
        day.change_settings(size.document(entries))?;
        (day.records, day.bytes) = (0, 0);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for event in events(size, &mut random) {
            day.clock_ms += EVENT_STEP_MS;
            match event {
                Event::Change => day.change_service_rate(size, &mut random)?,
                Event::Restart => day.replace_entry()?,
                Event::Drain(number) => day.drain(&InstanceName::from(instance(number)))?,
            }
        }
        Ok(day)
    }

    pub(super) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(super) const fn records(&self) -> u64 {
        self.records
    }

    pub(super) const fn bytes(&self) -> u64 {
        self.bytes
    }

    fn join_entry(&mut self) -> Result<()> {
        let incarnation = Incarnation::new(self.next_incarnation << 32);
        self.next_incarnation += 1;
        self.members.push_back((incarnation, 0));
        let author = self.members.len() - 1;
        self.write_record(
            author,
            RecordBody::EntryJoined {
                entry: EntryName::from("entry-0"),
                zone: ZoneName::from("zone-0"),
                peer_address: SocketAddr::from(([10, 0, 0, 1], 8101)),
                supports_format: RECORD_FORMAT,
            },
        )
    }

    fn replace_entry(&mut self) -> Result<()> {
        let incarnation = self.members[0].0;
        let reason = LeaveReason::Stopped;
        self.write_record(
            0,
            RecordBody::EntryLeft {
                incarnation,
                reason,
            },
        )?;
        self.members.pop_front();
        self.join_entry()
    }

    fn change_service_rate(&mut self, size: &ControlSize, random: &mut ChaCha8Rng) -> Result<()> {
        let name = service(random.random_range(0..size.pools as usize));
        let rate = f64::from(random.random_range(1..100_u32));
        self.change_settings(json!({"services": {name: {"mean_rate_per_s": rate}}}))
    }

    fn change_settings(&mut self, patch: serde_json::Value) -> Result<()> {
        let presumes = self
            .fleet
            .settings()
            .map(|accepted| accepted.version)
            .unwrap_or_default();
        self.write_record(
            0,
            RecordBody::SettingsChanged {
                presumes,
                patch,
                operator: String::from("operator"),
            },
        )
    }

    fn drain(&mut self, name: &InstanceName) -> Result<()> {
        let reason = DrainReason::Wave;
        let presumes = self.instance_version(name);
        self.write_record(
            0,
            RecordBody::DrainBegun {
                instance: name.clone(),
                presumes,
                reason,
            },
        )?;
        let drain = self.instance_version(name);
        for author in 0..self.members.len() {
            let instance = name.clone();
            self.write_record(author, RecordBody::DrainReleased { instance, drain })?;
        }
        let presumes = self.instance_version(name);
        self.write_record(
            0,
            RecordBody::InstanceBooted {
                instance: name.clone(),
                presumes,
                boot: BootId::new(1),
            },
        )?;
        let presumes = self.instance_version(name);
        let Some(pool) = self.fleet.instance(name).map(|found| found.pool.clone()) else {
            bail!("instance {name} is unknown");
        };
        self.write_record(
            0,
            RecordBody::InstanceAssigned {
                instance: name.clone(),
                presumes,
                pool,
            },
        )
    }

    fn instance_version(&self, name: &InstanceName) -> cyclamentrail_core::Version {
        self.fleet
            .instance(name)
            .map(|instance| instance.version)
            .unwrap_or_default()
    }

    /// Encodes, decodes and folds a record of the member at index `author`, and counts its bytes.
    fn write_record(&mut self, author: usize, body: RecordBody) -> Result<()> {
        let (incarnation, sequence) = &mut self.members[author];
        *sequence += 1;
        let record = Record {
            format: RECORD_FORMAT,
            id: RecordId::new(*incarnation, *sequence),
            body: Some(body),
        };
        let bytes = encode_record(&record)?;
        self.records += 1;
        self.bytes += bytes.len() as u64;
        let decoded = decode_record(&bytes)?;
        match self
            .fleet
            .fold_record(self.fleet.next_offset(), self.clock_ms, &decoded)
        {
            FoldOutcome::Accepted => Ok(()),
            FoldOutcome::Rejected(rejection) => bail!("record rejected: {}", rejection.kind),
        }
    }
}

fn events(size: &ControlSize, random: &mut ChaCha8Rng) -> Vec<Event> {
    let mut events = vec![Event::Change; size.settings_changes as usize];
    events.extend(vec![Event::Restart; size.entry_restarts as usize]);
    events.extend((0..size.drains()).map(Event::Drain));
    events.shuffle(random);
    events
}
