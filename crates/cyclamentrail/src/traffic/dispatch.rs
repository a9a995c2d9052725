//! Sends one request to a backend server.

use std::sync::Arc;

use cyclamentrail_core::{Ending, NotRunReason, UnknownReason, choose};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::link::{Sender, Slot};
use super::request::Outgoing;
use crate::headers;
use crate::view::{ServiceRoute, SharedView};

/// Tries of one request that were definitely not run before it is given up.
const MAX_TRIES: u32 = 3;

/// A whole answer's head, with what must be held until its body has passed.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) response: Response<Incoming>,
    pub(crate) slot: Slot,
    pub(crate) sender: Sender,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Returns the outcome when there is no answer to pass on.
pub(crate) async fn dispatch(
    shared: &Arc<SharedView>,
    route: &ServiceRoute,
    request: &mut Outgoing,
    deadline: Instant,
) -> Result<Dispatched, Ending> {
    let mut reason = NotRunReason::NoInstance;
    for _ in 0..MAX_TRIES {
        let slot = pick(route).ok_or(Ending::from(reason))?;
        let connected = tokio::time::timeout_at(deadline, slot.link().connect()).await;
        let Ok(connected) = connected else {
            return Err(NotRunReason::Deadline.into());
        };
        let mut sender = match connected {
            Ok(sender) => sender,
            Err(error) => {
                log::warn!(instance:% = slot.link().instance, error:% = error; "connect_failed");
                reason = NotRunReason::NoInstance;
                continue;
            }
        };
        if !shared.may_dispatch() {
            return Err(NotRunReason::NoPermission.into());
        }
        let Some(attempt) = request.attempt() else {
            return Err(reason.into());
        };
        let sent = tokio::time::timeout_at(deadline, sender.send_request(attempt)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_canceled() => {
                reason = NotRunReason::NoInstance;
                continue;
            }
            Ok(Err(_)) => return Err(UnknownReason::ConnectionLost.into()),
            Err(_) => return Err(UnknownReason::TimedOut.into()),
        };
        if is_refusal(&response) {
            reason = NotRunReason::Refused;
            continue;
        }
        return Ok(Dispatched {
            response,
            slot,
            sender,
        });
    }
    Err(reason.into())
}

fn pick(route: &ServiceRoute) -> Option<Slot> {
    let links = &route.links;
    let index = choose(
        links.len(),
        |index| links[index].candidate(),
        &mut rand::rng(),
    )?;
    links[index].take_slot()
}

fn is_refusal(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(headers::REFUSED)
}
