//! Changes that an operator makes while the load runs: a change of settings, then a maintenance wave
//! over all instances.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cyclamentrail_core::{Settings, Version};
use serde_json::{Value, json};

use super::POLL_INTERVAL;
use super::platform::StandInPlatform;
use crate::command::OperatorClient;
use crate::entry::Entry;

/// Longest time until a change of settings is in force on all entries.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until the wave has ended.
const WAVE_TIMEOUT: Duration = Duration::from_mins(2);
const WAVE_NAME: &str = "local";
/// Interval between two requests for the wave's state.
const WAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Divisor of the load's length: the settings are changed after an eighth of the load.
const CHANGE_DELAY_DIVISOR: u32 = 8;

/// Results of the operator's changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct ChangeResults {
    /// Time in milliseconds until the change of settings was in force on all entries; `None` when it
    /// failed.
    pub(super) settings_in_force_ms: Option<u64>,
    /// Time in milliseconds that the wave took; `None` when it failed.
    pub(super) wave_ms: Option<u64>,
    /// Finished moves of instances between pools, from the entry's state.
    pub(super) finished_moves: u64,
    /// Error text of each change that failed.
    pub(super) problems: Vec<String>,
}

/// An operator who changes the settings and starts a maintenance wave while the load runs.
#[derive(Debug)]
pub(super) struct OperatorChanges<'a> {
    entries: &'a [Entry],
    platform: &'a StandInPlatform,
    settings: &'a Settings,
    change_delay: Duration,
}

impl<'a> OperatorChanges<'a> {
    /// Creates the changes for a load of `seconds` seconds.
    pub(super) fn new(
        entries: &'a [Entry],
        platform: &'a StandInPlatform,
        settings: &'a Settings,
        seconds: u64,
    ) -> Self {
        Self {
            entries,
            platform,
            settings,
            change_delay: Duration::from_secs(seconds) / CHANGE_DELAY_DIVISOR,
        }
    }

    /// Makes the changes one after the other and returns their results. A failed change doesn't stop
    /// the following ones.
    pub(super) async fn run(self) -> ChangeResults {
        let mut results = ChangeResults::default();
        tokio::time::sleep(self.change_delay).await;
        match self.change_settings().await {
            Ok(took_ms) => {
                println!("        settings change in force on all entries after {took_ms} ms");
                results.settings_in_force_ms = Some(took_ms);
            }
            Err(error) => results.problems.push(format!("settings change: {error:#}")),
        }
        match self.run_wave().await {
            Ok(took_ms) => results.wave_ms = Some(took_ms),
            Err(error) => results.problems.push(format!("wave: {error:#}")),
        }
        match self.finished_moves().await {
            Ok(finished_moves) => results.finished_moves = finished_moves,
            Err(error) => results.problems.push(format!("moves: {error:#}")),
        }
        results
    }

    fn client(&self) -> Result<OperatorClient> {
        let entry = self.entries.first().context("the site has no entry")?;
        Ok(OperatorClient::new(
            entry.operator_address(),
            self.platform.token().to_owned(),
        ))
    }

    /// Changes one setting and returns the milliseconds until the change is in force on all entries.
    async fn change_settings(&self) -> Result<u64> {
        let current = self.entries.iter().map(Entry::settings_version).max();
        let new_version = current.unwrap_or_default().next();
        let start = Instant::now();
        let change = json!({
            "operator": "local",
            "patch": {"requests": {"max_waiting": self.settings.requests.max_waiting + 1}},
        });
        self.client()?
            .send("POST", "/v1/settings", Some(&change))
            .await?;
        while self.lowest_settings_version() < new_version {
            if start.elapsed() > CHANGE_TIMEOUT {
                bail!("not in force on all entries within {CHANGE_TIMEOUT:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(elapsed_ms(start))
    }

    /// Returns the lowest version of the settings that is in force on an entry.
    fn lowest_settings_version(&self) -> Version {
        let versions = self.entries.iter().map(Entry::settings_version);
        versions.min().unwrap_or_default()
    }

    /// Maintains every instance of the site in one wave and returns the milliseconds it took.
    async fn run_wave(&self) -> Result<u64> {
        let start = Instant::now();
        let request = json!({"wave": WAVE_NAME, "operator": "local"});
        self.client()?
            .send("POST", "/v1/waves", Some(&request))
            .await?;
        let path = format!("/v1/waves/{WAVE_NAME}");
        loop {
            let status = self.client()?.send("GET", &path, None).await?;
            if status["state"] == "ended" {
                let took_ms = elapsed_ms(start);
                println!(
                    "        wave over {} instances ended after {took_ms} ms",
                    status["done"]
                );
                return Ok(took_ms);
            }
            if start.elapsed() > WAVE_TIMEOUT {
                bail!(
                    "{} instances done and {} waiting after {WAVE_TIMEOUT:?}: {}",
                    status["done"],
                    status["pending"],
                    status["waits_for"]
                );
            }
            tokio::time::sleep(WAVE_POLL_INTERVAL).await;
        }
    }

    async fn state(&self) -> Result<Value> {
        self.client()?.send("GET", "/state", None).await
    }

    /// Returns the number of finished moves of instances between pools.
    async fn finished_moves(&self) -> Result<u64> {
        let state = self.state().await?;
        state["fleet"]["waves"]["moves_done"]
            .as_u64()
            .context("the state has no number in fleet.waves.moves_done")
    }
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
