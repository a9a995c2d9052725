//! Waits for a free slot in the queue of the request's service and class.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::{AdmissionRequest, NotRunReason, QueueTicket, Refusal};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::admission::{AdmissionControl, Waiter};
use super::context::RequestContext;
use super::request_log::Event;
use super::select::select_slot;
use super::slot::Slot;
use crate::clock;
use crate::view::{ServiceRoute, SharedView};

/// Interval at which a waiting request polls for slots that became free without being handed
/// over, such as those of a new server.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Takes a slot: at once when one is free and no request of the class waits, else when it is the
/// request's turn.
///
/// `avoided_rack` is the rack of the request's last failed attempt.
///
/// # Errors
///
/// Returns the reason why the request isn't admitted, and when to retry.
pub(crate) async fn acquire_slot(
    shared: &SharedView,
    route: &Arc<ServiceRoute>,
    context: &RequestContext,
    avoided_rack: Option<u32>,
) -> Result<Slot, Refusal> {
    let request = context.admission_request();
    if route.admission.queued_count(context.class) == 0
        && let Some(slot) = select_slot(route, context.class, context.idempotent, avoided_rack)
    {
        return Ok(slot);
    }
    let result = wait_for_slot(shared, route, context, &request).await;
    if let Err(Refusal {
        reason,
        retry_after_us,
    }) = result
    {
        let event = Event::Refused {
            reason,
            retry_after_us,
        };
        shared
            .request_log()
            .record(Some(&context.request_id), event);
    }
    result
}

async fn wait_for_slot(
    shared: &SharedView,
    route: &Arc<ServiceRoute>,
    context: &RequestContext,
    request: &AdmissionRequest,
) -> Result<Slot, Refusal> {
    let time_until_open_us = route.time_until_open_us();
    if route.links.is_empty() || clock::now_us() + time_until_open_us > request.deadline_us {
        return Err(Refusal {
            reason: NotRunReason::NoInstance,
            retry_after_us: time_until_open_us,
        });
    }
    let (notifier, mut admitted) = oneshot::channel();
    let class = context.class;
    let expected_wait_us = route.admission.expected_wait_us(request);
    let ticket = route
        .admission
        .enqueue(request, Waiter { class, notifier })?;
    let _position = QueuePosition {
        admission: Arc::clone(&route.admission),
        ticket,
    };
    let team = context.team.clone();
    let event = Event::Queued {
        class,
        team,
        expected_wait_us,
    };
    shared
        .request_log()
        .record(Some(&context.request_id), event);
    route.admission.assign_free_slots(route);
    loop {
        let next_poll = Instant::now() + SLOT_POLL_INTERVAL;
        tokio::select! {
            result = &mut admitted => return result.unwrap_or(Err(QUEUE_DROPPED)),
            () = tokio::time::sleep_until(next_poll) => {}
        }
        let view = shared.load();
        let newest = view.services.get(&route.name).unwrap_or(route);
        newest.admission.assign_free_slots(newest);
    }
}

/// Refusal of a waiting request whose queue was dropped because the service was removed.
const QUEUE_DROPPED: Refusal = Refusal {
    reason: NotRunReason::NoSuchService,
    retry_after_us: 0,
};

/// Position of a request in a queue; dropping it removes the request from the queue.
#[derive(Debug)]
struct QueuePosition {
    admission: Arc<AdmissionControl>,
    ticket: QueueTicket,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.admission.remove(&self.ticket);
    }
}
