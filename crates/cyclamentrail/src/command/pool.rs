//! `cyclamentrail pool`: shows pools, or moves an instance to another pool.

use anyhow::Result;
use getopts::{Matches, Options};
use serde_json::json;

use super::client::OperatorClient;
use super::wave::{operator_name, print_document, split_action};
use super::{ExitStatus, UsageError, required_value};

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_entry_option(&mut options);
    options.optopt("", "instance", "instance to move", "NAME");
    options.optopt("", "to", "pool to move it to", "NAME");
    options.optopt(
        "",
        "operator",
        "name of the operator (default $USER)",
        "NAME",
    );
    options.optflag("", "json", "print JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    let (action, rest) = split_action(arguments, "show");
    super::run_command("pool show|move", &options(), rest, |matches| {
        let client = OperatorClient::from_matches(matches)?;
        match action {
            "show" => show(&client, matches),
            "move" => request_move(&client, matches),
            other => {
                let problem = format!("{other:?} is no action; use show or move");
                Err(UsageError::new(problem).into())
            }
        }
    })
}

fn show(client: &OperatorClient, matches: &Matches) -> Result<()> {
    print_document(matches, &client.get("/v1/pools")?);
    Ok(())
}

fn request_move(client: &OperatorClient, matches: &Matches) -> Result<()> {
    let instance = required_value(matches, "instance")?;
    let to = required_value(matches, "to")?;
    let request = json!({"instance": instance, "to": to, "operator": operator_name(matches)});
    client.post("/v1/moves", &request)?;
    print_document(
        matches,
        &client.get(&format!("/v1/explain/instances/{instance}"))?,
    );
    Ok(())
}
