//! The listener for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, Request, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::{any, get, post};
use cyclamentrail_core::{Ending, Incarnation, NotRunReason, ServiceName, UnknownReason};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer::pass_on;
use super::call::{Call, call_of};
use super::claims::{Key, Keyed, key_of, run_once};
use super::dispatch::dispatch;
use super::forward::{BodyLimits, forward};
use super::request::Outgoing;
use super::tickets::{TicketPlace, Tickets, mint, run_ticket};
use crate::body::problem;
use crate::control::ControlHandle;
use crate::peer::claims::ClaimClient;
use crate::peer::tickets::TicketClient;
use crate::view::{ServiceRoute, SharedView, View};
use crate::{headers, metrics};

/// What the callers' listener shares between requests.
#[derive(Debug)]
pub(crate) struct Traffic {
    shared: Arc<SharedView>,
    control: ControlHandle,
    peers: ClaimClient,
    incarnation: Incarnation,
    sequence: AtomicU64,
    detached: watch::Sender<u32>,
    tickets: Arc<Tickets>,
    passer: TicketClient,
    runtime: Handle,
}

/// A request on its way, with what it needs until its answer.
#[derive(Debug)]
pub(crate) struct Routed {
    pub(crate) request_id: String,
    pub(crate) view: Arc<View>,
    pub(crate) service: ServiceName,
    pub(crate) outgoing: Outgoing,
    pub(crate) call: Call,
    pub(crate) deadline: Instant,
}

/// Holds back the end of a planned stop while a request goes on without its caller.
#[derive(Debug)]
pub(crate) struct StopHold(watch::Sender<u32>);

impl Drop for StopHold {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl Traffic {
    /// Creates the state of the listener, whose requests run on `runtime`.
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
            peers: ClaimClient::new(Arc::clone(token)),
            passer: TicketClient::new(Arc::clone(token)),
            tickets: Arc::new(Tickets::new()),
            runtime,
            incarnation,
            sequence: AtomicU64::new(0),
            detached: watch::Sender::new(0),
        }
    }

    /// Returns the handle of the control thread.
    pub(crate) const fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the view that requests are routed from.
    pub(crate) const fn shared(&self) -> &Arc<SharedView> {
        &self.shared
    }

    /// Returns the client that asks other entries for outcomes.
    pub(crate) const fn peers(&self) -> &ClaimClient {
        &self.peers
    }

    /// Returns the tickets that this entry minted.
    pub(crate) const fn tickets(&self) -> &Arc<Tickets> {
        &self.tickets
    }

    /// Returns the runtime of the traffic threads.
    pub(crate) const fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Holds back the end of a planned stop.
    pub(crate) fn hold_stop(&self) -> StopHold {
        self.detached.send_modify(|count| *count += 1);
        StopHold(self.detached.clone())
    }

    /// Waits until no request goes on without its caller.
    pub(crate) async fn detached_ended(&self) {
        let mut detached = self.detached.subscribe();
        drop(detached.wait_for(|&count| count == 0).await);
    }

    fn next_request_id(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!("{}-{sequence}", self.incarnation)
    }
}

/// Returns the routes of the callers' listener.
pub(crate) fn router(traffic: Arc<Traffic>) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/v1/tickets", post(mint))
        .route("/v1/services/{service}/{*path}", any(serve_request))
        .with_state(traffic)
}

async fn ready(State(traffic): State<Arc<Traffic>>) -> StatusCode {
    if traffic.shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn serve_request(
    State(traffic): State<Arc<Traffic>>,
    Path((service, _path)): Path<(ServiceName, String)>,
    request: Request,
) -> Response {
    serve(&traffic, service, request).await
}

async fn serve(traffic: &Arc<Traffic>, service: ServiceName, request: Request) -> Response {
    let request_id = traffic.next_request_id();
    let arrived = Instant::now();
    let ended = try_request(traffic, &service, request, &request_id).await;
    let known = traffic.shared.load().services.contains_key(&service);
    let label = known.then(|| service.clone());
    let mut response = ended.unwrap_or_else(|ending| explain(ending, &service, request_id));
    metrics::count_request(label.as_ref(), response.headers(), arrived.elapsed());
    if traffic.shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn try_request(
    traffic: &Arc<Traffic>,
    service: &ServiceName,
    request: Request,
    request_id: &str,
) -> Result<Response, Ending> {
    let view = traffic.shared.load();
    let (Some(settings), Some(route)) = (&view.settings, view.services.get(service)) else {
        return Err(NotRunReason::NoSuchService.into());
    };
    let key = key_of(request.method(), request.headers(), service)?;
    let limits = &settings.requests;
    let deadline = Instant::now() + deadline_of(request.headers(), route, limits.max_deadline_ms);
    let call = call_of(request.headers(), request_id, deadline);
    let body_limits = BodyLimits {
        max_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
        whole: key.is_some(),
        deadline,
    };
    let mut outgoing = forward(service, request, request_id, body_limits).await?;
    let Some(key) = key else {
        let call = call.idempotent(outgoing.is_idempotent());
        let dispatched = dispatch(&traffic.shared, route, &call, &mut outgoing).await?;
        return pass_on(dispatched, request_id, deadline).await;
    };
    let Keyed { key, request } = Keyed::new(key, &outgoing);
    if let Key::Ticket(ticket) = key
        && let TicketPlace::At(minter) = traffic.place_of(ticket)
    {
        let passed = traffic.passer.request(minter, &outgoing, deadline)?;
        return traffic.passer.pass(minter, passed, deadline).await;
    }
    let routed = Routed {
        request_id: request_id.to_owned(),
        view: Arc::clone(&view),
        service: service.clone(),
        outgoing,
        call,
        deadline,
    };
    match key {
        Key::Claimed(key) => run_once(traffic, key, request, routed).await,
        Key::Ticket(ticket) => run_ticket(traffic, ticket, request, routed).await,
    }
}

/// Serves a request with a ticket that another entry passed on.
pub(crate) async fn serve_ticket(
    traffic: Arc<Traffic>,
    service: ServiceName,
    request: Request,
) -> Response {
    let key = key_of(request.method(), request.headers(), &service);
    let is_here = matches!(key, Ok(Some(Key::Ticket(ticket)))
        if traffic.place_of(ticket) == TicketPlace::Here);
    if !is_here {
        let request_id = traffic.next_request_id();
        return explain(UnknownReason::OwnerGone.into(), &service, request_id);
    }
    serve(&traffic, service, request).await
}

fn deadline_of(headers: &HeaderMap, route: &ServiceRoute, longest: Duration) -> Duration {
    headers
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(route.settings.default_deadline_ms, Duration::from_millis)
        .min(longest)
}

fn explain(ending: Ending, service: &ServiceName, request_id: String) -> Response {
    log::info!(service:% = service, request = request_id, outcome:? = ending.outcome; "request_failed");
    problem(ending, request_id)
}
