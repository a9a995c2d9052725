//! Teams: callers that share a weight and a quota.

use cyclamentrail_core::TeamName;

use crate::Resources;

/// Configuration of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team among those with work, and the number of jobs a second that it may send;
    /// positive.
    pub weight: f64,
    /// Most resources that the team's tasks may take over all workers; a dimension of 0 has no
    /// limit.
    pub cap: Resources,
}
