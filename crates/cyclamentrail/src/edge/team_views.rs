//! Views of a shard's teams for operators: the most active ones, and the sum of the others.

use std::collections::BTreeMap;

use cyclamentrail_jobs::{Shard, TeamLabels, TeamStatus, largest_teams};
use serde::{Deserialize, Serialize};

use super::clocks::boot_ms;
use crate::metrics;

/// Time between two exports of the metrics, in milliseconds.
const EXPORT_INTERVAL_MS: u64 = 1_000;

/// State of a team in a shard's pool, as its owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TeamView {
    /// Weight of the team.
    pub(crate) weight: f64,
    /// Number of accepted jobs since the owner took over.
    pub(crate) accepted: u64,
    /// Number of jobs that were rejected because they would have ended too late.
    pub(crate) rejected_overload: u64,
    /// Number of jobs that were rejected because the team sent more than its weight a second.
    pub(crate) rejected_over_rate: u64,
    /// Number of jobs that were rejected for other reasons.
    pub(crate) rejected_other: u64,
    /// Number of jobs with tasks that wait for a worker.
    pub(crate) waiting_jobs: u64,
    /// Part of the pool that the team's tasks take, in percent.
    pub(crate) received_percent: f64,
    /// Part of the pool that is due to the team, in percent.
    pub(crate) due_percent: f64,
    /// Part of the team's cap that its tasks in this pool take, in percent; none without a cap.
    pub(crate) cap_used_percent: Option<f64>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "parts of a whole are far below 2^52 thousandths"
)]
impl From<&TeamStatus> for TeamView {
    fn from(status: &TeamStatus) -> Self {
        Self {
            weight: status.weight_milli as f64 / 1_000.0,
            accepted: status.accepted,
            rejected_overload: status.rejected_overload,
            rejected_over_rate: status.rejected_over_rate,
            rejected_other: status.rejected_other,
            waiting_jobs: status.waiting_jobs,
            received_percent: status.received_milli as f64 / 10.0,
            due_percent: status.due_milli as f64 / 10.0,
            cap_used_percent: status.cap_used_milli.map(|milli| milli as f64 / 10.0),
        }
    }
}

/// Describes the teams of a shard by name: those that sent most jobs, and the sum of the others.
pub(crate) fn describe_teams(shard: &Shard) -> BTreeMap<String, TeamView> {
    largest_teams(&shard.team_statuses())
        .into_iter()
        .map(|(name, status)| (name, TeamView::from(&status)))
        .collect()
}

/// Exports the metrics of the teams in a shard's pool.
#[derive(Debug)]
pub(crate) struct TeamMetrics {
    service: String,
    labels: TeamLabels,
    /// Boot time of the last export, in milliseconds.
    exported_ms: u64,
    /// State of each label at the last export.
    exported: BTreeMap<String, TeamStatus>,
}

impl TeamMetrics {
    /// Creates the metrics of a service's teams.
    pub(crate) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            labels: TeamLabels::default(),
            exported_ms: 0,
            exported: BTreeMap::new(),
        }
    }

    /// Exports the state of the teams if [`EXPORT_INTERVAL_MS`] have passed; without configured
    /// teams, nothing.
    pub(crate) fn export_if_due(&mut self, shard: &Shard) {
        let now_ms = boot_ms();
        if now_ms < self.exported_ms + EXPORT_INTERVAL_MS {
            return;
        }
        self.exported_ms = now_ms;
        let statuses = shard.team_statuses();
        self.labels.assign(now_ms, &statuses);
        let sums = self.labels.sum(&statuses);
        for (label, status) in &sums {
            let before = self.exported.get(label).cloned().unwrap_or_default();
            metrics::count_team_jobs(&self.service, label, &before, status);
            metrics::set_team_gauges(&self.service, label, status);
        }
        self.exported = sums;
    }
}

impl Drop for TeamMetrics {
    /// Sets the gauges to 0, because the shard has another owner from now on.
    fn drop(&mut self) {
        for label in self.exported.keys() {
            metrics::set_team_gauges(&self.service, label, &TeamStatus::default());
        }
    }
}
