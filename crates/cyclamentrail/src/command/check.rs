//! `cyclamentrail check`: reads, merges and validates the settings of a site.

use std::fmt;
use std::path::PathBuf;

use anyhow::{Result, bail};
use cyclamentrail_core::{Fault, load_settings, settings_schema};
use getopts::{Matches, Options};
use serde_json::Value;

use super::ExitStatus;
use super::documents::Documents;

mod known;
mod repair;
mod shape;

/// Longest value that a fault prints, in characters.
const MAX_VALUE_CHARS: usize = 80;
/// Faults of the same document that are looked for at most.
const MAX_ROUNDS: usize = 100;

/// A fault with the file that it comes from.
#[derive(Debug)]
pub(crate) struct LocatedFault {
    /// The file that gave the value.
    pub(crate) file: PathBuf,
    /// The value; `None` when it is missing.
    pub(crate) value: Option<Value>,
    /// The fault.
    pub(crate) fault: Fault,
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            path,
            problem,
            allowed,
            remedy,
        } = &self.fault;
        let value = self
            .value
            .as_ref()
            .map_or_else(|| String::from("nothing"), short);
        let file = self.file.display();
        write!(
            f,
            "{file}: {path}: {problem}; value: {value}; allowed: {allowed}; remedy: {remedy}"
        )
    }
}

fn short(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}

fn options() -> Options {
    let mut options = Options::new();
    Documents::add_options(&mut options);
    options.optflag("", "print", "print the effective settings as JSON");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_parsed("check", &options(), arguments, check)
}

fn check(matches: &Matches) -> Result<()> {
    let documents = Documents::from_matches(matches)?;
    let faults = documents.faults()?;
    for fault in &faults {
        eprintln!("{fault}");
    }
    if !faults.is_empty() {
        bail!("{} fault(s)", faults.len());
    }
    let (document, settings) = documents.load()?;
    if matches.opt_present("print") {
        println!("{document:#}");
        return Ok(());
    }
    println!(
        "site {}: {} zones, {} instances, {} pools, {} services, {} entries; no fault",
        settings.site,
        settings.zones.len(),
        settings.instance_racks().len(),
        settings.pools.len(),
        settings.services.len(),
        settings.entries.len(),
    );
    Ok(())
}

/// Returns every fault of a merged document: its shape first, then what the settings mean.
///
/// Values of a wrong shape are replaced by a neutral one, so that the meaning of the rest can be
/// checked in the same run; what such a value takes part in isn't reported twice.
///
/// # Errors
///
/// Returns an error when the schema itself can't be used.
pub(crate) fn faults(document: &Value) -> Result<Vec<Fault>> {
    let schema = settings_schema().to_value();
    let mut document = document.clone();
    let mut faults = Vec::new();
    let mut repaired = true;
    for found in shape::find(&schema, &document)? {
        repaired &= repair::apply(&mut document, &found);
        faults.push(found.fault);
    }
    for _ in 0..MAX_ROUNDS {
        let Err(error) = load_settings(&document) else {
            break;
        };
        let fresh: Vec<Fault> = error
            .faults
            .into_iter()
            .filter(|fault| !faults.iter().any(|known| overlaps(known, fault)))
            .collect();
        let meaning = serde_json::from_value::<cyclamentrail_core::Settings>(document.clone());
        let is_shape = meaning.is_err();
        if is_shape && (fresh.is_empty() || !repaired) {
            break;
        }
        for fault in &fresh {
            if is_shape {
                repair::replace(&mut document, &fault.path);
            }
        }
        faults.extend(fresh);
        if !is_shape {
            break;
        }
    }
    Ok(faults)
}

/// Returns whether one fault's value holds the other's.
fn overlaps(known: &Fault, fresh: &Fault) -> bool {
    let inside = |outer: &str, inner: &str| {
        inner
            .strip_prefix(outer)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    inside(&known.path, &fresh.path) || inside(&fresh.path, &known.path)
}
