//! Listener for callers: finds the route of a request and forwards it to the owner of its service.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use cyclamentrail_adapter::{DEADLINE_HEADER, decode_job, job_state_body, pending_body};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallRefusal, JobSpec, MAX_TASKS, StepSpec, authenticate};
use tokio::time::Instant;

use super::internal::call_local_owner;
use super::messages::{JobRequest, OwnerCall, OwnerRequest, Reply, SubmittedJob};
use super::peers::PeerError;
use super::process_state::ProcessState;
use crate::body::{BodyError, CollectError, ExpectedLength, HeldBody, HeldMemory, declared_bytes};
use crate::metrics::{self, Refusal};
use crate::serve::Audience;

mod access;
mod attempts;
mod job_calls;

use attempts::Attempts;

/// Deadline of a request without a deadline header, and the longest deadline that a header can set.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Part of a request's deadline within which the response is sent, in percent.
const DEADLINE_USED_PERCENT: u32 = 85;
/// Longest time that a submission waits for the owner of its service to become known.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);
/// Pause between two attempts to reach the owner.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time that one attempt waits for a reply.
const MAX_ATTEMPT_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a caller whose service has no owner may retry, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 1_000;
/// Time after which a caller whose body was turned away may retry, in milliseconds.
const BODY_RETRY_MS: u64 = 1_000;
/// Copies of a step for which a job holds memory: the list grows while it is decoded, and is encoded
/// for the owner.
const STEP_COPIES: usize = 2;
/// Length of a job's id, in hexadecimal digits.
const JOB_ID_LENGTH: usize = 16;

/// Returns the routes for callers.
pub(crate) fn router(process: Arc<ProcessState>) -> Router {
    Router::new().fallback(handle_request).with_state(process)
}

/// Returns the route for the platform's readiness checks.
pub(crate) fn ready_router(process: Arc<ProcessState>) -> Router {
    Router::new()
        .route("/readyz", get(report_readiness))
        .with_state(process)
}

async fn report_readiness(State(process): State<Arc<ProcessState>>) -> StatusCode {
    if process.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn handle_request(State(process): State<Arc<ProcessState>>, request: Request) -> Response {
    let _open_request = process.open_requests.begin();
    let method = request.method().clone();
    let arrived = Instant::now();
    let attempts = Attempts::default();
    tokio::select! {
        biased;
        response = serve_request(&process, request, &attempts) => response,
        () = process.wait_last_response() => {
            let response = failure_response(attempts.failure());
            log_exit_response(&process, &method, response.status(), arrived);
            response
        }
    }
}

/// Logs a response that was sent because the process exits, within the budget of lines.
fn log_exit_response(
    process: &ProcessState,
    method: &Method,
    status: StatusCode,
    arrived: Instant,
) {
    if process.exit_lines.take_line() {
        let waited_ms = u64::try_from(arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(
            method:% = method, status = status.as_u16(), waited_ms = waited_ms;
            "answered_at_exit"
        );
    }
}

async fn serve_request(
    process: &Arc<ProcessState>,
    request: Request,
    attempts: &Attempts,
) -> Response {
    let (configuration, api_keys) = {
        let operator_state = process.operator_state.borrow();
        let Some(configuration) = &operator_state.configuration else {
            return unavailable(NO_OWNER_RETRY_MS);
        };
        let api_keys = Arc::clone(&operator_state.api_keys);
        (Arc::clone(configuration), api_keys)
    };
    let is_confirmed = process.revocation.accepts_keys_of(&configuration);
    let deadline = Instant::now() + deadline_of(request.headers());
    let (parts, body) = request.into_parts();
    let host = host_of(&parts.headers);
    let path = parts.uri.path();
    let Some(route) = configuration.find_route(&host, path) else {
        // A newer configuration may have the route.
        return if is_confirmed {
            StatusCode::NOT_FOUND.into_response()
        } else {
            access::refuse(process, CallRefusal::Unconfirmed, "", &parts.headers)
        };
    };
    let needs_key = configuration.needs_keys && !route.is_public;
    let key = || access::presented_key(&parts.headers, &api_keys);
    let team = match authenticate(needs_key, is_confirmed, key) {
        Ok(team) => team,
        Err(refusal) => {
            let name = route.config.name.as_str();
            return access::refuse(process, refusal, name, &parts.headers);
        }
    };
    let call = match JobCall::parse(&parts.method, &path[route.path_prefix.len()..]) {
        Ok(call) => call,
        Err(status) => return status.into_response(),
    };
    let mut held_memory = HeldMemory::default();
    let request = match call {
        JobCall::Pending => OwnerRequest::Pending(route.config.name.clone()),
        JobCall::State(id) => OwnerRequest::State(JobRequest { id, team }),
        JobCall::Cancel(id) => OwnerRequest::Cancel(JobRequest { id, team }),
        JobCall::Submit(id) => {
            let length = ExpectedLength {
                declared_bytes: declared_bytes(&parts.headers),
                max_bytes: configuration.max_body_bytes.max(1),
            };
            match receive_job(process, body, length).await {
                Ok((spec, memory)) => {
                    held_memory = memory;
                    OwnerRequest::Submit(SubmittedJob {
                        id,
                        route: route.config.name.clone(),
                        spec: Arc::new(spec),
                        team,
                    })
                }
                Err(response) => return response,
            }
        }
    };
    let response = job_calls::respond(process, route, request, deadline, attempts).await;
    drop(held_memory);
    response
}

/// Receives and decodes the body of a submission; returns the job with the memory that it takes.
async fn receive_job(
    process: &ProcessState,
    body: Body,
    length: ExpectedLength,
) -> Result<(JobSpec, HeldMemory), Response> {
    let refuse = |error| refuse_body(process, error);
    let collected = process.bodies.collect(body, length).await;
    let HeldBody { bytes, mut memory } = collected.map_err(refuse)?;
    let job_bytes = decoded_bytes_bound(&bytes);
    let held = process.bodies.hold(&mut memory, job_bytes).await;
    held.map_err(refuse)?;
    let spec = decode_job(&bytes).ok_or_else(|| StatusCode::BAD_REQUEST.into_response())?;
    Ok((spec, memory))
}

/// Returns an upper bound of the memory that a job takes with its body, from the number of objects in
/// the body, each of which may be a step.
fn decoded_bytes_bound(body: &[u8]) -> usize {
    let objects: usize = body.iter().map(|&byte| usize::from(byte == b'{')).sum();
    body.len() + objects.min(MAX_TASKS) * STEP_COPIES * size_of::<StepSpec>()
}

/// Returns the response to a request whose body wasn't collected; counts a body that was turned away
/// and logs it within the budget of lines.
fn refuse_body(process: &ProcessState, error: CollectError) -> Response {
    match error {
        CollectError::Body(BodyError::TooLong) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        CollectError::Body(BodyError::Incomplete) => StatusCode::BAD_REQUEST.into_response(),
        CollectError::TurnedAway {
            shortage,
            held_bytes,
            open_for,
        } => {
            metrics::count_refusal(Audience::Callers.as_str(), Refusal::Body(shortage));
            if process.body_lines.take_line() {
                let reason = shortage.as_str();
                let open_ms = u64::try_from(open_for.as_millis()).unwrap_or(u64::MAX);
                log::info!(reason, held_bytes, open_ms; "body_turned_away");
            }
            unavailable(BODY_RETRY_MS)
        }
    }
}

/// What a request about jobs asks for.
#[derive(Debug)]
enum JobCall {
    /// The number of the queue's jobs that haven't started.
    Pending,
    /// The state of a job.
    State(JobId),
    /// To cancel a job.
    Cancel(JobId),
    /// To accept the job in the body.
    Submit(JobId),
}

impl JobCall {
    /// Parses the method and the path after the route's prefix.
    fn parse(method: &Method, path_suffix: &str) -> Result<Self, StatusCode> {
        if path_suffix.is_empty() {
            return match *method {
                Method::GET => Ok(Self::Pending),
                _ => Err(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        if path_suffix.len() != JOB_ID_LENGTH
            || !path_suffix.bytes().all(|byte| byte.is_ascii_hexdigit())
        {
            return Err(StatusCode::NOT_FOUND);
        }
        let id = JobId::from(path_suffix);
        match *method {
            Method::GET => Ok(Self::State(id)),
            Method::DELETE => Ok(Self::Cancel(id)),
            Method::POST => Ok(Self::Submit(id)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

/// Why a call to an owner brought no reply until the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFailure {
    /// An attempt may have been carried out, and its outcome remains unknown.
    OutcomeUnknown,
    /// No attempt was carried out.
    NotCarriedOut,
}

/// Calls the owner until it replies or the deadline passes.
async fn call_owner(
    process: &ProcessState,
    call: OwnerCall,
    deadline: Instant,
    attempts: &Attempts,
) -> Result<Reply, CallFailure> {
    let is_submission = matches!(
        call.request,
        OwnerRequest::Submit(_) | OwnerRequest::SubmitChecked { .. }
    );
    let owner_deadline = deadline.min(Instant::now() + MAX_OWNER_WAIT);
    let mut may_have_run = false;
    // An earlier submission of the job may have been accepted.
    let mut may_be_elsewhere = false;
    loop {
        attempts.begin();
        let result = attempt_owner_call(process, &call, deadline).await;
        let is_unknown = matches!(result, Err(PeerError::OutcomeUnknown));
        attempts.end(is_unknown);
        may_have_run |= is_unknown;
        match result {
            // A queue that is being opened takes a moment; a job that is held takes longer.
            Ok(Reply::Undecided) if is_submission => may_be_elsewhere = true,
            Ok(Reply::Undecided) => return Err(CallFailure::OutcomeUnknown),
            Ok(Reply::NotOwner) | Err(_) => {}
            Ok(Reply::Rejected { .. } | Reply::CheckFormer { .. }) if may_have_run => {
                // An earlier attempt may still be accepted, so that the outcome is unknown.
                return Err(CallFailure::OutcomeUnknown);
            }
            Ok(reply) => return Ok(reply),
        }
        let end = if is_submission && !may_have_run {
            owner_deadline
        } else {
            deadline
        };
        if Instant::now() + ATTEMPT_INTERVAL >= end {
            break;
        }
        if process.is_last_response_within(2 * ATTEMPT_INTERVAL) {
            // Another attempt would make the outcome unknown: its reply may come too late.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    Err(if may_have_run || may_be_elsewhere {
        CallFailure::OutcomeUnknown
    } else {
        CallFailure::NotCarriedOut
    })
}

/// Responds with 504 if the outcome of a request is unknown, and with 503 if it wasn't carried out.
fn failure_response(failure: CallFailure) -> Response {
    match failure {
        CallFailure::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT.into_response(),
        CallFailure::NotCarriedOut => unavailable(NO_OWNER_RETRY_MS),
    }
}

/// Calls the owner once, in this process or another one.
async fn attempt_owner_call(
    process: &ProcessState,
    call: &OwnerCall,
    deadline: Instant,
) -> Result<Reply, PeerError> {
    let remaining = deadline
        .saturating_duration_since(Instant::now())
        .min(MAX_ATTEMPT_TIME);
    if process.owner_sender(&call.service).is_some() {
        return match tokio::time::timeout(remaining, call_local_owner(process, call.clone())).await
        {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) | Err(_) => Err(PeerError::OutcomeUnknown),
        };
    }
    let owner = process
        .owner(call.service.as_str())
        .ok_or(PeerError::NotSent)?;
    if owner.claim.address == process.settings.internal_listener {
        return Err(PeerError::NotSent);
    }
    process
        .peers
        .call(owner.claim.address, call, remaining)
        .await
}

fn to_response(reply: &Reply) -> Response {
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
        Reply::OtherTeam => access::refuse_other_team(),
        Reply::Pending(count) => json(StatusCode::OK, pending_body(count)),
        Reply::Load(_)
        | Reply::Shard(_)
        | Reply::Job(_)
        | Reply::Status(_)
        | Reply::Released { .. }
        | Reply::Quota(_)
        | Reply::Undecided
        | Reply::CheckFormer { .. }
        | Reply::QueueClosed
        | Reply::QueueKept
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

/// Returns the time within which the response to a request is sent.
fn deadline_of(headers: &HeaderMap) -> Duration {
    let requested = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(MAX_DEADLINE, Duration::from_millis);
    requested.min(MAX_DEADLINE) * DEADLINE_USED_PERCENT / 100
}
