//! The command line.

use std::process::ExitCode;
use std::str::FromStr;

use anyhow::Result;
use getopts::{Matches, Options};
use thiserror::Error;

mod check;
mod client;
mod documents;
mod edge;
mod entry;
mod explain;
mod local;
mod pool;
mod publish;
mod state;
mod text;
mod wave;

pub(crate) use client::OperatorClient;

const USAGE: &str = "\
cyclamentrail: fleet capacity and maintenance manager

Usage: cyclamentrail <command> [options]

Commands:
  check    reads, merges and validates the settings of a site
  edge     runs one process of the system on the users' platform
  entry    runs one entry
  explain  explains one request, instance, wave, change or job
  local    runs a whole site in this process, under load
  pool     shows pools, or moves an instance to another pool
  publish  changes the settings and waits until the change is in force
  state    prints the state of an entry
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
            print_version();
            ExitStatus::Done
        }
        "check" => check::run(rest),
        "edge" => edge::run(rest),
        "entry" => entry::run(rest),
        "explain" => explain::run(rest),
        "local" => local::run(rest),
        "publish" => publish::run(rest),
        "pool" => pool::run(rest),
        "state" => state::run(rest),
        "wave" => wave::run(rest),
        other => {
            eprintln!("cyclamentrail: unknown command \"{other}\"; run `cyclamentrail --help`");
            ExitStatus::Usage
        }
    }
}

/// A flag whose value can't be used.
#[derive(Debug, Error)]
#[error("{0}")]
pub(crate) struct UsageError(String);

impl UsageError {
    /// Creates an error that says what is wrong with the command line.
    pub(crate) fn new(problem: impl Into<String>) -> Self {
        Self(problem.into())
    }
}

/// Returns the value of a flag, or `None` when it is left out.
///
/// # Errors
///
/// Returns [`UsageError`] when the value can't be read; `wanted` says what it should be.
pub(crate) fn flag<T: FromStr>(
    matches: &Matches,
    name: &str,
    wanted: &str,
) -> Result<Option<T>, UsageError> {
    matches.opt_str(name).map_or(Ok(None), |text| {
        let problem = format!("--{name} takes {wanted}, not {text:?}");
        text.parse().map(Some).map_err(|_error| UsageError(problem))
    })
}

/// Parses a command's options and runs its action.
pub(crate) fn run_parsed(
    command: &str,
    options: &Options,
    arguments: &[String],
    action: impl FnOnce(&Matches) -> Result<()>,
) -> ExitStatus {
    run_with_words(command, "", 0, options, arguments, action)
}

/// Parses the options and words of a command and runs its action; `words` describes the words.
pub(crate) fn run_with_words(
    command: &str,
    words: &str,
    max_words: usize,
    options: &Options,
    arguments: &[String],
    action: impl FnOnce(&Matches) -> Result<()>,
) -> ExitStatus {
    let asks_help = |argument: &String| argument == "--help" || argument == "-h";
    if arguments.iter().any(asks_help) {
        let gap = if words.is_empty() { "" } else { " " };
        let brief = format!("Usage: cyclamentrail {command}{gap}{words} [options]");
        print!("{}", options.usage(&brief));
        return ExitStatus::Done;
    }
    if arguments.iter().any(|argument| argument == "--version") {
        print_version();
        return ExitStatus::Done;
    }
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("cyclamentrail {command}: {error}; run `cyclamentrail {command} --help`");
            return ExitStatus::Usage;
        }
    };
    if let Some(argument) = matches.free.get(max_words) {
        eprintln!(
            "cyclamentrail {command}: \"{argument}\" is one argument too many; run `cyclamentrail {command} --help`"
        );
        return ExitStatus::Usage;
    }
    match action(&matches) {
        Ok(()) => ExitStatus::Done,
        Err(error) if error.is::<UsageError>() => {
            eprintln!("cyclamentrail {command}: {error}; run `cyclamentrail {command} --help`");
            ExitStatus::Usage
        }
        Err(error) => {
            eprintln!("cyclamentrail {command}: {error:#}");
            ExitStatus::Failed
        }
    }
}

fn print_version() {
    println!("cyclamentrail {}", env!("CARGO_PKG_VERSION"));
}
