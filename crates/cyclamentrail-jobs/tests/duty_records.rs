//! Lengths of the records of the machine duties at the size to design for.

use std::collections::BTreeMap;

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};
use cyclamentrail_jobs::{
    CommandedMachines, FleetPlanner, FleetState, FleetTiming, MachineStatus, MaintenanceWave,
    WaveRecord, encode,
};

/// Machines at the size to design for, one for each worker.
const MACHINES: usize = 1_400;
/// Pools at the size to design for.
const POOLS: usize = 214;
/// Largest record that the store accepts, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;
/// Length of a long name in bytes, that of the longest label of a host name.
const NAME_BYTES: usize = 63;
/// A point in Unix time, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Number of the wave.
const WAVE: u64 = 85;

fn name(kind: &str, index: usize) -> String {
    format!("{kind}{index:0>width$}", width = NAME_BYTES - kind.len())
}

fn machines(kind: &str) -> Vec<InstanceName> {
    let names = (0..MACHINES).map(|index| name(kind, index));
    names.map(InstanceName::from).collect()
}

/// Returns a site whose machines are all in one wave.
fn fleet(names: &[InstanceName]) -> FleetState {
    let status = |(index, machine): (usize, &InstanceName)| MachineStatus {
        name: machine.clone(),
        pool: ServiceName::from(name("pool-", index % POOLS)),
        is_up: true,
        worker: Some(WorkerId::from(name("w-", index))),
    };
    FleetState {
        machines: names.iter().enumerate().map(status).collect(),
        waves: vec![MaintenanceWave {
            number: WAVE,
            machines: names.to_vec(),
            duration_ms: 20_000,
            max_away: 1,
        }],
        ..FleetState::default()
    }
}

fn planner() -> FleetPlanner {
    FleetPlanner::new(FleetTiming {
        maintenance_ms: 2_000,
    })
}

/// Returns the length of the record of a wave in bytes.
fn wave_bytes(planner: &FleetPlanner) -> usize {
    let record = WaveRecord {
        age_ms: u64::MAX,
        written_ms: UNIX_MS,
        machines: planner.maintained_machines(WAVE),
    };
    encode(&record).len()
}

/// Commands for all machines at once.
#[test]
fn commanded_machines_fit() {
    let mut commanded = CommandedMachines::default().keep_for(4_500, 0);
    commanded.record(0, machines("m-").iter());
    let bytes = commanded.to_record().value.len();
    assert_eq!(bytes, 91_004);
    assert!(bytes <= MAX_RECORD_BYTES);
}

/// First sizes of all pools, each as large as the whole site.
#[test]
fn pool_sizes_fit() {
    let pools = (0..POOLS).map(|index| ServiceName::from(name("pool-", index)));
    let sizes: BTreeMap<ServiceName, usize> = pools.map(|pool| (pool, MACHINES)).collect();
    let bytes = encode(&sizes).len();
    assert_eq!(bytes, 14_555);
    assert!(bytes <= MAX_RECORD_BYTES);
}

/// A wave over all machines that is complete.
#[test]
fn whole_wave_fits() {
    let names = machines("m-");
    let mut planner = planner();
    planner.restore_maintained(WAVE, 0, names.clone());
    planner.plan(0, &fleet(&names));
    assert_eq!(planner.maintained_machines(WAVE).len(), MACHINES);
    let bytes = wave_bytes(&planner);
    assert_eq!(bytes, 91_022);
    assert!(bytes <= MAX_RECORD_BYTES);
}

/// A wave whose machines the operators have replaced twice, each time after all had their maintenance:
/// machines that are neither in the wave nor listed any more don't make its record longer.
#[test]
fn replaced_machines_left_out() {
    let names = machines("m-");
    let mut planner = planner();
    for kind in ["a-", "b-", "m-"] {
        planner.restore_maintained(WAVE, 0, machines(kind));
    }
    planner.plan(0, &fleet(&names));
    let bytes = wave_bytes(&planner);
    assert!(bytes <= MAX_RECORD_BYTES, "{bytes} bytes");
    assert_eq!(planner.maintained_machines(WAVE), names);
}

/// Machines that operators take out of a wave have had their maintenance in it as long as they are
/// listed, and those that aren't listed for a while as long as they are in the wave: at most twice as
/// many as the site has.
#[test]
fn known_machines_kept() {
    let (listed, in_wave) = (machines("a-"), machines("b-"));
    let mut planner = planner();
    planner.restore_maintained(WAVE, 0, listed.iter().chain(&in_wave).cloned());
    let mut fleet = fleet(&listed);
    fleet.waves[0].machines = in_wave;
    planner.plan(0, &fleet);
    assert_eq!(planner.maintained_machines(WAVE).len(), 2 * MACHINES);
    let bytes = wave_bytes(&planner);
    assert_eq!(bytes, 182_022);
    assert!(bytes <= MAX_RECORD_BYTES);
}
