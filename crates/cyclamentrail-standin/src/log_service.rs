//! The platform's log service over HTTP, with faults that can be switched on.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use cyclamentrail_core::{Offset, decode_message};
use cyclamentrail_platform::{AppendRequest, AppendResponse, ReadRequest};
use serde::{Deserialize, Serialize};

use crate::log_store::LogStore;
use crate::serve::Served;

/// A fault of the log service; set with `POST /_standin/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFault {
    /// The service works.
    #[default]
    None,
    /// Every call gets the status 503 and has no effect.
    Down,
    /// Appends take effect, but the caller gets the status 504 instead of the offset.
    #[serde(rename = "lose_answers")]
    LoseResponses,
    /// Every call is delayed.
    Slow {
        /// Delay of each call in milliseconds.
        delay_ms: u64,
    },
}

/// A running stand-in of the log service.
#[derive(Debug)]
pub struct LogService {
    store: Arc<LogStore>,
    fault: Arc<Mutex<LogFault>>,
    served: Served,
}

/// State that the request handlers share.
#[derive(Debug, Clone)]
struct Shared {
    store: Arc<LogStore>,
    fault: Arc<Mutex<LogFault>>,
}

impl LogService {
    /// Starts the service on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Arc::new(LogStore::new());
        let fault = Arc::new(Mutex::new(LogFault::None));
        let shared = Shared {
            store: Arc::clone(&store),
            fault: Arc::clone(&fault),
        };
        let router = Router::new()
            .route("/v1/streams/{stream}/records", post(append).get(read))
            .route("/_standin/fault", post(set_fault))
            .route("/_standin/trim/{stream}/{below}", post(trim))
            .with_state(shared);
        let served = Served::start(address, router).await?;
        Ok(Self {
            store,
            fault,
            served,
        })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Returns the log behind the service.
    #[must_use]
    pub fn store(&self) -> &LogStore {
        &self.store
    }

    /// Replaces the current fault; [`LogFault::None`] switches faults off.
    pub fn set_fault(&self, fault: LogFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Shared {
    /// Applies the current fault to a call: fails it, delays it or lets it pass.
    async fn apply_fault(&self) -> Result<LogFault, StatusCode> {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            LogFault::Down => Err(StatusCode::SERVICE_UNAVAILABLE),
            LogFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(fault)
            }
            LogFault::None | LogFault::LoseResponses => Ok(fault),
        }
    }
}

async fn set_fault(State(shared): State<Shared>, Json(fault): Json<LogFault>) -> StatusCode {
    *shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    StatusCode::NO_CONTENT
}

async fn trim(
    State(shared): State<Shared>,
    Path((stream, below)): Path<(String, Offset)>,
) -> StatusCode {
    shared.store.trim(&stream, below);
    StatusCode::NO_CONTENT
}

async fn append(
    State(shared): State<Shared>,
    Path(stream): Path<String>,
    body: Bytes,
) -> Result<Response, StatusCode> {
    let fault = shared.apply_fault().await?;
    let request: AppendRequest = decode_message(&body).map_err(|_error| StatusCode::BAD_REQUEST)?;
    let first_offset = shared.store.append(&stream, request.records);
    if fault == LogFault::LoseResponses {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    encode_response(&AppendResponse { first_offset })
}

/// Returns records, waiting up to `wait_ms` while there are none from the requested offset on.
async fn read(
    State(shared): State<Shared>,
    Path(stream): Path<String>,
    Query(request): Query<ReadRequest>,
) -> Result<Response, StatusCode> {
    shared.apply_fault().await?;
    let wait = Duration::from_millis(request.wait_ms);
    let deadline = tokio::time::Instant::now() + wait;
    let mut appends = shared.store.subscribe();
    while shared.store.head(&stream) <= request.from {
        if tokio::time::timeout_at(deadline, appends.changed())
            .await
            .is_err()
        {
            break;
        }
    }
    shared.apply_fault().await?;
    let max = usize::try_from(request.max).unwrap_or(usize::MAX);
    encode_response(&shared.store.read(&stream, request.from, max))
}

fn encode_response<T: Serialize>(message: &T) -> Result<Response, StatusCode> {
    let bytes =
        rmp_serde::to_vec_named(message).map_err(|_error| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(bytes.into_response())
}
