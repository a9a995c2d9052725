//! Jobs of teams: who may see, cancel and submit them again.

use cyclamentrail_core::TeamName;
use cyclamentrail_jobs::{CallerReply, JobState, Resources, TeamConfig};
use rstest::rstest;

use crate::world::{Simulation, job};

fn team(name: &str) -> TeamConfig {
    TeamConfig {
        name: TeamName::from(name),
        weight: 1.0,
        cap: Resources::default(),
    }
}

/// Creates a simulation of a deployment with two teams.
fn with_teams() -> Simulation {
    let mut sim = Simulation::new(2, Resources::new(4_000, 8_192, 0));
    sim.shard.set_teams([team("red"), team("blue")]);
    sim
}

/// A caller must not see, cancel or take over a job by naming its id.
#[rstest]
#[case::other_team(Some("blue"))]
#[case::public_route(None)]
fn job_of_team_closed(#[case] caller: Option<&str>) {
    let mut sim = with_teams();
    let accepted = sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    assert_eq!(sim.replies[&accepted], CallerReply::Accepted);
    let calls = [
        sim.ask_state_for(caller, "a"),
        sim.cancel_for(caller, "a"),
        sim.submit_for(caller, "a", job(1, 1_000, 5_000)),
    ];
    sim.run_for(100);
    for call in calls {
        assert_eq!(sim.replies[&call], CallerReply::OtherTeam);
    }
    assert_eq!(sim.state("a"), Some(JobState::Running));
}

/// The team itself must not be refused, also when it repeats a submission whose reply was lost.
#[test]
fn own_job_open() {
    let mut sim = with_teams();
    sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    let again = sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    let state = sim.ask_state_for(Some("red"), "a");
    let cancel = sim.cancel_for(Some("red"), "a");
    sim.run_for(100);
    assert_eq!(sim.replies[&again], CallerReply::Accepted);
    assert!(matches!(sim.replies[&state], CallerReply::State(_)));
    assert_eq!(sim.replies[&cancel], CallerReply::Cancelled);
}

/// Jobs that were accepted before there were teams must stay within reach of their callers.
#[rstest]
#[case::with_key(Some("red"))]
#[case::public_route(None)]
fn job_without_team_open(#[case] caller: Option<&str>) {
    let mut sim = with_teams();
    sim.submit_for(None, "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    let state = sim.ask_state_for(caller, "a");
    let cancel = sim.cancel_for(caller, "a");
    sim.run_for(100);
    assert!(matches!(sim.replies[&state], CallerReply::State(_)));
    assert_eq!(sim.replies[&cancel], CallerReply::Cancelled);
}

/// A configuration that takes all teams away asks for no key, so that nobody could prove a team.
#[test]
fn no_teams_left_open() {
    let mut sim = with_teams();
    sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    sim.shard.set_teams([]);
    sim.shard.set_needs_keys(false);
    let state = sim.ask_state_for(None, "a");
    sim.run_for(100);
    assert!(matches!(sim.replies[&state], CallerReply::State(_)));
}

/// A configuration whose teams are all faulty still asks for keys: callers of public routes, and keys
/// of other teams, must not get at the jobs of a team.
#[rstest]
#[case::other_team(Some("blue"))]
#[case::public_route(None)]
fn faulty_teams_closed(#[case] caller: Option<&str>) {
    let mut sim = with_teams();
    sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    sim.shard.set_teams([]);
    let state = sim.ask_state_for(caller, "a");
    let cancel = sim.cancel_for(caller, "a");
    let again = sim.submit_for(caller, "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    for call in [state, cancel, again] {
        assert_eq!(sim.replies[&call], CallerReply::OtherTeam);
    }
    assert_eq!(sim.state("a"), Some(JobState::Running));
}

/// The team of a job is durable: a new owner must not open the job to other teams.
#[test]
fn team_kept_at_takeover() {
    let mut sim = with_teams();
    sim.submit_for(Some("red"), "a", job(1, 1_000, 5_000));
    sim.run_for(100);
    sim.take_over(0);
    sim.shard.set_teams([team("red"), team("blue")]);
    sim.run_for(100);
    let other = sim.ask_state_for(Some("blue"), "a");
    let own = sim.ask_state_for(Some("red"), "a");
    sim.run_for(100);
    assert_eq!(sim.replies[&other], CallerReply::OtherTeam);
    assert!(matches!(sim.replies[&own], CallerReply::State(_)));
}
