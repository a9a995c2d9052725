//! Description of a site and its day, as a JSON file.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

/// Site, load and faults of a day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Name of the day in tables.
    pub name: String,
    /// Length of the load in seconds.
    pub length_s: f64,
    /// Time that a machine needs to move to another pool, in seconds.
    pub move_s: f64,
    /// Pools, each with one route.
    pub pools: Vec<PoolDescription>,
    /// Machines that are switched off at first.
    #[serde(default)]
    pub standby_machines: u32,
    /// Turns of the pools' demand; without them the demand is steady.
    #[serde(default)]
    pub turns: Option<Turns>,
    /// Additional load of single pools.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Faults of the store and of machines.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What callers do.
    #[serde(default)]
    pub callers: CallerHabits,
}

/// A pool of equal machines, and the jobs of its route.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDescription {
    /// Name of the pool and of its route.
    pub name: String,
    /// Machines at first.
    pub machines: u32,
    /// Processors of a machine, in cores.
    pub cores: u32,
    /// Mean number of jobs a second.
    pub jobs_per_s: f64,
    /// Most steps of a job; each number from one on is equally likely.
    pub max_steps: u32,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Mean duration of a task in milliseconds.
    pub task_ms: f64,
    /// Mean processor demand of a task in cores.
    pub task_cores: f64,
    /// Part by which a declared duration is off at most.
    #[serde(default)]
    pub declared_error: f64,
    /// Tasks that run all day.
    #[serde(default)]
    pub long_running_tasks: u32,
    /// Factor of a job's longest chain in its objective.
    pub stretch: f64,
    /// Additional time of the objective, in milliseconds.
    pub target_latency_ms: u64,
}

/// The pools have high demand in turn, in the order of the description.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Turns {
    /// Length of a turn in seconds.
    pub length_s: f64,
    /// Demand in the turn, as a multiple of the mean.
    pub peak: f64,
    /// Demand between the turns, as a multiple of the mean.
    pub low: f64,
}

/// Additional load of one pool.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Pool that gets the load.
    pub pool: String,
    /// Begin in seconds.
    pub at_s: f64,
    /// Length in seconds.
    pub for_s: f64,
    /// Additional jobs, as a multiple of the pool's mean.
    pub factor: f64,
}

/// Fault of the store or of some machines.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Begin in seconds.
    pub at_s: f64,
    /// Length in seconds.
    pub for_s: f64,
    /// What fails.
    pub kind: FaultKind,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The store doesn't respond.
    StoreDown,
    /// This part of the machines is lost with all that runs there.
    MachinesLost(f64),
    /// Tasks that start on this part of the machines take five times as long.
    MachinesSlow(f64),
    /// Tasks that start on this part of the machines fail.
    MachinesFail(f64),
}

/// What callers do.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerHabits {
    /// Retries after a rejection, at most.
    pub retries: u32,
    /// Part of the callers that return after half of the time that they are told.
    pub early_part: f64,
    /// Part of the callers that cancel their jobs once these are late.
    pub cancel_part: f64,
}

impl Default for CallerHabits {
    fn default() -> Self {
        Self {
            retries: 4,
            early_part: 0.0,
            cancel_part: 0.0,
        }
    }
}

/// Why a description can't be played.
#[derive(Debug, Error)]
pub enum DescriptionError {
    /// The text isn't JSON, or has unknown or missing keys.
    #[error("the description can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is out of its range.
    #[error("the description is invalid: {0}")]
    Invalid(String),
}

impl Description {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key if the text isn't JSON, a key is unknown or missing, or a
    /// value is out of its range.
    pub fn parse(text: &str) -> Result<Self, DescriptionError> {
        let description: Self = serde_json::from_str(text)?;
        description.check()?;
        Ok(description)
    }

    /// Returns the factor of a pool's mean demand at a time in seconds, without bursts.
    #[must_use]
    pub fn demand_factor(&self, pool: usize, at_s: f64) -> f64 {
        let Some(turns) = self.turns else {
            return 1.0;
        };
        let turn = (at_s / turns.length_s) as usize % self.pools.len();
        if turn == pool { turns.peak } else { turns.low }
    }

    /// Returns the additional demand of a pool at a time in seconds, as a factor of its mean.
    #[must_use]
    pub fn burst_factor(&self, pool: usize, at_s: f64) -> f64 {
        let name = &self.pools[pool].name;
        let is_on = |burst: &&Burst| {
            burst.pool == *name && at_s >= burst.at_s && at_s < burst.at_s + burst.for_s
        };
        self.bursts
            .iter()
            .filter(is_on)
            .map(|burst| burst.factor)
            .sum()
    }

    /// Returns the number of machines, those that are switched off included.
    #[must_use]
    pub fn machine_count(&self) -> u32 {
        let in_pools: u32 = self.pools.iter().map(|pool| pool.machines).sum();
        in_pools + self.standby_machines
    }

    fn check(&self) -> Result<(), DescriptionError> {
        positive("length_s", self.length_s)?;
        not_negative("move_s", self.move_s)?;
        if self.pools.is_empty() {
            return invalid("pools is empty");
        }
        let names: BTreeSet<&str> = self.pools.iter().map(|pool| pool.name.as_str()).collect();
        if names.len() < self.pools.len() {
            return invalid("two pools have the same name");
        }
        for pool in &self.pools {
            pool.check()?;
        }
        if let Some(turns) = self.turns {
            positive("turns.length_s", turns.length_s)?;
            not_negative("turns.peak", turns.peak)?;
            not_negative("turns.low", turns.low)?;
        }
        for burst in &self.bursts {
            if !names.contains(burst.pool.as_str()) {
                return invalid(&format!("bursts names an unknown pool: {}", burst.pool));
            }
            not_negative("bursts.at_s", burst.at_s)?;
            positive("bursts.for_s", burst.for_s)?;
            not_negative("bursts.factor", burst.factor)?;
        }
        for fault in &self.faults {
            not_negative("faults.at_s", fault.at_s)?;
            positive("faults.for_s", fault.for_s)?;
            fault.kind.check()?;
        }
        part("callers.early_part", self.callers.early_part)?;
        part("callers.cancel_part", self.callers.cancel_part)
    }
}

impl PoolDescription {
    fn check(&self) -> Result<(), DescriptionError> {
        let key = |field: &str| format!("pools.{}.{field}", self.name);
        if self.machines == 0 || self.cores == 0 {
            return invalid(&format!("{} and cores have to be above 0", key("machines")));
        }
        if self.max_steps == 0 {
            return invalid(&format!("{} has to be above 0", key("max_steps")));
        }
        not_negative(&key("jobs_per_s"), self.jobs_per_s)?;
        positive(&key("tasks"), self.tasks)?;
        positive(&key("task_ms"), self.task_ms)?;
        positive(&key("task_cores"), self.task_cores)?;
        if self.task_cores > f64::from(self.cores) {
            return invalid(&format!("{} exceeds a machine", key("task_cores")));
        }
        part(&key("declared_error"), self.declared_error)?;
        not_negative(&key("stretch"), self.stretch)
    }
}

impl FaultKind {
    fn check(self) -> Result<(), DescriptionError> {
        match self {
            Self::StoreDown => Ok(()),
            Self::MachinesLost(value) | Self::MachinesSlow(value) | Self::MachinesFail(value) => {
                part("faults.kind", value)
            }
        }
    }
}

fn invalid<T>(reason: &str) -> Result<T, DescriptionError> {
    Err(DescriptionError::Invalid(reason.to_owned()))
}

fn positive(key: &str, value: f64) -> Result<(), DescriptionError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    invalid(&format!("{key} is {value}, but has to be above 0"))
}

fn not_negative(key: &str, value: f64) -> Result<(), DescriptionError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    invalid(&format!("{key} is {value}, but may not be negative"))
}

fn part(key: &str, value: f64) -> Result<(), DescriptionError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    invalid(&format!("{key} is {value}, but has to lie between 0 and 1"))
}
