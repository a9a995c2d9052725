//! Tests with several teams in a pool that is full, each beside a plain queue that serves the same
//! arrivals in their order.

use std::collections::{BTreeMap, BinaryHeap};

use cyclamentrail_core::TeamName;
use cyclamentrail_jobs::{
    CallerReply, Decision, MAX_NAMED_TEAMS, OTHER_TEAMS, Resources, TeamConfig, TeamLabels,
    TeamStatus, largest_teams,
};
use rstest::rstest;

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const WORKERS: u64 = 4;
/// Number of tasks of [`TASK_CPU_MILLI`] that run at once.
const SLOTS: usize = 4 * 17;
const TASK_CPU_MILLI: u64 = 1_800;
/// Tasks of a job; the pool does 17 jobs a second.
const TASKS: u32 = 4;
const TASK_MS: u64 = 1_000;
/// Time within which a job is on time: `1.6 x TASK_MS + 600`.
const OBJECTIVE_MS: u64 = 2_200;

/// Jobs that a team sends at even intervals.
struct Sender {
    team: String,
    weight: f64,
    jobs_per_s: f64,
    from_ms: u64,
    until_ms: u64,
}

/// Submitted job: time, team and id.
type Arrival = (u64, String, String);

/// What became of a team's jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    sent: u32,
    accepted: u32,
    on_time: u32,
    /// Jobs on time that a plain queue would have, which accepts all and serves in order of arrival.
    on_time_in_queue: u32,
}

fn sender(team: impl Into<String>, weight: f64, jobs_per_s: f64) -> Sender {
    Sender {
        team: team.into(),
        weight,
        jobs_per_s,
        from_ms: 0,
        until_ms: 8_000,
    }
}

/// Returns teams of weight 0.8 that send half of it each.
fn small_teams(count: usize) -> impl Iterator<Item = Sender> {
    (0..count).map(|index| sender(format!("small{index}"), 0.8, 0.4))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the times of a test are small"
)]
fn arrivals(senders: &[Sender]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (number, sender) in senders.iter().enumerate() {
        let interval_ms = 1_000.0 / sender.jobs_per_s;
        // The teams don't send at the same moments.
        let offset_ms = interval_ms * number as f64 / senders.len() as f64;
        for index in 0_u32.. {
            let at_ms = sender.from_ms + (offset_ms + interval_ms * f64::from(index)) as u64;
            if at_ms >= sender.until_ms {
                break;
            }
            let id = format!("{}-{index}", sender.team);
            arrivals.push((at_ms, sender.team.clone(), id));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn configure(sim: &mut Simulation, senders: &[Sender]) {
    let teams = senders.iter().map(|sender| TeamConfig {
        name: TeamName::from(sender.team.as_str()),
        weight: sender.weight,
        cap: Resources::default(),
    });
    sim.shard.set_teams(teams);
}

/// Submits the arrivals and returns the count of each team.
fn play(sim: &mut Simulation, arrivals: &[Arrival]) -> BTreeMap<String, Count> {
    let mut counts: BTreeMap<String, Count> = BTreeMap::new();
    let mut callers = Vec::new();
    let mut teams = BTreeMap::new();
    let start_ms = sim.now().boot_ms;
    for (at_ms, team, id) in arrivals {
        sim.run_for((start_ms + at_ms).saturating_sub(sim.now().boot_ms));
        let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS);
        callers.push((team, sim.submit_for(Some(team), id, spec)));
        teams.insert(id.clone(), team);
        counts.entry(team.clone()).or_default().sent += 1;
    }
    sim.run_for(30_000);
    for (team, caller) in callers {
        if sim.replies[&caller] == CallerReply::Accepted {
            counts.entry(team.clone()).or_default().accepted += 1;
        }
    }
    for decision in &sim.decisions {
        if let Decision::JobFinal { job, took_ms, .. } = decision
            && *took_ms <= OBJECTIVE_MS
        {
            let team = teams[job.as_str()];
            counts.entry(team.clone()).or_default().on_time += 1;
        }
    }
    for (team, count) in on_time_in_queue(arrivals) {
        counts.entry(team).or_default().on_time_in_queue = count;
    }
    counts
}

/// Plays the arrivals through a queue without admission that starts tasks in order of arrival;
/// returns the number of jobs on time by team.
fn on_time_in_queue(arrivals: &[Arrival]) -> BTreeMap<String, u32> {
    let mut free_at: BinaryHeap<std::cmp::Reverse<u64>> =
        (0..SLOTS).map(|_| std::cmp::Reverse(0)).collect();
    let mut on_time: BTreeMap<String, u32> = BTreeMap::new();
    for (at_ms, team, _) in arrivals {
        let mut end_ms = 0;
        for _ in 0..TASKS {
            let std::cmp::Reverse(free_ms) = free_at.pop().expect("slots don't vanish");
            end_ms = free_ms.max(*at_ms) + TASK_MS;
            free_at.push(std::cmp::Reverse(end_ms));
        }
        *on_time.entry(team.clone()).or_default() += u32::from(end_ms - at_ms <= OBJECTIVE_MS);
    }
    on_time
}

/// Plays the arrivals of the senders with teams and without; prints both beside the queue.
fn compare(title: &str, senders: &[Sender]) -> (BTreeMap<String, Count>, BTreeMap<String, Count>) {
    let arrivals = arrivals(senders);
    let mut sim = Simulation::new(WORKERS, WORKER);
    configure(&mut sim, senders);
    let shared = play(&mut sim, &arrivals);
    let mut sim = Simulation::new(WORKERS, WORKER);
    let without_teams = play(&mut sim, &arrivals);
    println!("{title}: team, sent, accepted, on time | on time without teams | in a queue");
    for (team, count) in &shared {
        println!(
            "{team:>10} {:>4} {:>4} {:>4} | {:>4} | {:>4}",
            count.sent,
            count.accepted,
            count.on_time,
            without_teams[team].on_time,
            count.on_time_in_queue
        );
    }
    (shared, without_teams)
}

/// Adds up the counts of the teams whose name begins with `prefix`.
fn total(counts: &BTreeMap<String, Count>, prefix: &str) -> Count {
    let chosen = counts.iter().filter(|(team, _)| team.starts_with(prefix));
    chosen.fold(Count::default(), |sum, (_, count)| Count {
        sent: sum.sent + count.sent,
        accepted: sum.accepted + count.accepted,
        on_time: sum.on_time + count.on_time,
        on_time_in_queue: sum.on_time_in_queue + count.on_time_in_queue,
    })
}

/// One team sends 40 jobs a second, nineteen send 8 together: the small teams are served as on a
/// calm day. With weights of 50, all jobs are within the teams' rates, and the shares alone decide.
#[rstest]
#[case(0.8)]
#[case(50.0)]
fn hot_team_yields(#[case] weight: f64) {
    let mut senders: Vec<Sender> = small_teams(19).chain([sender("hot", 0.8, 40.0)]).collect();
    for sender in &mut senders {
        sender.weight = weight;
    }
    let (shared, without_teams) = compare("one hot team", &senders);
    let (small, hot) = (total(&shared, "small"), total(&shared, "hot"));
    assert_eq!(small.accepted, small.sent);
    assert_eq!(small.on_time, small.sent);
    assert!(small.on_time_in_queue * 2 < small.sent);
    assert!(total(&without_teams, "small").on_time * 2 < small.sent);
    assert!(
        hot.on_time > 40,
        "the others leave half of the pool: {hot:?}"
    );
}

/// Two teams send three times what the pool does; eighteen others are served as on a calm day, and the
/// two share the rest evenly.
#[test]
fn two_hot_teams_share() {
    let hot = ["hot-a", "hot-b"].map(|team| sender(team, 0.8, 25.0));
    let senders: Vec<Sender> = small_teams(18).chain(hot).collect();
    let (shared, _) = compare("two hot teams", &senders);
    let small = total(&shared, "small");
    assert_eq!(small.on_time, small.sent);
    assert!(small.on_time_in_queue * 2 < small.sent);
    let (a, b) = (shared["hot-a"].on_time, shared["hot-b"].on_time);
    assert!(a.min(b) > 25 && a.max(b) < 2 * a.min(b), "{a} and {b}");
}

/// Twenty teams send six times their weights each, twice what the pool does: none is starved, and
/// more jobs are on time than in a queue, in which nearly all are late.
#[test]
fn all_over_share() {
    let senders: Vec<Sender> = (0..20)
        .map(|index| sender(format!("team{index}"), 0.3, 1.8))
        .collect();
    let (shared, without_teams) = compare("all teams over their shares", &senders);
    let all = total(&shared, "");
    assert!(all.on_time > 2 * all.on_time_in_queue);
    assert!(all.on_time * 10 >= total(&without_teams, "").on_time * 9);
    let fewest = shared.values().map(|count| count.on_time).min();
    assert!(fewest >= Some(4), "a team is starved: {fewest:?}");
}

/// A team with three times the weight of another has about three times as many jobs on time when
/// both send more than the pool does, whether their weights add up to the pool or to a quarter of it.
#[rstest]
#[case(4.0)]
#[case(1.0)]
fn weights_divide(#[case] weight: f64) {
    let mut senders = [
        sender("light", weight, 30.0),
        sender("heavy", 3.0 * weight, 30.0),
    ];
    // The first seconds' jobs fill the pool, and aren't rejected.
    for sender in &mut senders {
        sender.until_ms = 20_000;
    }
    let (shared, without_teams) = compare("weights 1:3", &senders);
    let (light, heavy) = (shared["light"].on_time, shared["heavy"].on_time);
    assert!(
        heavy * 10 >= light * 22 && heavy * 10 <= light * 40,
        "{light} and {heavy}"
    );
    let (light, heavy) = (
        without_teams["light"].on_time,
        without_teams["heavy"].on_time,
    );
    assert!(heavy < 2 * light, "{light} and {heavy} without teams");
}

/// Nineteen teams are configured and send nothing: the one that works gets the whole pool, far above
/// its weight.
#[test]
fn idle_teams_leave_share() {
    let mut senders: Vec<Sender> = small_teams(19).collect();
    for sender in &mut senders {
        sender.until_ms = 0;
    }
    senders.push(sender("alone", 0.8, 16.0));
    let (shared, _) = compare("one team at work", &senders);
    let alone = shared["alone"];
    assert_eq!(alone.on_time, alone.sent);
}

/// All teams send what they held back for a second at once, the hot one first and ten times as much
/// as the others together: the jobs of the others are still on time. They wait for the end of the
/// hot team's first tasks, which aren't stopped for them.
#[test]
fn outage_return() {
    let senders: Vec<Sender> = small_teams(19).chain([sender("hot", 0.8, 40.0)]).collect();
    let mut arrivals = arrivals(&senders);
    for arrival in arrivals.iter_mut().filter(|arrival| arrival.0 < 1_000) {
        arrival.0 = 1_000 + 40 * u64::from(arrival.1 != "hot");
    }
    arrivals
        .extend((0..80).map(|index| (1_000, String::from("hot"), format!("held-back-{index}"))));
    arrivals.sort_unstable();
    let mut sim = Simulation::new(WORKERS, WORKER);
    configure(&mut sim, &senders);
    let counts = play(&mut sim, &arrivals);
    let (small, hot) = (total(&counts, "small"), total(&counts, "hot"));
    println!("return after an outage: small {small:?}, hot {hot:?}");
    assert_eq!(small.on_time, small.sent);
    assert!(small.on_time_in_queue * 2 < small.sent);
    assert!(hot.accepted < hot.sent);
}

/// A shard without configured teams decides on jobs of teams exactly as on jobs without one.
#[test]
fn unchanged_without_teams() {
    let senders: Vec<Sender> = small_teams(19).chain([sender("hot", 0.8, 40.0)]).collect();
    let decisions = |with_names: bool| {
        let mut sim = Simulation::new(WORKERS, WORKER);
        for (at_ms, team, id) in arrivals(&senders) {
            sim.run_for((1_000 + at_ms).saturating_sub(sim.now().boot_ms));
            let team = with_names.then_some(team.as_str());
            sim.submit_for(team, &id, job(TASKS, TASK_CPU_MILLI, TASK_MS));
        }
        sim.run_for(10_000);
        sim.decisions
    };
    assert_eq!(decisions(true), decisions(false));
}

/// A new owner knows from the records what each team has placed: the next free slots go to the team
/// that has nothing, not to the one that fills the pool.
#[test]
fn takeover_keeps_shares() {
    let senders = [sender("hot", 100.0, 1.0), sender("small", 100.0, 1.0)];
    let mut sim = Simulation::new(WORKERS, WORKER);
    configure(&mut sim, &senders);
    for index in 0..17 {
        let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS + 200 * index);
        sim.submit_for(Some("hot"), &format!("running-{index}"), spec);
    }
    sim.run_for(100);
    for index in 0..12 {
        let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS);
        sim.submit_for(Some("hot"), &format!("waiting-{index}"), spec);
    }
    sim.run_for(100);
    sim.take_over(0);
    configure(&mut sim, &senders);
    assert_eq!(status(&sim, "hot").received_milli, 956);
    let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS);
    sim.submit_for(Some("small"), "small", spec);
    sim.run_for(8_000);
    let took = sim.decisions.iter().find_map(|decision| match decision {
        Decision::JobFinal { job, took_ms, .. } if job.as_str() == "small" => Some(*took_ms),
        _ => None,
    });
    assert!(took.is_some_and(|took_ms| took_ms < 2_300), "{took:?}");
}

/// A team's second job is over the team's small share, and late soon, while another team sends a
/// steady stream that fills the pool by itself: it mustn't wait for the end of the stream.
#[test]
fn over_share_not_starved() {
    let mut senders = [sender("stream", 50.0, 20.0), sender("once", 1.0, 1.0)];
    senders[0].until_ms = 30_000;
    let mut sim = Simulation::new(WORKERS, WORKER);
    configure(&mut sim, &senders);
    let arrivals = arrivals(&senders[..1]);
    for (at_ms, team, id) in &arrivals {
        sim.run_for((1_000 + at_ms).saturating_sub(sim.now().boot_ms));
        sim.submit_for(Some(team), id, job(TASKS, TASK_CPU_MILLI, TASK_MS));
        if id == "stream-60" {
            for index in 0..2 {
                let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS);
                sim.submit_for(Some("once"), &format!("once-{index}"), spec);
            }
        }
    }
    let ended: Vec<(String, u64)> = sim
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::JobFinal { job, took_ms, .. } if job.as_str().starts_with("once") => {
                Some((job.to_string(), *took_ms))
            }
            _ => None,
        })
        .collect();
    assert_eq!(ended.len(), 2, "{ended:?}");
    // The objective, 10 s past the deadline, a task of the stream that ends, and the job itself.
    let bound_ms = OBJECTIVE_MS + 10_000 + 2 * TASK_MS + 300;
    assert!(
        ended.iter().all(|(_, took_ms)| *took_ms < bound_ms),
        "{ended:?}"
    );
}

/// Returns the state of a team that is shown to operators.
fn status(sim: &Simulation, team: &str) -> TeamStatus {
    let statuses = sim.shard.team_statuses();
    let is_team = |status: &TeamStatus| {
        let name = status.team.as_ref();
        name.is_some_and(|name| name.as_str() == team)
    };
    statuses
        .into_iter()
        .find(is_team)
        .expect("the team is configured")
}

/// What operators are shown adds up: jobs by decision, waiting jobs, the part of the pool and of the cap;
/// all of it is free again once the jobs are done.
#[test]
fn statuses_add_up() {
    let mut sim = Simulation::new(WORKERS, WORKER);
    let team = |name: &str, weight: f64, cpu_milli: u64| TeamConfig {
        name: TeamName::from(name),
        weight,
        cap: Resources::new(cpu_milli, 0, 0),
    };
    sim.shard
        .set_teams([team("hot", 1.0, 1_024_000), team("idle", 3.0, 0)]);
    for index in 0..60 {
        let spec = job(TASKS, TASK_CPU_MILLI, TASK_MS);
        sim.submit_for(Some("hot"), &format!("{index}"), spec);
    }
    sim.run_for(200);
    let hot = status(&sim, "hot");
    assert_eq!(
        hot.accepted + hot.rejected_over_rate + hot.rejected_overload,
        60
    );
    assert!(hot.rejected_over_rate > 0, "{hot:?}");
    // 68 tasks of 1.8 of 128 cores, and of a cap of 1,024, a quarter of which needs no loan.
    assert_eq!(hot.received_milli, 956);
    assert_eq!(hot.cap_used_milli, Some(119));
    assert_eq!(hot.due_milli, 1_000);
    assert_eq!(hot.waiting_jobs, hot.accepted - 17);
    assert_eq!(status(&sim, "idle").due_milli, 0);
    assert_eq!(status(&sim, "idle").cap_used_milli, None);
    sim.run_for(20_000);
    let hot = status(&sim, "hot");
    assert_eq!(
        (hot.received_milli, hot.due_milli, hot.waiting_jobs),
        (0, 0, 0)
    );
}

/// Long-running tasks are outside of the shared pool: a team that runs them isn't over its share with
/// its other jobs.
#[test]
fn long_running_apart() {
    let mut sim = Simulation::new(WORKERS, WORKER);
    let senders = [sender("serving", 1.0, 1.0), sender("other", 1.0, 1.0)];
    configure(&mut sim, &senders);
    let mut serving = job(40, TASK_CPU_MILLI, TASK_MS);
    serving.steps[0].long_running = true;
    sim.submit_for(Some("serving"), "serving", serving);
    sim.run_for(200);
    sim.submit_for(Some("serving"), "batch", job(14, TASK_CPU_MILLI, TASK_MS));
    sim.run_for(200);
    let serving = status(&sim, "serving");
    assert_eq!(serving.due_milli, serving.received_milli);
    assert_eq!(serving.received_milli, 450);
}

/// With more teams than labels, the most active ones get them after a minute and keep them; the sum
/// under `other` holds the rest.
#[test]
fn labels_bounded() {
    let statuses: Vec<TeamStatus> = (0..570_u64)
        .map(|index| TeamStatus {
            team: Some(TeamName::from(format!("t{index}"))),
            accepted: index,
            ..TeamStatus::default()
        })
        .collect();
    let mut labels = TeamLabels::default();
    labels.assign(1_000, &statuses);
    assert_eq!(labels.sum(&statuses).len(), 1);
    labels.assign(61_000, &statuses);
    let sums = labels.sum(&statuses);
    assert_eq!(sums.len(), MAX_NAMED_TEAMS + 1);
    assert!(sums.contains_key("t569") && !sums.contains_key("t519"));
    assert_eq!(sums[OTHER_TEAMS].accepted, (0..520).sum::<u64>());
    let reversed: Vec<TeamStatus> = statuses
        .iter()
        .map(|status| TeamStatus {
            accepted: 1_000 - status.accepted,
            ..status.clone()
        })
        .collect();
    labels.assign(122_000, &reversed);
    assert!(labels.sum(&reversed).keys().eq(sums.keys()));
    assert_eq!(largest_teams(&statuses).len(), MAX_NAMED_TEAMS + 1);
}
