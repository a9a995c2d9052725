//! The settings documents that a command names.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use cyclamentrail_core::{Settings, load_settings, merge_documents};
use getopts::{Matches, Options};
use serde_json::Value;

use super::UsageError;
use super::check::{LocatedFault, faults};

/// A base document with the overlay of a site.
#[derive(Debug)]
pub(crate) struct Documents {
    base_path: PathBuf,
    base: Value,
    overlay_path: PathBuf,
    overlay: Value,
}

impl Documents {
    /// Adds the options that name the files.
    pub(crate) fn add_options(options: &mut Options) {
        options.reqopt("", "settings", "base settings", "FILE");
        options.reqopt("", "overlay", "settings of the site", "FILE");
    }

    /// Adds the options that name the documents, for a command that can do without.
    pub(crate) fn add_optional_options(options: &mut Options) {
        options.optopt("", "settings", "base settings", "FILE");
        options.optopt("", "overlay", "settings of the site", "FILE");
    }

    /// Reads the files that the options name.
    ///
    /// # Errors
    ///
    /// Returns which files can't be read and why.
    pub(crate) fn from_matches(matches: &Matches) -> Result<Self> {
        let base_path: PathBuf = matches
            .opt_get("settings")?
            .ok_or_else(|| UsageError::new("--settings is missing"))?;
        let overlay_path: PathBuf = matches
            .opt_get("overlay")?
            .ok_or_else(|| UsageError::new("--overlay is missing"))?;
        match (read(&base_path), read(&overlay_path)) {
            (Ok(base), Ok(overlay)) => Ok(Self {
                base_path,
                base,
                overlay_path,
                overlay,
            }),
            (Err(first), Err(second)) => bail!("{first:#}\n{second:#}"),
            (Err(error), _) | (_, Err(error)) => Err(error),
        }
    }

    /// Returns the overlay merged into the base.
    pub(crate) fn merged(&self) -> Value {
        merge_documents(self.base.clone(), &self.overlay)
    }

    /// Returns every fault with the file that it comes from.
    ///
    /// # Errors
    ///
    /// Returns an error when the schema itself can't be used.
    pub(crate) fn faults(&self) -> Result<Vec<LocatedFault>> {
        let merged = self.merged();
        let located = faults(&merged)?
            .into_iter()
            .map(|fault| LocatedFault {
                file: self.file_of(&fault.path).to_path_buf(),
                value: merged.pointer(&fault.path).cloned(),
                fault,
            })
            .collect();
        Ok(located)
    }

    /// Returns the merged document and its settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, one a line.
    pub(crate) fn load(&self) -> Result<(Value, Settings)> {
        let faults = self.faults()?;
        if !faults.is_empty() {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            bail!("{} fault(s)\n{}", lines.len(), lines.join("\n"));
        }
        let merged = self.merged();
        let settings = load_settings(&merged)?;
        Ok((merged, settings))
    }

    /// Returns the file that gave the value at a path, or that its parent stands in.
    fn file_of(&self, path: &str) -> &Path {
        let mut rest = path;
        loop {
            if self.overlay.pointer(rest).is_some_and(|_| !rest.is_empty()) {
                return &self.overlay_path;
            }
            if self.base.pointer(rest).is_some() {
                return &self.base_path;
            }
            rest = rest.rsplit_once('/').map_or("", |(parent, _)| parent);
        }
    }
}

fn read(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path).with_context(|| {
        format!(
            "{}: the file can't be read; check its name and its permissions",
            path.display()
        )
    })?;
    let value: Value = serde_json::from_str(&text)
        .with_context(|| format!("{}: the file is not JSON; correct it", path.display()))?;
    if !value.is_object() {
        bail!(
            "{}: the document is not an object; start it with \"{{\"",
            path.display()
        );
    }
    Ok(value)
}
