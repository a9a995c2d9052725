//! The command line.

use std::process::ExitCode;

use anyhow::Result;
use getopts::{Matches, Options};

mod client;
mod documents;
mod entry;
mod pool;
mod state;
mod wave;

const USAGE: &str = "\
cyclamentrail: fleet capacity and maintenance manager

Usage: cyclamentrail <command> [options]

Commands:
  entry    runs one entry
  pool     shows pools, or moves an instance to another pool
  state    prints the whole state of an entry
  wave     creates, shows, pauses, resumes or cancels a maintenance wave

Run `cyclamentrail <command> --help` for the options of a command.
Exit codes: 0 done, 1 refused or failed, 2 usage.
";

/// How the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Everything was done.
    Done,
    /// Something was refused or failed.
    Failed,
    /// The command line is wrong.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::Failed => Self::from(1),
            ExitStatus::Usage => Self::from(2),
        }
    }
}

/// Runs the program with its arguments, without the program's own name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let Some((command, rest)) = arguments.split_first() else {
        eprint!("{USAGE}");
        return ExitStatus::Usage;
    };
    match command.as_str() {
        "--help" | "-h" | "help" => {
            print!("{USAGE}");
            ExitStatus::Done
        }
        "--version" | "-V" => {
            println!("cyclamentrail {}", env!("CARGO_PKG_VERSION"));
            ExitStatus::Done
        }
        "entry" => entry::run(rest),
        "pool" => pool::run(rest),
        "state" => state::run(rest),
        "wave" => wave::run(rest),
        other => {
            eprintln!("cyclamentrail: unknown command \"{other}\"; run `cyclamentrail --help`");
            ExitStatus::Usage
        }
    }
}

/// Parses a command's arguments and runs its action.
pub(crate) fn run_parsed(
    command: &str,
    options: &Options,
    arguments: &[String],
    action: impl FnOnce(&Matches) -> Result<()>,
) -> ExitStatus {
    let asks_help = |argument: &String| argument == "--help" || argument == "-h";
    if arguments.iter().any(asks_help) {
        let brief = format!("Usage: cyclamentrail {command} [options]");
        print!("{}", options.usage(&brief));
        return ExitStatus::Done;
    }
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("cyclamentrail {command}: {error}; run `cyclamentrail {command} --help`");
            return ExitStatus::Usage;
        }
    };
    match action(&matches) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("cyclamentrail {command}: {error:#}");
            ExitStatus::Failed
        }
    }
}
