//! The command line: dispatch to the commands, shared option parsing, usage errors and exit codes.

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
mod indented;
mod local;
mod pool;
mod publish;
mod state;
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

/// Result of a command, from which the exit code of the program is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did all that it was asked to do; exit code 0.
    Done,
    /// The command was refused or failed; exit code 1.
    Failed,
    /// The command line is invalid; exit code 2.
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

/// Runs the command that the program's arguments name; `arguments` excludes the program name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let Some((command, command_arguments)) = arguments.split_first() else {
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
        "check" => check::run(command_arguments),
        "edge" => edge::run(command_arguments),
        "entry" => entry::run(command_arguments),
        "explain" => explain::run(command_arguments),
        "local" => local::run(command_arguments),
        "publish" => publish::run(command_arguments),
        "pool" => pool::run(command_arguments),
        "state" => state::run(command_arguments),
        "wave" => wave::run(command_arguments),
        other => {
            eprintln!("cyclamentrail: unknown command \"{other}\"; run `cyclamentrail --help`");
            ExitStatus::Usage
        }
    }
}

/// An invalid command line, such as a missing flag or an unreadable value.
///
/// A command that returns this error ends with [`ExitStatus::Usage`].
#[derive(Debug, Error)]
#[error("{0}")]
pub(crate) struct UsageError(String);

impl UsageError {
    /// Creates an error whose message is `problem`.
    pub(crate) fn new(problem: impl Into<String>) -> Self {
        Self(problem.into())
    }
}

/// Returns the value of a flag that the command can't do without.
///
/// # Errors
///
/// Returns [`UsageError`] when the flag is omitted.
pub(crate) fn required_value(matches: &Matches, name: &str) -> Result<String, UsageError> {
    let missing = || UsageError::new(format!("--{name} is missing"));
    matches.opt_str(name).ok_or_else(missing)
}

/// Parses the value of a flag; returns `None` when the flag is omitted.
///
/// # Errors
///
/// Returns [`UsageError`] when the value can't be parsed; `expected` describes valid values in the
/// error message.
pub(crate) fn parse_flag<T: FromStr>(
    matches: &Matches,
    name: &str,
    expected: &str,
) -> Result<Option<T>, UsageError> {
    matches.opt_str(name).map_or(Ok(None), |text| {
        let problem = format!("--{name} takes {expected}, not {text:?}");
        text.parse().map(Some).map_err(|_error| UsageError(problem))
    })
}

/// Parses the options of a command without positional arguments and runs its action.
pub(crate) fn run_command(
    command: &str,
    options: &Options,
    arguments: &[String],
    action: impl FnOnce(&Matches) -> Result<()>,
) -> ExitStatus {
    run_with_positionals(command, "", 0, options, arguments, action)
}

/// Parses the options and positional arguments of a command and runs its action.
///
/// `positionals` describes the positional arguments in the usage line; more than
/// `max_positionals` of them are a usage error. `--help` and `--version` are handled before the
/// options are parsed, so that they work without the required options.
pub(crate) fn run_with_positionals(
    command: &str,
    positionals: &str,
    max_positionals: usize,
    options: &Options,
    arguments: &[String],
    action: impl FnOnce(&Matches) -> Result<()>,
) -> ExitStatus {
    let is_help_flag = |argument: &String| argument == "--help" || argument == "-h";
    if arguments.iter().any(is_help_flag) {
        let separator = if positionals.is_empty() { "" } else { " " };
        let brief = format!("Usage: cyclamentrail {command}{separator}{positionals} [options]");
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
    if let Some(argument) = matches.free.get(max_positionals) {
        eprintln!(
            "cyclamentrail {command}: unexpected argument \"{argument}\"; run `cyclamentrail {command} --help`"
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
