//! Names under which operators are shown the teams of a pool: a bounded number of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::TeamStatus;

/// Number of teams that are shown by name.
pub const MAX_NAMED_TEAMS: usize = 50;
/// Name under which the sum of the other teams is shown.
pub const OTHER_TEAMS: &str = "other";
/// Name under which jobs without a team are shown.
pub const NO_TEAM: &str = "none";

/// Time after which the most active teams get names if there are more teams than names, in
/// milliseconds; before, it isn't known which these are.
const NAMING_DELAY_MS: u64 = 60_000;

/// Teams that have a label of their own in metrics. A team that was given one keeps it, so that its
/// counters go on and the number of time series stays bounded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamLabels {
    names: BTreeSet<String>,
    /// Time of the first assignment, in milliseconds.
    first_ms: Option<u64>,
}

impl TeamLabels {
    /// Gives labels that are left to teams: to all if there are enough, else to the most active ones
    /// once it is known which these are.
    pub fn assign(&mut self, now_ms: u64, statuses: &[TeamStatus]) {
        let first_ms = *self.first_ms.get_or_insert(now_ms);
        let is_known = now_ms >= first_ms.saturating_add(NAMING_DELAY_MS);
        let free = MAX_NAMED_TEAMS.saturating_sub(self.names.len());
        if free == 0 || (statuses.len() > MAX_NAMED_TEAMS && !is_known) {
            return;
        }
        let new: Vec<String> = most_active_teams(statuses)
            .into_iter()
            .filter(|name| !self.names.contains(name))
            .take(free)
            .collect();
        self.names.extend(new);
    }

    /// Adds up the teams by label.
    #[must_use]
    pub fn sum(&self, statuses: &[TeamStatus]) -> BTreeMap<String, TeamStatus> {
        sum_by_name(statuses, &self.names)
    }
}

/// Returns the state of the teams that sent most jobs, at most [`MAX_NAMED_TEAMS`], by name, and the
/// sum of the others as [`OTHER_TEAMS`].
#[must_use]
pub fn largest_teams(statuses: &[TeamStatus]) -> BTreeMap<String, TeamStatus> {
    sum_by_name(statuses, &most_active_teams(statuses).into_iter().collect())
}

/// Returns the names of the teams that sent most jobs, the most active first.
fn most_active_teams(statuses: &[TeamStatus]) -> Vec<String> {
    let mut by_activity: Vec<&TeamStatus> = statuses.iter().collect();
    by_activity.sort_by_key(|status| Reverse(status.submitted()));
    by_activity
        .into_iter()
        .take(MAX_NAMED_TEAMS)
        .map(|status| name_of(status).to_owned())
        .collect()
}

fn sum_by_name(statuses: &[TeamStatus], names: &BTreeSet<String>) -> BTreeMap<String, TeamStatus> {
    let mut sums: BTreeMap<String, TeamStatus> = BTreeMap::new();
    for status in statuses {
        let name = Some(name_of(status)).filter(|&name| names.contains(name));
        let name = name.unwrap_or(OTHER_TEAMS);
        let sum = sums.remove(name).unwrap_or_default();
        sums.insert(name.to_owned(), sum.combine(status));
    }
    sums
}

fn name_of(status: &TeamStatus) -> &str {
    status.team.as_ref().map_or(NO_TEAM, |name| name.as_str())
}
