//! Keys of the teams during a soak: which ones are in force, which were revoked, and which one a
//! call carries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cyclamentrail_standin::{JobStore, QueueTarget, put_teams};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant as TokioInstant;

use super::faults::SiteNames;

/// Number of teams.
const TEAMS: usize = 4;
/// Number of keys that each team has at the start.
const FIRST_KEYS: usize = 2;
/// Version of the first configuration with teams.
const FIRST_VERSION: u64 = 10;
/// Difference between the seeds of the faults and of the changes of keys.
const CHANGE_STREAM: u64 = 2;
/// Largest pause between two changes of keys.
const MAX_PAUSE_MS: u64 = 2_500;
/// Part of the revocations that take all keys of a team at once.
const ALL_KEYS_SHARE: f64 = 0.3;
/// Part of the calls that carry a revoked key, if their team has one.
const REVOKED_SHARE: f64 = 0.1;
/// Part of the calls that carry a key that never was in any configuration.
const UNKNOWN_SHARE: f64 = 0.04;

/// Key with the times at which the store acknowledged its configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHistory {
    /// Number of the team that had the key.
    pub team: usize,
    /// When the first configuration with the key was acknowledged.
    pub added: Instant,
    /// When the first configuration without the key was acknowledged.
    pub revoked: Option<Instant>,
}

/// One answered call with the key that it carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyCall {
    /// Number of the key; `None` for a key that never was in any configuration.
    pub key: Option<usize>,
    /// When the call was sent.
    pub sent: Instant,
    /// When the response had arrived.
    pub answered: Instant,
    /// Status of the response.
    pub status: u16,
}

/// Keys of all teams, shared by the clients and the operator that changes them.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyRing(Arc<Mutex<Ring>>);

#[derive(Debug, Default)]
struct Ring {
    version: u64,
    /// Whether the queue leads to the other service.
    is_moved: bool,
    keys: Vec<KeyHistory>,
    calls: Vec<KeyCall>,
}

impl KeyRing {
    /// Writes a first configuration with the keys of all teams to the store.
    pub(super) fn start(store: &JobStore, names: &SiteNames) -> Self {
        let ring = Self::default();
        ring.change(store, names, |ring| {
            for team in 0..TEAMS * FIRST_KEYS {
                ring.add(team % TEAMS);
            }
        });
        ring
    }

    /// Adds and revokes keys until `end`, at times drawn from the seed.
    pub(super) async fn keep_changing(
        &self,
        store: &JobStore,
        names: &SiteNames,
        seed: u64,
        end: TokioInstant,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(CHANGE_STREAM);
        loop {
            let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
            let team = random.random_range(0..TEAMS);
            let takes_all = random.random_bool(ALL_KEYS_SHARE);
            if TokioInstant::now() + pause >= end {
                return;
            }
            tokio::time::sleep(pause).await;
            self.change(store, names, |ring| {
                let live = ring.live(team);
                if takes_all {
                    ring.revoke(&live);
                    ring.add(team);
                } else if live.len() > 1 {
                    ring.revoke(&live[..1]);
                } else {
                    ring.add(team);
                }
            });
        }
    }

    /// Lets the queue lead to the other service, or back.
    pub(super) fn move_queue(&self, store: &JobStore, names: &SiteNames, is_moved: bool) {
        self.change(store, names, |ring| ring.is_moved = is_moved);
    }

    /// Changes the keys and writes the configuration that follows. A key counts as added or revoked
    /// from the time at which the store has acknowledged it.
    fn change(&self, store: &JobStore, names: &SiteNames, change: impl FnOnce(&mut Ring)) {
        let mut ring = self.lock();
        let before = ring.keys.clone();
        change(&mut ring);
        ring.version = (ring.version + 1).max(FIRST_VERSION);
        let teams = (0..TEAMS).map(|team| {
            let keys = ring.live(team).into_iter().map(key_text);
            (format!("team-{team}"), keys.collect())
        });
        let target = queue_target(names, ring.is_moved);
        let others: Vec<&str> = target.1.into_iter().collect();
        let target = QueueTarget {
            host: &names.host,
            service: target.0,
            others: &others,
        };
        put_teams(store, target, ring.version, teams.collect());
        let acknowledged = Instant::now();
        for (number, key) in ring.keys.iter_mut().enumerate() {
            match before.get(number) {
                None => key.added = acknowledged,
                Some(old) if old.revoked != key.revoked => key.revoked = Some(acknowledged),
                Some(_) => {}
            }
        }
    }

    /// Draws the key of a call of a team; mostly the one that has been in force for longest.
    pub(super) fn draw(&self, team: usize, random: &mut ChaCha8Rng) -> (Option<usize>, String) {
        let ring = self.lock();
        let share: f64 = random.random();
        if share < UNKNOWN_SHARE {
            return (None, format!("unknown-{team}-{}", random.random::<u32>()));
        }
        let revoked: Vec<usize> = ring.numbers(team, |key| key.revoked.is_some());
        let number = if share < UNKNOWN_SHARE + REVOKED_SHARE && !revoked.is_empty() {
            revoked[random.random_range(0..revoked.len())]
        } else {
            // Each change leaves every team a key.
            ring.live(team).first().copied().unwrap_or(0)
        };
        drop(ring);
        (Some(number), key_text(number))
    }

    /// Records an answered call.
    pub(super) fn record(&self, call: KeyCall) {
        self.lock().calls.push(call);
    }

    /// Returns the histories of the keys and the calls.
    pub(super) fn finish(&self) -> (Vec<KeyHistory>, Vec<KeyCall>) {
        let mut ring = self.lock();
        (
            std::mem::take(&mut ring.keys),
            std::mem::take(&mut ring.calls),
        )
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ring {
    fn add(&mut self, team: usize) {
        self.keys.push(KeyHistory {
            team,
            added: Instant::now(),
            revoked: None,
        });
    }

    fn revoke(&mut self, numbers: &[usize]) {
        for &number in numbers {
            self.keys[number].revoked = Some(Instant::now());
        }
    }

    /// Returns the numbers of a team's keys that are in force, the oldest first.
    fn live(&self, team: usize) -> Vec<usize> {
        self.numbers(team, |key| key.revoked.is_none())
    }

    fn numbers(&self, team: usize, is_meant: impl Fn(&KeyHistory) -> bool) -> Vec<usize> {
        let keys = self.keys.iter().enumerate();
        keys.filter(|(_, key)| key.team == team && is_meant(key))
            .map(|(number, _)| number)
            .collect()
    }
}

/// Returns the service that the queue leads to, and another one if the site has one.
fn queue_target(names: &SiteNames, is_moved: bool) -> (&str, Option<&str>) {
    match names.other_service.as_deref() {
        Some(other) if is_moved => (other, Some(&names.service)),
        other => (&names.service, other),
    }
}

fn key_text(number: usize) -> String {
    format!("key-{number}-of-the-soak")
}

/// Returns the team of a job.
pub(super) const fn team_of_job(number: usize) -> usize {
    number % TEAMS
}
