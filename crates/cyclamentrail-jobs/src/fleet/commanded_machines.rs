//! Machines that the holder of the machine duties sends commands for, as its successor has to know
//! them.
//!
//! The holder stores them before it sends the commands. The successor sends none for these machines
//! until the previous holder's can't be carried out any more.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::InstanceName;
use serde::{Deserialize, Serialize};

use crate::record::{KeyedRecord, RecordError, decode, encode};

/// Key of the record.
const KEY: &str = "commanded";

/// Stored machines.
#[derive(Debug, Serialize, Deserialize)]
struct CommandedRecord {
    machines: BTreeSet<InstanceName>,
}

/// Machines with recent commands, of this holder and the ones before it.
#[derive(Debug, Default)]
pub struct CommandedMachines {
    /// Time of the last command of each machine on the boot-time clock, in milliseconds.
    commanded_ms: BTreeMap<InstanceName, u64>,
    /// Time for which a machine is kept after its last command, in milliseconds.
    kept_ms: u64,
    /// Whether this holder has stored its machines, be it none.
    is_stored: bool,
}

impl CommandedMachines {
    /// Reads the machines that the previous holder stored; `None` if it stored no such record, as
    /// earlier versions of the program did.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be decoded; nothing is known of the commands then.
    pub fn read(records: &[KeyedRecord]) -> Result<Option<Self>, RecordError> {
        let Some(record) = records.iter().find(|record| record.key == KEY) else {
            return Ok(None);
        };
        let stored: CommandedRecord = decode(&record.value)?;
        Ok(Some(Self {
            commanded_ms: stored.machines.into_iter().map(|name| (name, 0)).collect(),
            ..Self::default()
        }))
    }

    /// Sets the time for which machines are kept. Those that are known already count as commanded
    /// at `now_ms`.
    #[must_use]
    pub fn keep_for(mut self, kept_ms: u64, now_ms: u64) -> Self {
        self.kept_ms = kept_ms;
        for commanded_ms in self.commanded_ms.values_mut() {
            *commanded_ms = now_ms;
        }
        self
    }

    /// Returns the machines.
    #[must_use]
    pub fn machines(&self) -> BTreeSet<InstanceName> {
        self.commanded_ms.keys().cloned().collect()
    }

    /// Records that commands are about to be sent, and drops machines whose last command is long
    /// ago; returns whether the machines have to be stored.
    pub fn record<'a>(
        &mut self,
        now_ms: u64,
        machines: impl Iterator<Item = &'a InstanceName>,
    ) -> bool {
        let kept_ms = self.kept_ms;
        let mut has_new = false;
        for machine in machines {
            has_new = true;
            self.commanded_ms.insert(machine.clone(), now_ms);
        }
        let is_due = has_new || !self.is_stored;
        if is_due {
            self.is_stored = true;
            self.commanded_ms
                .retain(|_, commanded_ms| now_ms < *commanded_ms + kept_ms);
        }
        is_due
    }

    /// Returns the record to store.
    #[must_use]
    pub fn to_record(&self) -> KeyedRecord {
        KeyedRecord {
            key: KEY.to_owned(),
            value: encode(&CommandedRecord {
                machines: self.machines(),
            }),
        }
    }
}
