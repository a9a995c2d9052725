//! Recovery of separate entry processes from trimmed logs, outages, pauses and the loss of all
//! entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Forwarder, Site, TOKEN};
use serde_json::{Value, json};

/// Longest time until a new entry is ready.
const MAX_START_TIME: Duration = Duration::from_secs(5);
/// Largest peak memory of an entry, in KiB.
const MAX_MEMORY_KIB: u64 = 256 * 1024;
/// Time limit of waits for conditions that have no limit of their own.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn cores(count: u64) -> Value {
    json!({"worker": {"cores": count}})
}

async fn change(site: &Site, entry: usize, patch: &Value) -> Result<()> {
    let response = site.change_settings(entry, "ana", None, patch).await?;
    if response.status == 204 {
        return Ok(());
    }
    bail!("{}: {:?}", response.status, response.body)
}

fn members(state: &Value) -> Vec<u64> {
    let pairs = state["fleet"]["members"].as_array();
    pairs
        .into_iter()
        .flatten()
        .filter_map(|member| member[0].as_u64())
        .collect()
}

async fn next_offset(site: &Site, entry: usize) -> Result<u64> {
    let state = site.state(entry).await?;
    Ok(state["fleet"]["next_offset"].as_u64().unwrap_or_default())
}

/// Changes the settings 30 times, waits for a snapshot that covers at least 20 records, and trims
/// the log to that snapshot.
///
/// Only the first two entries are queried; the others may be paused.
async fn trim_to_snapshot(site: &Site) -> Result<()> {
    for count in 0..30 {
        change(site, 0, &cores(10 + count)).await?;
    }
    let is_covered = |state: &Value| state["snapshot_offset"].as_u64().is_some_and(|at| at >= 20);
    let deadline = Instant::now() + MAX_WAIT;
    while Instant::now() < deadline {
        for entry in 0..2 {
            let Ok(state) = site.state(entry).await else {
                continue;
            };
            if is_covered(&state) {
                let first_kept = state["snapshot_offset"].as_u64().unwrap_or_default();
                return site.trim_log(first_kept).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("no snapshot was written")
}

fn frequent_snapshots() -> Value {
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

/// A new entry joins running ones although the log no longer has the first records.
#[tokio::test]
async fn trimmed_log_joinable() -> Result<()> {
    let mut site = Site::builder()
        .entries(2)
        .instances(4)
        .patch(frequent_snapshots())
        .start()
        .await?;
    trim_to_snapshot(&site).await?;
    site.start_entry("e3")?;
    wait_listener_ready(&site, 2, MAX_START_TIME).await?;
    let (running, started) = (site.state(0).await?, site.state(2).await?);
    assert_eq!(running["settings_version"], 31);
    assert_eq!(started["settings_version"], 31);
    assert_eq!(running["fleet"]["settings"], started["fleet"]["settings"]);
    Ok(())
}

/// A new entry recovers from the snapshot alone after all entries are lost.
#[tokio::test]
async fn trimmed_log_restarts() -> Result<()> {
    let mut site = Site::builder()
        .entries(2)
        .instances(4)
        .patch(frequent_snapshots())
        .start()
        .await?;
    trim_to_snapshot(&site).await?;
    site.entries.clear();
    site.start_entry("e3")?;
    wait_listener_ready(&site, 0, MAX_START_TIME).await?;
    assert_eq!(site.state(0).await?["settings_version"], 31);
    change(&site, 0, &cores(3)).await?;
    let response = site.call(0, "checks", "after").await?;
    assert_eq!(response.outcome, "answered");
    Ok(())
}

/// A paused entry recovers when the records that it lacks were trimmed meanwhile.
#[tokio::test]
async fn trimmed_pause_recovers() -> Result<()> {
    let site = Site::builder()
        .entries(3)
        .instances(4)
        .patch(frequent_snapshots())
        .start()
        .await?;
    let before = site.state(2).await?["incarnation"].clone();
    site.entries[2].pause()?;
    trim_to_snapshot(&site).await?;
    site.entries[2].resume()?;
    site.wait_state(2, MAX_WAIT, |state| {
        state["settings_version"] == 31 && state["may_dispatch"] == true
    })
    .await?;
    println!("incarnation before: {before}");
    Ok(())
}

/// A paused entry that can't reach the log lacks more records than its peers keep (5.4 MB of 4
/// MiB), so that it has to adopt a peer's state.
#[tokio::test]
async fn lagging_entry_recovers() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let log_proxy = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": log_proxy.address()}});
    site.start_entry_with("e3", &patch)?;
    site.wait_ready(2).await?;
    site.entries[2].pause()?;
    log_proxy.set_cut(true);
    let long_change = json!({"region": "x".repeat(300_000)});
    for count in 0..18 {
        change(&site, 0, &long_change).await?;
        change(&site, 0, &cores(10 + count)).await?;
    }
    site.entries[2].resume()?;
    site.wait_state(2, MAX_WAIT, |state| state["settings_version"] == 37)
        .await?;
    let response = site.call(2, "checks", "cut-off").await?;
    assert_ne!(response.outcome, "unknown");
    log_proxy.set_cut(false);
    site.wait_state(2, MAX_WAIT, |state| state["may_dispatch"] == true)
        .await?;
    Ok(())
}

#[tokio::test]
async fn lost_entries_replaced() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    change(&site, 0, &cores(6)).await?;
    let former = members(&site.state(0).await?);
    site.entries.clear();
    for name in ["e4", "e5", "e6"] {
        site.start_entry(name)?;
    }
    for entry in 0..3 {
        site.wait_ready(entry).await?;
        assert_eq!(site.state(entry).await?["settings_version"], 2);
    }
    site.wait_state(0, MAX_WAIT, |state| {
        let holder = state["fleet"]["duty"]["holder"].as_u64();
        holder.is_some_and(|holder| !former.contains(&holder))
    })
    .await?;
    change(&site, 1, &cores(7)).await?;
    let operators = site.entries[0].address("operators")?;
    for incarnation in former {
        let confirmation = json!({"operator": "ana", "incarnation": incarnation});
        let path = "/v1/entries/switched-off";
        let response = site
            .client
            .post_json(operators, path, Some(TOKEN), &confirmation)
            .await?;
        assert_eq!(response.status, 204, "{:?}", response.body);
    }
    assert_eq!(members(&site.state(0).await?).len(), 3);
    Ok(())
}

#[tokio::test]
async fn outage_delays_restart() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    change(&site, 0, &cores(6)).await?;
    site.set_log_fault(LogFault::Down).await?;
    site.entries.clear();
    site.start_entry("e3")?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let callers = site.entries[0].address("callers")?;
    assert_eq!(site.client.get(callers, "/ready").await?.status, 503);
    let response = site.call(0, "checks", "lost").await?;
    assert_eq!(response.outcome, "not-run");
    site.set_log_fault(LogFault::None).await?;
    site.wait_ready(0).await?;
    assert_eq!(site.state(0).await?["settings_version"], 2);
    Ok(())
}

/// An entry that was paused while a backend server was drained sends that server nothing when it
/// resumes.
#[tokio::test]
async fn drain_survives_pause() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    site.call(0, "checks", "before").await?;
    site.entries[0].pause()?;
    site.mark_leaving("w01").await?;
    site.wait_state(1, MAX_WAIT, |state| {
        let instances = state["fleet"]["instances"].as_array();
        instances
            .into_iter()
            .flatten()
            .any(|instance| instance[0] == "w01" && !instance[1]["state"]["drained"].is_null())
    })
    .await?;
    let before = site.backend_report("w01").await?.runs.len();
    let calls = futures_util::future::join_all((0..40).map(|number| {
        let call_id = format!("call-{number}");
        let site = &site;
        async move { site.call(0, "checks", &call_id).await }
    }));
    let resume_entry = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[0].resume()
    };
    let (responses, resume_entry) = tokio::join!(calls, resume_entry);
    resume_entry?;
    for response in responses {
        assert_ne!(response?.outcome, "unknown");
    }
    site.wait_state(0, MAX_WAIT, |state| state["may_dispatch"] == true)
        .await?;
    for number in 40..60 {
        let response = site.call(0, "checks", &format!("call-{number}")).await?;
        assert_eq!(response.outcome, "answered", "call {number}");
    }
    assert_eq!(site.backend_report("w01").await?.runs.len(), before);
    Ok(())
}

/// Entries dispatch and stop sending to a leaving backend server during an outage of the log, and
/// write few records when it ends.
#[tokio::test]
async fn long_outage_dispatches() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let before = next_offset(&site, 0).await?;
    site.set_log_fault(LogFault::Down).await?;
    let deadline = Instant::now() + Duration::from_secs(8);
    let mut number = 0;
    while Instant::now() < deadline {
        let response = site
            .call(number % 3, "checks", &format!("call-{number}"))
            .await?;
        assert_eq!(response.outcome, "answered", "call {number}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.mark_leaving("w01").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let runs_before = site.backend_report("w01").await?.runs.len();
    for extra in 0..20 {
        let response = site
            .call(extra % 3, "checks", &format!("extra-{extra}"))
            .await?;
        assert_eq!(response.outcome, "answered");
    }
    assert_eq!(site.backend_report("w01").await?.runs.len(), runs_before);
    site.set_log_fault(LogFault::None).await?;
    for entry in 0..3 {
        site.wait_state(entry, MAX_WAIT, |state| state["log_reached"] == true)
            .await?;
    }
    let state = site.state(0).await?;
    assert_eq!(state["fleet"]["members"].as_array().map(Vec::len), Some(3));
    let new_records = next_offset(&site, 0).await? - before;
    assert!(
        new_records < 100,
        "{new_records} records were written after the outage"
    );
    Ok(())
}

/// Entries keep dispatching when the instance list is empty and when it can't be read.
#[tokio::test]
async fn lost_list_dispatches() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    for name in ["w01", "w02", "w03", "w04"] {
        site.remove_listed_instance(name).await?;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 0..10 {
        let response = site
            .call(number % 2, "checks", &format!("empty-{number}"))
            .await?;
        assert_eq!(response.outcome, "answered");
    }
    site.list.kill()?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 0..10 {
        let response = site
            .call(number % 2, "checks", &format!("killed-{number}"))
            .await?;
        assert_eq!(response.outcome, "answered");
    }
    Ok(())
}

#[tokio::test]
async fn large_site_recovers() -> Result<()> {
    let mut site = Site::builder()
        .entries(0)
        .instances(2)
        .patch(large_site())
        .start()
        .await?;
    for number in 0..1400 {
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        site.add_listed_instance(&format!("x{number:04}"), unused_address)
            .await?;
    }
    for (entry, name) in [(0, "e1"), (1, "e2")] {
        site.start_entry(name)?;
        site.wait_ready(entry).await?;
    }
    for count in 0..30 {
        change(&site, 0, &cores(10 + count)).await?;
    }
    site.start_entry("e3")?;
    let ready_with_peers = wait_listener_ready(&site, 2, MAX_START_TIME).await?;
    let before = site.entries[0].cpu_ticks()?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let used_ticks = site.entries[0].cpu_ticks()? - before;
    println!("control used {used_ticks} ticks of 10 ms in 5 s");
    for entry in &site.entries {
        let peak_kib = entry.peak_memory_kib()?;
        println!("peak memory {peak_kib} KiB");
        assert!(peak_kib <= MAX_MEMORY_KIB, "{peak_kib} KiB");
    }
    site.entries.clear();
    site.start_entry("e4")?;
    let ready_alone = wait_listener_ready(&site, 0, MAX_START_TIME).await?;
    println!("new entry ready after {ready_with_peers:?} with peers, after {ready_alone:?} alone");
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
