//! `cyclamentrail state`: prints the state of an entry or of an edge process.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use anyhow::Result;
use getopts::{Matches, Options};
use serde_json::Value;

use super::ExitStatus;
use super::client::OperatorClient;
use super::explain::json_text;
use super::indented::format_indented;

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_entry_or_edge_options(&mut options);
    options.optflag("", "json", "print the whole state as JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("state", &options(), arguments, print_state)
}

fn print_state(matches: &Matches) -> Result<()> {
    let edge = OperatorClient::edge_from_matches(matches)?;
    let is_edge = edge.is_some();
    let client = match edge {
        Some(client) => client,
        None => OperatorClient::from_matches(matches)?,
    };
    let state = client.get("/state")?;
    if matches.opt_present("json") {
        println!("{state}");
    } else if is_edge {
        print!("{}", format_indented(&state));
    } else {
        print!("{}", summary(&state));
    }
    Ok(())
}

/// Summarizes the state of an entry: settings, fleet duty, members, and instances by pool and
/// state.
///
/// `--json` prints the whole state.
fn summary(state: &Value) -> String {
    let fleet = &state["fleet"];
    let settings = &fleet["settings"];
    let mut text = String::new();
    let _ = writeln!(
        text,
        "entry {} (process {}): {}",
        json_text(&state["entry"]),
        state["incarnation"],
        if state["may_dispatch"] == true {
            "ready"
        } else {
            "not ready, gives out no work"
        }
    );
    let _ = writeln!(
        text,
        "settings version {} by {} (offset {}); next record {}",
        settings["version"],
        json_text(&settings["operator"]),
        settings["offset"],
        fleet["next_offset"]
    );
    let _ = writeln!(
        text,
        "fleet duty: term {}, held by process {}",
        fleet["duty"]["term"], fleet["duty"]["holder"]
    );
    push_members(&mut text, fleet);
    push_pools(&mut text, fleet);
    text
}

fn push_members(text: &mut String, fleet: &Value) {
    text.push_str("members:\n");
    for pair in fleet["members"].as_array().into_iter().flatten() {
        let (incarnation, member) = (&pair[0], &pair[1]);
        let _ = writeln!(
            text,
            "  {:<8} {:<12} {:<22} process {incarnation}",
            json_text(&member["entry"]),
            json_text(&member["zone"]),
            json_text(&member["peer_address"]),
        );
    }
}

fn push_pools(text: &mut String, fleet: &Value) {
    let mut pools: BTreeMap<String, BTreeMap<String, Vec<String>>> = BTreeMap::new();
    for pair in fleet["instances"].as_array().into_iter().flatten() {
        let (name, instance) = (&pair[0], &pair[1]);
        pools
            .entry(json_text(&instance["pool"]))
            .or_default()
            .entry(state_name(&instance["state"]))
            .or_default()
            .push(json_text(name));
    }
    text.push_str("pools:\n");
    for (pool, states) in pools {
        let _ = writeln!(text, "  {pool}");
        for (state, instances) in states {
            let _ = writeln!(
                text,
                "    {state:<9} {:>3}  {}",
                instances.len(),
                instances.join(" ")
            );
        }
    }
}

/// Returns the name of an instance state, which in JSON is a string or an object with one key.
fn state_name(state: &Value) -> String {
    state
        .as_object()
        .and_then(|object| object.keys().next().cloned())
        .unwrap_or_else(|| json_text(state))
}
