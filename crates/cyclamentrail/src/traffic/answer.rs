//! Passes a backend server's answer back, whole or visibly cut.

use axum::body::Body;
use axum::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::Response;
use cyclamentrail_core::{ClaimOutcome, Ending, KeptAnswer, KeptBody, Outcome, UnknownReason};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::time::Instant;

use super::dispatch::Dispatched;
use super::forward::remove_hop_by_hop;
use super::guard::{GuardedBody, Held};
use super::pump::pump;
use super::recorder::{KEPT_BODY_BYTES, Recorder};
use crate::body;
use crate::control::{Run, RunEnd};
use crate::headers;

/// Largest answer in bytes that is received as a whole before any of it is passed on.
const BUFFERED_BYTES: usize = 64 * 1024;

/// Passes on the answer of a request.
///
/// # Errors
///
/// Returns the outcome when there is no whole answer to pass on.
pub(crate) async fn pass_on(
    dispatched: Dispatched,
    request_id: &str,
    deadline: Instant,
) -> Result<Response, Ending> {
    let Received { parts, body, held } = take_head(dispatched, request_id)?;
    if is_short(&body, BUFFERED_BYTES) {
        let body = receive(body, held, deadline).await?;
        return Ok(finished(parts, body, request_id));
    }
    let body = Body::new(GuardedBody::new(body, held, deadline));
    Ok(finished(parts, body, request_id))
}

/// Passes on the answer of a key's request, and records it.
///
/// # Errors
///
/// Returns the outcome when there is no whole answer to pass on; it is recorded as well.
pub(crate) async fn pass_on_recorded(
    dispatched: Dispatched,
    request_id: &str,
    deadline: Instant,
    run: Run,
) -> Result<Response, Ending> {
    let Received { parts, body, held } = match take_head(dispatched, request_id) {
        Ok(received) => received,
        Err(ending) => return Err(record_failure(run, ending)),
    };
    let mut recorder = Recorder::new(run, &parts);
    if !is_short(&body, KEPT_BODY_BYTES) {
        let body = GuardedBody::new(body, held, deadline).recorder(recorder);
        return Ok(finished(parts, pump(body), request_id));
    }
    let body = receive(body, held, deadline).await?;
    recorder.pass(&body);
    recorder.whole();
    Ok(finished(parts, Body::from(body), request_id))
}

/// Records the end of a key's request that has no answer, and returns it.
pub(crate) fn record_failure(run: Run, ending: Ending) -> Ending {
    let end = match ending.outcome {
        Outcome::Unknown(reason) => RunEnd::Ended(ClaimOutcome::Unknown(reason)),
        Outcome::NotRun(_) | Outcome::Answered => RunEnd::NotRun,
    };
    run.end(end);
    ending
}

/// Returns the answer of a key's earlier request.
///
/// # Errors
///
/// Returns the outcome when that request had no answer or it is no longer kept.
pub(crate) fn replay(outcome: ClaimOutcome, request_id: &str) -> Result<Response, Ending> {
    let answer = match outcome {
        ClaimOutcome::Answered(answer) => answer,
        ClaimOutcome::Unknown(reason) => return Err(reason.into()),
    };
    let KeptAnswer {
        status,
        headers: kept,
        body: KeptBody::Here(bytes),
    } = answer
    else {
        return Err(UnknownReason::AnswerGone.into());
    };
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in kept {
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
    body::mark(headers, Outcome::Answered, request_id);
    Ok(response)
}

struct Received {
    parts: Parts,
    body: Incoming,
    held: Held,
}

/// Checks that the answer is this request's and that its end can be told.
fn take_head(dispatched: Dispatched, request_id: &str) -> Result<Received, Ending> {
    let Dispatched { response, slot } = dispatched;
    let held = Held::new(slot, response.status());
    let (parts, body) = response.into_parts();
    if is_crossed(&parts, request_id) {
        metrics::counter!("answers_crossed_total").increment(1);
        log::warn!(request = request_id; "answer_crossed");
        held.cut();
        return Err(UnknownReason::CrossedAnswer.into());
    }
    let is_framed = body.is_end_stream()
        || parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_framed || parts.status == StatusCode::SWITCHING_PROTOCOLS {
        held.cut();
        return Err(UnknownReason::UnframedAnswer.into());
    }
    Ok(Received { parts, body, held })
}

/// Returns whether the answer names another request than this one.
fn is_crossed(parts: &Parts, request_id: &str) -> bool {
    parts
        .headers
        .get(headers::REQUEST_ID)
        .is_some_and(|id| id.as_bytes() != request_id.as_bytes())
}

fn is_short(body: &Incoming, max_bytes: usize) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|length| length <= max_bytes as u64)
}

async fn receive(body: Incoming, held: Held, deadline: Instant) -> Result<bytes::Bytes, Ending> {
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => {
            held.whole();
            Ok(body.to_bytes())
        }
        Ok(Err(error)) => {
            log::debug!(error:% = error; "answer_not_received");
            held.cut();
            Err(UnknownReason::ConnectionLost.into())
        }
        Err(_) => {
            held.late();
            Err(UnknownReason::TimedOut.into())
        }
    }
}

fn finished(mut parts: Parts, body: impl Into<Body>, request_id: &str) -> Response {
    remove_hop_by_hop(&mut parts.headers);
    body::mark(&mut parts.headers, Outcome::Answered, request_id);
    Response::from_parts(parts, body.into())
}
