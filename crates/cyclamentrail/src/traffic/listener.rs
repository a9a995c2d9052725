//! HTTP handlers of the listener for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, Request, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::{any, get, post};
use cyclamentrail_core::{Incarnation, NotRunReason, RequestFailure, ServiceName, UnknownReason};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use super::context::{RequestContext, request_context};
use super::dispatch::dispatch;
use super::keyed::{IdempotencyKey, KeyedRequest, idempotency_key, run_claimed};
use super::request::BackendRequest;
use super::response::forward;
use super::rewrite::{BodyLimits, backend_request};
use super::tickets::{TicketIssuer, Tickets, issue_ticket, run_ticket};
use crate::control::ControlHandle;
use crate::peer::claims::OutcomeClient;
use crate::peer::tickets::TicketClient;
use crate::problem::problem_response;
use crate::view::{RoutingView, ServiceRoute, SharedView};
use crate::{headers, metrics};

/// State that the requests of the callers' listener share.
#[derive(Debug)]
pub(crate) struct RequestPath {
    shared: Arc<SharedView>,
    control: ControlHandle,
    outcome_client: OutcomeClient,
    incarnation: Incarnation,
    next_request: AtomicU64,
    detached_count: watch::Sender<u32>,
    tickets: Arc<Tickets>,
    ticket_client: TicketClient,
    runtime: Handle,
}

/// A request with a key, with all that its run needs.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) request_id: String,
    pub(crate) view: Arc<RoutingView>,
    pub(crate) service: ServiceName,
    pub(crate) backend_request: BackendRequest,
    pub(crate) context: RequestContext,
    pub(crate) deadline: Instant,
}

/// Delays the end of a planned stop while a request runs in a task of its own.
#[derive(Debug)]
pub(crate) struct DetachedGuard(watch::Sender<u32>);

impl Drop for DetachedGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl RequestPath {
    /// Creates the state of the listener, whose requests run on `runtime`.
    ///
    /// `token` authorizes requests to other entries.
    pub(crate) fn new(
        shared: Arc<SharedView>,
        control: ControlHandle,
        token: &Arc<str>,
        incarnation: Incarnation,
        runtime: Handle,
    ) -> Self {
        Self {
            shared,
            control,
            outcome_client: OutcomeClient::new(Arc::clone(token)),
            ticket_client: TicketClient::new(Arc::clone(token)),
            tickets: Arc::new(Tickets::new()),
            runtime,
            incarnation,
            next_request: AtomicU64::new(0),
            detached_count: watch::Sender::new(0),
        }
    }

    /// Returns the handle of the control thread.
    pub(crate) const fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the shared view that requests are routed with.
    pub(crate) const fn shared(&self) -> &Arc<SharedView> {
        &self.shared
    }

    /// Returns the client that fetches outcomes of keys from other entries.
    pub(crate) const fn outcome_client(&self) -> &OutcomeClient {
        &self.outcome_client
    }

    /// Returns the tickets that this entry issued.
    pub(crate) const fn tickets(&self) -> &Arc<Tickets> {
        &self.tickets
    }

    /// Returns the runtime of the traffic threads.
    pub(crate) const fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Delays the end of a planned stop until the returned guard is dropped.
    pub(crate) fn track_detached(&self) -> DetachedGuard {
        self.detached_count.send_modify(|count| *count += 1);
        DetachedGuard(self.detached_count.clone())
    }

    /// Waits until no request runs in a task of its own.
    pub(crate) async fn wait_for_detached_requests(&self) {
        let mut detached = self.detached_count.subscribe();
        drop(detached.wait_for(|&count| count == 0).await);
    }

    fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.incarnation)
    }
}

/// Returns the router of the callers' listener.
pub(crate) fn router(traffic: Arc<RequestPath>) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/v1/tickets", post(issue_ticket))
        .route("/v1/services/{service}/{*path}", any(handle_service))
        .with_state(traffic)
}

async fn ready(State(traffic): State<Arc<RequestPath>>) -> StatusCode {
    if traffic.shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn handle_service(
    State(traffic): State<Arc<RequestPath>>,
    Path((service, _path)): Path<(ServiceName, String)>,
    request: Request,
) -> Response {
    serve_request(&traffic, service, request).await
}

/// Serves a request, counts it, and closes the connection afterwards during a planned stop.
async fn serve_request(
    traffic: &Arc<RequestPath>,
    service: ServiceName,
    request: Request,
) -> Response {
    let request_id = traffic.next_request_id();
    let arrived = Instant::now();
    let result = route_request(traffic, &service, request, &request_id).await;
    let is_known = traffic.shared.load().services.contains_key(&service);
    let label = is_known.then(|| service.clone());
    let mut response =
        result.unwrap_or_else(|failure| failure_response(failure, &service, request_id));
    metrics::count_request(label.as_ref(), response.headers(), arrived.elapsed());
    if traffic.shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Routes a request by its kind of key and returns the response of a backend server.
async fn route_request(
    traffic: &Arc<RequestPath>,
    service: &ServiceName,
    request: Request,
    request_id: &str,
) -> Result<Response, RequestFailure> {
    let view = traffic.shared.load();
    let (Some(settings), Some(route)) = (&view.settings, view.services.get(service)) else {
        return Err(NotRunReason::NoSuchService.into());
    };
    let key = idempotency_key(request.method(), request.headers(), service)?;
    let limits = &settings.requests;
    let deadline = Instant::now() + time_limit(request.headers(), route, limits.max_deadline_ms);
    let context = request_context(request.headers(), request_id, deadline);
    let body_limits = BodyLimits {
        max_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
        buffer_all: key.is_some(),
        deadline,
    };
    let mut backend_request = backend_request(service, request, request_id, body_limits).await?;
    let Some(key) = key else {
        let context = context.with_idempotent(backend_request.is_idempotent());
        let dispatched = dispatch(&traffic.shared, route, &context, &mut backend_request).await?;
        return forward(dispatched, request_id, deadline).await;
    };
    let KeyedRequest { key, request } = KeyedRequest::new(key, &backend_request);
    if let IdempotencyKey::Ticket(ticket) = key
        && let TicketIssuer::Remote(issuer) = traffic.ticket_issuer(ticket)
    {
        let forwarded =
            traffic
                .ticket_client
                .forwarded_request(issuer, &backend_request, deadline)?;
        return traffic
            .ticket_client
            .forward(issuer, forwarded, deadline)
            .await;
    }
    let routed = RoutedRequest {
        request_id: request_id.to_owned(),
        view: Arc::clone(&view),
        service: service.clone(),
        backend_request,
        context,
        deadline,
    };
    match key {
        IdempotencyKey::Claimed(key) => run_claimed(traffic, key, request, routed).await,
        IdempotencyKey::Ticket(ticket) => run_ticket(traffic, ticket, request, routed).await,
    }
}

/// Serves a ticket's request that another entry forwarded to this one, the issuer of the ticket.
pub(crate) async fn serve_forwarded_ticket(
    traffic: Arc<RequestPath>,
    service: ServiceName,
    request: Request,
) -> Response {
    let key = idempotency_key(request.method(), request.headers(), &service);
    let is_issuer = matches!(key, Ok(Some(IdempotencyKey::Ticket(ticket)))
        if traffic.ticket_issuer(ticket) == TicketIssuer::Local);
    if !is_issuer {
        let request_id = traffic.next_request_id();
        return failure_response(UnknownReason::OwnerGone.into(), &service, request_id);
    }
    serve_request(&traffic, service, request).await
}

/// Returns the time that a request has from now on: its header's, or else the service's default,
/// and at most `longest`.
fn time_limit(headers: &HeaderMap, route: &ServiceRoute, longest: Duration) -> Duration {
    headers
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(route.settings.default_deadline_ms, Duration::from_millis)
        .min(longest)
}

/// Logs the failure of a request and returns the problem document for its caller.
fn failure_response(
    failure: RequestFailure,
    service: &ServiceName,
    request_id: String,
) -> Response {
    log::info!(service:% = service, request = request_id, outcome:? = failure.outcome; "request_failed");
    problem_response(failure, request_id)
}
