//! Maintenance waves with separate entry processes, under load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_platform::InstanceList;
use cyclamentrail_standin::ListBehaviour;
use cyclamentrail_testkit::{Site, TOKEN};
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

/// Longest time that a wave may take on a busy machine.
const WAVE_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const INSTANCES: usize = 8;

async fn start_site() -> Result<Site> {
    let maintenance = json!({
        "return_timeout_ms": 20000, "probation_ms": 200, "lost_after_ms": 5000,
        "halt_failures": 2, "halt_sample": 10, "move_after_ms": 20000, "return_after_ms": 60000,
    });
    let site = Site::builder()
        .entries(3)
        .instances(INSTANCES)
        .patch(json!({"maintenance": maintenance}))
        .start()
        .await?;
    let behaviour = ListBehaviour {
        lag_ms: 200,
        reboot_ms: 300,
    };
    let list = site.list.address("")?;
    site.client
        .post_json(list, "/_standin/behaviour", None, &behaviour)
        .await?;
    Ok(site)
}

async fn create_wave(site: &Site, entry: usize, wave: &str) -> Result<u16> {
    let operators = site.entries[entry].address("operators")?;
    let request = json!({"wave": wave, "operator": format!("operator of {wave}")});
    let response = site
        .client
        .post_json(operators, "/v1/waves", Some(TOKEN), &request)
        .await?;
    Ok(response.status)
}

async fn get(site: &Site, entry: usize, path: &str) -> Result<Value> {
    let operators = site.entries[entry].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{operators}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    let response = site.client.send(request).await?;
    Ok(serde_json::from_slice(&response.body)?)
}

async fn wait_wave_ended(site: &Site, entry: usize, wave: &str) -> Result<Value> {
    let deadline = Instant::now() + WAVE_TIMEOUT;
    let mut explanation = Value::Null;
    while Instant::now() < deadline {
        explanation = get(site, entry, &format!("/v1/waves/{wave}")).await?;
        if explanation["state"] == "ended" {
            return Ok(explanation);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    ensure!(false, "the wave has not ended: {explanation}");
    Ok(explanation)
}

async fn boot_numbers(site: &Site) -> Result<BTreeMap<String, u64>> {
    let list = site.list.address("")?;
    let response = site.client.get(list, "/v1/instances").await?;
    let list: InstanceList = serde_json::from_slice(&response.body)?;
    let boot_numbers = list.instances.into_iter();
    Ok(boot_numbers
        .map(|instance| (instance.name.to_string(), instance.boot.get()))
        .collect())
}

async fn assert_all_rebooted_once(site: &Site) -> Result<()> {
    let boot_numbers = boot_numbers(site).await?;
    assert_eq!(boot_numbers.len(), INSTANCES);
    assert!(
        boot_numbers.values().all(|&boot| boot == 2),
        "{boot_numbers:?}"
    );
    Ok(())
}

/// Calls one entry until the wave has ended; returns the id and the outcome of each call.
async fn call_until_wave_ends(
    site: &Site,
    entry: usize,
    wave: &str,
) -> Result<Vec<(String, String)>> {
    let mut outcomes = Vec::new();
    let deadline = Instant::now() + WAVE_TIMEOUT;
    for number in 0.. {
        let service = ["checks", "renders"][number % 2];
        let call_id = format!("{wave}-{entry}-{number}");
        let path = format!("{service}/work?work_ms=60");
        let response = site.call_path(entry, &path, &call_id).await?;
        outcomes.push((call_id, response.outcome));
        let ended = get(site, entry, &format!("/v1/waves/{wave}")).await?["state"] == "ended";
        if ended || Instant::now() > deadline {
            break;
        }
    }
    Ok(outcomes)
}

/// A wave under load reboots each instance once, cuts no request and spends no availability budget.
#[tokio::test]
async fn requests_survive_wave() -> Result<()> {
    let site = start_site().await?;
    assert_eq!(create_wave(&site, 0, "w").await?, 204);
    let loops = (0..9).map(|caller| call_until_wave_ends(&site, caller % 3, "w"));
    let results = join_all(loops).await;
    let explanation = wait_wave_ended(&site, 1, "w").await?;
    assert_eq!(explanation["done"], INSTANCES, "{explanation}");
    let mut calls = 0;
    for outcomes in results {
        for (call_id, outcome) in outcomes? {
            assert_eq!(outcome, "answered", "{call_id}");
            calls += 1;
        }
    }
    assert!(calls > 50, "{calls} calls are too few to tell");
    assert_all_rebooted_once(&site).await?;
    let pools = get(&site, 2, "/v1/pools").await?;
    let spent_budget = &pools["pools"]["checks"]["services"]["checks"]["spent_instance_ms"];
    assert_eq!(*spent_budget, json!({}), "{pools}");
    Ok(())
}

/// Another entry finishes the wave when the holder of the fleet duty is killed.
#[tokio::test]
async fn takeover_finishes_wave() -> Result<()> {
    let mut site = start_site().await?;
    assert_eq!(create_wave(&site, 0, "w").await?, 204);
    let deadline = Instant::now() + WAVE_TIMEOUT;
    while boot_numbers(&site).await?.values().all(|&boot| boot == 1) && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let state = site.state(0).await?;
    let holder = state["fleet"]["duty"]["holder"].clone();
    let mut killed = None;
    for entry in 0..3 {
        if site.state(entry).await?["incarnation"] == holder {
            killed = Some(entry);
        }
    }
    let killed = killed.expect("some entry holds the duty");
    site.entries[killed].kill()?;
    let explanation = wait_wave_ended(&site, (killed + 1) % 3, "w").await?;
    assert_eq!(explanation["done"], INSTANCES, "{explanation}");
    assert_all_rebooted_once(&site).await
}

#[tokio::test]
async fn second_wave_rejected() -> Result<()> {
    let site = start_site().await?;
    let (first, second) = tokio::join!(create_wave(&site, 0, "a"), create_wave(&site, 1, "b"));
    let mut statuses = [first?, second?];
    statuses.sort_unstable();
    assert_eq!(statuses, [204, 409]);
    let waves = get(&site, 2, "/v1/waves").await?;
    assert_eq!(
        waves["waves"].as_object().map(serde_json::Map::len),
        Some(1)
    );
    Ok(())
}
