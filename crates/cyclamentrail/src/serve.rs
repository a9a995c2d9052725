//! Serves a router on a listener, with limits against bad input and a graceful end.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use cyclamentrail_core::CallerLimits;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tower_http::timeout::RequestBodyTimeoutLayer;

use crate::headers;
use crate::metrics::{self, CONNECTIONS, Refusal};

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that `hyper` allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Largest body of operators and peers, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Seconds after which a refused peer may come back.
const RETRY_AFTER_S: u64 = 1;
/// Answer to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\ncontent-length: 0\r\nretry-after: 1\r\nx-outcome: not-run\r\n\r\n";

/// What a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Callers of services.
    Callers,
    /// The other entries.
    Peers,
    /// Operators.
    Operators,
}

impl Audience {
    /// Returns the name in logs and labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Operators => "operators",
        }
    }
}

/// Serves until `stop` turns true, then lets the requests in flight end.
pub(crate) async fn serve(
    audience: Audience,
    listener: TcpListener,
    router: Router,
    limits: CallerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let router = limited(audience, router, &limits);
    let permits = Arc::new(Semaphore::new(limits.max_connections as usize));
    let graceful = GracefulShutdown::new();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout_ms)
        .max_buf_size((limits.max_header_bytes as usize).max(MIN_BUFFER_BYTES));
    loop {
        let accepted = tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(listener = audience.as_str(), error:% = error; "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            refuse(audience, &stream);
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "nodelay_failed");
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        let open = OpenConnection::new(audience);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                note_end(audience, &error);
            }
            drop((permit, open));
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn limited(audience: Audience, router: Router, limits: &CallerLimits) -> Router {
    let guard = RequestGuard {
        audience,
        permits: Arc::new(Semaphore::new(limits.max_requests as usize)),
    };
    router
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(RequestBodyTimeoutLayer::new(limits.body_timeout_ms))
        .layer(middleware::from_fn_with_state(guard, limit_requests))
}

/// Counts the requests that a listener serves at once.
#[derive(Debug, Clone)]
struct RequestGuard {
    audience: Audience,
    permits: Arc<Semaphore>,
}

async fn limit_requests(
    State(guard): State<RequestGuard>,
    request: Request,
    next: Next,
) -> Response {
    let Ok(_permit) = guard.permits.try_acquire() else {
        metrics::count_refusal(guard.audience.as_str(), Refusal::Requests);
        return too_many_requests();
    };
    next.run(request).await
}

fn too_many_requests() -> Response {
    let headers = [
        (header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S)),
        (
            HeaderName::from_static(headers::OUTCOME),
            HeaderValue::from_static("not-run"),
        ),
    ];
    (
        StatusCode::SERVICE_UNAVAILABLE,
        headers,
        "too many requests at once; nothing was run, come back later\n",
    )
        .into_response()
}

/// Answers a connection above the limit without waiting for its peer.
fn refuse(audience: Audience, stream: &TcpStream) {
    metrics::count_refusal(audience.as_str(), Refusal::Connections);
    if let Err(error) = stream.try_write(TOO_MANY_CONNECTIONS) {
        log::debug!(error:% = error; "refusal_not_sent");
    }
}

fn note_end(audience: Audience, error: &hyper::Error) {
    let refusal = if error.is_parse_too_large() {
        Some(Refusal::HeaderSize)
    } else if error.is_parse() {
        Some(Refusal::Malformed)
    } else if error.is_timeout() {
        Some(Refusal::HeaderTimeout)
    } else {
        None
    };
    if let Some(refusal) = refusal {
        metrics::count_refusal(audience.as_str(), refusal);
    }
    log::debug!(listener = audience.as_str(), error:% = error; "connection_ended");
}

/// Shows an open connection in the metrics until it is dropped.
#[derive(Debug)]
struct OpenConnection(Audience);

impl OpenConnection {
    fn new(audience: Audience) -> Self {
        ::metrics::gauge!(CONNECTIONS, "listener" => audience.as_str()).increment(1.0);
        Self(audience)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        ::metrics::gauge!(CONNECTIONS, "listener" => self.0.as_str()).decrement(1.0);
    }
}
