//! Machines and workers of a fleet's state by their names, so that a plan looks at each of them a few
//! times at most, however many there are.

use std::collections::HashMap;

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};

use super::{FleetState, MachineStatus, WorkerTaskCounts};

/// Index of a fleet's state.
#[derive(Debug)]
pub(super) struct FleetIndex<'a> {
    machines: HashMap<&'a InstanceName, &'a MachineStatus>,
    /// Reported workers of each pool.
    workers: HashMap<&'a ServiceName, HashMap<&'a WorkerId, &'a WorkerTaskCounts>>,
}

impl<'a> FleetIndex<'a> {
    /// Returns a machine that the platform lists.
    pub(super) fn machine(&self, name: &InstanceName) -> Option<&'a MachineStatus> {
        self.machines.get(name).copied()
    }

    /// Returns the numbers of tasks on a worker, or `None` if the owner of its shard doesn't report
    /// them.
    pub(super) fn task_counts(
        &self,
        pool: &ServiceName,
        worker: Option<&WorkerId>,
    ) -> Option<&'a WorkerTaskCounts> {
        self.workers.get(pool)?.get(worker?).copied()
    }
}

impl<'a> From<&'a FleetState> for FleetIndex<'a> {
    fn from(fleet: &'a FleetState) -> Self {
        let machines = fleet.machines.iter();
        let workers = fleet.loads.iter().map(|(pool, load)| {
            let counts = load.workers.iter().map(|counts| (&counts.worker, counts));
            (pool, counts.collect())
        });
        Self {
            machines: machines.map(|machine| (&machine.name, machine)).collect(),
            workers: workers.collect(),
        }
    }
}
