//! Reads, merges and validates settings documents.

use schemars::{Schema, schema_for};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

use super::{Settings, validate};

/// One fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SettingsFault {
    /// JSON pointer (RFC 6901) to the value in the merged document.
    pub path: String,
    /// Description of the fault.
    pub problem: String,
    /// Allowed values.
    pub allowed: String,
    /// Action that corrects the fault.
    pub remedy: String,
}

impl SettingsFault {
    /// Creates a fault of the value at a path.
    #[must_use]
    pub fn new(path: String, problem: String, allowed: &str, remedy: &str) -> Self {
        Self {
            path,
            problem,
            allowed: allowed.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}: {}; allowed: {}; {}",
            self.path, self.problem, self.allowed, self.remedy
        )
    }
}

/// Error for a settings document that is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("settings have {} fault(s): {}", faults.len(), first_fault_text(faults))]
pub struct SettingsError {
    /// All faults that were found; at least one.
    pub faults: Vec<SettingsFault>,
}

fn first_fault_text(faults: &[SettingsFault]) -> String {
    faults.first().map(ToString::to_string).unwrap_or_default()
}

/// Merges an overlay into a base document as a JSON merge patch (RFC 7386).
#[must_use]
pub fn merge_documents(mut base: Value, overlay: &Value) -> Value {
    json_patch::merge(&mut base, overlay);
    base
}

/// Reads and validates a merged document.
///
/// # Errors
///
/// Returns [`SettingsError`] with the first value that doesn't fit its type, or with all faults
/// that the checks of the whole document find.
pub fn load_settings(document: &Value) -> Result<Settings, SettingsError> {
    let settings: Settings = serde_path_to_error::deserialize(document).map_err(|error| {
        let fault = SettingsFault::new(
            json_pointer(error.path()),
            error.inner().to_string(),
            "what docs/SETTINGS.md lists",
            "correct the value",
        );
        SettingsError {
            faults: vec![fault],
        }
    })?;
    let faults = validate::find_faults(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError { faults })
    }
}

/// Formats a path as a JSON pointer (RFC 6901).
fn json_pointer(path: &serde_path_to_error::Path) -> String {
    let mut pointer = String::new();
    for segment in path {
        pointer.push('/');
        pointer.push_str(&segment.to_string().replace('~', "~0").replace('/', "~1"));
    }
    pointer
}

/// Returns the JSON schema of the settings.
#[must_use]
pub fn settings_schema() -> Schema {
    schema_for!(Settings)
}
