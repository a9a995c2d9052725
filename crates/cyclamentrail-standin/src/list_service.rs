//! The list of live and leaving instances over HTTP, with faults.

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

/// Versions of the list that are kept for readers of a lagging one.
const KEPT_VERSIONS: usize = 1024;

/// How the list behaves; set with `POST /_standin/behaviour`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListBehaviour {
    /// Time in milliseconds by which the list lags behind.
    pub lag_ms: u64,
    /// Time in milliseconds for which a rebooting instance is off the list.
    pub reboot_ms: u64,
}

/// The instance list of the stand-in platform.
#[derive(Debug)]
pub struct ListService {
    shared: Shared,
    served: Served,
}

#[derive(Debug, Clone, Default)]
struct Shared {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug, Default)]
struct ListState {
    instances: BTreeMap<InstanceName, Machine>,
    behaviour: ListBehaviour,
    versions: VecDeque<(Instant, InstanceList)>,
}

#[derive(Debug)]
struct Machine {
    listed: ListedInstance,
    back_at: Option<Instant>,
    returns: bool,
}

impl ListState {
    fn finish_reboots(&mut self, now: Instant) {
        for machine in self.instances.values_mut() {
            if machine.returns && machine.back_at.is_some_and(|back_at| back_at <= now) {
                machine.back_at = None;
                machine.listed.boot = machine.listed.boot.next();
            }
        }
    }

    fn current(&self) -> InstanceList {
        let present = self
            .instances
            .values()
            .filter(|machine| machine.back_at.is_none());
        InstanceList {
            instances: present.map(|machine| machine.listed.clone()).collect(),
        }
    }

    /// Notes what is true now and returns what a reader is shown.
    fn read(&mut self, now: Instant) -> InstanceList {
        self.finish_reboots(now);
        let current = self.current();
        let lag = Duration::from_millis(self.behaviour.lag_ms);
        if lag.is_zero() {
            self.versions.clear();
            return current;
        }
        self.versions.push_back((now, current));
        while self.versions.len() > KEPT_VERSIONS
            || self.versions.get(1).is_some_and(|(at, _)| *at + lag <= now)
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
            back_at: None,
            returns: true,
        };
        let name = machine.listed.name.clone();
        self.lock().instances.insert(name, machine);
    }

    fn change(&self, name: &InstanceName, change: impl FnOnce(&mut Machine)) -> StatusCode {
        match self.lock().instances.get_mut(name) {
            Some(machine) => {
                change(machine);
                StatusCode::NO_CONTENT
            }
            None => StatusCode::NOT_FOUND,
        }
    }
}

impl ListService {
    /// Starts the service on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Shared::default();
        let router = Router::new()
            .route("/v1/instances", get(list))
            .route("/v1/instances/{name}/reboot", post(reboot))
            .route("/_standin/instances", post(put))
            .route("/_standin/leaving/{name}", post(leaving))
            .route("/_standin/live/{name}", post(live))
            .route("/_standin/returns/{name}", post(set_returns))
            .route("/_standin/remove/{name}", post(remove))
            .route("/_standin/behaviour", post(set_behaviour))
            .with_state(shared.clone());
        let served = Served::start(address, router).await?;
        Ok(Self { shared, served })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: ListedInstance) {
        self.shared.put(instance);
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &InstanceName) {
        self.shared.lock().instances.remove(name);
    }

    /// Sets how the list behaves.
    pub fn set_behaviour(&self, behaviour: ListBehaviour) {
        self.shared.lock().behaviour = behaviour;
    }
}

async fn list(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let list = shared.lock().read(Instant::now());
    let tag = entity_tag(&list);
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|known| known == tag.as_str())
    {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(header::ETAG, tag)], Json(list)).into_response()
}

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

async fn leaving(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.change(&name, |machine| {
        machine.listed.state = ListedState::Leaving;
    })
}

async fn live(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.change(&name, |machine| machine.listed.state = ListedState::Live)
}

async fn set_returns(
    State(shared): State<Shared>,
    Path(name): Path<InstanceName>,
    Json(returns): Json<bool>,
) -> StatusCode {
    shared.change(&name, |machine| machine.returns = returns)
}

async fn set_behaviour(
    State(shared): State<Shared>,
    Json(behaviour): Json<ListBehaviour>,
) -> StatusCode {
    shared.lock().behaviour = behaviour;
    StatusCode::NO_CONTENT
}

async fn reboot(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    let reboot = Duration::from_millis(shared.lock().behaviour.reboot_ms);
    let begun = shared.change(&name, |machine| {
        if machine.back_at.is_none() {
            machine.back_at = Some(Instant::now() + reboot);
        }
    });
    match begun {
        StatusCode::NO_CONTENT => StatusCode::ACCEPTED,
        refused => refused,
    }
}
