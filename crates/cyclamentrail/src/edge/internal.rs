//! The listeners for the other processes and for metrics.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use tokio::sync::oneshot;

use super::messages::{Ask, Question, Reply};
use super::node::Node;
use super::owner::OwnerMessage;
use super::peers::ASK_PATH;
use crate::metrics;

/// Longest time that the end of an ownership is waited for.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the routes for the other processes.
pub(crate) fn router(node: Arc<Node>) -> Router {
    Router::new().route(ASK_PATH, post(answer)).with_state(node)
}

/// Returns the routes for metrics.
pub(crate) fn metrics_router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/metrics", get(show_metrics))
        .with_state(node)
}

/// Asks a shard that this process owns; returns `None` when it doesn't own it, or no longer.
pub(crate) async fn ask_here(node: &Node, ask: Ask) -> Option<Reply> {
    let sender = node.owned(&ask.service)?;
    let (reply, replied) = oneshot::channel();
    let question: Question = ask.question;
    sender.send(OwnerMessage::Ask(question, reply)).ok()?;
    replied.await.ok()
}

/// Asks the owner of a service, here or at another process; `None` without a reply in time.
pub(crate) async fn ask_owner(node: &Node, ask: Ask, timeout: Duration) -> Option<Reply> {
    if node.owned(&ask.service).is_some() {
        return tokio::time::timeout(timeout, ask_here(node, ask))
            .await
            .ok()?;
    }
    let address = node.owner(ask.service.as_str())?.claim.address;
    node.peers.ask(address, &ask, timeout).await.ok()
}

async fn answer(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    let Ok(ask) = rmp_serde::from_slice::<Ask>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match ask.question {
        Question::Release => return encode(&release(&node, &ask).await),
        Question::Standing => {
            let standing = node.standing(ask.service.as_str());
            return encode(&standing.map_or(Reply::NotOwner, Reply::Standing));
        }
        _ => {}
    }
    let owns = node.owned(&ask.service).is_some();
    match ask_here(&node, ask).await {
        Some(reply) => encode(&reply),
        None if owns => StatusCode::GATEWAY_TIMEOUT.into_response(),
        None => encode(&Reply::NotOwner),
    }
}

/// Ends the ownership of a shard here, and waits until it has ended.
async fn release(node: &Node, ask: &Ask) -> Reply {
    let Some(sender) = node.owned(&ask.service) else {
        return Reply::Released;
    };
    drop(sender.send(OwnerMessage::Stop));
    match tokio::time::timeout(RELEASE_TIMEOUT, sender.closed()).await {
        Ok(()) => Reply::Released,
        Err(_elapsed) => Reply::NotOwner,
    }
}

fn encode(reply: &Reply) -> Response {
    rmp_serde::to_vec(reply).map_or_else(
        |_error| StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        IntoResponse::into_response,
    )
}

async fn show_metrics(State(_node): State<Arc<Node>>) -> String {
    metrics::install().render()
}
