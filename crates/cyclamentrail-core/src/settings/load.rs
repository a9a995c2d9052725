//! Reads, merges and validates settings documents.

use schemars::{Schema, schema_for};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

use super::{Settings, validate};

/// One fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the value in the merged document.
    pub path: String,
    /// What is wrong, and what is allowed.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// Why a settings document is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("settings have {} fault(s): {}", faults.len(), first(faults))]
pub struct LoadError {
    /// All faults that were found.
    pub faults: Vec<Fault>,
}

fn first(faults: &[Fault]) -> String {
    faults.first().map(ToString::to_string).unwrap_or_default()
}

/// Merges an overlay into a base document as a JSON merge patch.
#[must_use]
pub fn merge_documents(mut base: Value, overlay: &Value) -> Value {
    json_patch::merge(&mut base, overlay);
    base
}

/// Reads and validates a merged document.
///
/// # Errors
///
/// Returns [`LoadError`] with every fault that was found.
pub fn load_settings(document: &Value) -> Result<Settings, LoadError> {
    let settings: Settings = serde_path_to_error::deserialize(document).map_err(|error| {
        let fault = Fault {
            path: error.path().to_string(),
            problem: error.inner().to_string(),
            remedy: String::from("correct the value; docs/SETTINGS.md lists what is allowed"),
        };
        LoadError {
            faults: vec![fault],
        }
    })?;
    let faults = validate::faults(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(LoadError { faults })
    }
}

/// Returns the JSON schema of the settings.
#[must_use]
pub fn settings_schema() -> Schema {
    schema_for!(Settings)
}
