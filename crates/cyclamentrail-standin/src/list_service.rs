//! The platform's list of live and leaving instances over HTTP, with faults that can be switched on.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::InstanceName;
use cyclamentrail_platform::{InstanceList, ListedInstance, ListedState};
use serde::{Deserialize, Serialize};

use crate::serve::Served;

/// Most past versions of the list that are kept to serve a lagging one.
const KEPT_VERSIONS: usize = 1024;

/// Delays of the instance list; set with `POST /_standin/behaviour`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListBehaviour {
    /// Age in milliseconds of the version that readers get.
    ///
    /// Versions are recorded only when the list is read, and only a limited number is kept.
    pub lag_ms: u64,
    /// Duration of a reboot in milliseconds, during which the instance is off the list.
    pub reboot_ms: u64,
}

/// A running stand-in of the platform's instance list.
#[derive(Debug)]
pub struct ListService {
    shared: Shared,
    served: Served,
}

/// State that the request handlers share.
#[derive(Debug, Clone, Default)]
struct Shared {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug, Default)]
struct ListState {
    instances: BTreeMap<InstanceName, Machine>,
    behaviour: ListBehaviour,
    /// Past versions of the list with the times of their recording, oldest first.
    versions: VecDeque<(Instant, InstanceList)>,
}

/// An instance of the list and the state of its reboot.
#[derive(Debug)]
struct Machine {
    listed: ListedInstance,
    /// End of the reboot in progress.
    reboot_ends_at: Option<Instant>,
    /// Whether the instance returns to the list after a reboot.
    returns: bool,
}

impl ListState {
    /// Puts the instances whose reboot is over back on the list, with a new boot.
    fn finish_reboots(&mut self, now: Instant) {
        for machine in self.instances.values_mut() {
            if machine.returns && machine.reboot_ends_at.is_some_and(|ends_at| ends_at <= now) {
                machine.reboot_ends_at = None;
                machine.listed.boot = machine.listed.boot.next();
            }
        }
    }

    /// Returns the list without the rebooting instances.
    fn current(&self) -> InstanceList {
        let present = self
            .instances
            .values()
            .filter(|machine| machine.reboot_ends_at.is_none());
        InstanceList {
            instances: present.map(|machine| machine.listed.clone()).collect(),
        }
    }

    /// Records the current version of the list and returns the version for a reader.
    fn read_lagged(&mut self, now: Instant) -> InstanceList {
        self.finish_reboots(now);
        let current = self.current();
        let lag = Duration::from_millis(self.behaviour.lag_ms);
        if lag.is_zero() {
            self.versions.clear();
            return current;
        }
        self.versions.push_back((now, current));
        while self.versions.len() > KEPT_VERSIONS
            || self
                .versions
                .get(1)
                .is_some_and(|(recorded_at, _)| *recorded_at + lag <= now)
        {
            self.versions.pop_front();
        }
        let oldest = self.versions.front();
        oldest.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, listed: ListedInstance) {
        let machine = Machine {
            listed,
            reboot_ends_at: None,
            returns: true,
        };
        let name = machine.listed.name.clone();
        self.lock().instances.insert(name, machine);
    }

    /// Changes the machine of an instance; responds with 404 if the instance isn't on the list.
    fn update_machine(&self, name: &InstanceName, update: impl FnOnce(&mut Machine)) -> StatusCode {
        match self.lock().instances.get_mut(name) {
            Some(machine) => {
                update(machine);
                StatusCode::NO_CONTENT
            }
            None => StatusCode::NOT_FOUND,
        }
    }
}

impl ListService {
    /// Starts the service on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Shared::default();
        let router = Router::new()
            .route("/v1/instances", get(get_list))
            .route("/v1/instances/{name}/reboot", post(reboot))
            .route("/_standin/instances", post(put))
            .route("/_standin/leaving/{name}", post(set_leaving))
            .route("/_standin/live/{name}", post(set_live))
            .route("/_standin/returns/{name}", post(set_returns))
            .route("/_standin/remove/{name}", post(remove))
            .route("/_standin/behaviour", post(set_behaviour))
            .with_state(shared.clone());
        let served = Served::start(address, router).await?;
        Ok(Self { shared, served })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Adds an instance to the list or replaces the one of this name.
    pub fn put(&self, instance: ListedInstance) {
        self.shared.put(instance);
    }

    /// Removes an instance from the list.
    pub fn remove(&self, name: &InstanceName) {
        self.shared.lock().instances.remove(name);
    }

    /// Sets the delays of the list.
    pub fn set_behaviour(&self, behaviour: ListBehaviour) {
        self.shared.lock().behaviour = behaviour;
    }
}

async fn get_list(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let list = shared.lock().read_lagged(Instant::now());
    let tag = entity_tag(&list);
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|known_tag| known_tag == tag.as_str())
    {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(header::ETAG, tag)], Json(list)).into_response()
}

/// Returns the `ETag` of a list: a hash of its JSON encoding.
fn entity_tag(list: &InstanceList) -> String {
    let mut hasher = DefaultHasher::new();
    serde_json::to_vec(list)
        .unwrap_or_default()
        .hash(&mut hasher);
    format!("\"{:016x}\"", hasher.finish())
}

async fn put(State(shared): State<Shared>, Json(instance): Json<ListedInstance>) -> StatusCode {
    shared.put(instance);
    StatusCode::NO_CONTENT
}

async fn remove(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.lock().instances.remove(&name);
    StatusCode::NO_CONTENT
}

async fn set_leaving(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.update_machine(&name, |machine| {
        machine.listed.state = ListedState::Leaving;
    })
}

async fn set_live(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.update_machine(&name, |machine| machine.listed.state = ListedState::Live)
}

async fn set_returns(
    State(shared): State<Shared>,
    Path(name): Path<InstanceName>,
    Json(returns): Json<bool>,
) -> StatusCode {
    shared.update_machine(&name, |machine| machine.returns = returns)
}

async fn set_behaviour(
    State(shared): State<Shared>,
    Json(behaviour): Json<ListBehaviour>,
) -> StatusCode {
    shared.lock().behaviour = behaviour;
    StatusCode::NO_CONTENT
}

/// Starts a reboot of an instance unless one is in progress; responds with 202.
async fn reboot(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    let reboot_time = Duration::from_millis(shared.lock().behaviour.reboot_ms);
    let status = shared.update_machine(&name, |machine| {
        if machine.reboot_ends_at.is_none() {
            machine.reboot_ends_at = Some(Instant::now() + reboot_time);
        }
    });
    match status {
        StatusCode::NO_CONTENT => StatusCode::ACCEPTED,
        failure => failure,
    }
}
