//! Reads the settings documents that a command names.

use std::path::Path;

use anyhow::{Context, Result};
use cyclamentrail_core::merge_documents;
use serde_json::Value;

/// Reads a base document and merges the overlay into it.
///
/// # Errors
///
/// Returns which file can't be read and why.
pub(crate) fn read_merged(base: &Path, overlay: &Path) -> Result<Value> {
    let base = read(base)?;
    let overlay = read(overlay)?;
    Ok(merge_documents(base, &overlay))
}

fn read(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{} can't be read", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is not JSON", path.display()))
}
