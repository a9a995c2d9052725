//! `cyclamentrail local`: runs a whole site, or jobs on a stand-in platform, in one process under
//! load.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use cyclamentrail_core::{LogLevel, LogSettings};
use getopts::{Matches, Options};

use super::documents::SettingsDocuments;
use super::{ExitStatus, UsageError, parse_flag};
use crate::local::{self, LocalOptions};
use crate::logging::Logging;

/// Default duration of the load in seconds.
const DEFAULT_SECONDS: u64 = 10;
/// Longest allowed duration of the load in seconds.
const MAX_SECONDS: u64 = 3600;
/// Default seed of the load's random numbers.
const DEFAULT_SEED: u64 = 1;
/// Worker threads of the runtime that runs the stand-ins and the load.
const RUNTIME_THREADS: usize = 4;

fn options() -> Options {
    let mut options = Options::new();
    SettingsDocuments::add_optional_options(&mut options);
    options.optopt("", "seconds", "length of the load (default 10)", "N");
    options.optopt("", "seed", "seed of the load (default 1)", "N");
    options.optopt("", "report", "write the report as JSON", "FILE");
    options.optopt("", "log", "write the entries' logs, at level info", "FILE");
    options.optflag(
        "",
        "jobs",
        "run jobs on a stand-in of the users' platform instead of a site",
    );
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("local", &options(), arguments, run_site)
}

fn run_site(matches: &Matches) -> Result<()> {
    let seconds = parse_flag(matches, "seconds", "1 to 3600")?.unwrap_or(DEFAULT_SECONDS);
    if !(1..=MAX_SECONDS).contains(&seconds) {
        return Err(
            UsageError(format!("--seconds takes 1 to {MAX_SECONDS}, not {seconds}")).into(),
        );
    }
    if matches.opt_present("jobs") {
        return run_jobs(seconds, matches.opt_str("log"));
    }
    let seed = parse_flag(matches, "seed", "a number")?.unwrap_or(DEFAULT_SEED);
    let local_options = LocalOptions { seconds, seed };
    let report_path: Option<PathBuf> = matches.opt_get("report")?;
    let (mut document, settings) = SettingsDocuments::from_matches(matches)?.load()?;
    let log_settings = log_settings(matches.opt_str("log"));
    document["log"] = serde_json::to_value(&log_settings)?;
    let _logging = Logging::start(&log_settings, "local")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()?;
    let report = runtime.block_on(local::run(&document, &settings, local_options))?;
    print!("{report}");
    if let Some(path) = report_path {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(&path, format!("{text}\n")).with_context(|| {
            format!(
                "{} can't be written; choose another --report",
                path.display()
            )
        })?;
    }
    let faults = report.faults();
    if !faults.is_empty() {
        bail!("{}", faults.join(", "));
    }
    Ok(())
}

fn run_jobs(seconds: u64, log: Option<String>) -> Result<()> {
    let _logging = Logging::start(&log_settings(log), "local")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()?;
    let report = runtime.block_on(local::jobs::run(seconds))?;
    print!("{report}");
    if report.has_faults() {
        bail!("jobs were lost, or tasks were done twice");
    }
    Ok(())
}

/// Returns log settings that write level info to the given file, or level error to standard error.
fn log_settings(path: Option<String>) -> LogSettings {
    match path {
        Some(destination) => LogSettings {
            level: LogLevel::Info,
            destination,
        },
        None => LogSettings {
            level: LogLevel::Error,
            destination: String::from("stderr"),
        },
    }
}
