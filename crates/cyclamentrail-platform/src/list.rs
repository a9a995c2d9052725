//! Messages of the list of live and leaving instances.

use std::net::SocketAddr;

use cyclamentrail_core::{BootId, InstanceName};
use serde::{Deserialize, Serialize};

/// The platform's list; it lags behind what it describes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Live and leaving instances.
    pub instances: Vec<ListedInstance>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address that its backend server listens on.
    pub address: SocketAddr,
    /// Current boot; rises with each reboot.
    pub boot: BootId,
    /// Whether it is about to leave.
    pub state: ListedState,
}

/// What the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs and stays.
    Live,
    /// It is about to leave and wants no new work.
    Leaving,
}
