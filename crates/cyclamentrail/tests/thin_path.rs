//! End-to-end requests through separate processes: callers, entries, backend servers and the
//! platform.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use cyclamentrail_testkit::{Site, TOKEN};
use serde_json::json;

#[tokio::test]
async fn calls_answered() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    for number in 0..20 {
        let call_id = format!("call-{number}");
        let response = site.call(number % 2, "checks", &call_id).await?;
        assert_eq!(
            (response.status, response.outcome.as_str()),
            (200, "answered")
        );
        assert_eq!(response.call_id, call_id);
        assert!(!response.body.is_empty());
    }
    let runs = site.runs_by_call().await;
    assert_eq!(runs.len(), 20);
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    Ok(())
}

#[tokio::test]
async fn kills_survived() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(6).start().await?;
    site.entries[0].kill()?;
    site.backends.get_mut("w01").expect("w01 runs").kill()?;
    let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..30 {
        let call_id = format!("call-{number}");
        let response = site.call(1 + number % 2, "checks", &call_id).await?;
        if response.outcome == "answered" {
            assert_eq!(response.call_id, call_id);
        }
        let runs = site
            .runs_by_call()
            .await
            .get(&call_id)
            .copied()
            .unwrap_or_default();
        let max_runs = u32::from(response.outcome != "not-run");
        assert!(
            runs <= max_runs,
            "{call_id} ran {runs} times and ended as {}",
            response.outcome
        );
        *outcomes.entry(response.outcome).or_default() += 1;
    }
    assert!(outcomes["answered"] >= 28, "{outcomes:?}");
    Ok(())
}

#[tokio::test]
async fn leaving_gets_no_requests() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    site.mark_leaving("w01").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = site.backend_report("w01").await?.runs.len();
    for number in 0..40 {
        let response = site
            .call(number % 2, "checks", &format!("call-{number}"))
            .await?;
        assert_eq!(response.outcome, "answered");
    }
    assert_eq!(site.backend_report("w01").await?.runs.len(), before);
    Ok(())
}

#[tokio::test]
async fn settings_change_routing() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    let change = json!({
        "operator": "test",
        "patch": {"services": {"checks": {"pool": "renders"}}},
    });
    let operators = site.entries[0].address("operators")?;
    let refused = site
        .client
        .post_json(operators, "/v1/settings", None, &change)
        .await?;
    assert_eq!(refused.status, 401);
    let accepted = site
        .client
        .post_json(operators, "/v1/settings", Some(TOKEN), &change)
        .await?;
    assert_eq!(accepted.status, 204);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for entry in 0..2 {
        let response = site.call(entry, "checks", "moved").await?;
        let body: serde_json::Value = serde_json::from_slice(&response.body)?;
        assert!(
            ["w03", "w04"].contains(&body["instance"].as_str().unwrap_or_default()),
            "{body}"
        );
    }
    Ok(())
}
