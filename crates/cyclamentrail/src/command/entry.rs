//! `cyclamentrail entry`: runs one entry process until SIGTERM or SIGINT.

use std::time::Duration;

use anyhow::Result;
use cyclamentrail_core::EntryName;
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

use super::documents::SettingsDocuments;
use super::{ExitStatus, parse_flag};
use crate::entry::{Entry, EntryError, EntryOptions};
use crate::logging::Logging;
use crate::timer::Timer;

/// Interval at which the log settings in force are applied to this process's log.
const LOG_SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(250);

fn options() -> Options {
    let mut options = Options::new();
    SettingsDocuments::add_required_options(&mut options);
    options.reqopt("", "name", "name of this entry", "NAME");
    options.optopt("", "caller-address", "listener for callers", "IP:PORT");
    options.optopt("", "peer-address", "listener for entries", "IP:PORT");
    options.optopt("", "operator-address", "listener for operators", "IP:PORT");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("entry", &options(), arguments, run_entry)
}

/// Runs the entry until a signal stops it; a second SIGTERM ends the graceful stop at once.
fn run_entry(matches: &Matches) -> Result<()> {
    let (document, settings) = SettingsDocuments::from_matches(matches)?.load()?;
    let name = EntryName::from(matches.opt_str("name").unwrap_or_default());
    let logging = Logging::start(&settings.log, name.as_str())?;
    let listed_entry = settings
        .entries
        .get(&name)
        .ok_or_else(|| EntryError::UnknownEntry(name.clone()))?;
    let entry_options = EntryOptions {
        zone: listed_entry.zone.clone(),
        caller_address: parse_flag(matches, "caller-address", "an IP address with a port")?
            .unwrap_or(listed_entry.caller_address),
        peer_address: parse_flag(matches, "peer-address", "an IP address with a port")?
            .unwrap_or(listed_entry.peer_address),
        operator_address: parse_flag(matches, "operator-address", "an IP address with a port")?
            .unwrap_or(listed_entry.operator_address),
        name,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let entry = Entry::start(document, entry_options).await?;
        println!(
            "listening callers={} peers={} operators={}",
            entry.caller_address(),
            entry.peer_address(),
            entry.operator_address()
        );
        let mut terminate = signal(SignalKind::terminate())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let timer = Timer::start();
        let mut log_settings_ticks = timer.every(LOG_SETTINGS_POLL_INTERVAL);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = tokio::signal::ctrl_c() => break,
                _ = hang_up.recv() => log::info!("hang_up_ignored"),
                () = log_settings_ticks.next() => apply_log_settings(&entry, &logging),
            }
        }
        tokio::select! {
            () = entry.stop() => {}
            _ = terminate.recv() => log::warn!("stopped_at_once"),
        }
        Ok(())
    })
}

fn apply_log_settings(entry: &Entry, logging: &Logging) {
    if let Some(settings) = entry.settings() {
        logging.apply(&settings.log);
    }
}
