//! Records the metrics of teams. The label `team` is bounded by the caller.

use cyclamentrail_jobs::TeamStatus;

use super::catalog::{TEAM_CAP_USED, TEAM_JOBS, TEAM_SHARE, TEAM_WAITING};

/// Number of thousandths in a whole.
const MILLI: f64 = 1_000.0;

/// Counts the jobs of a team that were submitted between two states.
pub(crate) fn count_team_jobs(service: &str, team: &str, before: &TeamStatus, after: &TeamStatus) {
    let counts = [
        ("accepted", before.accepted, after.accepted),
        (
            "overload",
            before.rejected_overload,
            after.rejected_overload,
        ),
        (
            "over_rate",
            before.rejected_over_rate,
            after.rejected_over_rate,
        ),
        ("other", before.rejected_other, after.rejected_other),
    ];
    for (outcome, before, after) in counts {
        let labels = [
            ("service", service.to_owned()),
            ("team", team.to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        metrics::counter!(TEAM_JOBS, &labels).increment(after.saturating_sub(before));
    }
}

/// Sets the gauges of a team in a service's pool.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub(crate) fn set_team_gauges(service: &str, team: &str, status: &TeamStatus) {
    let labels = [("service", service.to_owned()), ("team", team.to_owned())];
    metrics::gauge!(TEAM_WAITING, &labels).set(status.waiting_jobs as f64);
    metrics::gauge!(TEAM_CAP_USED, &labels).set(status.cap_used_milli.unwrap_or(0) as f64 / MILLI);
    for (part, milli) in [
        ("received", status.received_milli),
        ("due", status.due_milli),
    ] {
        let [service, team] = labels.clone();
        let labels = [service, team, ("part", part.to_owned())];
        metrics::gauge!(TEAM_SHARE, &labels).set(milli as f64 / MILLI);
    }
}
