//! Recovery in separate processes: snapshots, trimmed logs, the loss of all entries, pauses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Forwarder, Site, TOKEN};
use serde_json::{Value, json};

/// Longest time until a fresh entry is ready.
const FRESH_READY: Duration = Duration::from_secs(5);
/// Most memory of an entry in KiB.
const MEMORY_KIB: u64 = 256 * 1024;
/// Longest wait for conditions that have no bound of their own.
const PATIENCE: Duration = Duration::from_secs(30);

fn cores(count: u64) -> Value {
    json!({"worker": {"cores": count}})
}

async fn change(site: &Site, entry: usize, patch: &Value) -> Result<()> {
    let answer = site.change_settings(entry, "ana", None, patch).await?;
    if answer.status == 204 {
        return Ok(());
    }
    bail!("{}: {:?}", answer.status, answer.body)
}

fn members(state: &Value) -> Vec<u64> {
    let listed = state["fleet"]["members"].as_array();
    listed
        .into_iter()
        .flatten()
        .filter_map(|member| member[0].as_u64())
        .collect()
}

async fn head(site: &Site, entry: usize) -> Result<u64> {
    let state = site.state(entry).await?;
    Ok(state["fleet"]["next_offset"].as_u64().unwrap_or_default())
}

/// Writes changes until a snapshot covers them, then drops the records that it covers; only the
/// first two entries are asked.
async fn trim_to_snapshot(site: &Site) -> Result<()> {
    for count in 0..30 {
        change(site, 0, &cores(10 + count)).await?;
    }
    let covers = |state: &Value| state["snapshot_offset"].as_u64().is_some_and(|it| it >= 20);
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        for entry in 0..2 {
            let Ok(state) = site.state(entry).await else {
                continue;
            };
            if covers(&state) {
                let below = state["snapshot_offset"].as_u64().unwrap_or_default();
                return site.trim_log(below).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("no snapshot was written")
}

fn often() -> Value {
    json!({"control": {"snapshot_records": 20}})
}

async fn wait_listener_ready(site: &Site, entry: usize, limit: Duration) -> Result<Duration> {
    let start = Instant::now();
    let address = site.entries[entry].address("operators")?;
    while start.elapsed() < limit {
        if site.client.get(address, "/ready").await?.status == 200 {
            return Ok(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("entry {entry} is not ready after {limit:?}")
}

#[tokio::test]
async fn trimmed_and_fresh() -> Result<()> {
    let mut site = Site::builder()
        .entries(2)
        .instances(4)
        .patch(often())
        .start()
        .await?;
    trim_to_snapshot(&site).await?;
    site.start_entry("e3")?;
    wait_listener_ready(&site, 2, FRESH_READY).await?;
    let (old, fresh) = (site.state(0).await?, site.state(2).await?);
    assert_eq!(old["settings_version"], 31);
    assert_eq!(fresh["settings_version"], 31);
    assert_eq!(old["fleet"]["settings"], fresh["fleet"]["settings"]);
    Ok(())
}

#[tokio::test]
async fn trimmed_and_lost() -> Result<()> {
    let mut site = Site::builder()
        .entries(2)
        .instances(4)
        .patch(often())
        .start()
        .await?;
    trim_to_snapshot(&site).await?;
    site.entries.clear();
    site.start_entry("e3")?;
    wait_listener_ready(&site, 0, FRESH_READY).await?;
    assert_eq!(site.state(0).await?["settings_version"], 31);
    change(&site, 0, &cores(3)).await?;
    let answer = site.call(0, "checks", "after").await?;
    assert_eq!(answer.outcome, "answered");
    Ok(())
}

#[tokio::test]
async fn trimmed_while_paused() -> Result<()> {
    let site = Site::builder()
        .entries(3)
        .instances(4)
        .patch(often())
        .start()
        .await?;
    let before = site.state(2).await?["incarnation"].clone();
    site.entries[2].pause()?;
    trim_to_snapshot(&site).await?;
    site.entries[2].resume()?;
    site.wait_state(2, PATIENCE, |state| {
        state["settings_version"] == 31 && state["may_dispatch"] == true
    })
    .await?;
    println!("incarnation before: {before}");
    Ok(())
}

#[tokio::test]
async fn far_behind_cut_off() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let cut = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": cut.address()}});
    site.start_entry_with("e3", &patch)?;
    site.wait_ready(2).await?;
    site.entries[2].pause()?;
    cut.set_cut(true);
    let long = json!({"region": "x".repeat(300_000)});
    for count in 0..18 {
        change(&site, 0, &long).await?;
        change(&site, 0, &cores(10 + count)).await?;
    }
    site.entries[2].resume()?;
    site.wait_state(2, PATIENCE, |state| state["settings_version"] == 37)
        .await?;
    let answer = site.call(2, "checks", "cut-off").await?;
    assert_ne!(answer.outcome, "unknown");
    cut.set_cut(false);
    site.wait_state(2, PATIENCE, |state| state["may_dispatch"] == true)
        .await?;
    Ok(())
}

#[tokio::test]
async fn all_lost() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    change(&site, 0, &cores(6)).await?;
    let gone = members(&site.state(0).await?);
    site.entries.clear();
    for name in ["e4", "e5", "e6"] {
        site.start_entry(name)?;
    }
    for entry in 0..3 {
        site.wait_ready(entry).await?;
        assert_eq!(site.state(entry).await?["settings_version"], 2);
    }
    site.wait_state(0, PATIENCE, |state| {
        let holder = state["fleet"]["duty"]["holder"].as_u64();
        holder.is_some_and(|holder| !gone.contains(&holder))
    })
    .await?;
    change(&site, 1, &cores(7)).await?;
    let operators = site.entries[0].address("operators")?;
    for incarnation in gone {
        let word = json!({"operator": "ana", "incarnation": incarnation});
        let path = "/v1/entries/switched-off";
        let answer = site
            .client
            .post_json(operators, path, Some(TOKEN), &word)
            .await?;
        assert_eq!(answer.status, 204, "{:?}", answer.body);
    }
    assert_eq!(members(&site.state(0).await?).len(), 3);
    Ok(())
}

#[tokio::test]
async fn all_lost_in_outage() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    change(&site, 0, &cores(6)).await?;
    site.set_log_fault(LogFault::Down).await?;
    site.entries.clear();
    site.start_entry("e3")?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let callers = site.entries[0].address("callers")?;
    assert_eq!(site.client.get(callers, "/ready").await?.status, 503);
    let answer = site.call(0, "checks", "lost").await?;
    assert_eq!(answer.outcome, "not-run");
    site.set_log_fault(LogFault::None).await?;
    site.wait_ready(0).await?;
    assert_eq!(site.state(0).await?["settings_version"], 2);
    Ok(())
}

#[tokio::test]
async fn paused_over_drain() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    site.call(0, "checks", "before").await?;
    site.entries[0].pause()?;
    site.mark_leaving("w01").await?;
    site.wait_state(1, PATIENCE, |state| {
        let instances = state["fleet"]["instances"].as_array();
        instances
            .into_iter()
            .flatten()
            .any(|instance| instance[0] == "w01" && !instance[1]["state"]["drained"].is_null())
    })
    .await?;
    let before = site.report("w01").await?.runs.len();
    let waiting = futures_util::future::join_all((0..40).map(|number| {
        let call_id = format!("call-{number}");
        let site = &site;
        async move { site.call(0, "checks", &call_id).await }
    }));
    let resumed = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[0].resume()
    };
    let (answers, resumed) = tokio::join!(waiting, resumed);
    resumed?;
    for answer in answers {
        assert_ne!(answer?.outcome, "unknown");
    }
    site.wait_state(0, PATIENCE, |state| state["may_dispatch"] == true)
        .await?;
    for number in 40..60 {
        let answer = site.call(0, "checks", &format!("call-{number}")).await?;
        assert_eq!(answer.outcome, "answered", "call {number}");
    }
    assert_eq!(site.report("w01").await?.runs.len(), before);
    Ok(())
}

#[tokio::test]
async fn long_outage() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let before = head(&site, 0).await?;
    site.set_log_fault(LogFault::Down).await?;
    let until = Instant::now() + Duration::from_secs(8);
    let mut number = 0;
    while Instant::now() < until {
        let answer = site
            .call(number % 3, "checks", &format!("call-{number}"))
            .await?;
        assert_eq!(answer.outcome, "answered", "call {number}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.mark_leaving("w01").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ran = site.report("w01").await?.runs.len();
    for extra in 0..20 {
        let answer = site
            .call(extra % 3, "checks", &format!("extra-{extra}"))
            .await?;
        assert_eq!(answer.outcome, "answered");
    }
    assert_eq!(site.report("w01").await?.runs.len(), ran);
    site.set_log_fault(LogFault::None).await?;
    for entry in 0..3 {
        site.wait_state(entry, PATIENCE, |state| state["log_reached"] == true)
            .await?;
    }
    let state = site.state(0).await?;
    assert_eq!(state["fleet"]["members"].as_array().map(Vec::len), Some(3));
    let written = head(&site, 0).await? - before;
    assert!(
        written < 100,
        "{written} records were written on the return"
    );
    Ok(())
}

#[tokio::test]
async fn list_lost() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    for name in ["w01", "w02", "w03", "w04"] {
        site.remove_listed(name).await?;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 0..10 {
        let answer = site
            .call(number % 2, "checks", &format!("empty-{number}"))
            .await?;
        assert_eq!(answer.outcome, "answered");
    }
    site.list.kill()?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 0..10 {
        let answer = site
            .call(number % 2, "checks", &format!("killed-{number}"))
            .await?;
        assert_eq!(answer.outcome, "answered");
    }
    Ok(())
}

#[tokio::test]
async fn letter_size() -> Result<()> {
    let mut site = Site::builder()
        .entries(0)
        .instances(2)
        .patch(large_site())
        .start()
        .await?;
    for number in 0..1400 {
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        site.put_listed(&format!("x{number:04}"), nobody).await?;
    }
    for (entry, name) in [(0, "e1"), (1, "e2")] {
        site.start_entry(name)?;
        site.wait_ready(entry).await?;
    }
    for count in 0..30 {
        change(&site, 0, &cores(10 + count)).await?;
    }
    site.start_entry("e3")?;
    let beside = wait_listener_ready(&site, 2, FRESH_READY).await?;
    let before = site.entries[0].processor_ticks()?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let used = site.entries[0].processor_ticks()? - before;
    println!("control used {used} ticks of 10 ms in 5 s");
    for entry in &site.entries {
        let peak_kib = entry.peak_memory_kib()?;
        println!("peak memory {peak_kib} KiB");
        assert!(peak_kib <= MEMORY_KIB, "{peak_kib} KiB");
    }
    site.entries.clear();
    site.start_entry("e4")?;
    let alone = wait_listener_ready(&site, 0, FRESH_READY).await?;
    println!("fresh entry ready after {beside:?} beside others, after {alone:?} alone");
    assert_eq!(site.state(0).await?["settings_version"], 31);
    Ok(())
}

/// Returns a site of 1,400 workers in 214 pools, on 7 zones of 50 racks.
fn large_site() -> Value {
    let names: Vec<String> = (0..1400).map(|number| format!("x{number:04}")).collect();
    let mut zones: BTreeMap<String, Value> = BTreeMap::new();
    for (number, zone) in names.chunks(200).enumerate() {
        let racks: BTreeMap<String, &[String]> = zone
            .chunks(4)
            .enumerate()
            .map(|(rack, instances)| (format!("z{number}-r{rack}"), instances))
            .collect();
        let settings = json!({"zone_delay_us": 500, "caller_delay_us": 3000, "racks": racks});
        zones.insert(format!("z{number}"), settings);
    }
    let mut pools: BTreeMap<String, Value> = BTreeMap::new();
    let mut services: BTreeMap<String, Value> = BTreeMap::new();
    for pool in 0..214 {
        let instances: Vec<&String> = names.iter().skip(pool).step_by(214).collect();
        let name = format!("pool-{pool:03}");
        pools.insert(name.clone(), json!({"instances": instances}));
        let service = json!({
            "pool": name,
            "contract": {"promised_instances": 1, "budget_instance_s": 3600,
                         "window_s": 86400, "survives": "instance"},
            "default_deadline_ms": 5000, "mean_work_ms": 5.0, "mean_rate_per_s": 10.0,
        });
        services.insert(format!("service-{pool:03}"), service);
    }
    json!({"zones": zones, "pools": pools, "services": services})
}
