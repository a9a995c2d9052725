//! Messages between the owner of a shard and the ledger.

use cyclamentrail_core::{ServiceName, TeamName};
use serde::{Deserialize, Serialize};

/// What a shard reports of one team, in millionths of the team's cap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamReport {
    /// Name of the team.
    pub team: TeamName,
    /// Share that the placed tasks take.
    pub usage: u64,
    /// Allowance in force.
    pub allowance: u64,
    /// Allowance that the shard could use; at least its recent usage.
    pub wanted: u64,
    /// Smallest allowance with which a waiting task could start; 0 if none waits for an allowance.
    pub needed: u64,
}

impl TeamReport {
    /// Returns whether the team has its base in the shard, no more and no less, and needs no more.
    #[must_use]
    pub fn is_at_base(&self, base: u64) -> bool {
        self.allowance == base && self.usage.max(self.wanted) <= base
    }
}

/// Report of a shard's owner to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Service of the shard.
    pub service: ServiceName,
    /// Fencing token of the shard's owner.
    pub owner: u64,
    /// Number of the report, which rises with each report of this owner.
    pub sequence: u64,
    /// Fencing token of the ledger that the report is for.
    pub ledger: u64,
    /// Digest of the caps that the shard applies, of which the amounts are shares.
    pub caps: u64,
    /// Whether the report names every team that isn't at its base; otherwise teams that aren't named
    /// are as they were reported before.
    pub is_full: bool,
    /// Teams that the report names.
    pub teams: Vec<TeamReport>,
}

/// New allowance of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grantee {
    /// Name of the team.
    pub team: TeamName,
    /// Allowance in millionths of the team's cap.
    pub allowance: u64,
}

/// Reply of the ledger: the allowances that change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Fencing token of the ledger.
    pub ledger: u64,
    /// Digest of the caps that the ledger applies. The reply counts only for a shard with the same.
    pub caps: u64,
    /// Teams whose allowance changes.
    pub teams: Vec<Grantee>,
}
