//! Tests the log: lines of key=value pairs, with a level and a destination that settings change while
//! the entry runs.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cyclamentrail_testkit::{Site, TOKEN};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Longest time that a test waits for a word in a log file.
const MAX_WAIT: Duration = Duration::from_secs(20);

async fn start_site(destination: &str, level: &str) -> Result<Site> {
    Site::builder()
        .entries(1)
        .instances(2)
        .patch(json!({"log": {"destination": destination, "level": level}}))
        .start()
        .await
}

async fn publish_patch(site: &Site, patch: Value) -> Result<()> {
    let operators = site.entries[0].address("operators")?;
    let change = json!({"operator": "test", "patch": patch});
    let response = site
        .client
        .post_json(operators, "/v1/settings", Some(TOKEN), &change)
        .await?;
    assert!(response.status < 300, "{response:?}");
    Ok(())
}

async fn wait_for_word(path: &std::path::Path, word: &str) -> Result<String> {
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text.contains(word) {
            return Ok(text);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("{word} didn't appear in {}", path.display())
}

/// Returns the keys of a line's pairs; quoted values may hold spaces and escaped quotes.
fn line_keys(line: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut is_quoted = false;
    let mut is_escaped = false;
    let mut word = String::new();
    for character in line.chars().chain([' ']) {
        match character {
            _ if is_escaped => is_escaped = false,
            '\\' if is_quoted => is_escaped = true,
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => {
                keys.push(word.split('=').next().unwrap_or_default().to_owned());
                word.clear();
            }
            _ => word.push(character),
        }
    }
    keys
}

#[tokio::test]
async fn lines_hold_pairs() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start_site(&path.to_string_lossy(), "info").await?;
    site.call(0, "no%20such%0Aservice", "call").await?;
    site.call(0, "missing", "call").await?;
    let text = wait_for_word(&path, "missing").await?;
    assert!(text.contains(r#"service="no such\nservice""#), "{text}");
    for line in text.lines() {
        let keys = line_keys(line);
        assert_eq!(keys[..4], ["time", "level", "process", "event"], "{line}");
        assert!(keys.iter().all(|key| !key.is_empty()), "{line}");
        let time = line.split(' ').next().unwrap_or_default();
        let time = time.strip_prefix("time=").unwrap_or_default();
        assert!(time.len() == 24 && time.ends_with('Z'), "{line}");
    }
    Ok(())
}

#[tokio::test]
async fn log_change_applied() -> Result<()> {
    let folder = TempDir::new()?;
    let first = folder.path().join("first.log");
    let second = folder.path().join("second.log");
    let site = start_site(&first.to_string_lossy(), "error").await?;
    site.call(0, "missing", "quiet").await?;
    assert_eq!(std::fs::read_to_string(&first)?, "");
    let patch = json!({"log": {"destination": second, "level": "info"}});
    publish_patch(&site, patch).await?;
    wait_for_word(&second, "log_settings_changed").await?;
    site.call(0, "missing", "loud").await?;
    wait_for_word(&second, "request_failed").await?;
    assert_eq!(std::fs::read_to_string(&first)?, "");
    Ok(())
}

#[tokio::test]
async fn bad_destination_keeps_log() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start_site(&path.to_string_lossy(), "info").await?;
    publish_patch(&site, json!({"log": {"destination": "/dev/null/no/file"}})).await?;
    wait_for_word(&path, "log_settings_kept").await?;
    site.call(0, "missing", "call").await?;
    wait_for_word(&path, "request_failed").await?;
    Ok(())
}

#[tokio::test]
async fn tokens_not_logged() -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("entry.log");
    let site = start_site(&path.to_string_lossy(), "trace").await?;
    let operators = site.entries[0].address("operators")?;
    let invalid_change = json!({"operator": "test", "patch": {"region": 5}});
    site.client
        .post_json(operators, "/v1/settings", Some(TOKEN), &invalid_change)
        .await?;
    site.client
        .post_json(
            operators,
            "/v1/settings",
            Some("guess-of-token"),
            &invalid_change,
        )
        .await?;
    site.call(0, "checks", "call").await?;
    let text = wait_for_word(&path, "record_rejected").await?;
    assert!(!text.contains(TOKEN) && !text.contains("guess-of-token"));
    Ok(())
}
