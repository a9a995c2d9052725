//! `cyclamentrail edge`: runs an edge process on the users' platform, or checks its settings.

use anyhow::Result;
use cyclamentrail_adapter::ProcessSettings;
use cyclamentrail_jobs::RunTimeUses;
use getopts::{Matches, Options};

use super::ExitStatus;
use crate::edge;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file of the platform", "FILE");
    options.optopt(
        "",
        "run-time-uses",
        "decisions that use learned run times: admission, order, placement, pool_sizes, \
         retry_after, all or none (default)",
        "LIST",
    );
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("edge", &options(), arguments, run_process)
}

/// Runs the process until SIGTERM; with `--check`, only reads the settings.
fn run_process(matches: &Matches) -> Result<()> {
    let settings = match matches.opt_str("settings") {
        Some(path) => ProcessSettings::load_from(path.as_ref())?,
        None => ProcessSettings::load()?,
    };
    let run_time_uses = match matches.opt_str("run-time-uses") {
        Some(list) => list.parse()?,
        None => RunTimeUses::NONE,
    };
    if matches.opt_present("check") {
        println!(
            "node {} in zone {}: callers {}, store {}; no fault",
            settings.machine_name, settings.zone, settings.caller_listener, settings.store
        );
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(edge::run(settings, run_time_uses))
}
