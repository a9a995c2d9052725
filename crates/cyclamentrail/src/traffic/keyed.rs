//! Requests with an idempotency key: run at most once, with the same response for each repetition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, Method};
use axum::response::Response;
use cyclamentrail_core::{
    ClaimOutcome, KeyDigest, NotRunReason, RejectionKind, RequestDigest, RequestFailure,
    ServiceName, StoredBody, StoredResponse, TicketId, UnknownReason,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::dispatch::dispatch;
use super::listener::{RequestPath, RoutedRequest};
use super::request::BackendRequest;
use super::response::{forward_recorded, record_failure, replay};
use crate::control::{ClaimReply, ControlHandle, RunPermit, SubmitError};
use crate::headers;
use crate::peer::claims::OutcomeClient;
use crate::view::SharedView;

/// Longest accepted idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Interval between two queries to the entry that runs a key's request.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An idempotency key with a digest of its request, which reveals the reuse of a key for another
/// request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyedRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) request: RequestDigest,
}

/// An idempotency key, by who chose it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum IdempotencyKey {
    /// A key that the caller chose. It is claimed in the control log before the request runs.
    Claimed(KeyDigest),
    /// A ticket that an entry issued. Only that entry runs the request.
    Ticket(TicketId),
}

/// Returns the idempotency key of a request; `None` when it has none or its method is safe.
///
/// A key that the caller chose is scoped to its team and service.
///
/// # Errors
///
/// Returns [`NotRunReason::BadRequest`] when the key is empty, too long, not visible ASCII, or
/// starts like a ticket without being one.
pub(crate) fn idempotency_key(
    method: &Method,
    headers: &HeaderMap,
    service: &ServiceName,
) -> Result<Option<IdempotencyKey>, RequestFailure> {
    let Some(value) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    if method.is_safe() {
        return Ok(None);
    }
    let key = value
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| RequestFailure::from(NotRunReason::BadRequest))?;
    if TicketId::has_ticket_prefix(key) {
        let ticket = key.parse().map_err(|_error| NotRunReason::BadRequest)?;
        return Ok(Some(IdempotencyKey::Ticket(ticket)));
    }
    let team = headers
        .get(headers::TEAM)
        .map_or(&[][..], |team| team.as_bytes());
    let parts = [team, service.as_str().as_bytes(), key.as_bytes()];
    Ok(Some(IdempotencyKey::Claimed(KeyDigest::of(&parts))))
}

impl KeyedRequest {
    /// Pairs a key with the digest of a request's method, path and body.
    pub(crate) fn new(key: IdempotencyKey, request: &BackendRequest) -> Self {
        let parts = request.parts();
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let body = request.body().map_or(&[][..], |body| body.as_ref());
        let digest = [parts.method.as_str().as_bytes(), path.as_bytes(), body];
        Self {
            key,
            request: RequestDigest::of(&digest),
        }
    }
}

/// Runs a request under a claim of its key, or returns the outcome of the key's first run.
///
/// # Errors
///
/// Returns the outcome when there is no response to forward.
pub(crate) async fn run_claimed(
    traffic: &Arc<RequestPath>,
    key: KeyDigest,
    request: RequestDigest,
    routed: RoutedRequest,
) -> Result<Response, RequestFailure> {
    let deadline = routed.deadline;
    loop {
        let pending = traffic.control().request_claim(key, request);
        let claim = match tokio::time::timeout_at(deadline, pending).await {
            Ok(Ok(claim)) => claim,
            Ok(Err(_)) => return Err(NotRunReason::Stopping.into()),
            Err(_) => return Err(NotRunReason::Deadline.into()),
        };
        match claim {
            ClaimReply::Granted(run) => return run_detached(traffic, routed, run).await,
            ClaimReply::OtherRequest => return Err(NotRunReason::KeyReused.into()),
            ClaimReply::OwnerGone => return Err(UnknownReason::OwnerGone.into()),
            ClaimReply::Ended { outcome, owner } => {
                let outcome =
                    fetch_missing_body(traffic.outcome_client(), key, outcome, owner).await;
                return replay(outcome, &routed.request_id);
            }
            ClaimReply::Submitted(folded) => {
                wait_for_fold(traffic.control(), folded, deadline).await?;
            }
            ClaimReply::Running { owner, changed } => {
                let outcome = wait_for_outcome(traffic.outcome_client(), key, owner, changed);
                match tokio::time::timeout_at(deadline, outcome).await {
                    Ok(Some(outcome)) => return replay(outcome, &routed.request_id),
                    Ok(None) => {}
                    Err(_) => return Err(UnknownReason::StillRunning.into()),
                }
            }
        }
    }
}

/// Runs a request to its end in a task of its own, which goes on when the caller disconnects: the
/// caller may repeat the request for its outcome.
pub(crate) async fn run_detached(
    traffic: &Arc<RequestPath>,
    routed: RoutedRequest,
    run: RunPermit,
) -> Result<Response, RequestFailure> {
    let shared = Arc::clone(traffic.shared());
    let detached = traffic.track_detached();
    let task = tokio::spawn(async move {
        let result = run_granted(&shared, routed, run).await;
        drop(detached);
        result
    });
    task.await
        .unwrap_or_else(|_panic| Err(UnknownReason::ConnectionLost.into()))
}

/// Runs a request with the granted right to its one run.
async fn run_granted(
    shared: &Arc<SharedView>,
    mut routed: RoutedRequest,
    mut run: RunPermit,
) -> Result<Response, RequestFailure> {
    let deadline = routed.deadline;
    let view = Arc::clone(&routed.view);
    let Some(route) = view.services.get(&routed.service) else {
        return Err(NotRunReason::NoSuchService.into());
    };
    run.start();
    match dispatch(shared, route, &routed.context, &mut routed.backend_request).await {
        Ok(dispatched) => forward_recorded(dispatched, &routed.request_id, deadline, run).await,
        Err(failure) => Err(record_failure(run, failure)),
    }
}

/// Waits until the claim that this process submitted has been folded into the agreed state.
async fn wait_for_fold(
    control: &ControlHandle,
    folded: oneshot::Receiver<Result<(), SubmitError>>,
    deadline: Instant,
) -> Result<(), RequestFailure> {
    let log_down = || {
        let wait_ms = control.health().retry_after_ms();
        RequestFailure::from(NotRunReason::LogDown).retry_after_ms(wait_ms)
    };
    match tokio::time::timeout_at(deadline, folded).await {
        Ok(Ok(Ok(()))) => Ok(()),
        Ok(Ok(Err(SubmitError::Rejected(kind)))) => match kind {
            RejectionKind::KeyClaimed { .. } | RejectionKind::ClaimTooOld { .. } => Ok(()),
            RejectionKind::ClaimsFull { free_in_ms } => {
                Err(RequestFailure::from(NotRunReason::KeysFull).retry_after_ms(free_in_ms))
            }
            _ => Err(NotRunReason::NoPermission.into()),
        },
        Ok(Ok(Err(SubmitError::Stopping)) | Err(_)) => Err(NotRunReason::Stopping.into()),
        Ok(Ok(Err(SubmitError::LogDown | SubmitError::Uncertain))) | Err(_) => Err(log_down()),
    }
}

/// Waits until the agreed state of a key changes, which returns `None`, or until the entry that
/// runs the key's request returns its outcome.
///
/// The query to that entry finds the outcome even when the control log is unavailable.
async fn wait_for_outcome(
    client: &OutcomeClient,
    key: KeyDigest,
    owner: Option<SocketAddr>,
    mut changed: oneshot::Receiver<()>,
) -> Option<ClaimOutcome> {
    loop {
        let pause = tokio::time::timeout(PEER_POLL_INTERVAL, &mut changed);
        if pause.await.is_ok() {
            return None;
        }
        if let Some(owner) = owner
            && let Some(outcome) = client.fetch(owner, key).await
        {
            return Some(outcome);
        }
    }
}

/// Returns an outcome with its body, which only the entry that ran the request keeps when it is
/// large. Returns the outcome as it was when that entry has no body either.
async fn fetch_missing_body(
    client: &OutcomeClient,
    key: KeyDigest,
    outcome: ClaimOutcome,
    owner: Option<SocketAddr>,
) -> ClaimOutcome {
    let body_is_at_owner = matches!(
        outcome,
        ClaimOutcome::Answered(StoredResponse {
            body: StoredBody::AtOwner { .. },
            ..
        })
    );
    match owner {
        Some(owner) if body_is_at_owner => client.fetch(owner, key).await.unwrap_or(outcome),
        _ => outcome,
    }
}
