//! The operators' changes under way: a change of settings, then a maintenance wave.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cyclamentrail_core::{Settings, Version};
use serde_json::{Value, json};

use super::POLL_INTERVAL;
use super::platform::Platform;
use crate::command::OperatorClient;
use crate::entry::Entry;

/// Longest time that a change may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that the wave may take.
const WAVE_TIMEOUT: Duration = Duration::from_mins(2);
/// Name of the wave.
const WAVE: &str = "local";
/// Interval between two looks at the state.
const STATE_INTERVAL: Duration = Duration::from_millis(50);
/// The change of settings comes after this part of the load.
const CHANGE_PART: u32 = 8;

/// What the changes came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Changed {
    /// Time in milliseconds until the change was in force on all entries.
    pub(super) settings_in_force_ms: Option<u64>,
    /// Time in milliseconds that the wave took.
    pub(super) wave_ms: Option<u64>,
    /// Instances that changed their pool.
    pub(super) moves: u64,
    /// What went wrong.
    pub(super) problems: Vec<String>,
}

/// Makes the changes while the load runs.
#[derive(Debug)]
pub(super) struct Changes<'a> {
    entries: &'a [Entry],
    platform: &'a Platform,
    settings: &'a Settings,
    pause: Duration,
}

impl<'a> Changes<'a> {
    /// Creates the changes for a load of some length.
    pub(super) fn new(
        entries: &'a [Entry],
        platform: &'a Platform,
        settings: &'a Settings,
        seconds: u64,
    ) -> Self {
        Self {
            entries,
            platform,
            settings,
            pause: Duration::from_secs(seconds) / CHANGE_PART,
        }
    }

    /// Makes the changes one after the other.
    pub(super) async fn run(self) -> Changed {
        let mut changed = Changed::default();
        tokio::time::sleep(self.pause).await;
        match self.change_settings().await {
            Ok(took) => {
                println!("        settings change in force on all entries after {took} ms");
                changed.settings_in_force_ms = Some(took);
            }
            Err(error) => changed.problems.push(format!("settings change: {error:#}")),
        }
        match self.wave().await {
            Ok(took) => changed.wave_ms = Some(took),
            Err(error) => changed.problems.push(format!("wave: {error:#}")),
        }
        match self.moves().await {
            Ok(moves) => changed.moves = moves,
            Err(error) => changed.problems.push(format!("moves: {error:#}")),
        }
        changed
    }

    fn client(&self) -> Result<OperatorClient> {
        let entry = self.entries.first().context("the site has no entry")?;
        Ok(OperatorClient::new(
            entry.operator_address(),
            self.platform.token().to_owned(),
        ))
    }

    async fn change_settings(&self) -> Result<u64> {
        let before = self.entries.iter().map(Entry::settings_version).max();
        let wanted = before.unwrap_or_default().next();
        let start = Instant::now();
        let change = json!({
            "operator": "local",
            "patch": {"requests": {"max_waiting": self.settings.requests.max_waiting + 1}},
        });
        self.client()?
            .send("POST", "/v1/settings", Some(&change))
            .await?;
        while self.oldest_version() < wanted {
            if start.elapsed() > CHANGE_TIMEOUT {
                bail!("not in force on all entries within {CHANGE_TIMEOUT:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(millis(start))
    }

    fn oldest_version(&self) -> Version {
        let versions = self.entries.iter().map(Entry::settings_version);
        versions.min().unwrap_or_default()
    }

    /// Maintains every instance of the site in one wave.
    async fn wave(&self) -> Result<u64> {
        let start = Instant::now();
        let request = json!({"wave": WAVE, "operator": "local"});
        self.client()?
            .send("POST", "/v1/waves", Some(&request))
            .await?;
        let path = format!("/v1/waves/{WAVE}");
        loop {
            let explanation = self.client()?.send("GET", &path, None).await?;
            if explanation["state"] == "ended" {
                let took = millis(start);
                println!(
                    "        wave over {} instances ended after {took} ms",
                    explanation["done"]
                );
                return Ok(took);
            }
            if start.elapsed() > WAVE_TIMEOUT {
                bail!(
                    "{} instances done and {} waiting after {WAVE_TIMEOUT:?}: {}",
                    explanation["done"],
                    explanation["pending"],
                    explanation["waits_for"]
                );
            }
            tokio::time::sleep(STATE_INTERVAL).await;
        }
    }

    async fn state(&self) -> Result<Value> {
        self.client()?.send("GET", "/state", None).await
    }

    /// Returns how many moves between pools were finished.
    async fn moves(&self) -> Result<u64> {
        let state = self.state().await?;
        state["fleet"]["waves"]["moves_done"]
            .as_u64()
            .context("the state shows no moves")
    }
}

fn millis(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
