//! `cyclamentrail check`: reads, merges and validates the settings of a site.

use std::fmt;
use std::path::PathBuf;

use anyhow::{Result, bail};
use cyclamentrail_core::{SettingsFault, load_settings, settings_schema};
use getopts::{Matches, Options};
use serde_json::Value;

use super::ExitStatus;
use super::documents::SettingsDocuments;

mod repair;
mod schema_faults;
mod schema_lookup;

/// Length in characters at which a fault's value is truncated in the output.
const MAX_VALUE_CHARS: usize = 80;
/// Limit on the rounds in which [`find_faults`] loads the document and replaces malformed values.
///
/// Each round reports at least one more value, since the loader stops at the first value that it
/// can't deserialize.
const MAX_REPAIR_ROUNDS: usize = 100;

/// A fault of the settings with its value and the file that it was read from.
#[derive(Debug)]
pub(crate) struct LocatedFault {
    /// File that holds the value or, when the value is missing, its nearest existing parent.
    pub(crate) file: PathBuf,
    /// Value at the path of the fault; `None` when it is missing.
    pub(crate) value: Option<Value>,
    /// Path, problem, allowed values and remedy.
    pub(crate) fault: SettingsFault,
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsFault {
            path,
            problem,
            allowed,
            remedy,
        } = &self.fault;
        let value = self
            .value
            .as_ref()
            .map_or_else(|| String::from("nothing"), truncated);
        let file = self.file.display();
        write!(
            f,
            "{file}: {path}: {problem}; value: {value}; allowed: {allowed}; remedy: {remedy}"
        )
    }
}

fn truncated(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}

fn options() -> Options {
    let mut options = Options::new();
    SettingsDocuments::add_required_options(&mut options);
    options.optflag("", "print", "print the effective settings as JSON");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_command("check", &options(), arguments, check)
}

fn check(matches: &Matches) -> Result<()> {
    let documents = SettingsDocuments::from_matches(matches)?;
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

/// Returns every fault of a merged document: violations of the schema first, then faults that the
/// validation of the loaded settings finds.
///
/// A value that violates the schema is replaced by a placeholder, so that the rest of the document
/// can be loaded and validated in the same run. Faults at, above or below the path of a fault that
/// was already found are dropped, since the placeholder may have caused them.
///
/// # Errors
///
/// Returns an error when the schema of the settings is itself invalid.
pub(crate) fn find_faults(document: &Value) -> Result<Vec<SettingsFault>> {
    let schema = settings_schema().to_value();
    let mut document = document.clone();
    let mut faults = Vec::new();
    let mut all_repaired = true;
    for schema_fault in schema_faults::find_schema_faults(&schema, &document)? {
        all_repaired &= repair::repair_fault(&mut document, &schema_fault);
        faults.push(schema_fault.fault);
    }
    for _ in 0..MAX_REPAIR_ROUNDS {
        let Err(error) = load_settings(&document) else {
            break;
        };
        let new_faults: Vec<SettingsFault> = error
            .faults
            .into_iter()
            .filter(|fault| !faults.iter().any(|known| overlaps(known, fault)))
            .collect();
        let parsed = serde_json::from_value::<cyclamentrail_core::Settings>(document.clone());
        let is_malformed = parsed.is_err();
        if is_malformed && (new_faults.is_empty() || !all_repaired) {
            break;
        }
        for fault in &new_faults {
            if is_malformed {
                repair::replace_value(&mut document, &fault.path);
            }
        }
        faults.extend(new_faults);
        if !is_malformed {
            break;
        }
    }
    Ok(faults)
}

/// Returns whether the paths of two faults are equal or one contains the other.
fn overlaps(known: &SettingsFault, candidate: &SettingsFault) -> bool {
    let contains_path = |outer: &str, inner: &str| {
        inner
            .strip_prefix(outer)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    contains_path(&known.path, &candidate.path) || contains_path(&candidate.path, &known.path)
}
