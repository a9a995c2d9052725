//! The planner of maintenance waves and of machine moves between pools.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};
use cyclamentrail_jobs::{
    CommandHold, FleetPlanner, FleetState, FleetTiming, Forecast, MachineCommand, MachineOutcome,
    MachineStatus, MaintenanceWave, PoolLoad, Purpose, WorkerTaskCounts,
};

const TIMING: FleetTiming = FleetTiming {
    maintenance_ms: 2_000,
};

fn machine(name: &str, pool: &str) -> MachineStatus {
    MachineStatus {
        name: InstanceName::from(name),
        pool: ServiceName::from(pool),
        is_up: true,
        worker: Some(WorkerId::from(format!("w-{name}").as_str())),
    }
}

fn fleet(pools: &[(&str, usize)]) -> FleetState {
    let mut fleet = FleetState::default();
    for (pool, count) in pools {
        let mut load = PoolLoad::default();
        for index in 0..*count {
            let machine = machine(&format!("{pool}{index}"), pool);
            load.workers
                .extend(machine.worker.clone().map(|worker| WorkerTaskCounts {
                    worker,
                    tasks: 0,
                    long_running_tasks: 0,
                }));
            fleet.machines.push(machine);
        }
        fleet.loads.insert(ServiceName::from(*pool), load);
    }
    fleet
}

fn wave(machines: &[&str], max_away: usize) -> MaintenanceWave {
    MaintenanceWave {
        number: 1,
        machines: machines.iter().copied().map(InstanceName::from).collect(),
        duration_ms: 20_000,
        max_away,
    }
}

fn report_done(planner: &mut FleetPlanner, now_ms: u64, tasks: &[MachineCommand]) {
    for task in tasks {
        planner.record_outcome(now_ms, task, MachineOutcome::Done);
    }
}

#[test]
fn away_cap_kept() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 6), ("b", 6)]);
    fleet.waves = vec![wave(&["a0", "a1", "a2", "b0", "b1", "b2"], 2)];
    let mut away: BTreeMap<InstanceName, u64> = BTreeMap::new();
    let mut begun = 0;
    for round in 0..150_u64 {
        let now_ms = round * 200;
        for machine in &mut fleet.machines {
            let is_away = away
                .get(&machine.name)
                .is_some_and(|&since| now_ms < since + 2_200);
            machine.is_up = !is_away;
            if away.contains_key(&machine.name) && !is_away {
                machine.worker = Some(WorkerId::from(format!("new-{}", machine.name).as_str()));
            }
        }
        planner.plan(now_ms, &fleet);
        let commands = planner.take_commands(now_ms, &fleet);
        for command in commands
            .iter()
            .filter(|command| command.purpose == Purpose::Maintain(1))
        {
            away.insert(command.machine.clone(), now_ms);
            begun += 1;
        }
        let down = away
            .values()
            .filter(|&&since| now_ms < since + 2_000)
            .count();
        assert!(down <= 2, "{down} machines are away at once");
        report_done(&mut planner, now_ms, &commands);
    }
    assert_eq!(begun, 6, "each machine has maintenance once");
    assert!(planner.is_wave_complete(&fleet.waves[0], &fleet));
}

#[test]
fn busy_machine_waits() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 3)]);
    fleet.waves = vec![wave(&["a0"], 1)];
    let load = fleet
        .loads
        .get_mut(&ServiceName::from("a"))
        .expect("pool a is part of the view");
    load.workers[0].tasks = 2;
    for now_ms in [0, 5_000, 10_000] {
        planner.plan(now_ms, &fleet);
        assert!(
            planner.take_commands(now_ms, &fleet).is_empty(),
            "tasks are still on the worker"
        );
    }
    assert_eq!(
        planner.workers_to_evacuate(&ServiceName::from("a")).len(),
        1
    );
}

#[test]
fn maintained_not_repeated() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 3)]);
    fleet.waves = vec![wave(&["a0", "a1"], 2)];
    planner.restore_maintained(1, 0, [InstanceName::from("a0"), InstanceName::from("a1")]);
    planner.plan(0, &fleet);
    assert!(planner.take_commands(0, &fleet).is_empty());
    assert!(planner.is_wave_complete(&fleet.waves[0], &fleet));
}

/// A command without a response may still be carried out: its machine counts as away, and the same
/// command is sent again.
#[test]
fn unanswered_command_repeated() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 4)]);
    fleet.waves = vec![wave(&["a0", "a1"], 1)];
    planner.plan(0, &fleet);
    let first = planner.take_commands(0, &fleet);
    assert_eq!(first.len(), 1);
    planner.record_outcome(100, &first[0], MachineOutcome::NoResponse);
    planner.plan(200, &fleet);
    let repeated = planner.take_commands(200, &fleet);
    assert_eq!(repeated, first);
}

/// A pool with a burst of demand gets machines that another pool doesn't need, and keeps its own.
#[test]
fn demand_gets_machines() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 9), ("b", 9)]);
    planner.plan(0, &fleet);
    let load = fleet
        .loads
        .get_mut(&ServiceName::from("a"))
        .expect("pool a is part of the view");
    load.demand_milli = 11_000;
    planner.plan(1_000, &fleet);
    let commands = planner.take_commands(1_000, &fleet);
    assert!(!commands.is_empty());
    let to_a = Purpose::Move(ServiceName::from("a"));
    assert!(commands.iter().all(|command| command.purpose == to_a));
    assert!(
        commands
            .iter()
            .all(|command| command.machine.as_str().starts_with('b'))
    );
    assert!(commands.len() <= 4, "pool b keeps its reserve");
}

#[test]
fn surplus_switched_off() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 10), ("b", 10)]);
    fleet.standby.insert(ServiceName::from("off"));
    let off = Purpose::Move(ServiceName::from("off"));
    let mut switched_off = Vec::new();
    for now_ms in (0..=5_000).step_by(200) {
        planner.plan(now_ms, &fleet);
        let commands = planner.take_commands(now_ms, &fleet);
        assert!(commands.iter().all(|command| command.purpose == off));
        switched_off.extend(commands);
    }
    assert_eq!(switched_off.len(), 8, "each pool keeps six of ten");
}

/// The turn of one queue ends, and that of another begins while the surplus is being switched off.
/// When all of the surplus was switched off at once, nothing was left that could be moved at once.
#[test]
fn surplus_serves_next_turn() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 40), ("b", 10)]);
    fleet.standby.insert(ServiceName::from("off"));
    planner.restore_initial_sizes([(ServiceName::from("a"), 10), (ServiceName::from("b"), 10)]);
    let to_b = Purpose::Move(ServiceName::from("b"));
    let mut first_off_ms = None;
    let mut moved_to_b = 0;
    for now_ms in (0..=6_000_u64).step_by(200) {
        let load = fleet
            .loads
            .get_mut(&ServiceName::from("b"))
            .expect("the pool is part of the view");
        let has_turn_begun = first_off_ms.is_some_and(|off_ms| now_ms >= off_ms + 600);
        load.demand_milli = if has_turn_begun { 22_000 } else { 1_000 };
        planner.plan(now_ms, &fleet);
        let commands = planner.take_commands(now_ms, &fleet);
        if !commands.is_empty() {
            first_off_ms.get_or_insert(now_ms);
        }
        let is_to_b = |command: &&MachineCommand| command.purpose == to_b;
        moved_to_b += commands.iter().filter(is_to_b).count();
    }
    assert!(moved_to_b >= 14, "{moved_to_b} machines were moved at once");
}

#[test]
fn pinned_machines_stay() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 4), ("b", 4)]);
    fleet.standby.insert(ServiceName::from("off"));
    for load in fleet.loads.values_mut() {
        for worker in &mut load.workers {
            worker.tasks = 1;
            worker.long_running_tasks = 1;
        }
    }
    planner.plan(0, &fleet);
    planner.plan(5_000, &fleet);
    assert!(planner.take_commands(5_000, &fleet).is_empty());
}

/// A worker missing from its owner's load report counted as empty: its machine left, which ended
/// the tasks on it.
#[test]
fn unlisted_worker_not_empty() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 3)]);
    fleet.waves = vec![wave(&["a0"], 1)];
    let load = fleet
        .loads
        .get_mut(&ServiceName::from("a"))
        .expect("pool a is part of the view");
    load.workers.remove(0);
    planner.plan(0, &fleet);
    assert!(planner.take_commands(0, &fleet).is_empty());
}

/// After a machine's maintenance, the registration of its old worker is listed for some time, and
/// tasks were sent to that worker.
#[test]
fn departed_worker_stays_empty() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 3)]);
    fleet.waves = vec![wave(&["a0"], 1)];
    planner.plan(0, &fleet);
    let commands = planner.take_commands(0, &fleet);
    report_done(&mut planner, 10, &commands);
    fleet.machines[0].worker = Some(WorkerId::from("new"));
    planner.plan(3_000, &fleet);
    let evacuated = planner.workers_to_evacuate(&ServiceName::from("a"));
    assert_eq!(evacuated, [WorkerId::from("w-a0")]);
    planner.plan(6_500, &fleet);
    assert!(
        planner
            .workers_to_evacuate(&ServiceName::from("a"))
            .is_empty()
    );
}

/// A late wave reserved all machines of a small pool at once, so that their tasks had no worker to
/// move to.
#[test]
fn late_wave_leaves_one() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 2), ("b", 2)]);
    fleet.waves = vec![wave(&["a0", "a1", "b0", "b1"], 4)];
    for load in fleet.loads.values_mut() {
        for worker in &mut load.workers {
            worker.tasks = 1;
        }
    }
    planner.plan(0, &fleet);
    planner.plan(19_000, &fleet);
    for pool in ["a", "b"] {
        let pool = ServiceName::from(pool);
        assert_eq!(
            planner.workers_to_evacuate(&pool).len(),
            1,
            "one worker stays available"
        );
    }
}

/// Only one task of a long-running step may be unavailable at a time, so a worker with several of
/// them takes long to become empty. Such machines were reserved last, and their reservations were
/// dropped before the workers were empty.
#[test]
fn long_running_reserved_early() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 6)]);
    fleet.waves = vec![wave(&["a0", "a1", "a2"], 1)];
    set_tasks(&mut fleet, "a", 0, 5);
    set_tasks(&mut fleet, "a", 1, 5);
    planner.plan(0, &fleet);
    let evacuated = planner.workers_to_evacuate(&ServiceName::from("a"));
    assert_eq!(
        evacuated.len(),
        2,
        "an idle machine and one with tasks are reserved"
    );
    for tasks in (0..5_u32).rev() {
        let now_ms = u64::from(5 - tasks) * 3_000;
        set_tasks(&mut fleet, "a", 0, tasks);
        planner.plan(now_ms, &fleet);
        let commands = planner.take_commands(now_ms, &fleet);
        report_done(&mut planner, now_ms, &commands);
    }
    let maintained = planner.maintained_machines(1);
    assert!(maintained.contains(&InstanceName::from("a0")));
}

/// At the start, the platform lists machines that are still booting. The planner took them for
/// missing and moved other machines into their pools.
#[test]
fn booting_machines_count() {
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 6), ("off", 2)]);
    fleet.standby.insert(ServiceName::from("off"));
    for machine in &mut fleet.machines[..5] {
        machine.is_up = false;
    }
    planner.plan(0, &fleet);
    assert!(planner.take_commands(0, &fleet).is_empty());
    planner.plan(6_000, &fleet);
    assert_eq!(
        planner.take_commands(6_000, &fleet).len(),
        2,
        "two machines are still down and are replaced"
    );
}

fn set_tasks(fleet: &mut FleetState, pool: &str, index: usize, tasks: u32) {
    let load = fleet
        .loads
        .get_mut(&ServiceName::from(pool))
        .expect("the pool is part of the view");
    load.workers[index].tasks = tasks;
    load.workers[index].long_running_tasks = tasks;
}

/// A burst and a smaller one before it were taken for a period, and machines were kept for the next
/// burst.
#[test]
fn single_burst_no_period() {
    let mut forecast = Forecast::new();
    for slot in 0..160_u64 {
        let demand_milli = match slot {
            20..30 => 1_000,
            60..92 => 20_000,
            _ => 0,
        };
        forecast.observe(slot * 250, demand_milli);
        let expected = forecast.predict_milli(slot * 250, 2_000);
        if slot > 100 {
            assert_eq!(expected, 0, "slot {slot}");
        }
    }
}

/// A wave over half of a large fleet, each machine with work when it is reserved: all machines begin in
/// time, never more than the cap at once. Long-running tasks, on each fourth machine, take longer to
/// move; when only one machine of a pool could wait for them at a time, 185 machines were late.
#[test]
fn large_wave_in_time() {
    const MOVING_MS: u64 = 1_200;
    let mut planner = FleetPlanner::new(TIMING);
    let mut fleet = fleet(&[("a", 220), ("b", 220), ("c", 220), ("d", 220), ("e", 220)]);
    let names = fleet.machines.iter().map(|machine| machine.name.clone());
    fleet.waves = vec![MaintenanceWave {
        number: 1,
        machines: names.step_by(2).collect(),
        duration_ms: 26_000,
        max_away: 216,
    }];
    for load in fleet.loads.values_mut() {
        for (index, worker) in load.workers.iter_mut().enumerate() {
            worker.tasks = 1;
            worker.long_running_tasks = u32::from(index % 4 == 0);
        }
    }
    let mut begun: BTreeMap<InstanceName, u64> = BTreeMap::new();
    let mut evacuating: BTreeMap<WorkerId, u64> = BTreeMap::new();
    for now_ms in (0..26_000_u64).step_by(200) {
        let is_down = |since_ms: &u64| now_ms < since_ms + 2_000;
        for machine in &mut fleet.machines {
            machine.is_up = !begun.get(&machine.name).is_some_and(is_down);
        }
        planner.plan(now_ms, &fleet);
        for (pool, load) in &mut fleet.loads {
            for worker in planner.workers_to_evacuate(pool) {
                evacuating.entry(worker).or_insert(now_ms);
            }
            for worker in &mut load.workers {
                let moving_ms = u64::from(worker.long_running_tasks) * MOVING_MS;
                let since_ms = evacuating.get(&worker.worker);
                if since_ms.is_some_and(|since_ms| now_ms >= since_ms + moving_ms) {
                    (worker.tasks, worker.long_running_tasks) = (0, 0);
                }
            }
        }
        let commands = planner.take_commands(now_ms, &fleet);
        let is_maintenance = |command: &&MachineCommand| command.purpose == Purpose::Maintain(1);
        let maintained = commands.iter().filter(is_maintenance);
        begun.extend(maintained.map(|command| (command.machine.clone(), now_ms)));
        let down = begun.values().filter(|since_ms| is_down(since_ms)).count();
        assert!(down <= 216, "{down} machines are away at once");
        report_done(&mut planner, now_ms, &commands);
    }
    let late = fleet.waves[0].machines.len() - begun.len();
    assert_eq!(late, 0, "machines that haven't begun");
}

/// A new holder of the duties in a queue's turn: the pool gets machines at once, but none that the
/// previous holder may just have sent a command for, and no maintenance begins.
#[test]
fn new_holder_moves_others() {
    let held: BTreeSet<InstanceName> = (0..4)
        .map(|index| InstanceName::from(format!("b{index}").as_str()))
        .collect();
    let mut planner =
        FleetPlanner::new(TIMING).hold(CommandHold::listed_until(3_500, held.clone()));
    let mut fleet = fleet(&[("a", 9), ("b", 9)]);
    planner.restore_initial_sizes([(ServiceName::from("a"), 9), (ServiceName::from("b"), 9)]);
    fleet.waves = vec![wave(&["a0"], 1)];
    let load = fleet.loads.get_mut(&ServiceName::from("a"));
    load.expect("pool a is part of the view").demand_milli = 12_000;
    let mut moved = 0;
    let mut first_maintenance_ms = None;
    for now_ms in (0..=4_000_u64).step_by(200) {
        planner.plan(now_ms, &fleet);
        for command in planner.take_commands(now_ms, &fleet) {
            if command.purpose == Purpose::Maintain(1) {
                first_maintenance_ms.get_or_insert(now_ms);
            } else if now_ms < 3_500 {
                assert!(!held.contains(&command.machine), "{}", command.machine);
                moved += 1;
            }
            planner.record_outcome(now_ms, &command, MachineOutcome::Done);
        }
    }
    assert!(moved > 0, "pool a gets no machines");
    assert!(first_maintenance_ms.is_some_and(|first_ms| first_ms >= 3_500));
}

/// A new holder that doesn't know which commands the previous one sent waits with all of its own.
#[test]
fn unknown_commands_wait() {
    let mut planner = FleetPlanner::new(TIMING).hold(CommandHold::all_until(3_500));
    let mut fleet = fleet(&[("a", 9), ("b", 9)]);
    let load = fleet.loads.get_mut(&ServiceName::from("a"));
    load.expect("pool a is part of the view").demand_milli = 12_000;
    for now_ms in (0..3_500_u64).step_by(200) {
        planner.plan(now_ms, &fleet);
        assert_eq!(planner.take_commands(now_ms, &fleet), []);
    }
    planner.plan(3_600, &fleet);
    assert_ne!(planner.take_commands(3_600, &fleet), []);
}
