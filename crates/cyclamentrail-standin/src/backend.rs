//! A backend server with slots, which counts what it runs.

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

use crate::answers;
use crate::faulty_io::{FaultyIo, WriteFault};

/// Header by which a backend server says that it refused a request and ran nothing of it.
const REFUSED_HEADER: &str = "x-refused";
/// Header with the entry's id of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the caller's own mark of the request, which the answer repeats.
const CALL_ID_HEADER: &str = "x-call-id";
/// Connections that a backend server accepts.
const MAX_CONNECTIONS: u32 = 64;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A fault of a backend server; set with `POST /_standin/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFault {
    /// It works.
    #[default]
    None,
    /// It refuses every request.
    Refuse,
    /// It runs every request and answers 500.
    FailAll,
    /// It takes this much longer.
    Slow {
        /// The extra time in milliseconds.
        delay_ms: u64,
    },
    /// It refuses every request, saying that it leaves.
    Leave,
    /// It runs every request and then ends the connection without an answer.
    Die,
    /// It runs every request and ends the connection in the middle of the answer.
    Cut,
    /// It runs every request and answers something that isn't HTTP.
    Garbage,
    /// It runs every request, answers nothing and keeps the connection open.
    HalfOpen,
}

impl BackendFault {
    const fn write_fault(self) -> WriteFault {
        match self {
            Self::Die => WriteFault::End,
            Self::Cut => WriteFault::Cut,
            Self::Garbage => WriteFault::Garble,
            Self::HalfOpen => WriteFault::Swallow,
            _ => WriteFault::None,
        }
    }
}

/// What a backend server ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Runs in the order of their start.
    pub runs: Vec<RunReport>,
    /// Requests that it refused.
    pub refused: u64,
    /// Requests that run now.
    #[serde(default)]
    pub in_flight: u32,
    /// Most requests that ran at once.
    pub peak_in_flight: u32,
    /// Most connections that were open at once.
    #[serde(default)]
    pub peak_connections: u32,
    /// Connections that it closed at once because too many were open.
    #[serde(default)]
    pub refused_connections: u64,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The caller's mark of the request.
    pub call_id: String,
    /// The entry's id of the request.
    pub request_id: String,
    /// Service that the request was for.
    pub service: String,
}

/// A stand-in backend server.
#[derive(Debug)]
pub struct Backend {
    shared: Shared,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

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
    report: BackendReport,
}

#[derive(Debug, Deserialize)]
struct WorkQuery {
    #[serde(default)]
    work_ms: u64,
}

impl Backend {
    /// Starts a backend server on an address; port 0 takes a free one.
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
            .route("/{service}/answers", any(answers::run))
            .route("/{service}/{*path}", any(run))
            .with_state(shared.clone());
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, router, shared.clone()));
        Ok(Self {
            shared,
            address,
            task,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it ran.
    #[must_use]
    pub fn report(&self) -> BackendReport {
        self.shared.lock().report.clone()
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: BackendFault) {
        self.shared.lock().fault = fault;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new connection; returns whether it may stay.
    fn connected(&self, open: u32) -> bool {
        let mut state = self.lock();
        let allowed = open <= MAX_CONNECTIONS;
        if allowed {
            state.report.peak_connections = state.report.peak_connections.max(open);
        } else {
            state.report.refused_connections += 1;
        }
        allowed
    }

    pub(crate) fn begin(
        &self,
        service: &str,
        headers: &HeaderMap,
    ) -> Result<BackendFault, &'static str> {
        let mut state = self.lock();
        let leaves = state.fault == BackendFault::Leave;
        if leaves || state.fault == BackendFault::Refuse || state.in_flight >= self.slots {
            state.report.refused += 1;
            return Err(if leaves { "leaving" } else { "not-run" });
        }
        state.in_flight += 1;
        state.report.peak_in_flight = state.report.peak_in_flight.max(state.in_flight);
        state.report.runs.push(RunReport {
            call_id: header(headers, CALL_ID_HEADER),
            request_id: header(headers, REQUEST_ID_HEADER),
            service: service.to_owned(),
        });
        Ok(state.fault)
    }
}

/// Frees the slot when the run ends or its caller goes away.
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

fn header(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn accept(listener: TcpListener, router: Router, shared: Shared) {
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let now_open = open.fetch_add(1, Ordering::SeqCst) + 1;
        let faults = shared.clone();
        let fault = move || faults.lock().fault.write_fault();
        let io = FaultyIo::new(stream, fault, Arc::clone(&open));
        if !shared.connected(now_open) {
            continue;
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
        tokio::spawn(async move {
            drop(connection.await);
        });
    }
}

/// Says that a request was refused and nothing of it was run.
pub(crate) fn refusal(word: &'static str) -> Response {
    let headers = [(REFUSED_HEADER, word)];
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

async fn run(
    State(shared): State<Shared>,
    Path((service, _path)): Path<(String, String)>,
    Query(query): Query<WorkQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let fault = match shared.begin(&service, &headers) {
        Ok(fault) => fault,
        Err(word) => return refusal(word),
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
    let call_id = header(&headers, CALL_ID_HEADER);
    let answer = BTreeMap::from([
        ("call_id", call_id.clone()),
        ("instance", shared.name.to_string()),
        ("service", service),
        ("body_bytes", body.len().to_string()),
    ]);
    ([(CALL_ID_HEADER, call_id)], Json(answer)).into_response()
}
