//! Membership in virtual time: heartbeats, suspicion, evictions and the permission to dispatch.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{Incarnation, Membership, MembershipTiming, Offset};
use rstest::rstest;

/// Interval and lease of the base settings, in milliseconds.
const TIMING: MembershipTiming = MembershipTiming::new(500, 2_000);
/// Step of the virtual clock in milliseconds.
const STEP_MS: u64 = 50;
/// Longest delay of a duty by the loss of its holder, in milliseconds.
const DUTY_DELAY_MS: u64 = 5_000;

/// Entries that exchange heartbeats without delay.
struct World {
    now_ms: u64,
    ids: Vec<Incarnation>,
    entries: BTreeMap<Incarnation, Membership>,
    gone: BTreeSet<Incarnation>,
    log_up: bool,
    exchanges: u64,
}

impl World {
    fn new(entries: u64) -> Self {
        let ids: Vec<Incarnation> = (1..=entries).map(Incarnation::new).collect();
        let entries = ids
            .iter()
            .map(|&id| (id, Membership::new(id, TIMING, 0)))
            .collect();
        Self {
            now_ms: 0,
            ids,
            entries,
            gone: BTreeSet::new(),
            log_up: true,
            exchanges: 0,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            for id in self.ids.clone() {
                if !self.gone.contains(&id) {
                    self.step(id);
                }
            }
        }
    }

    fn step(&mut self, id: Incarnation) {
        let (now_ms, log_up, ids) = (self.now_ms, self.log_up, self.ids.clone());
        let entry = self.entry(id);
        entry.refresh(&ids, now_ms);
        if log_up {
            entry.confirm_log(now_ms);
        }
        for peer in entry.due(now_ms) {
            let asked = self.entry(id).ask(peer, now_ms);
            if self.gone.contains(&peer) {
                self.entry(id).fail(peer);
                continue;
            }
            self.exchanges += 1;
            self.entry(peer).take(&asked, Offset::default(), now_ms);
            let answer = self.entry(peer).message_to(id, now_ms);
            self.entry(id).take(&answer, Offset::default(), now_ms);
        }
    }

    fn entry(&mut self, id: Incarnation) -> &mut Membership {
        self.entries.get_mut(&id).expect("the entry exists")
    }

    fn is_permitted(&self, id: Incarnation) -> bool {
        self.entries[&id].valid_until_ms(&self.ids) > self.now_ms
    }
}

#[rstest]
#[case::today_least(6)]
#[case::today_most(9)]
#[case::more(16)]
fn loss_found(#[case] entries: u64) {
    let mut world = World::new(entries);
    world.run(10_000);
    let gone = Incarnation::new(entries);
    world.gone.insert(gone);
    let lost_ms = world.now_ms;
    let first = Incarnation::new(1);
    while !world.entries[&first].is_given_up(gone, world.now_ms) {
        world.run(STEP_MS);
        assert!(world.now_ms - lost_ms <= DUTY_DELAY_MS, "not given up");
    }
}

#[rstest]
#[case::two(2)]
#[case::three(3)]
#[case::nine(9)]
fn eviction_witnessed(#[case] entries: u64) {
    let mut world = World::new(entries);
    world.run(10_000);
    let gone = Incarnation::new(entries);
    world.gone.insert(gone);
    let first = Incarnation::new(1);
    let mut evictions = Vec::new();
    for _ in 0..200 {
        world.run(STEP_MS);
        let now_ms = world.now_ms;
        evictions = world.entry(first).evict(now_ms);
        if !evictions.is_empty() {
            break;
        }
    }
    assert_eq!(evictions.len(), 1);
    assert_eq!(evictions[0].gone, gone);
    assert!(evictions[0].witnesses.len() * 2 >= world.ids.len());
    let answer = world.entries[&first].message_to(gone, world.now_ms);
    assert!(!answer.confirms, "a witness confirmed the evicted entry");
}

#[test]
fn nobody_suspected() {
    let mut world = World::new(9);
    world.run(60_000);
    let now_ms = world.now_ms;
    for id in world.ids.clone() {
        assert!(world.entry(id).evict(now_ms).is_empty());
        for &peer in &world.ids {
            assert!(!world.entries[&id].is_suspected(peer, now_ms));
        }
    }
}

#[test]
fn one_exchange_a_pair() {
    let mut world = World::new(6);
    world.run(10_000);
    world.exchanges = 0;
    world.run(10_000);
    let pairs = 15;
    let intervals = 10_000 / TIMING.heartbeat_ms;
    assert_eq!(world.exchanges, pairs * intervals);
}

#[test]
fn outage_permits_majority() {
    let mut world = World::new(5);
    world.run(5_000);
    world.log_up = false;
    world.run(20_000);
    assert!(world.ids.iter().all(|&id| world.is_permitted(id)));
    for gone in 3..=5 {
        world.gone.insert(Incarnation::new(gone));
    }
    world.run(TIMING.lease_ms + 2 * TIMING.heartbeat_ms);
    assert!(!world.is_permitted(Incarnation::new(1)));
    assert!(!world.is_permitted(Incarnation::new(2)));
}

#[test]
fn own_pause_blames_nobody() {
    let mut world = World::new(3);
    world.run(5_000);
    let paused = Incarnation::new(2);
    world.gone.insert(paused);
    world.run(30_000);
    world.gone.remove(&paused);
    let (now_ms, ids) = (world.now_ms, world.ids.clone());
    assert!(!world.is_permitted(paused));
    let entry = world.entry(paused);
    entry.refresh(&ids, now_ms);
    assert!(entry.evict(now_ms).is_empty());
    assert!(!entry.is_suspected(Incarnation::new(1), now_ms));
}

#[test]
fn log_shows_life() {
    let mut world = World::new(2);
    world.run(5_000);
    let silent = Incarnation::new(2);
    world.gone.insert(silent);
    for _ in 0..20 {
        world.run(1_000);
        let now_ms = world.now_ms;
        world.entry(Incarnation::new(1)).hear_log(silent, now_ms);
    }
    let now_ms = world.now_ms;
    let entry = world.entry(Incarnation::new(1));
    assert!(entry.is_cut_off_from_peer(now_ms));
    assert!(!entry.is_suspected(silent, now_ms));
}
