//! The command line.

use std::process::ExitCode;

mod documents;
mod entry;

const USAGE: &str = "\
cyclamentrail: fleet capacity and maintenance manager

Usage: cyclamentrail <command> [options]

Commands:
  entry    runs one entry

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
        other => {
            eprintln!("cyclamentrail: unknown command \"{other}\"; run `cyclamentrail --help`");
            ExitStatus::Usage
        }
    }
}
