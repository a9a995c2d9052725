//! The listener for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::header::{CONNECTION, HOST, TRANSFER_ENCODING};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::{any, get};
use cyclamentrail_core::{Incarnation, NotRunReason, Outcome, ServiceName};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::Instant;

use super::dispatch::{Dispatched, dispatch};
use super::guard::GuardedBody;
use super::jobs;
use crate::body::{Problem, outcome_text};
use crate::control::ControlHandle;
use crate::view::{ServiceRoute, SharedView};
use crate::{headers, metrics};

/// Seconds after which a caller may come back when nothing better is known.
const RETRY_AFTER_S: u64 = 1;

/// What the callers' listener shares between requests.
#[derive(Debug)]
pub(crate) struct Traffic {
    shared: Arc<SharedView>,
    control: ControlHandle,
    incarnation: Incarnation,
    sequence: AtomicU64,
}

impl Traffic {
    /// Creates the state of the listener.
    pub(crate) const fn new(
        shared: Arc<SharedView>,
        control: ControlHandle,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            shared,
            control,
            incarnation,
            sequence: AtomicU64::new(0),
        }
    }

    /// Returns the handle of the control thread.
    pub(crate) const fn control(&self) -> &ControlHandle {
        &self.control
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
        .route("/v1/services/{service}/{*path}", any(serve_request))
        .merge(jobs::router())
        .with_state(traffic)
}

async fn ready(State(traffic): State<Arc<Traffic>>) -> StatusCode {
    if traffic.shared.may_dispatch() {
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
    let request_id = traffic.next_request_id();
    let arrived = Instant::now();
    let result = try_request(&traffic, &service, request, &request_id).await;
    let outcome = result.as_ref().err().copied().unwrap_or(Outcome::Answered);
    metrics::count_request(service.as_str(), outcome, arrived.elapsed().as_secs_f64());
    match result {
        Ok(dispatched) => pass_on(dispatched, &request_id),
        Err(outcome) => explain(outcome, &service, request_id),
    }
}

async fn try_request(
    traffic: &Traffic,
    service: &ServiceName,
    request: Request,
    request_id: &str,
) -> Result<Dispatched, Outcome> {
    let view = traffic.shared.load();
    let (Some(settings), Some(route)) = (&view.settings, view.services.get(service)) else {
        return Err(Outcome::NotRun(NotRunReason::NoSuchService));
    };
    let deadline =
        Instant::now() + deadline_of(request.headers(), route, settings.requests.max_deadline_ms);
    let max_body_bytes = usize::try_from(settings.requests.max_body_bytes).unwrap_or(usize::MAX);
    let request = forwarded(service, request, request_id, max_body_bytes).await?;
    dispatch(&traffic.shared, route, &request, deadline).await
}

fn deadline_of(headers: &HeaderMap, route: &ServiceRoute, longest: Duration) -> Duration {
    headers
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(route.settings.default_deadline_ms, Duration::from_millis)
        .min(longest)
}

async fn forwarded(
    service: &ServiceName,
    request: Request,
    request_id: &str,
    max_body_bytes: usize,
) -> Result<Request<Full<bytes::Bytes>>, Outcome> {
    let bad = Outcome::NotRun(NotRunReason::BadRequest);
    let (mut parts, body) = request.into_parts();
    let body = Limited::new(body, max_body_bytes)
        .collect()
        .await
        .map_err(|_error| bad)?
        .to_bytes();
    let path = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().strip_prefix("/v1/services"))
        .ok_or(bad)?;
    parts.uri = path.parse().map_err(|_error| bad)?;
    parts.headers.remove(CONNECTION);
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.insert(
        HOST,
        HeaderValue::from_str(service.as_str()).map_err(|_error| bad)?,
    );
    let id = HeaderValue::from_str(request_id).map_err(|_error| bad)?;
    parts
        .headers
        .insert(HeaderName::from_static(headers::REQUEST_ID), id);
    Ok(Request::from_parts(parts, Full::new(body)))
}

fn pass_on(dispatched: Dispatched, request_id: &str) -> Response {
    let Dispatched {
        response,
        slot,
        sender,
    } = dispatched;
    let (mut parts, body) = response.into_parts();
    parts.headers.remove(CONNECTION);
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.insert(
        HeaderName::from_static(headers::OUTCOME),
        HeaderValue::from_static(outcome_text(Outcome::Answered)),
    );
    if let Ok(id) = HeaderValue::from_str(request_id) {
        parts
            .headers
            .insert(HeaderName::from_static(headers::REQUEST_ID), id);
    }
    Response::from_parts(parts, Body::new(GuardedBody::new(body, slot, sender)))
}

fn explain(outcome: Outcome, service: &ServiceName, request_id: String) -> Response {
    log::info!(service:% = service, request = request_id, outcome:? = outcome; "request_failed");
    let (status, title, detail, retry_after_s) = match outcome {
        Outcome::NotRun(NotRunReason::NoSuchService) => (
            404,
            "Not run",
            format!("service \"{service}\" does not exist; check the path"),
            None,
        ),
        Outcome::NotRun(NotRunReason::BadRequest) => (
            400,
            "Not run",
            String::from("the request is malformed or too large; correct it"),
            None,
        ),
        Outcome::NotRun(reason) => (
            503,
            "Not run",
            format!("the request was not run ({reason:?}); send it again later"),
            Some(RETRY_AFTER_S),
        ),
        Outcome::Unknown(reason) => (
            504,
            "Outcome unknown",
            format!("the request may have run ({reason:?}); check before sending it again"),
            None,
        ),
        Outcome::Answered => (200, "Answered", String::new(), None),
    };
    let problem = Problem {
        kind: "about:blank",
        title,
        status,
        detail,
        outcome,
        request_id,
    };
    problem.into_response(retry_after_s)
}
