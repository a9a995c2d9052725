//! `cyclamentrail entry`: runs one entry.

use std::time::Duration;

use anyhow::Result;
use cyclamentrail_core::EntryName;
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

use super::documents::Documents;
use super::{ExitStatus, flag};
use crate::entry::{Entry, EntryError, EntryOptions};
use crate::logging::Logging;
use crate::timer::Timer;

/// Interval between two looks at the log settings in force.
const LOG_SETTINGS_INTERVAL: Duration = Duration::from_millis(250);

fn options() -> Options {
    let mut options = Options::new();
    Documents::add_options(&mut options);
    options.reqopt("", "name", "name of this entry", "NAME");
    options.optopt("", "caller-address", "listener for callers", "IP:PORT");
    options.optopt("", "peer-address", "listener for entries", "IP:PORT");
    options.optopt("", "operator-address", "listener for operators", "IP:PORT");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_parsed("entry", &options(), arguments, serve)
}

fn serve(matches: &Matches) -> Result<()> {
    let (document, settings) = Documents::from_matches(matches)?.load()?;
    let name = EntryName::from(matches.opt_str("name").unwrap_or_default());
    let logging = Logging::start(&settings.log, name.as_str())?;
    let listed = settings
        .entries
        .get(&name)
        .ok_or_else(|| EntryError::UnknownEntry(name.clone()))?;
    let entry_options = EntryOptions {
        zone: listed.zone.clone(),
        caller_address: flag(matches, "caller-address", "an IP address with a port")?
            .unwrap_or(listed.caller_address),
        peer_address: flag(matches, "peer-address", "an IP address with a port")?
            .unwrap_or(listed.peer_address),
        operator_address: flag(matches, "operator-address", "an IP address with a port")?
            .unwrap_or(listed.operator_address),
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
        let mut ticks = timer.every(LOG_SETTINGS_INTERVAL);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = tokio::signal::ctrl_c() => break,
                _ = hang_up.recv() => log::info!("hang_up_ignored"),
                () = ticks.next() => follow_log_settings(&entry, &logging),
            }
        }
        tokio::select! {
            () = entry.stop() => {}
            _ = terminate.recv() => log::warn!("stopped_at_once"),
        }
        Ok(())
    })
}

fn follow_log_settings(entry: &Entry, logging: &Logging) {
    if let Some(settings) = entry.settings() {
        logging.apply(&settings.log);
    }
}
