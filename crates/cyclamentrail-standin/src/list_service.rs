//! The list of live and leaving instances over HTTP.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::InstanceName;
use cyclamentrail_platform::{InstanceList, ListedInstance, ListedState};

use crate::serve::Served;

/// The instance list of the stand-in platform.
#[derive(Debug)]
pub struct ListService {
    shared: Shared,
    served: Served,
}

#[derive(Debug, Clone, Default)]
struct Shared {
    instances: Arc<Mutex<BTreeMap<InstanceName, ListedInstance>>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceName, ListedInstance>> {
        self.instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
            .route("/_standin/remove/{name}", post(remove))
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
        self.shared.lock().insert(instance.name.clone(), instance);
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &InstanceName) {
        self.shared.lock().remove(name);
    }
}

async fn list(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let instances: Vec<ListedInstance> = shared.lock().values().cloned().collect();
    let list = InstanceList { instances };
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
    shared.lock().insert(instance.name.clone(), instance);
    StatusCode::NO_CONTENT
}

async fn remove(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    shared.lock().remove(&name);
    StatusCode::NO_CONTENT
}

async fn leaving(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    match shared.lock().get_mut(&name) {
        Some(instance) => {
            instance.state = ListedState::Leaving;
            StatusCode::NO_CONTENT
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn reboot(State(shared): State<Shared>, Path(name): Path<InstanceName>) -> StatusCode {
    match shared.lock().get_mut(&name) {
        Some(instance) => {
            instance.boot = instance.boot.next();
            StatusCode::ACCEPTED
        }
        None => StatusCode::NOT_FOUND,
    }
}
