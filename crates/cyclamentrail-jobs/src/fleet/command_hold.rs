//! Commands that a new holder of the machine duties may not send yet.
//!
//! The previous holder may still believe that it holds the duties, and a command that it sent may be
//! carried out late. For each machine, the commands of two holders are therefore some time apart. A
//! holder stores which machines it sends commands for before it does, so that its successor can
//! move all others at once. Maintenance always waits: what the previous holder began counts against
//! the cap of its wave.

use std::collections::BTreeSet;

use cyclamentrail_core::InstanceName;

use super::Purpose;

/// Commands that have to wait for a time on the holder's boot clock.
///
/// ```
/// use std::collections::BTreeSet;
///
/// use cyclamentrail_core::{InstanceName, ServiceName};
/// use cyclamentrail_jobs::{CommandHold, Purpose};
///
/// let [known, other] = ["m1", "m2"].map(InstanceName::from);
/// let hold = CommandHold::listed_until(3_000, BTreeSet::from([known.clone()]));
/// let to_pool = Purpose::Move(ServiceName::from("a"));
/// assert!(hold.allows(0, &other, &to_pool));
/// assert!(!hold.allows(0, &known, &to_pool));
/// assert!(!hold.allows(0, &other, &Purpose::Maintain(1)));
/// assert!(hold.allows(3_000, &known, &to_pool));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandHold {
    /// Time from which all commands may be sent, in milliseconds.
    until_ms: u64,
    machines: HeldMachines,
}

/// Machines that may not be moved yet.
#[derive(Debug, Clone, PartialEq, Eq)]
enum HeldMachines {
    All,
    Listed(BTreeSet<InstanceName>),
}

impl CommandHold {
    /// Creates a hold of nothing.
    #[must_use]
    pub const fn none() -> Self {
        Self::all_until(0)
    }

    /// Creates a hold of all commands, for a holder that doesn't know which machines the previous
    /// one sent commands for.
    #[must_use]
    pub const fn all_until(until_ms: u64) -> Self {
        Self {
            until_ms,
            machines: HeldMachines::All,
        }
    }

    /// Creates a hold of all maintenance, and of moves of the machines that the previous holder may
    /// have sent commands for.
    #[must_use]
    pub const fn listed_until(until_ms: u64, machines: BTreeSet<InstanceName>) -> Self {
        Self {
            until_ms,
            machines: HeldMachines::Listed(machines),
        }
    }

    /// Returns whether a command may be sent now.
    #[must_use]
    pub fn allows(&self, now_ms: u64, machine: &InstanceName, purpose: &Purpose) -> bool {
        if now_ms >= self.until_ms {
            return true;
        }
        match (&self.machines, purpose) {
            (HeldMachines::All, _) | (_, Purpose::Maintain(_)) => false,
            (HeldMachines::Listed(machines), Purpose::Move(_)) => !machines.contains(machine),
        }
    }
}
