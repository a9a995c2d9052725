//! Placing and limits of long jobs.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::TeamName;

/// Placing and limits of long jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct JobSettings {
    /// Slots that each team may use at once when all teams want theirs.
    pub quota_slots: BTreeMap<TeamName, u32>,
}
