//! Waits for a slot, in the queue of the request's service and class.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::{Ask, NotRunReason, Refusal, Ticket};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::call::Call;
use super::gate::{Gate, Waiter};
use super::journal::Event;
use super::pick::pick;
use super::slot::Slot;
use crate::clock;
use crate::view::{ServiceRoute, SharedView};

/// Interval at which a waiting request looks for slots that nobody handed over.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Takes a slot, at once when one is free, else when it is the request's turn.
///
/// # Errors
///
/// Returns why the request isn't admitted.
pub(crate) async fn take_slot(
    shared: &SharedView,
    route: &Arc<ServiceRoute>,
    call: &Call,
    avoid: Option<u32>,
) -> Result<Slot, Refusal> {
    let ask = call.ask();
    if route.gate.waiting(call.class) == 0
        && let Some(slot) = pick(route, call.class, call.idempotent, avoid)
    {
        return Ok(slot);
    }
    let result = wait_for_slot(shared, route, call, &ask).await;
    if let Err(Refusal {
        reason,
        retry_after_us,
    }) = result
    {
        let event = Event::Refused {
            reason,
            retry_after_us,
        };
        shared.journal().note(Some(&call.request_id), event);
    }
    result
}

async fn wait_for_slot(
    shared: &SharedView,
    route: &Arc<ServiceRoute>,
    call: &Call,
    ask: &Ask,
) -> Result<Slot, Refusal> {
    let closed_us = route.closed_us();
    if route.links.is_empty() || clock::now_us() + closed_us > ask.deadline_us {
        return Err(Refusal {
            reason: NotRunReason::NoInstance,
            retry_after_us: closed_us,
        });
    }
    let (waker, mut woken) = oneshot::channel();
    let class = call.class;
    let expected_wait_us = route.gate.expected_wait_us(ask);
    let ticket = route.gate.enqueue(ask, Waiter { class, waker })?;
    let _place = Place {
        gate: Arc::clone(&route.gate),
        ticket,
    };
    let team = call.team.clone();
    let event = Event::Queued {
        class,
        team,
        expected_wait_us,
    };
    shared.journal().note(Some(&call.request_id), event);
    route.gate.pump(route);
    loop {
        let look_at = Instant::now() + LOOK_INTERVAL;
        tokio::select! {
            result = &mut woken => return result.unwrap_or(Err(NOT_WOKEN)),
            () = tokio::time::sleep_until(look_at) => {}
        }
        let view = shared.load();
        let newest = view.services.get(&route.name).unwrap_or(route);
        newest.gate.pump(newest);
    }
}

/// What a request is told whose queue has gone with the service.
const NOT_WOKEN: Refusal = Refusal {
    reason: NotRunReason::NoSuchService,
    retry_after_us: 0,
};

/// A place in the queue; dropping it leaves the queue.
#[derive(Debug)]
struct Place {
    gate: Arc<Gate>,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.remove(&self.ticket);
    }
}
