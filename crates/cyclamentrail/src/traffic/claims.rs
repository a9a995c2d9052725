//! Requests with an idempotency key: run at most once, and answered alike each time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, Method};
use axum::response::Response;
use cyclamentrail_core::{
    ClaimOutcome, Ending, KeptAnswer, KeptBody, KeyDigest, NotRunReason, RejectionKind,
    RequestDigest, ServiceName, TicketId, UnknownReason,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::answer::{pass_on_recorded, record_failure, replay};
use super::dispatch::dispatch;
use super::listener::{Routed, Traffic};
use super::request::Outgoing;
use crate::control::{ClaimAnswer, ControlHandle, Run, SubmitError};
use crate::headers;
use crate::peer::claims::ClaimClient;
use crate::view::SharedView;

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Interval between two questions to the process that runs a key's request.
const PEER_INTERVAL: Duration = Duration::from_millis(250);

/// An idempotency key with the request that it came with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keyed {
    pub(crate) key: Key,
    pub(crate) request: RequestDigest,
}

/// What an idempotency key is.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Key {
    /// The caller made it up; it is claimed in the log.
    Claimed(KeyDigest),
    /// An entry minted it; only that entry may run it.
    Ticket(TicketId),
}

/// Returns the idempotency key of a request that may have effects.
///
/// # Errors
///
/// Returns [`NotRunReason::BadRequest`] when the key is empty, too long or not in plain text.
pub(crate) fn key_of(
    method: &Method,
    headers: &HeaderMap,
    service: &ServiceName,
) -> Result<Option<Key>, Ending> {
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
        .ok_or_else(|| Ending::from(NotRunReason::BadRequest))?;
    if TicketId::is_meant_by(key) {
        let ticket = key.parse().map_err(|_error| NotRunReason::BadRequest)?;
        return Ok(Some(Key::Ticket(ticket)));
    }
    let team = headers
        .get(headers::TEAM)
        .map_or(&[][..], |team| team.as_bytes());
    let parts = [team, service.as_str().as_bytes(), key.as_bytes()];
    Ok(Some(Key::Claimed(KeyDigest::of(&parts))))
}

impl Keyed {
    /// Creates the key with its request.
    pub(crate) fn new(key: Key, request: &Outgoing) -> Self {
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

/// Runs a key's request, or answers it with the outcome of its first run.
///
/// # Errors
///
/// Returns the outcome when there is no answer to pass on.
pub(crate) async fn run_once(
    traffic: &Arc<Traffic>,
    key: KeyDigest,
    request: RequestDigest,
    routed: Routed,
) -> Result<Response, Ending> {
    let deadline = routed.deadline;
    loop {
        let asked = traffic.control().ask_claim(key, request);
        let answer = match tokio::time::timeout_at(deadline, asked).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Err(NotRunReason::Stopping.into()),
            Err(_) => return Err(NotRunReason::Deadline.into()),
        };
        match answer {
            ClaimAnswer::Granted(run) => return run_detached(traffic, routed, run).await,
            ClaimAnswer::OtherRequest => return Err(NotRunReason::KeyReused.into()),
            ClaimAnswer::OwnerGone => return Err(UnknownReason::OwnerGone.into()),
            ClaimAnswer::Ended { outcome, owner } => {
                let outcome = complete(traffic.peers(), key, outcome, owner).await;
                return replay(outcome, &routed.request_id);
            }
            ClaimAnswer::Submitted(folded) => {
                wait_folded(traffic.control(), folded, deadline).await?;
            }
            ClaimAnswer::Running { owner, changed } => {
                let waited = wait_changed(traffic.peers(), key, owner, changed);
                match tokio::time::timeout_at(deadline, waited).await {
                    Ok(Some(outcome)) => return replay(outcome, &routed.request_id),
                    Ok(None) => {}
                    Err(_) => return Err(UnknownReason::StillRunning.into()),
                }
            }
        }
    }
}

/// Runs a granted request to its end, also when its caller goes away: the caller may come back for
/// the outcome.
pub(crate) async fn run_detached(
    traffic: &Arc<Traffic>,
    routed: Routed,
    run: Run,
) -> Result<Response, Ending> {
    let shared = Arc::clone(traffic.shared());
    let running = traffic.hold_stop();
    let task = tokio::spawn(async move {
        let ended = run_granted(&shared, routed, run).await;
        drop(running);
        ended
    });
    task.await
        .unwrap_or_else(|_panic| Err(UnknownReason::ConnectionLost.into()))
}

async fn run_granted(
    shared: &Arc<SharedView>,
    mut routed: Routed,
    mut run: Run,
) -> Result<Response, Ending> {
    let deadline = routed.deadline;
    let view = Arc::clone(&routed.view);
    let Some(route) = view.services.get(&routed.service) else {
        return Err(NotRunReason::NoSuchService.into());
    };
    run.start();
    match dispatch(shared, route, &routed.call, &mut routed.outgoing).await {
        Ok(dispatched) => pass_on_recorded(dispatched, &routed.request_id, deadline, run).await,
        Err(ending) => Err(record_failure(run, ending)),
    }
}

async fn wait_folded(
    control: &ControlHandle,
    folded: oneshot::Receiver<Result<(), SubmitError>>,
    deadline: Instant,
) -> Result<(), Ending> {
    let log_down = || {
        let wait_ms = control.health().retry_after_ms();
        Ending::from(NotRunReason::LogDown).retry_after_ms(wait_ms)
    };
    match tokio::time::timeout_at(deadline, folded).await {
        Ok(Ok(Ok(()))) => Ok(()),
        Ok(Ok(Err(SubmitError::Rejected(kind)))) => match kind {
            RejectionKind::KeyClaimed { .. } | RejectionKind::ClaimTooOld { .. } => Ok(()),
            RejectionKind::ClaimsFull { free_in_ms } => {
                Err(Ending::from(NotRunReason::KeysFull).retry_after_ms(free_in_ms))
            }
            _ => Err(NotRunReason::NoPermission.into()),
        },
        Ok(Ok(Err(SubmitError::Stopping)) | Err(_)) => Err(NotRunReason::Stopping.into()),
        Ok(Ok(Err(SubmitError::LogDown | SubmitError::Uncertain))) | Err(_) => Err(log_down()),
    }
}

/// Waits until the key's run may have ended; asks the process that runs it meanwhile, which knows
/// the outcome when the log is down.
async fn wait_changed(
    peers: &ClaimClient,
    key: KeyDigest,
    owner: Option<SocketAddr>,
    mut changed: oneshot::Receiver<()>,
) -> Option<ClaimOutcome> {
    loop {
        let pause = tokio::time::timeout(PEER_INTERVAL, &mut changed);
        if pause.await.is_ok() {
            return None;
        }
        if let Some(owner) = owner
            && let Some(outcome) = peers.fetch(owner, key).await
        {
            return Some(outcome);
        }
    }
}

/// Returns an outcome with its body, from the process that ran the request when it is there.
async fn complete(
    peers: &ClaimClient,
    key: KeyDigest,
    outcome: ClaimOutcome,
    owner: Option<SocketAddr>,
) -> ClaimOutcome {
    let is_elsewhere = matches!(
        outcome,
        ClaimOutcome::Answered(KeptAnswer {
            body: KeptBody::AtOwner { .. },
            ..
        })
    );
    match owner {
        Some(owner) if is_elsewhere => peers.fetch(owner, key).await.unwrap_or(outcome),
        _ => outcome,
    }
}
