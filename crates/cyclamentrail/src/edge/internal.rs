//! Routes of the internal listener, which other processes call, and of the metrics listener.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use tokio::sync::oneshot;

use super::messages::{OwnerCall, OwnerRequest, Reply};
use super::owner::OwnerMessage;
use super::peers::OWNER_CALL_PATH;
use super::process_state::ProcessState;
use super::relay::{RELAY_PATH, accept_session};
use crate::metrics;

/// Longest time that a request waits for a takeover by this process; short, because its sender takes a
/// request without a reply for one that may have been carried out.
const TAKEOVER_WAIT: Duration = Duration::from_millis(100);
/// Longest time to wait for the local owner of a shard to end.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the routes for the other processes.
pub(crate) fn router(process: Arc<ProcessState>) -> Router {
    Router::new()
        .route(OWNER_CALL_PATH, post(handle_peer_call))
        .route(RELAY_PATH, post(accept_session))
        .with_state(process)
}

/// Returns the routes for metrics.
pub(crate) fn metrics_router(process: Arc<ProcessState>) -> Router {
    Router::new()
        .route("/metrics", get(render_metrics))
        .with_state(process)
}

/// Sends a request to an owner in this process; `None` if the owner ends before it replies.
///
/// A request that comes during a takeover isn't handed over before the takeover is done. The store may
/// keep the takeover waiting for longer than the caller does, and the outcome of a request that the
/// owner may still carry out would be unknown.
pub(crate) async fn call_local_owner(process: &ProcessState, call: OwnerCall) -> Option<Reply> {
    let Some(sender) = process.acting_owner(&call.service, TAKEOVER_WAIT).await else {
        return Some(Reply::NotOwner);
    };
    let (reply, reply_receiver) = oneshot::channel();
    let request: OwnerRequest = call.request;
    if sender.send(OwnerMessage::Request(request, reply)).is_err() {
        return Some(Reply::NotOwner);
    }
    reply_receiver.await.ok()
}

/// Sends a request to the owner of a service, in this process or another one; `None` if no reply
/// comes in time.
pub(crate) async fn call_owner(
    process: &ProcessState,
    call: OwnerCall,
    timeout: Duration,
) -> Option<Reply> {
    if process.owner_sender(&call.service).is_some() {
        return tokio::time::timeout(timeout, call_local_owner(process, call))
            .await
            .ok()?;
    }
    let address = process.owner(call.service.as_str())?.claim.address;
    process.peers.call(address, &call, timeout).await.ok()
}

/// Serves a call of another process. Responds with 504 when an owner here ends before it replies,
/// so that the caller knows that the request may have been carried out.
async fn handle_peer_call(State(process): State<Arc<ProcessState>>, body: Bytes) -> Response {
    let Ok(call) = rmp_serde::from_slice::<OwnerCall>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match call.request {
        OwnerRequest::Release => return encode_reply(&release_shard(&process, &call).await),
        OwnerRequest::Status => {
            let ownership_status = process.ownership_status(call.service.as_str());
            return encode_reply(&ownership_status.map_or(Reply::NotOwner, Reply::Status));
        }
        _ => {}
    }
    match call_local_owner(&process, call).await {
        Some(reply) => encode_reply(&reply),
        None => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

/// Makes the local owner of a shard give it up, and waits until the owner acts no more. Doesn't wait for
/// its last commit: the store rejects it, because whoever asks has fenced this owner before.
async fn release_shard(process: &ProcessState, call: &OwnerCall) -> Reply {
    let Some(sender) = process.owner_sender(&call.service) else {
        return Reply::Released {
            confirmed_age_ms: None,
            earlier_acts_ms: process.earlier_owners.remaining_ms(call.service.as_str()),
        };
    };
    let confirmation = process.shard_confirmation(call.service.as_str());
    drop(sender.send(OwnerMessage::Stop));
    let end = async {
        tokio::select! {
            () = sender.closed() => {}
            () = process.wait_given_up(call.service.as_str()) => {}
        }
    };
    match tokio::time::timeout(RELEASE_TIMEOUT, end).await {
        // Read now that the owner acts no more: the confirmation changes no more.
        Ok(()) => Reply::Released {
            confirmed_age_ms: confirmation.map(|confirmation| confirmation.age_ms()),
            earlier_acts_ms: process.earlier_owners.remaining_ms(call.service.as_str()),
        },
        Err(_elapsed) => Reply::NotOwner,
    }
}

fn encode_reply(reply: &Reply) -> Response {
    rmp_serde::to_vec(reply).map_or_else(
        |_error| StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        IntoResponse::into_response,
    )
}

async fn render_metrics(State(_process): State<Arc<ProcessState>>) -> String {
    metrics::recorder_handle().render()
}
