//! Several shards with workers of their own that share the cap of one team, over a network that loses
//! replies, while owners and the ledger are replaced.

use std::collections::BTreeMap;

use cyclamentrail_core::{JobId, ServiceName, TeamName};
use cyclamentrail_jobs::{Ledger, QuotaReport, Resources, Shard, TeamConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::world::{Simulation, job};

const SHARDS: usize = 4;
const CAP_MILLI: u64 = 20_000;
/// Time between two reports of a shard, in milliseconds.
const REPORT_MS: u64 = 250;
/// Number of parts of this time after each of which the placed tasks are counted.
const SLICES: u64 = 5;
/// Longest time that a job of a team under half of its cap may wait, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;

/// A shard with the fencing token of its owner.
struct Site {
    sim: Simulation,
    owner: u64,
}

/// Shards that share a ledger.
struct Sites {
    random: ChaCha8Rng,
    shards: Vec<Site>,
    ledgers: Vec<Ledger>,
    token: u64,
    /// Share of the reports whose reply is lost.
    loss: f64,
    /// Processors of the tasks, in thousandths of a core.
    sizes_milli: &'static [u64],
    /// Cap in each version of the configuration, in thousandths of a core; 0 while the team is removed.
    caps_milli: Vec<u64>,
    /// Version that each shard applies.
    applied: [usize; SHARDS],
    /// Version that the newest ledger applies.
    ledger_version: usize,
    next_job: u64,
    /// Time since which the first waiting job of each shard should have run, in milliseconds.
    owed_ms: BTreeMap<usize, (JobId, u64)>,
}

/// Returns the configured teams; with a cap of 0 there are none.
fn teams(cap_milli: u64) -> Option<TeamConfig> {
    (cap_milli > 0).then(|| TeamConfig {
        name: TeamName::from("a"),
        weight: 1.0,
        cap: Resources::new(cap_milli, 0, 0),
    })
}

fn service(index: usize) -> ServiceName {
    ServiceName::from(format!("s{index}"))
}

impl Sites {
    fn new(seed: u64, loss: f64, sizes_milli: &'static [u64]) -> Self {
        let mut sites = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            shards: Vec::new(),
            ledgers: Vec::new(),
            token: 0,
            loss,
            sizes_milli,
            caps_milli: vec![CAP_MILLI],
            applied: [0; SHARDS],
            ledger_version: 0,
            next_job: 0,
            owed_ms: BTreeMap::new(),
        };
        for _ in 0..SHARDS {
            let sim = Simulation::new(2, Resources::new(32_000, 131_072, 0));
            sites.shards.push(Site { sim, owner: 1 });
        }
        for index in 0..SHARDS {
            sites.configure(index);
        }
        sites.replace_ledger();
        sites
    }

    fn configure(&mut self, index: usize) {
        let ledger = self.ledgers.last().map_or(0, Ledger::token);
        let shard = &mut self.shards[index].sim.shard;
        shard.set_teams(teams(self.caps_milli[self.applied[index]]));
        shard.set_service_count(SHARDS);
        shard.ignore_earlier_ledgers(ledger);
    }

    fn replace_ledger(&mut self) {
        self.token += 1;
        let mut ledger = Ledger::new(self.token);
        ledger.configure(
            (0..SHARDS).map(service),
            teams(self.caps_milli[self.ledger_version]).as_ref(),
        );
        for (index, site) in self.shards.iter().enumerate() {
            ledger.ignore_earlier_owners(service(index), site.owner);
        }
        self.ledgers.push(ledger);
    }

    fn replace_owner(&mut self, index: usize) {
        self.token += 1;
        self.shards[index].owner = self.token;
        self.shards[index].sim.take_over(0);
        self.configure(index);
    }

    fn report(&mut self, index: usize) {
        let Some(ledger) = self.ledgers.last_mut() else {
            return;
        };
        let site = &mut self.shards[index];
        let now = site.sim.now();
        let report: Option<QuotaReport> =
            site.sim
                .shard
                .begin_quota_report(now, &service(index), site.owner, ledger.token());
        if let Some(report) = report {
            let reply = ledger.handle_report(&report);
            let reply = reply.filter(|_| !self.random.random_bool(self.loss));
            site.sim
                .shard
                .finish_quota_report(report.sequence, reply.as_ref());
        }
    }

    /// Submits a job of some tasks to a shard, unless it has much to do.
    fn submit(&mut self, index: usize) {
        if self.shards[index]
            .sim
            .shard
            .jobs()
            .filter(|job| job.ended_ms.is_none())
            .count()
            > 6
        {
            return;
        }
        let cpu_milli = self.sizes_milli[self.random.random_range(0..self.sizes_milli.len())];
        let count = self.random.random_range(1..5);
        let run_ms = self.random.random_range(100..4_000);
        self.next_job += 1;
        let id = format!("{:016x}", self.next_job);
        self.shards[index]
            .sim
            .submit_for(Some("a"), &id, job(count, cpu_milli, run_ms));
    }

    /// Returns the processors that the team's runs take on all workers, in thousandths of a core.
    fn running_milli(&self) -> u64 {
        let workers = self
            .shards
            .iter()
            .flat_map(|site| site.sim.workers.values());
        let runs = workers.flat_map(|worker| &worker.running);
        runs.map(|run| run.demand.cpu_milli).sum()
    }

    /// Returns the processors that the placed tasks take, also those that are starting or stopping, in
    /// thousandths of a core.
    fn placed_milli(&self) -> u64 {
        let shards = self.shards.iter().map(|site| &site.sim.shard);
        let workers = shards.flat_map(Shard::workers);
        workers.map(|worker| worker.used_capacity.cpu_milli).sum()
    }

    /// Lets every shard submit, report and run for a while. Checks that no shard has raised what runs
    /// above the highest cap that is in force anywhere.
    fn step(&mut self) {
        for index in 0..SHARDS {
            if self.random.random_bool(0.25) {
                self.submit(index);
            }
            self.report(index);
            for _ in 0..SLICES {
                let before = self.placed_milli();
                self.shards[index].sim.run_for(REPORT_MS / SLICES);
                let placed = self.placed_milli();
                assert!(
                    placed <= before || placed <= self.allowed_milli(),
                    "{before} to {placed} of {} milli in shard {index}",
                    self.allowed_milli()
                );
            }
        }
    }

    /// Returns the most that may run after a start, in thousandths of a core: the highest cap since the
    /// oldest version that a shard applies, because each of these versions may be in force. One task
    /// may exceed the cap only where tasks are larger than it.
    fn allowed_milli(&self) -> u64 {
        let oldest = self.applied.iter().copied().min().unwrap_or(0);
        let caps = self.caps_milli[oldest..].iter();
        let highest = caps.map(|&cap| if cap == 0 { u64::MAX } else { cap });
        let highest = highest.max().unwrap_or(u64::MAX);
        let largest_task = self.sizes_milli.iter().copied().max().unwrap_or(0);
        if largest_task > highest {
            highest + largest_task
        } else {
            highest
        }
    }

    /// Returns the cap in force if every shard applies the newest version.
    fn settled_milli(&self) -> Option<u64> {
        let newest = self.caps_milli.len() - 1;
        (self.applied == [newest; SHARDS]).then(|| self.caps_milli[newest])
    }

    /// Changes the configuration now and then, which the shards and the ledger learn of at different
    /// times.
    fn change_cap(&mut self) {
        if self.random.random_bool(0.04) {
            let caps = [0, CAP_MILLI / 3, CAP_MILLI / 2, CAP_MILLI, CAP_MILLI * 2];
            let cap = caps[self.random.random_range(0..caps.len())];
            self.caps_milli.push(cap);
        }
        let newest = self.caps_milli.len() - 1;
        for index in 0..SHARDS {
            if self.applied[index] != newest && self.random.random_bool(0.3) {
                self.applied[index] = newest;
                let teams = teams(self.caps_milli[newest]);
                self.shards[index].sim.shard.set_teams(teams);
            }
        }
        if self.ledger_version != newest && self.random.random_bool(0.3) {
            self.ledger_version = newest;
            if let Some(ledger) = self.ledgers.last_mut() {
                let teams = teams(self.caps_milli[newest]);
                ledger.configure((0..SHARDS).map(service), teams.as_ref());
            }
        }
    }

    /// Checks that no job has waited too long with nothing running while its team used less than half
    /// of its cap all the time.
    fn check_owed(&mut self, now_ms: u64) {
        let is_under_half = self.running_milli() * 2 < CAP_MILLI;
        for index in 0..SHARDS {
            let shard = &self.shards[index].sim.shard;
            let waiting = shard
                .jobs()
                .filter(|job| job.ended_ms.is_none() && !job.has_placements())
                .min_by_key(|job| (job.accepted_ms, job.id.clone()))
                .filter(|_| is_under_half)
                .map(|job| job.id.clone());
            let Some(id) = waiting else {
                self.owed_ms.remove(&index);
                continue;
            };
            let since = match self.owed_ms.get(&index) {
                Some((known, since)) if *known == id => *since,
                _ => now_ms,
            };
            assert!(now_ms - since < MAX_WAIT_MS, "{id} waits in shard {index}");
            self.owed_ms.insert(index, (id, since));
        }
    }
}

/// Sizes of tasks that fit into the cap.
const FITTING_MILLI: &[u64] = &[500, 1_000, 3_000, 9_000];
/// Sizes of tasks of which one is larger than the cap.
const OVERSIZE_MILLI: &[u64] = &[500, 1_000, 3_000, 9_000, 24_000];

/// Guards against runs above the cap while messages get lost and owners and ledgers are replaced.
#[rstest]
fn cap_holds(
    #[values(FITTING_MILLI, OVERSIZE_MILLI)] sizes_milli: &'static [u64],
    #[values(11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut sites = Sites::new(seed, 0.2, sizes_milli);
    let mut most = 0;
    for _ in 0..320 {
        sites.step();
        assert!(sites.running_milli() <= sites.allowed_milli());
        most = most.max(sites.running_milli());
        if sites.random.random_bool(0.02) {
            sites.replace_ledger();
        }
        if sites.random.random_bool(0.03) {
            let index = sites.random.random_range(0..SHARDS);
            sites.replace_owner(index);
        }
    }
    assert!(most > CAP_MILLI / 2, "loans were in use: {most}");
}

/// Guards against starts above a cap that is lowered, raised, removed or returned, while the shards
/// and the ledger learn of it at different times, messages get lost and ledgers are replaced.
#[rstest]
fn changed_cap_holds(#[values(31, 32, 33, 34, 35, 36, 37, 38)] seed: u64) {
    let mut sites = Sites::new(seed, 0.2, &[500, 1_000, 3_000, 6_000]);
    let mut has_lent = false;
    for _ in 0..640 {
        sites.step();
        sites.change_cap();
        let cap = sites.settled_milli().filter(|&cap| cap > 0);
        has_lent |= cap.is_some_and(|cap| {
            let running = sites.running_milli();
            running * 2 > cap && running <= cap
        });
        if sites.random.random_bool(0.02) {
            sites.replace_ledger();
        }
    }
    assert!(has_lent, "loans were in use under a changed cap");
}

/// Guards against jobs that wait though their team is far below its cap, while all shards reach the
/// ledger.
#[rstest]
fn under_half_starts(#[values(21, 22, 23, 24, 25, 26)] seed: u64) {
    let mut sites = Sites::new(seed, 0.0, &[500, 1_000, 3_000, 5_000]);
    for step in 0..320 {
        sites.step();
        sites.check_owed(step * REPORT_MS);
    }
}
