//! Caps of the teams as a shard or the ledger knows them.

use std::collections::BTreeMap;

use cyclamentrail_core::TeamName;
use sha2::{Digest, Sha256};

use super::is_limited;
use crate::{Resources, TeamConfig};

/// Caps of the capped teams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Caps(BTreeMap<TeamName, Resources>);

impl Caps {
    /// Returns the caps of the teams that have one.
    pub(super) fn new<'a>(teams: impl IntoIterator<Item = &'a TeamConfig>) -> Self {
        let limited = teams.into_iter().filter(|team| is_limited(&team.cap));
        Self(limited.map(|team| (team.name.clone(), team.cap)).collect())
    }

    /// Returns the cap of a team, or `None` if it has none.
    pub(super) fn get(&self, team: &TeamName) -> Option<&Resources> {
        self.0.get(team)
    }

    /// Returns the teams that are limited further than under the earlier caps, in any dimension.
    pub(super) fn lowered_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = &'a TeamName> {
        let lowered = self.0.iter().filter(|(team, cap)| {
            earlier
                .get(team)
                .is_none_or(|earlier| is_lowered(earlier, cap))
        });
        lowered.map(|(team, _)| team)
    }

    /// Returns a digest by which a shard and the ledger recognise that they know the same caps.
    pub(super) fn digest(&self) -> u64 {
        let mut hasher = Sha256::new();
        for (team, cap) in &self.0 {
            let name = team.as_str().as_bytes();
            hasher.update((name.len() as u64).to_le_bytes());
            hasher.update(name);
            for amount in [cap.cpu_milli, cap.memory_mib, cap.gpus] {
                hasher.update(amount.to_le_bytes());
            }
        }
        let digest = hasher.finalize();
        digest
            .iter()
            .take(8)
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

/// Returns whether any dimension of a cap is limited further than before; 0 is no limit.
fn is_lowered(earlier: &Resources, cap: &Resources) -> bool {
    let is_less = |before: u64, after: u64| after > 0 && (before == 0 || after < before);
    is_less(earlier.cpu_milli, cap.cpu_milli)
        || is_less(earlier.memory_mib, cap.memory_mib)
        || is_less(earlier.gpus, cap.gpus)
}
