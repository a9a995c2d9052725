//! `cyclamentrail publish`: changes the settings and waits until the change is in force.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use getopts::{Matches, Options};
use serde_json::{Value, json};

use super::client::{CallRefused, OperatorClient};
use super::explain::json_text;
use super::{ExitStatus, UsageError, parse_flag};

/// Default time in seconds to wait until a change is in force.
const DEFAULT_TIMEOUT_S: u64 = 30;
/// Interval between two queries of the entries on which the change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// HTTP status of a change that the fold rejected because another version is in force.
const CONFLICT: u16 = 409;

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_entry_option(&mut options);
    options.optopt("", "file", "JSON merge patch in a file", "FILE");
    options.optopt("", "patch", "JSON merge patch", "JSON");
    options.optopt(
        "",
        "operator",
        "name of the operator (default $USER)",
        "NAME",
    );
    options.optopt(
        "",
        "presumes",
        "version that the change is based on (default: the one in force)",
        "N",
    );
    options.optopt("", "timeout", "seconds to wait (default 30)", "N");
    options.optflag("", "json", "print JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("publish", &options(), arguments, publish)
}

fn publish(matches: &Matches) -> Result<()> {
    let patch = read_patch(matches)?;
    let presumes: Option<u64> = parse_flag(matches, "presumes", "a version")?;
    let timeout_s = parse_flag(matches, "timeout", "seconds")?.unwrap_or(DEFAULT_TIMEOUT_S);
    let timeout = Duration::from_secs(timeout_s);
    let operator = matches
        .opt_str("operator")
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| String::from("operator"));
    let client = OperatorClient::from_matches(matches)?.timeout(timeout);
    let start = Instant::now();
    let change = json!({"presumes": presumes, "patch": patch, "operator": operator});
    client
        .post("/v1/settings", &change)
        .map_err(|error| add_version_in_force(&client, error))?;
    let in_force = wait_until_in_force(&client, start, timeout)?;
    let report = PublishReport::new(&in_force, start.elapsed());
    if matches.opt_present("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    if !report.lagging.is_empty() {
        bail!(
            "not in force on every entry within {timeout_s} s: {}; check those entries, the change stays accepted",
            report.lagging.join(", ")
        );
    }
    Ok(())
}

fn read_patch(matches: &Matches) -> Result<Value> {
    let text = match (
        matches.opt_str("patch"),
        matches.opt_get::<PathBuf>("file")?,
    ) {
        (Some(text), None) => text,
        (None, Some(path)) => std::fs::read_to_string(&path)
            .with_context(|| format!("{} can't be read", path.display()))?,
        _ => return Err(UsageError::new("give either --file or --patch").into()),
    };
    let patch: Value =
        serde_json::from_str(&text).context("the patch is not JSON; correct it and try again")?;
    if !patch.is_object() {
        bail!("the patch is not an object; it would replace the whole settings");
    }
    Ok(patch)
}

/// Adds to a rejection by conflict which version is in force, by which operator, and the remedy.
fn add_version_in_force(client: &OperatorClient, error: anyhow::Error) -> anyhow::Error {
    let is_conflict = error
        .downcast_ref::<CallRefused>()
        .is_some_and(|refused| refused.status == CONFLICT);
    if !is_conflict {
        return error;
    }
    match client.get("/v1/settings/in-force") {
        Ok(in_force) => error.context(format!(
            "the change was rejected and nothing was changed; version {} by {} is in force, see `cyclamentrail explain change {}`; put your change on top of it and publish again",
            in_force["version"],
            json_text(&in_force["operator"]),
            in_force["version"],
        )),
        Err(_) => error,
    }
}

/// Polls until the newest settings are in force on every entry or the timeout has passed, and
/// returns the last response.
fn wait_until_in_force(
    client: &OperatorClient,
    start: Instant,
    timeout: Duration,
) -> Result<Value> {
    let mut in_force = client.get("/v1/settings/in-force")?;
    while in_force["everywhere"] != true && start.elapsed() < timeout {
        std::thread::sleep(POLL_INTERVAL);
        in_force = client.get("/v1/settings/in-force")?;
    }
    Ok(in_force)
}

/// Result of a publication: the entries on which the version is in force, and the others.
#[derive(Debug)]
struct PublishReport {
    version: Value,
    in_force_ms: u64,
    /// Entries that apply the version or a later one.
    current: Vec<String>,
    /// Live entries that don't apply the version yet.
    lagging: Vec<String>,
    /// Entries that don't apply the version and that the called entry doesn't count as live.
    not_live: Vec<String>,
}

impl PublishReport {
    fn new(in_force: &Value, elapsed: Duration) -> Self {
        let version = in_force["version"].clone();
        let mut report = Self {
            in_force_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            current: Vec::new(),
            lagging: Vec::new(),
            not_live: Vec::new(),
            version,
        };
        for member in in_force["members"].as_array().into_iter().flatten() {
            let entry = json_text(&member["entry"]);
            let is_current = member["settings_version"].as_u64() >= report.version.as_u64();
            if is_current {
                report.current.push(entry);
            } else if member["live"] == true {
                report.lagging.push(entry);
            } else {
                report.not_live.push(entry);
            }
        }
        report
    }

    fn json(&self) -> Value {
        json!({
            "version": self.version,
            "in_force_ms": self.in_force_ms,
            "in_force_on": self.current,
            "lagging": self.lagging,
            "not_heard_of": self.not_live,
        })
    }

    fn text(&self) -> String {
        let mut text = format!(
            "version {} in force on {} of {} live entries after {} ms\n",
            self.version,
            self.current.len(),
            self.current.len() + self.lagging.len(),
            self.in_force_ms
        );
        for (label, entries) in [("lagging", &self.lagging), ("not heard of", &self.not_live)] {
            if !entries.is_empty() {
                let _ = writeln!(text, "{label}: {}", entries.join(", "));
            }
        }
        text
    }
}
