//! Messages of the service that lists live and leaving instances.

use std::net::SocketAddr;

use cyclamentrail_core::{BootId, InstanceName};
use serde::{Deserialize, Serialize};

/// The platform's list of instances; changes appear in it with a delay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All live and leaving instances.
    pub instances: Vec<ListedInstance>,
}

/// One instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address and port of the instance's backend server.
    pub address: SocketAddr,
    /// Current boot of the instance; each reboot has a higher id.
    pub boot: BootId,
    /// Whether the instance stays or is about to leave.
    pub state: ListedState,
}

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance runs and isn't about to leave.
    Live,
    /// The instance is about to leave and should receive no new work.
    Leaving,
}
