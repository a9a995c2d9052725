//! Logs are lines of key=value pairs whose level and destination change while the entry runs.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cyclamentrail_testkit::{Site, TOKEN};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Longest time that a test waits for a line.
const PATIENCE: Duration = Duration::from_secs(20);

async fn start(destination: &str, level: &str) -> Result<Site> {
    Site::builder()
        .entries(1)
        .instances(2)
        .patch(json!({"log": {"destination": destination, "level": level}}))
        .start()
        .await
}

async fn change(site: &Site, patch: Value) -> Result<()> {
    let operators = site.entries[0].address("operators")?;
    let change = json!({"operator": "test", "patch": patch});
    let answer = site
        .client
        .post_json(operators, "/v1/settings", Some(TOKEN), &change)
        .await?;
    assert!(answer.status < 300, "{answer:?}");
    Ok(())
}

async fn wait_for(path: &std::path::Path, word: &str) -> Result<String> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text.contains(word) {
            return Ok(text);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("{word} never came into {}", path.display())
}

/// Splits a line into its pairs; quoted values may hold spaces.
fn keys(line: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut quoted = false;
    let mut escaped = false;
    let mut word = String::new();
    for character in line.chars().chain([' ']) {
        match character {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            ' ' if !quoted => {
                keys.push(word.split('=').next().unwrap_or_default().to_owned());
                word.clear();
            }
            _ => word.push(character),
        }
    }
    keys
}

#[tokio::test]
async fn key_values() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start(&path.to_string_lossy(), "info").await?;
    site.call(0, "no%20such%0Aservice", "call").await?;
    site.call(0, "missing", "call").await?;
    let text = wait_for(&path, "missing").await?;
    assert!(text.contains(r#"service="no such\nservice""#), "{text}");
    for line in text.lines() {
        let keys = keys(line);
        assert_eq!(keys[..4], ["time", "level", "process", "event"], "{line}");
        assert!(keys.iter().all(|key| !key.is_empty()), "{line}");
        let time = line.split(' ').next().unwrap_or_default();
        let time = time.strip_prefix("time=").unwrap_or_default();
        assert!(time.len() == 24 && time.ends_with('Z'), "{line}");
    }
    Ok(())
}

#[tokio::test]
async fn changes_live() -> Result<()> {
    let folder = TempDir::new()?;
    let first = folder.path().join("first.log");
    let second = folder.path().join("second.log");
    let site = start(&first.to_string_lossy(), "error").await?;
    site.call(0, "missing", "quiet").await?;
    assert_eq!(std::fs::read_to_string(&first)?, "");
    let patch = json!({"log": {"destination": second, "level": "info"}});
    change(&site, patch).await?;
    wait_for(&second, "log_settings_changed").await?;
    site.call(0, "missing", "loud").await?;
    wait_for(&second, "request_failed").await?;
    assert_eq!(std::fs::read_to_string(&first)?, "");
    Ok(())
}

#[tokio::test]
async fn bad_destination() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start(&path.to_string_lossy(), "info").await?;
    change(&site, json!({"log": {"destination": "/dev/null/no/file"}})).await?;
    wait_for(&path, "log_settings_kept").await?;
    site.call(0, "missing", "call").await?;
    wait_for(&path, "request_failed").await?;
    Ok(())
}

#[tokio::test]
async fn no_secrets() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start(&path.to_string_lossy(), "trace").await?;
    let operators = site.entries[0].address("operators")?;
    let authorised = json!({"operator": "test", "patch": {"region": 5}});
    site.client
        .post_json(operators, "/v1/settings", Some(TOKEN), &authorised)
        .await?;
    site.client
        .post_json(
            operators,
            "/v1/settings",
            Some("guess-of-token"),
            &authorised,
        )
        .await?;
    site.call(0, "checks", "call").await?;
    let text = wait_for(&path, "record_rejected").await?;
    assert!(!text.contains(TOKEN) && !text.contains("guess-of-token"));
    Ok(())
}
