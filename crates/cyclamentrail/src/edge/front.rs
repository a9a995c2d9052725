//! The listener for callers: finds the route of a request and asks the owner of its service.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use cyclamentrail_adapter::{
    Configuration, DEADLINE_HEADER, Route, decode_job, job_state_body, pending_body,
};
use cyclamentrail_core::JobId;
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;

use super::internal::ask_here;
use super::messages::{Ask, Question, Reply};
use super::node::Node;
use super::peers::Unanswered;

/// Longest time for which a request waits for its owner, where its caller says nothing.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Part of a caller's time after which the answer is given, in percent.
const USABLE_PERCENT: u32 = 85;
/// Longest time for which a job waits for an owner to be known.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);
/// Time between two tries to reach the owner.
const TRY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time for which one try waits.
const MAX_TRY: Duration = Duration::from_millis(1_500);
/// When a caller may come back whose service has no owner, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 1_000;
/// Length of a job's id.
const ID_LENGTH: usize = 16;

/// Returns the routes for callers.
pub(crate) fn router(node: Arc<Node>) -> Router {
    Router::new().fallback(serve).with_state(node)
}

/// Returns the routes for the platform's health checks.
pub(crate) fn ready_router(node: Arc<Node>) -> Router {
    Router::new().route("/readyz", get(ready)).with_state(node)
}

async fn ready(State(node): State<Arc<Node>>) -> StatusCode {
    if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn serve(State(node): State<Arc<Node>>, request: Request) -> Response {
    let Some(configuration) = node.configuration() else {
        return unavailable(NO_OWNER_RETRY_MS);
    };
    let deadline = Instant::now() + deadline_of(request.headers());
    let (parts, body) = request.into_parts();
    let host = host_of(&parts.headers);
    let path = parts.uri.path();
    let Some(route) = configuration.route(&host, path) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let rest = path[route.path_prefix.len()..].to_owned();
    let body = match read_body(&configuration, body).await {
        Ok(body) => body,
        Err(status) => return status.into_response(),
    };
    match question(&parts.method, &rest, route, &body) {
        Ok(question) => {
            let ask = Ask {
                service: route.terms.service.clone(),
                question,
            };
            ask_owner(&node, ask, deadline).await
        }
        Err(status) => status.into_response(),
    }
}

async fn read_body(
    configuration: &Configuration,
    body: axum::body::Body,
) -> Result<Bytes, StatusCode> {
    let limit = configuration.max_body_bytes.max(1);
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn question(
    method: &Method,
    rest: &str,
    route: &Route,
    body: &[u8],
) -> Result<Question, StatusCode> {
    if rest.is_empty() {
        return match *method {
            Method::GET => Ok(Question::Pending(route.terms.name.clone())),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if rest.len() != ID_LENGTH || !rest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(StatusCode::NOT_FOUND);
    }
    let id = JobId::from(rest);
    match *method {
        Method::GET => Ok(Question::State(id)),
        Method::DELETE => Ok(Question::Cancel(id)),
        Method::POST => {
            let spec = decode_job(body).ok_or(StatusCode::BAD_REQUEST)?;
            Ok(Question::Submit {
                id,
                route: route.terms.name.clone(),
                spec: Arc::new(spec),
            })
        }
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Asks the owner until it answers or the time is up.
async fn ask_owner(node: &Node, ask: Ask, deadline: Instant) -> Response {
    let is_submission = matches!(ask.question, Question::Submit { .. });
    let owner_deadline = deadline.min(Instant::now() + MAX_OWNER_WAIT);
    let mut may_have_run = false;
    loop {
        match try_owner(node, &ask, deadline).await {
            Ok(Reply::NotOwner) | Err(Unanswered::NotSent) => {}
            Err(Unanswered::Unknown) => may_have_run = true,
            Ok(Reply::Rejected { .. }) if may_have_run => {
                // An earlier try may still be accepted, so that nothing can be said for sure.
                return StatusCode::GATEWAY_TIMEOUT.into_response();
            }
            Ok(reply) => return respond(&reply),
        }
        let end = if is_submission && !may_have_run {
            owner_deadline
        } else {
            deadline
        };
        if Instant::now() + TRY_INTERVAL >= end {
            break;
        }
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    if may_have_run {
        StatusCode::GATEWAY_TIMEOUT.into_response()
    } else {
        unavailable(NO_OWNER_RETRY_MS)
    }
}

async fn try_owner(node: &Node, ask: &Ask, deadline: Instant) -> Result<Reply, Unanswered> {
    let left = deadline
        .saturating_duration_since(Instant::now())
        .min(MAX_TRY);
    if node.owned(&ask.service).is_some() {
        return match tokio::time::timeout(left, ask_here(node, ask.clone())).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) | Err(_) => Err(Unanswered::Unknown),
        };
    }
    let owner = node
        .owner(ask.service.as_str())
        .ok_or(Unanswered::NotSent)?;
    if owner.claim.address == node.settings.internal {
        return Err(Unanswered::NotSent);
    }
    node.peers.ask(owner.claim.address, ask, left).await
}

fn respond(reply: &Reply) -> Response {
    match *reply {
        Reply::Accepted | Reply::Cancelled => json(StatusCode::OK, String::from("{}")),
        Reply::Rejected {
            retry_after_ms,
            is_overload,
        } => {
            let status = if is_overload {
                StatusCode::TOO_MANY_REQUESTS
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            (status, retry_after(retry_after_ms)).into_response()
        }
        Reply::Malformed => StatusCode::BAD_REQUEST.into_response(),
        Reply::State(state) => json(StatusCode::OK, job_state_body(state.into())),
        Reply::Unknown => StatusCode::GONE.into_response(),
        Reply::Pending(count) => json(StatusCode::OK, pending_body(count)),
        Reply::Load(_)
        | Reply::Shard(_)
        | Reply::Job(_)
        | Reply::Standing(_)
        | Reply::Released
        | Reply::NotOwner => unavailable(NO_OWNER_RETRY_MS),
    }
}

fn json(status: StatusCode, body: String) -> Response {
    let kind = HeaderValue::from_static("application/json");
    (status, [(header::CONTENT_TYPE, kind)], body).into_response()
}

fn unavailable(retry_after_ms: u64) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, retry_after(retry_after_ms)).into_response()
}

fn retry_after(retry_after_ms: u64) -> [(header::HeaderName, HeaderValue); 1] {
    let seconds = retry_after_ms.div_ceil(1_000).max(1);
    [(header::RETRY_AFTER, HeaderValue::from(seconds))]
}

fn host_of(headers: &HeaderMap) -> String {
    headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

fn deadline_of(headers: &HeaderMap) -> Duration {
    let asked = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    asked.min(DEFAULT_DEADLINE) * USABLE_PERCENT / 100
}
