//! Tasks that fill workers beside tasks that serve.

use cyclamentrail_jobs::{JobSpec, Resources};

use crate::world::{World, step};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const TARGET_MS: u64 = 100;

fn shared() -> JobSpec {
    let mut serving = step(1, 8_000, 0);
    serving.long_running = true;
    serving.target_ms = Some(TARGET_MS);
    let mut filling = step(2, 8_000, 0);
    filling.long_running = true;
    filling.fills = true;
    JobSpec {
        text: "work".into(),
        steps: vec![serving, filling],
        schedule: None,
    }
}

/// What fills a worker kept a serving task over its target for as long as it ran.
#[test]
fn harm_ends() {
    let mut world = World::new(1, WORKER);
    world.worker("w0").harm_ms = 80;
    world.submit("a", shared());
    world.run_for(4_000);
    let over = (0..40)
        .filter(|_| {
            world.run_for(100);
            world.worker("w0").tail_ms() > TARGET_MS
        })
        .count();
    assert_eq!(over, 0, "the serving task is over its target");
    assert_eq!(world.running(), 3, "what fills is held back, not stopped");
}

/// What fills gets its share back once it harms nobody any more.
#[test]
fn share_returns() {
    let mut world = World::new(1, WORKER);
    world.worker("w0").harm_ms = 200;
    world.submit("a", shared());
    world.run_for(4_000);
    assert!(world.worker("w0").filling_percent() < 50);
    world.worker("w0").harm_ms = 0;
    world.run_for(14_000);
    assert_eq!(world.worker("w0").filling_percent(), 100);
}
