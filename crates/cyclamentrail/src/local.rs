//! The command `local`: runs all entries of a site in one process, on stand-ins of the platform, and
//! puts them under load.
//!
//! The callers of the load and the stand-in backend servers count lost, doubled and crossed calls.
//! No figure is taken from the entries' own counters, so a fault of the entries can't hide itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_core::Settings;
use serde_json::Value;

use crate::entry::{Entry, EntryOptions};

mod arrival;
mod call;
mod changes;
pub(crate) mod jobs;
mod load;
mod platform;
mod report;
mod tally;

pub use call::CallEnd;
pub(crate) use report::LocalReport;
pub use tally::{CallCounts, Contradictions, EndedCall};

use arrival::Schedule;
use changes::OperatorChanges;
use load::LoadGenerator;
use platform::StandInPlatform;

/// Longest time that `run` waits until all entries are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition that `run` waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two progress lines on standard output.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of the command line for one run of a site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalOptions {
    /// Time in seconds during which the load sends calls.
    pub(crate) seconds: u64,
    /// Seed of the load's random numbers; also the prefix of the call ids.
    pub(crate) seed: u64,
}

/// Starts a site from its merged settings document, puts it under load and returns the report.
///
/// While the load runs, the settings are changed once and every instance is maintained once. The
/// run prints its progress to standard output.
///
/// # Errors
///
/// Returns an error when a stand-in or an entry can't be started, or when the entries aren't ready
/// within [`READY_TIMEOUT`].
pub(crate) async fn run(
    document: &Value,
    settings: &Settings,
    options: LocalOptions,
) -> Result<LocalReport> {
    let platform = StandInPlatform::start(settings).await?;
    let document = platform.patch_document(document);
    let mut entries = Vec::new();
    for (name, entry_settings) in &settings.entries {
        let entry_options = EntryOptions {
            name: name.clone(),
            zone: entry_settings.zone.clone(),
            caller_address: platform::any_loopback_port(),
            peer_address: platform::any_loopback_port(),
            operator_address: platform::any_loopback_port(),
        };
        entries.push(Entry::start(document.clone(), entry_options).await?);
    }
    let entries = Arc::new(entries);
    wait_ready(&entries).await?;
    println!(
        "site {}: {} entries, {} backend servers, {} services; load for {} s, seed {}",
        settings.site,
        entries.len(),
        platform.backend_count(),
        settings.services.len(),
        options.seconds,
        options.seed
    );
    let schedule = Schedule::new(settings, options.seconds, options.seed);
    let load = Arc::new(LoadGenerator::new(Arc::clone(&entries), options.seed)?);
    let changes = OperatorChanges::new(&entries, &platform, settings, options.seconds);
    let (change_results, ()) = tokio::join!(
        changes.run(),
        run_load(&load, schedule, Duration::from_secs(options.seconds))
    );
    let report = LocalReport::new(settings, options, &load, &platform.runs(), &change_results);
    drop(load);
    stop_entries(entries).await;
    Ok(report)
}

async fn wait_ready(entries: &[Entry]) -> Result<()> {
    let start = Instant::now();
    while !entries.iter().all(Entry::is_ready) {
        ensure!(
            start.elapsed() < READY_TIMEOUT,
            "the entries weren't ready within {READY_TIMEOUT:?}; run the command on a less busy machine"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends all calls of the schedule, waits until each has ended, and prints progress meanwhile.
async fn run_load(load: &Arc<LoadGenerator>, schedule: Schedule, load_length: Duration) {
    let start = tokio::time::Instant::now();
    let send_task = tokio::spawn(Arc::clone(load).send(schedule, start));
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    while !(send_task.is_finished() && load.in_flight() == 0) {
        ticks.tick().await;
        let elapsed = start.elapsed().min(load_length);
        println!("  {:>3} s  {}", elapsed.as_secs(), load.progress());
    }
}

async fn stop_entries(entries: Arc<Vec<Entry>>) {
    let Some(entries) = Arc::into_inner(entries) else {
        return;
    };
    futures_util::future::join_all(entries.into_iter().map(Entry::stop)).await;
}
