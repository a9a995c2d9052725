//! The operators' changes under way: a change of settings, then an instance that leaves.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cyclamentrail_core::{InstanceName, Settings, Version};
use serde_json::{Value, json};

use super::POLL_INTERVAL;
use super::platform::Platform;
use crate::command::OperatorClient;
use crate::entry::Entry;

/// Longest time that a change may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two looks at the state.
const STATE_INTERVAL: Duration = Duration::from_millis(50);
/// The change of settings comes after this part of the load.
const CHANGE_PART: u32 = 4;

/// What the changes came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Changed {
    /// Time in milliseconds until the change was in force on all entries.
    pub(super) settings_in_force_ms: Option<u64>,
    /// Time in milliseconds until the leaving instance was drained.
    pub(super) drain_ms: Option<u64>,
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
        let before = self.pools().await.unwrap_or_default();
        tokio::time::sleep(self.pause).await;
        match self.change_settings().await {
            Ok(took) => {
                println!("        settings change in force on all entries after {took} ms");
                changed.settings_in_force_ms = Some(took);
            }
            Err(error) => changed.problems.push(format!("settings change: {error:#}")),
        }
        match self.drain().await {
            Ok(took) => changed.drain_ms = Some(took),
            Err(error) => changed.problems.push(format!("drain: {error:#}")),
        }
        let after = self.pools().await.unwrap_or_default();
        changed.moves = before
            .iter()
            .filter(|(name, pool)| after.get(*name).is_some_and(|now| now != *pool))
            .count() as u64;
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

    async fn drain(&self) -> Result<u64> {
        let pool = self.settings.pools.values().next();
        let name = pool
            .and_then(|pool| pool.instances.first())
            .context("the site has no instance")?;
        let start = Instant::now();
        self.platform.mark_leaving(name);
        loop {
            let state = self.state().await?;
            let instance = instances_of(&state)
                .find(|(listed, _)| *listed == *name)
                .map(|(_, instance)| &instance["state"]);
            if instance.is_some_and(|state| state.get("drained").is_some()) {
                let took = millis(start);
                println!("        leaving instance {name} drained after {took} ms");
                return Ok(took);
            }
            if start.elapsed() > CHANGE_TIMEOUT {
                bail!("instance {name} is {instance:?} after {CHANGE_TIMEOUT:?}");
            }
            tokio::time::sleep(STATE_INTERVAL).await;
        }
    }

    async fn state(&self) -> Result<Value> {
        self.client()?.send("GET", "/state", None).await
    }

    /// Returns the pool of each instance.
    async fn pools(&self) -> Result<BTreeMap<InstanceName, String>> {
        let state = self.state().await?;
        Ok(instances_of(&state)
            .map(|(name, instance)| {
                let pool = instance["pool"].as_str().unwrap_or_default();
                (name, pool.to_owned())
            })
            .collect())
    }
}

/// Returns the instances of a dumped state with their names.
fn instances_of(state: &Value) -> impl Iterator<Item = (InstanceName, &Value)> {
    let instances = state["fleet"]["instances"].as_array();
    instances
        .into_iter()
        .flatten()
        .filter_map(|pair| Some((InstanceName::from(pair.get(0)?.as_str()?), pair.get(1)?)))
}

fn millis(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
