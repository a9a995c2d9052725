//! Tests that the committed schema and settings page match the settings types.
//!
//! `UPDATE_PAGES=1 cargo test -p cyclamentrail --test schema_current` writes them anew.

use std::path::{Path, PathBuf};

use anyhow::Result;
use rstest::rstest;
use serde_json::Value;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn assert_current(path: &Path, current: &str) -> Result<()> {
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(path, current)?;
    }
    let committed = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(
        committed,
        current,
        "{} is outdated; run this test with UPDATE_PAGES=1",
        path.display()
    );
    Ok(())
}

fn schema_text() -> Result<String> {
    let schema = cyclamentrail::core::settings_schema();
    Ok(format!("{}\n", serde_json::to_string_pretty(&schema)?))
}

#[test]
fn schema_file_current() -> Result<()> {
    assert_current(
        &repository_root().join("schema/settings.schema.json"),
        &schema_text()?,
    )
}

#[test]
fn settings_page_current() -> Result<()> {
    assert_current(
        &repository_root().join("docs/SETTINGS.md"),
        &cyclamentrail::settings_page(),
    )
}

#[rstest]
fn sites_match_schema(#[values("garza", "corran")] site: &str) -> Result<()> {
    let read = |name: &str| -> Result<Value> {
        let path = repository_root().join("sites").join(name);
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    };
    let merged =
        cyclamentrail::core::merge_documents(read("base.json")?, &read(&format!("{site}.json"))?);
    let schema: Value = serde_json::from_str(&schema_text()?)?;
    let validator = jsonschema::validator_for(&schema)?;
    let faults: Vec<String> = validator
        .iter_errors(&merged)
        .map(|error| error.to_string())
        .collect();
    assert_eq!(faults, Vec::<String>::new());
    Ok(())
}
