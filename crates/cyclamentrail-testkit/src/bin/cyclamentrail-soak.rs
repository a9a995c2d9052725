//! Plays soaks: real processes under load, with faults drawn from a seed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use cyclamentrail_testkit::{Soak, SoakReport};
use getopts::{Matches, Options};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "seed",
        "seed of the faults and the load (default 1)",
        "N",
    );
    options.optopt("", "seconds", "time with faults and load (default 20)", "N");
    options.optopt("", "processes", "number of processes (default 4)", "N");
    options.optopt("", "report", "file for the report in JSON", "FILE");
    options.optopt(
        "",
        "logs",
        "folder for the output of the processes",
        "FOLDER",
    );
    options.optflag("", "compound", "add compound faults, such as late calls");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> Result<ExitCode> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: cyclamentrail-soak [options]"));
        return Ok(ExitCode::SUCCESS);
    }
    let soak = soak_of(&matches)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(soak.run())?;
    if let Some(path) = matches.opt_str("report") {
        std::fs::write(&path, serde_json::to_string_pretty(&report)?)
            .with_context(|| format!("{path} can't be written; name another file"))?;
    }
    Ok(print_verdict(&report))
}

fn soak_of(matches: &Matches) -> Result<Soak> {
    let seed = number(matches, "seed")?.unwrap_or(1);
    let mut soak = Soak::new(seed);
    if let Some(seconds) = number(matches, "seconds")? {
        soak = soak.duration(Duration::from_secs(seconds));
    }
    if let Some(processes) = number(matches, "processes")? {
        soak = soak.processes(usize::try_from(processes)?.max(1));
    }
    if matches.opt_present("compound") {
        soak = soak.compound_faults();
    }
    if let Some(logs) = matches.opt_str("logs") {
        soak = soak.logs(PathBuf::from(logs));
    }
    Ok(soak)
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>> {
    let parse = |text: String| {
        let problem = format!("--{name} takes a number, not {text:?}");
        text.parse().context(problem)
    };
    matches.opt_str(name).map(parse).transpose()
}

fn print_verdict(report: &SoakReport) -> ExitCode {
    println!(
        "seed={} processes={} jobs={} accepted={} runs={} faults={} crossed={} calls={} keys_revoked={} keys_refused={} violations={}",
        report.seed,
        report.processes,
        report.submitted_jobs,
        report.accepted_jobs,
        report.runs,
        report.faults.len(),
        report.crossed_calls,
        report.calls,
        report.revoked_keys,
        report.refused_keys,
        report.violations.len()
    );
    if report.violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    for violation in &report.violations {
        println!("violation {violation:?}");
    }
    println!("logs {}", report.logs.display());
    println!("again {}", report.command);
    ExitCode::FAILURE
}
