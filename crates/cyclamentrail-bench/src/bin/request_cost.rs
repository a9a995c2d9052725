//! Measures processor time and latency of requests through an entry, relative to a bare
//! pass-through proxy.
//!
//! The workspace has to be built with the same profile first. Rounds through the entry and through
//! the proxy alternate, so that changes in the load of the machine affect both.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use cyclamentrail_testkit::{Client, Process, Site};
use hdrhistogram::Histogram;
use serde_json::json;

/// Measured rounds through the entry and through the proxy, each.
const ROUNDS: usize = 9;
/// Requests in one round.
const REQUESTS: usize = 4_000;
/// Concurrent callers in one round.
const CALLERS: usize = 8;
/// Index of the user time among the fields of `/proc/PID/stat` that follow the process name.
const USER_TIME_FIELD: usize = 11;

/// Processor time and latency of one round.
#[derive(Debug)]
struct Measurement {
    cpu_ticks: f64,
    p50_us: f64,
    p99_us: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let patch = json!({"control": {"list_interval_ms": 1_000}, "log": {"level": "warn"}});
    let site = Site::builder()
        .entries(1)
        .instances(2)
        .slots(64)
        .patch(patch);
    let site = site.start().await?;
    let backend = site.backends["w01"].address("")?;
    let arguments = [String::from("pass"), format!("--to={backend}")];
    let bare = Process::spawn("cyclamentrail-standin", &arguments, &[])?;
    let entry = site.entries[0].address("callers")?;
    let entry_id = site.entries[0].id();
    measure(entry_id, entry, "/v1/services/checks/work").await?;
    measure(bare.id(), bare.address("")?, "/checks/work").await?;
    let mut cpu = Vec::new();
    let mut p50 = Vec::new();
    let mut p99 = Vec::new();
    for _ in 0..ROUNDS {
        let entry_round = measure(entry_id, entry, "/v1/services/checks/work").await?;
        let bare_round = measure(bare.id(), bare.address("")?, "/checks/work").await?;
        cpu.push(entry_round.cpu_ticks / bare_round.cpu_ticks);
        p50.push(entry_round.p50_us / bare_round.p50_us);
        p99.push(entry_round.p99_us / bare_round.p99_us);
    }
    println!("| entry to bare pass-through | median | least | most |");
    println!("|---|---|---|---|");
    for (name, mut ratios) in [("CPU a request", cpu), ("p50", p50), ("p99", p99)] {
        ratios.sort_by(f64::total_cmp);
        let [median, least, most] = [ratios[ROUNDS / 2], ratios[0], ratios[ROUNDS - 1]];
        println!("| {name} | {median:.2} | {least:.2} | {most:.2} |");
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "times are small")]
async fn measure(process: u32, address: SocketAddr, path: &str) -> Result<Measurement> {
    let before = cpu_ticks(process)?;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let path = path.to_owned();
        callers.push(tokio::spawn(async move {
            call_repeatedly(address, &path).await
        }));
    }
    let mut times: Histogram<u64> = Histogram::new(3)?;
    for caller in callers {
        for took in caller.await?? {
            times.record(u64::try_from(took.as_micros())?)?;
        }
    }
    Ok(Measurement {
        cpu_ticks: cpu_ticks(process)? - before,
        p50_us: times.value_at_quantile(0.5) as f64,
        p99_us: times.value_at_quantile(0.99) as f64,
    })
}

/// Sends one caller's share of a round's requests in sequence and returns their durations.
async fn call_repeatedly(address: SocketAddr, path: &str) -> Result<Vec<Duration>> {
    let client = Client::new();
    let mut times = Vec::new();
    for _ in 0..REQUESTS / CALLERS {
        let started = Instant::now();
        let response = client.get(address, path).await?;
        anyhow::ensure!(response.status == 200, "{response:?}");
        times.push(started.elapsed());
    }
    Ok(times)
}

/// Returns the user and system time of a process, in clock ticks.
fn cpu_ticks(process: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(')')
        .context("/proc/PID/stat holds no process name")?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Ok(ticks)
}
