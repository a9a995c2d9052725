//! Forwards a backend server's response to the caller, complete or as a visibly aborted transfer.

use axum::body::Body;
use axum::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::Response;
use cyclamentrail_core::{
    ClaimOutcome, Outcome, RequestFailure, StoredBody, StoredResponse, UnknownReason,
};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::time::Instant;

use super::dispatch::Dispatched;
use super::guarded_body::{GuardedBody, HeldSlot};
use super::recorder::{MAX_RECORDED_BODY_BYTES, ResponseRecorder};
use super::relay::relay;
use super::rewrite::remove_hop_by_hop;
use crate::control::{RunEnd, RunPermit};
use crate::headers;
use crate::problem;

/// Largest response body in bytes that is received completely before any of it is forwarded, so
/// that a failure can still be reported as an outcome.
const BUFFERED_BYTES: usize = 64 * 1024;

/// Forwards the response to a request.
///
/// # Errors
///
/// Returns the outcome when there is no valid response to forward.
pub(crate) async fn forward(
    dispatched: Dispatched,
    request_id: &str,
    deadline: Instant,
) -> Result<Response, RequestFailure> {
    let CheckedResponse { parts, body, held } = check_head(dispatched, request_id)?;
    if fits_in(&body, BUFFERED_BYTES) {
        let body = receive(body, held, deadline).await?;
        return Ok(forwarded(parts, body, request_id));
    }
    let body = Body::new(GuardedBody::new(body, held, deadline));
    Ok(forwarded(parts, body, request_id))
}

/// Forwards the response to a request with an idempotency key, and records it.
///
/// # Errors
///
/// Returns the outcome when there is no valid response to forward; the end of the run is
/// recorded in any case.
pub(crate) async fn forward_recorded(
    dispatched: Dispatched,
    request_id: &str,
    deadline: Instant,
    run: RunPermit,
) -> Result<Response, RequestFailure> {
    let CheckedResponse { parts, body, held } = match check_head(dispatched, request_id) {
        Ok(checked) => checked,
        Err(failure) => return Err(record_failure(run, failure)),
    };
    let mut recorder = ResponseRecorder::new(run, &parts);
    if !fits_in(&body, MAX_RECORDED_BODY_BYTES) {
        let body = GuardedBody::new(body, held, deadline).with_recorder(recorder);
        return Ok(forwarded(parts, relay(body), request_id));
    }
    let body = receive(body, held, deadline).await?;
    recorder.append(&body);
    recorder.finish();
    Ok(forwarded(parts, Body::from(body), request_id))
}

/// Records the failure of a run, and returns it.
pub(crate) fn record_failure(run: RunPermit, failure: RequestFailure) -> RequestFailure {
    let end = match failure.outcome {
        Outcome::Unknown(reason) => RunEnd::Ended(ClaimOutcome::Unknown(reason)),
        Outcome::NotRun(_) | Outcome::Answered => RunEnd::NotRun,
    };
    run.end(end);
    failure
}

/// Returns the recorded response to the first request with an idempotency key.
///
/// # Errors
///
/// Returns the outcome when that request had no response or the response is no longer kept.
pub(crate) fn replay(outcome: ClaimOutcome, request_id: &str) -> Result<Response, RequestFailure> {
    let recorded = match outcome {
        ClaimOutcome::Answered(response) => response,
        ClaimOutcome::Unknown(reason) => return Err(reason.into()),
    };
    let StoredResponse {
        status,
        headers: recorded_headers,
        body: StoredBody::Inline(bytes),
    } = recorded
    else {
        return Err(UnknownReason::AnswerGone.into());
    };
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in recorded_headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers.insert(
        HeaderName::from_static(headers::REPLAYED),
        HeaderValue::from_static("true"),
    );
    problem::set_outcome_headers(headers, Outcome::Answered, request_id);
    Ok(response)
}

/// A checked response head with the body still to be received.
struct CheckedResponse {
    parts: Parts,
    body: Incoming,
    held: HeldSlot,
}

/// Checks that the response belongs to this request and that a truncated body can be recognized.
fn check_head(dispatched: Dispatched, request_id: &str) -> Result<CheckedResponse, RequestFailure> {
    let Dispatched { response, slot } = dispatched;
    let held = HeldSlot::new(slot, response.status());
    let (parts, body) = response.into_parts();
    if is_misrouted(&parts, request_id) {
        metrics::counter!("answers_crossed_total").increment(1);
        log::warn!(request = request_id; "answer_crossed");
        held.fail();
        return Err(UnknownReason::CrossedAnswer.into());
    }
    let is_framed = body.is_end_stream()
        || parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_framed || parts.status == StatusCode::SWITCHING_PROTOCOLS {
        held.fail();
        return Err(UnknownReason::UnframedAnswer.into());
    }
    Ok(CheckedResponse { parts, body, held })
}

/// Returns whether the response carries another request's id.
fn is_misrouted(parts: &Parts, request_id: &str) -> bool {
    parts
        .headers
        .get(headers::REQUEST_ID)
        .is_some_and(|id| id.as_bytes() != request_id.as_bytes())
}

/// Returns whether the body has a known length of at most `max_bytes`.
fn fits_in(body: &Incoming, max_bytes: usize) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|length| length <= max_bytes as u64)
}

/// Receives a complete body and records the result of the attempt.
async fn receive(
    body: Incoming,
    held: HeldSlot,
    deadline: Instant,
) -> Result<bytes::Bytes, RequestFailure> {
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => {
            held.finish();
            Ok(body.to_bytes())
        }
        Ok(Err(error)) => {
            log::debug!(error:% = error; "answer_not_received");
            held.fail();
            Err(UnknownReason::ConnectionLost.into())
        }
        Err(_) => {
            held.abort();
            Err(UnknownReason::TimedOut.into())
        }
    }
}

/// Returns the response for the caller, without hop-by-hop headers.
fn forwarded(mut parts: Parts, body: impl Into<Body>, request_id: &str) -> Response {
    remove_hop_by_hop(&mut parts.headers);
    problem::set_outcome_headers(&mut parts.headers, Outcome::Answered, request_id);
    Response::from_parts(parts, body.into())
}
