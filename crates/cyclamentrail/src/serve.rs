//! Serves a router on a listener, with limits on connections, requests, headers and bodies, and
//! with a graceful stop.

use std::error::Error;
use std::io;
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

/// Delay after a failed accept, which prevents a busy loop while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that `hyper` allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Largest request body that the extractors of axum accept, in bytes; the bodies that operators and
/// peers send are read by them.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Value of the `retry-after` header of a refused request, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Raw HTTP response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\ncontent-length: 0\r\nretry-after: 1\r\nx-outcome: not-run\r\n\r\n";

/// Group of clients that a listener serves.
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
    /// Returns the group's name in log lines and metric labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Operators => "operators",
        }
    }
}

/// Serves a router on a listener until `stop` is true, then closes the listener and returns once
/// the requests in flight have ended.
///
/// Connections above the limit get a 503 response and are closed.
pub(crate) async fn serve(
    audience: Audience,
    listener: TcpListener,
    router: Router,
    limits: CallerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let router = with_request_limits(audience, router, &limits);
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            refuse_connection(audience, &stream);
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "nodelay_failed");
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        let open_connection = OpenConnection::new(audience);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                record_connection_error(audience, &error);
            }
            drop((permit, open_connection));
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Adds the limits on concurrent requests, body size and body time to a router.
fn with_request_limits(audience: Audience, router: Router, limits: &CallerLimits) -> Router {
    let limiter = RequestLimiter {
        audience,
        permits: Arc::new(Semaphore::new(limits.max_requests as usize)),
    };
    router
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(RequestBodyTimeoutLayer::new(limits.body_timeout_ms))
        .layer(middleware::from_fn_with_state(limiter, limit_requests))
}

/// Limits the requests that a listener serves concurrently, one permit per request.
#[derive(Debug, Clone)]
struct RequestLimiter {
    audience: Audience,
    permits: Arc<Semaphore>,
}

async fn limit_requests(
    State(limiter): State<RequestLimiter>,
    request: Request,
    next: Next,
) -> Response {
    let Ok(_permit) = limiter.permits.try_acquire() else {
        metrics::count_refusal(limiter.audience.as_str(), Refusal::Requests);
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
        "too many requests at once; nothing was run, try again later\n",
    )
        .into_response()
}

/// Sends the 503 response to a connection above the limit without waiting until it is writable, so
/// that a client which doesn't read can't block the listener.
fn refuse_connection(audience: Audience, stream: &TcpStream) {
    metrics::count_refusal(audience.as_str(), Refusal::Connections);
    if let Err(error) = stream.try_write(TOO_MANY_CONNECTIONS) {
        log::debug!(error:% = error; "refusal_not_sent");
    }
}

/// Logs why a connection ended, and counts it as refused when its request was malformed, had too
/// large headers or sent them too slowly, or when its responses weren't read.
fn record_connection_error(audience: Audience, error: &hyper::Error) {
    let refusal = if error.is_parse_too_large() {
        Some(Refusal::HeaderSize)
    } else if error.is_parse() {
        Some(Refusal::Malformed)
    } else if error.is_timeout() {
        Some(Refusal::HeaderTimeout)
    } else if is_unread(error) {
        Some(Refusal::Unread)
    } else {
        None
    };
    if let Some(refusal) = refusal {
        metrics::count_refusal(audience.as_str(), refusal);
    }
    log::debug!(listener = audience.as_str(), error:% = error; "connection_ended");
}

/// Returns whether a connection ended because the client didn't take what was sent in time.
fn is_unread(error: &hyper::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|error| error.kind() == io::ErrorKind::TimedOut)
}

/// Counts one open connection in the metrics until dropped.
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
