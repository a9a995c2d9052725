//! `cyclamentrail wave`: creates, shows, pauses, resumes or cancels a maintenance wave.

use anyhow::Result;
use getopts::{Matches, Options};
use serde_json::json;

use super::client::OperatorClient;
use super::indented::format_indented;
use super::{ExitStatus, UsageError, required_value};

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_entry_option(&mut options);
    options.optopt("", "wave", "name of the wave", "NAME");
    options.optmulti("", "pool", "pool to maintain (default all)", "NAME");
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
    let usage = "wave create|show|pause|resume|cancel";
    super::run_command(usage, &options(), rest, |matches| {
        let client = OperatorClient::from_matches(matches)?;
        match action {
            "create" => create(&client, matches),
            "show" => show(&client, matches),
            "pause" | "resume" | "cancel" => control_wave(&client, matches, action),
            other => {
                let problem =
                    format!("{other:?} is no action; use create, show, pause, resume or cancel");
                Err(UsageError::new(problem).into())
            }
        }
    })
}

/// Splits the arguments of a command into its action and the rest; the action is `default` when the
/// first argument is an option or missing.
pub(super) fn split_action<'a>(
    arguments: &'a [String],
    default: &'a str,
) -> (&'a str, &'a [String]) {
    match arguments.split_first() {
        Some((action, rest)) if !action.starts_with('-') => (action, rest),
        _ => (default, arguments),
    }
}

/// Returns the operator's name for the change history: `--operator`, else `$USER`, else `operator`.
pub(super) fn operator_name(matches: &Matches) -> String {
    let default_name = || std::env::var("USER").unwrap_or_else(|_missing| String::from("operator"));
    matches.opt_str("operator").unwrap_or_else(default_name)
}

/// Prints a document as JSON on one line with `--json`, otherwise as indented lines.
pub(super) fn print_document(matches: &Matches, document: &serde_json::Value) {
    if matches.opt_present("json") {
        println!("{document}");
    } else {
        print!("{}", format_indented(document));
    }
}

fn create(client: &OperatorClient, matches: &Matches) -> Result<()> {
    let request = json!({
        "wave": required_value(matches, "wave")?,
        "pools": matches.opt_strs("pool"),
        "operator": operator_name(matches),
    });
    client.post("/v1/waves", &request)?;
    show(client, matches)
}

fn show(client: &OperatorClient, matches: &Matches) -> Result<()> {
    let path = matches.opt_str("wave").map_or_else(
        || String::from("/v1/waves"),
        |name| format!("/v1/waves/{name}"),
    );
    print_document(matches, &client.get(&path)?);
    Ok(())
}

fn control_wave(client: &OperatorClient, matches: &Matches, action: &str) -> Result<()> {
    let name = required_value(matches, "wave")?;
    let request = json!({"control": action, "operator": operator_name(matches)});
    client.post(&format!("/v1/waves/{name}/control"), &request)?;
    show(client, matches)
}
