//! A whole site in one process, on stand-ins of the platform, under load.
//!
//! The load and the backend servers count what was lost, doubled or crossed by themselves; nothing
//! is taken from the entries' own counters.

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
pub use tally::{Call, Counts, Wrongs};

use arrival::Schedule;
use changes::Changes;
use load::Load;
use platform::Platform;

/// Longest time until all entries are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What a run is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalOptions {
    /// Length of the load in seconds.
    pub(crate) seconds: u64,
    /// Seed of the load.
    pub(crate) seed: u64,
}

/// Runs a site with its merged settings document.
///
/// # Errors
///
/// Returns why the site can't be started.
pub(crate) async fn run(
    document: &Value,
    settings: &Settings,
    options: LocalOptions,
) -> Result<LocalReport> {
    let platform = Platform::start(settings).await?;
    let document = platform.document(document);
    let mut entries = Vec::new();
    for (name, listed) in &settings.entries {
        let entry_options = EntryOptions {
            name: name.clone(),
            zone: listed.zone.clone(),
            caller_address: platform::free_address(),
            peer_address: platform::free_address(),
            operator_address: platform::free_address(),
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
    let load = Arc::new(Load::new(Arc::clone(&entries), options.seed)?);
    let changes = Changes::new(&entries, &platform, settings, options.seconds);
    let (outcome, ()) = tokio::join!(
        changes.run(),
        drive(&load, schedule, Duration::from_secs(options.seconds))
    );
    let report = LocalReport::new(settings, options, &load, &platform.runs(), &outcome);
    drop(load);
    stop(entries).await;
    Ok(report)
}

async fn wait_ready(entries: &[Entry]) -> Result<()> {
    let start = Instant::now();
    while !entries.iter().all(Entry::is_ready) {
        ensure!(
            start.elapsed() < READY_TIMEOUT,
            "the entries weren't ready within {READY_TIMEOUT:?}; run it on a less busy machine"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends the whole schedule and waits for every answer, printing progress.
async fn drive(load: &Arc<Load>, schedule: Schedule, length: Duration) {
    let start = tokio::time::Instant::now();
    let sending = tokio::spawn(Arc::clone(load).send(schedule, start));
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    while !(sending.is_finished() && load.in_flight() == 0) {
        ticks.tick().await;
        let elapsed = start.elapsed().min(length);
        println!("  {:>3} s  {}", elapsed.as_secs(), load.progress());
    }
}

async fn stop(entries: Arc<Vec<Entry>>) {
    let Some(entries) = Arc::into_inner(entries) else {
        return;
    };
    futures_util::future::join_all(entries.into_iter().map(Entry::stop)).await;
}
