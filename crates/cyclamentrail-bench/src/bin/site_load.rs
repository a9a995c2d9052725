//! Measures a site of separate processes over loopback, under load or with control traffic only.
//!
//! `site_load load [RATE] [SECONDS]` sends requests at a fixed rate and prints response times that
//! start when a request was due, so that the wait behind a stalled entry is included (no
//! coordinated omission). `site_load control` prints processor time and peak memory of the busiest
//! entry without requests, at four sizes of the fleet.

use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use cyclamentrail_bench::ControlSize;
use cyclamentrail_core::{BootId, InstanceName};
use cyclamentrail_platform::{ListedInstance, ListedState};
use cyclamentrail_testkit::{Load, LoadResult, Process, Site, count_outcomes};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Default rate of requests per second.
const RATE_PER_S: u32 = 400;
/// Default length of the load in seconds.
const LOAD_S: u32 = 20;
/// Entries of the site under load.
const LOAD_ENTRIES: usize = 6;
/// Backend servers of the site under load.
const LOAD_INSTANCES: usize = 18;
/// Entries of the site whose control cost is measured.
const CONTROL_ENTRIES: usize = 6;
/// Time without requests over which the idle processor time is measured.
const IDLE: Duration = Duration::from_secs(20);
/// Wait after the start, and after the settings changes, until the entries have caught up.
const WARM_UP: Duration = Duration::from_secs(3);
/// Settings changes over which the processor time per change is averaged.
const CHANGES: u64 = 20;
/// Length of a clock tick of the processor times in milliseconds.
const TICK_MS: f64 = 10.0;
/// Upper end of the response time histogram in microseconds; longer times count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: u32| -> Result<u32> {
        arguments.get(index).map_or(Ok(default), |text| {
            text.parse()
                .context("RATE and SECONDS have to be whole numbers")
        })
    };
    match arguments.first().map(String::as_str) {
        Some("load") => load(number(1, RATE_PER_S)?, number(2, LOAD_S)?).await,
        Some("control") => control().await,
        _ => bail!("site_load load [RATE] [SECONDS] | site_load control"),
    }
}

async fn load(rate_per_s: u32, seconds: u32) -> Result<()> {
    let site = Site::builder()
        .entries(LOAD_ENTRIES)
        .instances(LOAD_INSTANCES)
        .start()
        .await?;
    let running = Load::new("load")
        .path("checks/work?work_ms=20")
        .rate_per_s(rate_per_s)
        .seconds(seconds)
        .start(&site)?;
    let results = running.await?;
    let runs = site.check_outcomes(&results).await?;
    println!(
        "{} requests at {rate_per_s}/s through {LOAD_ENTRIES} entries, {} runs",
        results.len(),
        runs.values().sum::<u32>()
    );
    for (outcome, count) in count_outcomes(&results) {
        println!("{count:>8}  {outcome}");
    }
    let latency_us = latency_from_due_time(&results, rate_per_s)?;
    for quantile in [0.5, 0.9, 0.99, 0.999, 1.0] {
        let value_us = latency_us.value_at_quantile(quantile);
        println!("{:>7}%  {value_us:>8} us", quantile * 100.0);
    }
    Ok(())
}

/// Returns the response times of successful requests in microseconds, each from its due time.
fn latency_from_due_time(results: &[LoadResult], rate_per_s: u32) -> Result<Histogram<u64>> {
    let mut latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
    for request in results.iter().filter(|request| request.is_success()) {
        let number: u32 = request
            .call_id
            .rsplit('-')
            .next()
            .context("call id has no number")?
            .parse()?;
        let due = Duration::from_secs(u64::from(number)) / rate_per_s;
        let latency = (request.sent_after + request.duration).saturating_sub(due);
        latency_us.saturating_record(u64::try_from(latency.as_micros())?);
    }
    Ok(latency_us)
}

async fn control() -> Result<()> {
    println!("workers  pools  idle, % of a core  ms of processor a change  peak memory MiB");
    for scale in ControlSize::ALL {
        measure_control(&scale).await?;
    }
    Ok(())
}

async fn measure_control(scale: &ControlSize) -> Result<()> {
    let document = scale.document(1);
    let site = Site::builder()
        .entries(CONTROL_ENTRIES)
        .instances(2)
        .patch(json!({
            "zones": document["zones"],
            "pools": document["pools"],
            "services": document["services"],
            "control": {"heartbeat_ms": 500, "dispatch_lease_ms": 2000, "list_interval_ms": 500},
        }))
        .start()
        .await?;
    list_workers(&site, &document).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = busiest_ticks(&site)?;
    tokio::time::sleep(IDLE).await;
    let idle_ms = ticks_ms(busiest_ticks(&site)? - before);
    let before = busiest_ticks(&site)?;
    for number in 0..CHANGES {
        let patch = json!({"worker": {"cores": 10 + number}});
        let response = site.change_settings(0, "bench", None, &patch).await?;
        ensure!(
            response.status < 300,
            "the settings change was refused: {response:?}"
        );
    }
    tokio::time::sleep(WARM_UP).await;
    let change_ms = ticks_ms(busiest_ticks(&site)? - before);
    let peaks: Result<Vec<u64>> = site.entries.iter().map(Process::peak_memory_kib).collect();
    let peak_kib = peaks?.into_iter().max().unwrap_or_default();
    let idle_share = idle_ms / 1_000.0 / IDLE.as_secs_f64() * 100.0;
    println!(
        "{:>7}  {:>5}  {idle_share:>17.2}  {:>24.1}  {:>15}",
        scale.workers,
        scale.pools,
        change_ms / f64::from(u32::try_from(CHANGES)?),
        peak_kib / 1024
    );
    Ok(())
}

/// Adds the workers of a settings document to the platform's instance list.
///
/// The workers are listed at an address where no process listens.
async fn list_workers(site: &Site, document: &Value) -> Result<()> {
    let list = site.list.address("")?;
    let pools = document["pools"]
        .as_object()
        .context("settings document has no pools")?;
    for pool in pools.values() {
        for name in pool["instances"]
            .as_array()
            .context("pool has no instance list")?
        {
            let listed = ListedInstance {
                name: InstanceName::from(name.as_str().context("instance name is not a string")?),
                address: ([127, 0, 0, 1], 9).into(),
                boot: BootId::new(1),
                state: ListedState::Live,
            };
            site.client
                .post_json(list, "/_standin/instances", None, &listed)
                .await?;
        }
    }
    Ok(())
}

/// Returns the largest processor time of an entry since its start, in clock ticks.
fn busiest_ticks(site: &Site) -> Result<u64> {
    let ticks: Result<Vec<u64>> = site.entries.iter().map(Process::cpu_ticks).collect();
    Ok(ticks?.into_iter().max().unwrap_or_default())
}

fn ticks_ms(ticks: u64) -> f64 {
    f64::from(u32::try_from(ticks).unwrap_or(u32::MAX)) * TICK_MS
}
