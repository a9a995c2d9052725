//! A stand-in backend server with a limited number of slots, which reports the requests that it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use cyclamentrail_core::InstanceName;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::faulty_io::{FaultyIo, WriteFault};
use crate::responses;

/// Header that marks a refused request, of which nothing was run; its value is the reason.
const REFUSED_HEADER: &str = "x-refused";
/// Header with the request id that the entry assigned.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the request id that the caller chose, which the response repeats.
const CALL_ID_HEADER: &str = "x-call-id";
/// Most connections that a backend server keeps open at once.
const MAX_CONNECTIONS: u32 = 64;
/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A fault of a backend server; set with `POST /_standin/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFault {
    /// The server works.
    #[default]
    None,
    /// The server refuses every request.
    Refuse,
    /// The server runs every request and responds with the status 500.
    FailAll,
    /// The server takes longer to run each request.
    Slow {
        /// Additional time per request in milliseconds.
        delay_ms: u64,
    },
    /// The server refuses every request with the reason `leaving`.
    Leave,
    /// The server runs every request and then closes the connection without a response.
    #[serde(rename = "die")]
    CloseConnection,
    /// The server runs every request and closes the connection in the middle of the response.
    #[serde(rename = "cut")]
    TruncateResponse,
    /// The server runs every request and sends bytes that aren't HTTP.
    Garbage,
    /// The server runs every request, sends nothing and keeps the connection open.
    HalfOpen,
}

impl BackendFault {
    const fn write_fault(self) -> WriteFault {
        match self {
            Self::CloseConnection => WriteFault::Close,
            Self::TruncateResponse => WriteFault::Truncate,
            Self::Garbage => WriteFault::Garble,
            Self::HalfOpen => WriteFault::Discard,
            _ => WriteFault::None,
        }
    }
}

/// Report of the requests and connections of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Requests that the server ran, in the order of their start.
    pub runs: Vec<RunReport>,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of requests running now.
    #[serde(default)]
    pub in_flight: u32,
    /// Highest number of requests that ran at once.
    pub peak_in_flight: u32,
    /// Highest number of connections that were open at once.
    #[serde(default)]
    pub peak_connections: u32,
    /// Number of connections closed right after the accept because too many were open.
    #[serde(default)]
    pub refused_connections: u64,
}

/// Report of one request that a backend server ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Request id that the caller chose; empty if the request has none.
    pub call_id: String,
    /// Request id that the entry assigned; empty if the request has none.
    pub request_id: String,
    /// Name of the requested service.
    pub service: String,
}

/// A running stand-in backend server; dropping the value closes the listener.
#[derive(Debug)]
pub struct Backend {
    shared: Shared,
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// State that the request handlers share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    name: InstanceName,
    slots: u32,
    state: Arc<Mutex<RunState>>,
}

#[derive(Debug, Default)]
struct RunState {
    fault: BackendFault,
    in_flight: u32,
    /// Report whose `in_flight` isn't kept up to date.
    report: BackendReport,
}

#[derive(Debug, Deserialize)]
struct WorkQuery {
    /// Time that the request runs, in milliseconds.
    #[serde(default)]
    work_ms: u64,
}

impl Backend {
    /// Starts a backend server on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(
        address: SocketAddr,
        name: InstanceName,
        slots: u32,
    ) -> std::io::Result<Self> {
        let shared = Shared {
            name,
            slots,
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/_standin/report", get(report))
            .route("/_standin/fault", post(set_fault))
            .route("/{service}/answers", any(responses::run_request))
            .route("/{service}/{*path}", any(run_request))
            .with_state(shared.clone());
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept_task = tokio::spawn(accept_connections(listener, router, shared.clone()));
        Ok(Self {
            shared,
            address,
            accept_task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the report so far; its `in_flight` is always 0.
    #[must_use]
    pub fn report(&self) -> BackendReport {
        self.shared.lock().report.clone()
    }

    /// Replaces the current fault; [`BackendFault::None`] switches faults off.
    pub fn set_fault(&self, fault: BackendFault) {
        self.shared.lock().fault = fault;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new connection; returns whether it stays open.
    ///
    /// `now_open` is the number of open connections with the new one.
    fn admit_connection(&self, now_open: u32) -> bool {
        let mut state = self.lock();
        let allowed = now_open <= MAX_CONNECTIONS;
        if allowed {
            state.report.peak_connections = state.report.peak_connections.max(now_open);
        } else {
            state.report.refused_connections += 1;
        }
        allowed
    }

    /// Occupies a slot and reports the run; returns the current fault.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub(crate) fn begin_run(
        &self,
        service: &str,
        headers: &HeaderMap,
    ) -> Result<BackendFault, &'static str> {
        let mut state = self.lock();
        let is_leaving = state.fault == BackendFault::Leave;
        if is_leaving || state.fault == BackendFault::Refuse || state.in_flight >= self.slots {
            state.report.refused += 1;
            return Err(if is_leaving { "leaving" } else { "not-run" });
        }
        state.in_flight += 1;
        state.report.peak_in_flight = state.report.peak_in_flight.max(state.in_flight);
        state.report.runs.push(RunReport {
            call_id: header_text(headers, CALL_ID_HEADER),
            request_id: header_text(headers, REQUEST_ID_HEADER),
            service: service.to_owned(),
        });
        Ok(state.fault)
    }
}

/// Frees a slot when dropped: at the end of the run or when the caller closes the connection.
#[derive(Debug)]
pub(crate) struct SlotGuard(Shared);

impl From<Shared> for SlotGuard {
    fn from(shared: Shared) -> Self {
        Self(shared)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Returns the value of a header, or an empty text if the header is missing or isn't visible ASCII.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn accept_connections(listener: TcpListener, router: Router, shared: Shared) {
    let open_connections = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let now_open = open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        let fault_source = shared.clone();
        let fault = move || fault_source.lock().fault.write_fault();
        let io = FaultyIo::new(stream, fault, Arc::clone(&open_connections));
        if !shared.admit_connection(now_open) {
            continue;
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
        tokio::spawn(async move {
            drop(connection.await);
        });
    }
}

/// Returns the response to a refused request, of which nothing was run.
pub(crate) fn refusal_response(reason: &'static str) -> Response {
    let headers = [(REFUSED_HEADER, reason)];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

async fn report(State(shared): State<Shared>) -> Json<BackendReport> {
    let state = shared.lock();
    Json(BackendReport {
        in_flight: state.in_flight,
        ..state.report.clone()
    })
}

async fn set_fault(State(shared): State<Shared>, Json(fault): Json<BackendFault>) -> StatusCode {
    shared.lock().fault = fault;
    StatusCode::NO_CONTENT
}

/// Runs a request for `work_ms` and responds with a JSON summary of it.
async fn run_request(
    State(shared): State<Shared>,
    Path((service, _path)): Path<(String, String)>,
    Query(query): Query<WorkQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let fault = match shared.begin_run(&service, &headers) {
        Ok(fault) => fault,
        Err(reason) => return refusal_response(reason),
    };
    let _slot = SlotGuard(shared.clone());
    let mut work_ms = query.work_ms;
    if let BackendFault::Slow { delay_ms } = fault {
        work_ms += delay_ms;
    }
    tokio::time::sleep(Duration::from_millis(work_ms)).await;
    if fault == BackendFault::FailAll {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let call_id = header_text(&headers, CALL_ID_HEADER);
    let summary = BTreeMap::from([
        ("call_id", call_id.clone()),
        ("instance", shared.name.to_string()),
        ("service", service),
        ("body_bytes", body.len().to_string()),
    ]);
    ([(CALL_ID_HEADER, call_id)], Json(summary)).into_response()
}
