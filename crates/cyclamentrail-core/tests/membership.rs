//! Membership on a virtual clock: heartbeats, suspicion, evictions and the permission to dispatch.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{Incarnation, Membership, MembershipTiming, Offset};
use rstest::rstest;

/// Heartbeat interval and dispatch lease of the base settings, in milliseconds.
const TIMING: MembershipTiming = MembershipTiming::new(500, 2_000);
/// Milliseconds by which the virtual clock advances in one step.
const STEP_MS: u64 = 50;
/// Longest time in milliseconds until the members agree that a member is lost; until then, a duty
/// of the lost member isn't done.
const MAX_DETECTION_MS: u64 = 5_000;

/// Entries of one virtual clock that exchange heartbeats without delay; stopped entries neither
/// send nor respond.
struct Cluster {
    now_ms: u64,
    ids: Vec<Incarnation>,
    entries: BTreeMap<Incarnation, Membership>,
    stopped: BTreeSet<Incarnation>,
    log_up: bool,
    exchanges: u64,
}

impl Cluster {
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
            stopped: BTreeSet::new(),
            log_up: true,
            exchanges: 0,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for id in self.ids.clone() {
                if !self.stopped.contains(&id) {
                    self.step(id);
                }
            }
        }
    }

    fn step(&mut self, id: Incarnation) {
        let (now_ms, log_up, ids) = (self.now_ms, self.log_up, self.ids.clone());
        let entry = self.entry(id);
        entry.update_members(&ids, now_ms);
        if log_up {
            entry.record_log_confirmation(now_ms);
        }
        for peer in entry.peers_due(now_ms) {
            let request = self.entry(id).begin_exchange(peer, now_ms);
            if self.stopped.contains(&peer) {
                self.entry(id).record_no_response(peer);
                continue;
            }
            self.exchanges += 1;
            self.entry(peer)
                .handle_heartbeat(&request, Offset::default(), now_ms);
            let response = self.entry(peer).heartbeat_for(id, now_ms);
            self.entry(id)
                .handle_heartbeat(&response, Offset::default(), now_ms);
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
#[case::six_entries(6)]
#[case::nine_entries(9)]
#[case::sixteen_entries(16)]
fn lost_entry_detected(#[case] entries: u64) {
    let mut cluster = Cluster::new(entries);
    cluster.run(10_000);
    let lost = Incarnation::new(entries);
    cluster.stopped.insert(lost);
    let lost_ms = cluster.now_ms;
    let first = Incarnation::new(1);
    while !cluster.entries[&first].is_suspected_by_half(lost, cluster.now_ms) {
        cluster.run(STEP_MS);
        assert!(
            cluster.now_ms - lost_ms <= MAX_DETECTION_MS,
            "not detected as lost"
        );
    }
}

#[rstest]
#[case::two_entries(2)]
#[case::three_entries(3)]
#[case::nine_entries(9)]
fn eviction_has_enough_witnesses(#[case] entries: u64) {
    let mut cluster = Cluster::new(entries);
    cluster.run(10_000);
    let lost = Incarnation::new(entries);
    cluster.stopped.insert(lost);
    let first = Incarnation::new(1);
    let mut evictions = Vec::new();
    for _ in 0..200 {
        cluster.run(STEP_MS);
        let now_ms = cluster.now_ms;
        evictions = cluster.entry(first).propose_evictions(now_ms);
        if !evictions.is_empty() {
            break;
        }
    }
    assert_eq!(evictions.len(), 1);
    assert_eq!(evictions[0].evicted, lost);
    assert!(evictions[0].witnesses.len() * 2 >= cluster.ids.len());
    let response = cluster.entries[&first].heartbeat_for(lost, cluster.now_ms);
    assert!(
        !response.confirms_receiver,
        "a witness confirmed the evicted entry"
    );
}

#[test]
fn live_entries_not_suspected() {
    let mut cluster = Cluster::new(9);
    cluster.run(60_000);
    let now_ms = cluster.now_ms;
    for id in cluster.ids.clone() {
        assert!(cluster.entry(id).propose_evictions(now_ms).is_empty());
        for &peer in &cluster.ids {
            assert!(!cluster.entries[&id].is_suspected(peer, now_ms));
        }
    }
}

#[test]
fn pair_exchanges_once_per_interval() {
    let mut cluster = Cluster::new(6);
    cluster.run(10_000);
    cluster.exchanges = 0;
    cluster.run(10_000);
    let pairs = 15;
    let intervals = 10_000 / TIMING.heartbeat_ms;
    assert_eq!(cluster.exchanges, pairs * intervals);
}

#[test]
fn log_outage_permits_majority() {
    let mut cluster = Cluster::new(5);
    cluster.run(5_000);
    cluster.log_up = false;
    cluster.run(20_000);
    assert!(cluster.ids.iter().all(|&id| cluster.is_permitted(id)));
    for number in 3..=5 {
        cluster.stopped.insert(Incarnation::new(number));
    }
    cluster.run(TIMING.lease_ms + 2 * TIMING.heartbeat_ms);
    assert!(!cluster.is_permitted(Incarnation::new(1)));
    assert!(!cluster.is_permitted(Incarnation::new(2)));
}

#[test]
fn paused_entry_suspects_nobody() {
    let mut cluster = Cluster::new(3);
    cluster.run(5_000);
    let paused = Incarnation::new(2);
    cluster.stopped.insert(paused);
    cluster.run(30_000);
    cluster.stopped.remove(&paused);
    let (now_ms, ids) = (cluster.now_ms, cluster.ids.clone());
    assert!(!cluster.is_permitted(paused));
    let entry = cluster.entry(paused);
    entry.update_members(&ids, now_ms);
    assert!(entry.propose_evictions(now_ms).is_empty());
    assert!(!entry.is_suspected(Incarnation::new(1), now_ms));
}

#[test]
fn log_write_prevents_suspicion() {
    let mut cluster = Cluster::new(2);
    cluster.run(5_000);
    let silent = Incarnation::new(2);
    cluster.stopped.insert(silent);
    for _ in 0..20 {
        cluster.run(1_000);
        let now_ms = cluster.now_ms;
        cluster
            .entry(Incarnation::new(1))
            .record_log_write(silent, now_ms);
    }
    let now_ms = cluster.now_ms;
    let entry = cluster.entry(Incarnation::new(1));
    assert!(entry.is_cut_off_from_peer(now_ms));
    assert!(!entry.is_suspected(silent, now_ms));
}
