//! Maintenance waves over separate processes, under load.

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

async fn start() -> Result<Site> {
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

async fn create(site: &Site, entry: usize, wave: &str) -> Result<u16> {
    let operators = site.entries[entry].address("operators")?;
    let request = json!({"wave": wave, "operator": format!("operator of {wave}")});
    let answer = site
        .client
        .post_json(operators, "/v1/waves", Some(TOKEN), &request)
        .await?;
    Ok(answer.status)
}

async fn get(site: &Site, entry: usize, path: &str) -> Result<Value> {
    let operators = site.entries[entry].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{operators}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    let answer = site.client.send(request).await?;
    Ok(serde_json::from_slice(&answer.body)?)
}

async fn wait_ended(site: &Site, entry: usize, wave: &str) -> Result<Value> {
    let until = Instant::now() + WAVE_TIMEOUT;
    let mut explanation = Value::Null;
    while Instant::now() < until {
        explanation = get(site, entry, &format!("/v1/waves/{wave}")).await?;
        if explanation["state"] == "ended" {
            return Ok(explanation);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    ensure!(false, "the wave has not ended: {explanation}");
    Ok(explanation)
}

async fn boots(site: &Site) -> Result<BTreeMap<String, u64>> {
    let list = site.list.address("")?;
    let answer = site.client.get(list, "/v1/instances").await?;
    let list: InstanceList = serde_json::from_slice(&answer.body)?;
    let boots = list.instances.into_iter();
    Ok(boots
        .map(|instance| (instance.name.to_string(), instance.boot.get()))
        .collect())
}

async fn assert_rebooted_once(site: &Site) -> Result<()> {
    let boots = boots(site).await?;
    assert_eq!(boots.len(), INSTANCES);
    assert!(boots.values().all(|&boot| boot == 2), "{boots:?}");
    Ok(())
}

/// Calls one entry until the wave has ended and returns each call's outcome.
async fn call_while(site: &Site, entry: usize, wave: &str) -> Result<Vec<(String, String)>> {
    let mut outcomes = Vec::new();
    let until = Instant::now() + WAVE_TIMEOUT;
    for number in 0.. {
        let service = ["checks", "renders"][number % 2];
        let call_id = format!("{wave}-{entry}-{number}");
        let path = format!("{service}/work?work_ms=60");
        let answer = site.call_path(entry, &path, &call_id).await?;
        outcomes.push((call_id, answer.outcome));
        let ended = get(site, entry, &format!("/v1/waves/{wave}")).await?["state"] == "ended";
        if ended || Instant::now() > until {
            break;
        }
    }
    Ok(outcomes)
}

#[tokio::test]
async fn cuts_nothing() -> Result<()> {
    let site = start().await?;
    assert_eq!(create(&site, 0, "w").await?, 204);
    let callers = (0..9).map(|caller| call_while(&site, caller % 3, "w"));
    let results = join_all(callers).await;
    let explanation = wait_ended(&site, 1, "w").await?;
    assert_eq!(explanation["done"], INSTANCES, "{explanation}");
    let mut calls = 0;
    for outcomes in results {
        for (call_id, outcome) in outcomes? {
            assert_eq!(outcome, "answered", "{call_id}");
            calls += 1;
        }
    }
    assert!(calls > 50, "{calls} calls are too few to tell");
    assert_rebooted_once(&site).await?;
    let pools = get(&site, 2, "/v1/pools").await?;
    let spent = &pools["pools"]["checks"]["services"]["checks"]["spent_instance_ms"];
    assert_eq!(*spent, json!({}), "{pools}");
    Ok(())
}

#[tokio::test]
async fn holder_killed() -> Result<()> {
    let mut site = start().await?;
    assert_eq!(create(&site, 0, "w").await?, 204);
    let until = Instant::now() + WAVE_TIMEOUT;
    while boots(&site).await?.values().all(|&boot| boot == 1) && Instant::now() < until {
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
    let explanation = wait_ended(&site, (killed + 1) % 3, "w").await?;
    assert_eq!(explanation["done"], INSTANCES, "{explanation}");
    assert_rebooted_once(&site).await
}

#[tokio::test]
async fn operators_race() -> Result<()> {
    let site = start().await?;
    let (first, second) = tokio::join!(create(&site, 0, "a"), create(&site, 1, "b"));
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
