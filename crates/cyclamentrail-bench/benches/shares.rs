//! Times a placement pass and a submission in a full pool, with teams and without; the times have no
//! bounds.

#![expect(
    missing_docs,
    reason = "the macro of criterion makes a public function"
)]

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cyclamentrail_core::{JobId, RouteName, ServiceName, TeamName, WorkerId, ZoneName};
use cyclamentrail_jobs::{
    CallerId, JobSpec, Now, Resources, RouteConfig, Shard, ShardTiming, StepSpec, Submission,
    TeamConfig, WorkerRegistration,
};

const NOW: Now = Now {
    boot_ms: 1_000,
    unix_ms: 1_700_000_000_000,
};
/// Route whose jobs are accepted however long they wait.
const PATIENT: &str = "patient";
/// Route whose jobs are rejected in a full pool.
const URGENT: &str = "urgent";
/// Number of jobs that wait for a worker.
const WAITING_JOBS: u64 = 2_000;
/// Tasks of a job; a worker has room for one job.
const TASKS: u32 = 4;

fn route(name: &str, target_latency_ms: u64) -> RouteConfig {
    RouteConfig {
        name: RouteName::from(name),
        service: ServiceName::from("service"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.0,
        target_latency_ms,
        advice: None,
    }
}

fn submission(id: &str, route: &str, team: u64, teams: u64) -> Submission {
    let step = StepSpec {
        count: TASKS,
        demand: Resources::new(8_000, 1_000, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    Submission {
        caller: CallerId(0),
        id: JobId::from(id),
        route: RouteName::from(route),
        team: (teams > 0).then(|| TeamName::from(format!("team-{}", team % teams.max(1)))),
        spec: Arc::new(JobSpec {
            text: Arc::from("work"),
            steps: vec![step],
            schedule: None,
        }),
    }
}

/// Returns a shard whose workers are full, with jobs of all teams that wait.
fn full_shard(workers: u64, teams: u64) -> Shard {
    let mut shard = Shard::new(ShardTiming::default());
    shard.set_routes([route(PATIENT, 1_000_000_000), route(URGENT, 0)]);
    shard.set_teams((0..teams).map(|team| TeamConfig {
        name: TeamName::from(format!("team-{team}")),
        weight: 1.0,
        cap: Resources::default(),
    }));
    for index in 0..workers {
        shard.register(
            NOW,
            WorkerRegistration {
                id: WorkerId::from(format!("w{index}")),
                started_ms: 1,
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                zone: ZoneName::from("z"),
                service: ServiceName::from("service"),
                capacity: Resources::new(32_000, 131_072, 0),
                labels: Vec::new(),
                is_draining: false,
                warmup_ms: 0,
                clock_ms: 0,
            },
        );
    }
    for index in 0..workers + WAITING_JOBS {
        shard.submit(NOW, submission(&index.to_string(), PATIENT, index, teams));
    }
    shard.advance(NOW);
    shard.take_ready();
    shard
}

fn shares(criterion: &mut Criterion) {
    for (workers, teams) in [
        (70, 0),
        (70, 20),
        (349, 0),
        (349, 20),
        (1_400, 0),
        (1_400, 570),
    ] {
        let mut shard = full_shard(workers, teams);
        let size = format!("{workers} workers, {teams} teams");
        let mut pass = criterion.benchmark_group("pass");
        pass.bench_function(BenchmarkId::from_parameter(&size), |bencher| {
            bencher.iter(|| {
                shard.advance(NOW);
                black_box(shard.take_ready())
            });
        });
        pass.finish();
        let mut submit = criterion.benchmark_group("submit");
        let rejected = submission("rejected", URGENT, 0, teams);
        submit.bench_function(BenchmarkId::from_parameter(&size), |bencher| {
            bencher.iter(|| {
                shard.submit(NOW, rejected.clone());
                black_box(shard.take_ready())
            });
        });
        submit.finish();
    }
}

criterion_group!(benches, shares);
criterion_main!(benches);
