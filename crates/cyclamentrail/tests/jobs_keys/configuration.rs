//! Configurations of teams: large, faulty, unreadable or cut off ones.

use anyhow::{Result, ensure};
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE, JobClient, JobStore, put_team_configuration};
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

use super::{APPLY_TIME, REVOKE_TIME, client, list, readiness, submit, team_site};

/// A configuration of the design size is in force in time at a process that runs and at one that
/// starts.
#[tokio::test]
async fn large_configuration_applied() -> Result<()> {
    let mut site = team_site(1).await?;
    put_large_configuration(&site.store, 5);
    tokio::time::sleep(APPLY_TIME).await;
    let large = client("key-569-3");
    ensure!(list(&large, site.processes[0].1).await? == StatusCode::OK);
    site.add_process("n1")?;
    tokio::time::sleep(APPLY_TIME).await;
    ensure!(list(&large, site.processes[1].1).await? == StatusCode::OK);
    ensure!(list(&client("red-1"), site.processes[1].1).await? == StatusCode::UNAUTHORIZED);
    Ok(())
}

/// Writes a configuration of 1,400 routes to one service, and 570 teams of four keys each.
fn put_large_configuration(store: &JobStore, version: u64) {
    let route = |number: u32| {
        json!({
            "Name": format!("route-{number}"), "Host": JOB_HOST, "Service": JOB_SERVICE,
            "PathPrefix": if number == 0 { String::from("/q/") } else { format!("/q{number}/") },
            "Priority": 0, "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3,
            "Stretch": 2.0, "Public": false,
        })
    };
    let team = |number: u32| {
        let keys: Vec<String> = (0..4).map(|key| format!("key-{number}-{key}")).collect();
        json!({
            "Name": format!("team-{number}"), "ApiKeys": keys, "Weight": 3,
            "Cap": {"Cpu": 64_000, "MemMb": 131_072, "Gpu": 0},
        })
    };
    let configuration = json!({
        "Version": version,
        "Routes": (0..1_400).map(route).collect::<Vec<Value>>(),
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
        "Tenants": (0..570).map(team).collect::<Vec<Value>>(),
    });
    store.put("keyed.op", "config", &configuration);
}

/// A newest configuration that can't be decoded may have revoked any key: the one before must not
/// count as confirmed. It does again once a configuration can be decoded, also one of its version.
#[rstest]
#[case::not_object(json!("Version 5"))]
#[case::no_list_of_teams(json!({"Version": 5, "Routes": [], "Tenants": {"red": []}}))]
#[case::deleted(Value::Null)]
#[tokio::test]
async fn unreadable_configuration_unconfirmed(#[case] unreadable: Value) -> Result<()> {
    let site = team_site(1).await?;
    let address = site.processes[0].1;
    site.store.put("keyed.op", "config", &unreadable);
    tokio::time::sleep(REVOKE_TIME).await;
    for key in ["red-1", "blue-1", "never"] {
        let status = list(&client(key), address).await?;
        ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{key}: {status}");
    }
    ensure!(readiness(address).await? == StatusCode::SERVICE_UNAVAILABLE);
    let public = JobClient::new().path_prefix("/open/");
    ensure!(list(&public, address).await? == StatusCode::OK);
    put_team_configuration(&site.store, 4, &[("red", &["red-1"])]);
    tokio::time::sleep(APPLY_TIME).await;
    ensure!(list(&client("red-1"), address).await? == StatusCode::OK);
    ensure!(list(&client("blue-1"), address).await? == StatusCode::UNAUTHORIZED);
    ensure!(readiness(address).await? == StatusCode::OK);
    Ok(())
}

/// Faulty entries of the routes and services must not keep the revocations of their configuration
/// from being in force, nor its other routes.
#[tokio::test]
async fn faulty_entries_left_out() -> Result<()> {
    let site = team_site(1).await?;
    let address = site.processes[0].1;
    let configuration = json!({
        "Version": 5,
        "Routes": [
            {"Name": "late", "Host": JOB_HOST, "PathPrefix": "/late/", "TimeoutMs": "soon"},
            7,
            {"Name": "r", "Host": JOB_HOST, "PathPrefix": "/q/", "Service": JOB_SERVICE,
                "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3, "Stretch": 2.0},
        ],
        "Services": [{"Name": JOB_SERVICE, "Standby": "no"}, {"Standby": true}],
        "Tenants": [{"Name": "blue", "ApiKeys": ["blue-1"], "Weight": 1}],
    });
    site.store.put("keyed.op", "config", &configuration);
    tokio::time::sleep(APPLY_TIME).await;
    ensure!(list(&client("red-1"), address).await? == StatusCode::UNAUTHORIZED);
    ensure!(list(&client("blue-1"), address).await? == StatusCode::OK);
    Ok(())
}

/// A newer record that keeps the version and takes a key away must not be passed over.
#[tokio::test]
async fn same_version_applied() -> Result<()> {
    let site = team_site(1).await?;
    let address = site.processes[0].1;
    put_team_configuration(&site.store, 4, &[("red", &["red-9"])]);
    tokio::time::sleep(APPLY_TIME).await;
    ensure!(list(&client("red-1"), address).await? == StatusCode::UNAUTHORIZED);
    ensure!(list(&client("red-9"), address).await? == StatusCode::OK);
    Ok(())
}

/// A configuration whose teams are all faulty must not open the jobs of teams to callers of public
/// routes; one without teams does, since nobody could prove a team any more.
#[rstest]
#[case::faulty(json!([7]), StatusCode::FORBIDDEN)]
#[case::none(json!([]), StatusCode::OK)]
#[tokio::test]
async fn jobs_without_usable_teams(
    #[case] teams: Value,
    #[case] expected: StatusCode,
) -> Result<()> {
    let site = team_site(1).await?;
    let address = site.processes[0].1;
    let id = "00000000000000f1";
    submit(&client("red-1"), address, id).await?;
    let configuration = json!({
        "Version": 5,
        "Routes": [{"Name": "open", "Host": JOB_HOST, "PathPrefix": "/open/", "Public": true,
            "Service": JOB_SERVICE, "TimeoutMs": 3_000, "TargetLatencyMs": 600,
            "MaxAttempts": 3, "Stretch": 2.0}],
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
        "Tenants": teams,
    });
    site.store.put("keyed.op", "config", &configuration);
    tokio::time::sleep(APPLY_TIME).await;
    let public = JobClient::new().path_prefix("/open/");
    for method in [Method::GET, Method::DELETE] {
        let call = public.call(address, method.clone(), id, String::new());
        let (status, _) = call.await?;
        ensure!(status == expected, "{method}: {status}");
    }
    Ok(())
}

/// Reads that are cut off before their first record must not confirm the configuration, and must not
/// keep a revocation from the process for good.
#[tokio::test]
async fn cut_off_read_repeated() -> Result<()> {
    let site = team_site(1).await?;
    let address = site.processes[0].1;
    site.store.set_cut_off("keyed.op", true);
    put_team_configuration(&site.store, 5, &[("blue", &["blue-1"])]);
    tokio::time::sleep(APPLY_TIME).await;
    ensure!(list(&client("red-1"), address).await? == StatusCode::UNAUTHORIZED);
    ensure!(list(&client("blue-1"), address).await? == StatusCode::OK);
    tokio::time::sleep(REVOKE_TIME).await;
    ensure!(list(&client("blue-1"), address).await? == StatusCode::OK);
    Ok(())
}
