//! Settings changes with separate entry processes: races, outages, lost log responses and the
//! replacement of entries.

use std::time::Duration;

use anyhow::Result;
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{ClientResponse, Site, TOKEN};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use serde_json::{Value, json};

/// Longest time until an accepted change is in force on every live entry.
const MAX_DELAY: Duration = Duration::from_secs(3);
/// Time limit of waits for conditions that have no limit of their own.
const MAX_WAIT: Duration = Duration::from_secs(20);

fn cores(count: u64) -> Value {
    json!({"worker": {"cores": count}})
}

fn document_cores(state: &Value) -> Option<u64> {
    state["fleet"]["settings"]["document"]["worker"]["cores"].as_u64()
}

fn version(state: &Value) -> u64 {
    state["settings_version"].as_u64().unwrap_or_default()
}

fn body_text(response: &ClientResponse) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}

async fn settings_status(site: &Site, entry: usize) -> Result<Value> {
    let address = site.entries[entry].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{address}/v1/settings/in-force"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    Ok(serde_json::from_slice(
        &site.client.send(request).await?.body,
    )?)
}

#[tokio::test]
async fn racing_change_rejected() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    let (left_patch, right_patch) = (cores(11), cores(12));
    let (left, right) = tokio::join!(
        site.change_settings(0, "ana", Some(1), &left_patch),
        site.change_settings(1, "bea", Some(1), &right_patch),
    );
    let (left, right) = (left?, right?);
    let (winner, winning_cores, loser) = if left.status == 204 {
        ("ana", 11, right)
    } else {
        ("bea", 12, left)
    };
    assert_eq!(loser.status, 409, "{}", body_text(&loser));
    assert!(body_text(&loser).contains(winner), "{}", body_text(&loser));
    assert!(
        body_text(&loser).contains("try again"),
        "{}",
        body_text(&loser)
    );
    for entry in 0..2 {
        site.wait_state(entry, MAX_DELAY, |state| {
            version(state) == 2 && document_cores(state) == Some(winning_cores)
        })
        .await?;
    }
    Ok(())
}

/// The status of the settings lists a paused member as lagging until it has the change in force.
#[tokio::test]
async fn lagging_member_listed() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    site.entries[2].pause()?;
    let accepted = site.change_settings(0, "ana", None, &cores(6)).await?;
    assert_eq!(accepted.status, 204, "{}", body_text(&accepted));
    let in_force = settings_status(&site, 0).await?;
    assert_eq!(in_force["version"], 2);
    let members = in_force["members"].as_array().expect("members are listed");
    let lagging: Vec<&Value> = members
        .iter()
        .filter(|member| member["settings_version"] != 2)
        .map(|member| &member["entry"])
        .collect();
    assert!(lagging.contains(&&json!("e3")), "{in_force}");
    site.entries[2].resume()?;
    let start = std::time::Instant::now();
    while settings_status(&site, 0).await?["everywhere"] != true {
        assert!(start.elapsed() < MAX_WAIT, "e3 never caught up");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

#[tokio::test]
async fn invalid_change_rejected() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    let invalid = json!({"services": {"checks": {"pool": "nowhere"}}});
    let rejected = site.change_settings(0, "ana", None, &invalid).await?;
    assert_eq!(rejected.status, 409, "{}", body_text(&rejected));
    assert!(
        body_text(&rejected).contains("nowhere"),
        "{}",
        body_text(&rejected)
    );
    let state = site.state(1).await?;
    assert_eq!(version(&state), 1);
    Ok(())
}

/// The settings that a new entry is started with don't replace those in force.
#[tokio::test]
async fn start_settings_ignored() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let accepted = site.change_settings(0, "ana", None, &cores(6)).await?;
    assert_eq!(accepted.status, 204);
    site.start_entry_with("e3", &cores(99))?;
    site.wait_ready(2).await?;
    for entry in 0..3 {
        let state = site.state(entry).await?;
        assert_eq!((version(&state), document_cores(&state)), (2, Some(6)));
    }
    Ok(())
}

#[tokio::test]
async fn outage_rejects_changes() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let accepted = site.change_settings(0, "ana", None, &cores(6)).await?;
    assert_eq!(accepted.status, 204);
    site.set_log_fault(LogFault::Down).await?;
    let rejected = site.change_settings(1, "bea", None, &cores(7)).await?;
    assert_eq!(rejected.status, 503, "{}", body_text(&rejected));
    assert!(body_text(&rejected).contains("nothing was changed"));
    assert!(rejected.retry_after_s.is_some());
    site.set_log_fault(LogFault::None).await?;
    for entry in 0..3 {
        site.wait_state(entry, MAX_WAIT, |state| {
            state["log_reached"] == true && document_cores(state) == Some(6)
        })
        .await?;
    }
    let mut accepted = site.change_settings(2, "ana", None, &cores(8)).await?;
    if accepted.status == 503 {
        tokio::time::sleep(MAX_DELAY).await;
        accepted = site.change_settings(2, "ana", None, &cores(8)).await?;
    }
    assert_eq!(accepted.status, 204, "{}", body_text(&accepted));
    for entry in 0..3 {
        site.wait_state(entry, MAX_DELAY, |state| document_cores(state) == Some(8))
            .await?;
        assert_eq!(version(&site.state(entry).await?), 3);
    }
    Ok(())
}

/// The reported result of a change matches the log when the log's responses are lost or late.
#[rstest]
#[case::lost(LogFault::LoseResponses)]
#[case::slow(LogFault::Slow { delay_ms: 2_000 })]
#[tokio::test]
async fn result_matches_log(#[case] fault: LogFault) -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    site.set_log_fault(fault).await?;
    let response = site.change_settings(0, "ana", Some(1), &cores(9)).await?;
    site.set_log_fault(LogFault::None).await?;
    for entry in 0..2 {
        site.wait_state(entry, MAX_WAIT, |state| {
            state["log_reached"] == true && state["pending_records"] == 0
        })
        .await?;
    }
    let state = site.state(0).await?;
    match response.status {
        204 => assert_eq!((version(&state), document_cores(&state)), (2, Some(9))),
        503 => assert_eq!(version(&state), 1, "the rejected change took effect"),
        504 => assert!(version(&state) <= 2),
        status => panic!("{status}: {}", body_text(&response)),
    }
    if fault == LogFault::LoseResponses {
        assert_eq!(response.status, 204, "the fold shows the change");
    }
    let next = site
        .change_settings(1, "ana", Some(version(&state)), &cores(10))
        .await?;
    assert_eq!(next.status, 204, "{}", body_text(&next));
    Ok(())
}

/// Replacing all entries one after the other keeps the settings and runs each call once.
#[tokio::test]
async fn replacement_keeps_settings() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    for round in 0..3 {
        let count = 20 + round;
        let accepted = site.change_settings(1, "ana", None, &cores(count)).await?;
        assert_eq!(accepted.status, 204, "{}", body_text(&accepted));
        site.start_entry(&format!("e{}", 4 + round))?;
        site.entries[0].terminate()?;
        for number in 0..20 {
            let entry = 1 + number % 2;
            let call_id = format!("call-{round}-{number}");
            let response = site.call(entry, "checks", &call_id).await?;
            assert_eq!(response.outcome, "answered", "{call_id}");
        }
        drop(site.entries.remove(0));
        site.wait_ready(2).await?;
        for entry in 0..3 {
            site.wait_state(entry, MAX_DELAY, |state| {
                version(state) == round + 2 && document_cores(state) == Some(count)
            })
            .await?;
        }
    }
    let runs = site.runs_by_call().await;
    assert_eq!(runs.len(), 60);
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    Ok(())
}
