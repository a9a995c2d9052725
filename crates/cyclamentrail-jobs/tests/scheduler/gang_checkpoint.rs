//! Tests with gangs whose members report different checkpoints.

use std::sync::Arc;

use cyclamentrail_jobs::Resources;

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

/// Runs a gang of two members, one on each worker, which report checkpoints of their own.
fn running_gang() -> Simulation {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(2, 1_000, 60_000);
    spec.steps[0].gang = true;
    spec.steps[0].checkpoints = true;
    spec.steps[0].max_per_worker = Some(1);
    sim.worker("w0").checkpoint = Arc::from("c7");
    sim.worker("w1").checkpoint = Arc::from("c6");
    sim.submit("a", spec);
    sim.run_for(500);
    sim
}

fn restart_all(sim: &mut Simulation) {
    for id in ["w0", "w1"] {
        sim.restart_under_id(id, 200);
    }
}

/// Makes all runs stop, so that the gang starts again.
fn stop_all(sim: &mut Simulation) {
    let runs = sim
        .workers
        .values_mut()
        .flat_map(|worker| &mut worker.running);
    for run in runs {
        run.stop_ms = Some(0);
    }
}

/// Returns the checkpoints of all start commands for a run.
fn sent_for(sim: &Simulation, run: u32) -> Vec<&str> {
    let of_run = sim.sent_checkpoints.iter().filter(|sent| sent.1 == run);
    of_run.map(|sent| sent.2.as_ref()).collect()
}

/// Each member used to start again from the checkpoint that it had reported itself.
#[test]
fn members_start_from_one() {
    let mut sim = running_gang();
    restart_all(&mut sim);
    sim.run_for(2_000);
    let sent = sent_for(&sim, 2);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], sent[1]);
    assert!(["c6", "c7"].contains(&sent[0]), "{sent:?}");
}

/// A member's start that is sent again carries what the others have started from, whatever any of them
/// has reported since.
#[test]
fn repeated_start_keeps_value() {
    let mut sim = running_gang();
    restart_all(&mut sim);
    for id in ["w0", "w1"] {
        sim.worker(id).responds = false;
    }
    sim.run_for(300);
    sim.worker("w0").responds = true;
    sim.worker("w0").checkpoint = Arc::from("c8");
    sim.run_for(1_000);
    sim.worker("w1").responds = true;
    sim.run_for(3_000);
    let sent = sent_for(&sim, 2);
    assert!(sent.len() >= 2, "{sent:?}");
    assert!(sent.iter().all(|value| *value == sent[0]), "{sent:?}");
}

/// A gang goes on from what one member has reported since the last start, not from that start again.
#[test]
fn newer_value_chosen() {
    let mut sim = running_gang();
    stop_all(&mut sim);
    sim.run_for(2_000);
    let first = sent_for(&sim, 2)[0].to_owned();
    let (behind, ahead) = if first == "c7" {
        ("w0", "w1")
    } else {
        ("w1", "w0")
    };
    sim.worker(behind).checkpoint = Arc::from(first);
    sim.worker(ahead).checkpoint = Arc::from("c9");
    sim.run_for(2_000);
    stop_all(&mut sim);
    sim.run_for(2_000);
    assert_eq!(sent_for(&sim, 3), ["c9", "c9"]);
}

/// A successor has one value for all members as well.
#[test]
fn successor_starts_from_one() {
    let mut sim = running_gang();
    stop_all(&mut sim);
    sim.run_for(60);
    sim.take_over(0);
    stop_all(&mut sim);
    sim.run_for(3_000);
    let run = sim.sent_checkpoints.last().map_or(0, |sent| sent.1);
    let sent = sent_for(&sim, run);
    assert!(run > 1 && sent.len() == 2, "{sent:?}");
    assert_eq!(sent[0], sent[1]);
    assert!(["c6", "c7"].contains(&sent[0]), "{sent:?}");
}
