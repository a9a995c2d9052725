//! `cyclamentrail state`: prints the whole state of an entry.

use anyhow::Result;
use getopts::{Matches, Options};

use super::ExitStatus;
use super::client::OperatorClient;

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_options(&mut options);
    options.optflag("", "json", "print JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_parsed("state", &options(), arguments, print_state)
}

fn print_state(matches: &Matches) -> Result<()> {
    let state = OperatorClient::from_matches(matches)?.get("/state")?;
    if matches.opt_present("json") {
        println!("{state}");
    } else {
        println!("{state:#}");
    }
    Ok(())
}
