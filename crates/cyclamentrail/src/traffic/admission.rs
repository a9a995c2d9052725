//! Admission control of one service: queues and retry budget, shared by the traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{
    Admission, AdmissionLimits, AdmissionRequest, AttemptEnd, Dequeued, MeanResponseTime,
    QueueTicket, Refusal, RequestClass, RetryBudget, RetryState,
};
use tokio::sync::oneshot;

use super::link::Link;
use super::request_log::RequestLog;
use super::select::select_slot;
use super::slot::Slot;
use crate::clock;
use crate::view::ServiceRoute;

/// Shortest time in microseconds between two scans for slots that became free without being handed
/// over. All waiting requests ask for scans; this interval limits their cost.
const SCAN_INTERVAL_US: u64 = 2_000;

/// A queued request, which is notified of its slot or its refusal.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Class of the request.
    pub(crate) class: RequestClass,
    /// Sends the slot or the refusal to the waiting task.
    pub(crate) notifier: oneshot::Sender<Result<Slot, Refusal>>,
}

/// Queues and retry budget of one service at this entry.
#[derive(Debug)]
pub(crate) struct AdmissionControl {
    queues: Mutex<Admission<Waiter>>,
    budget: Mutex<RetryBudget>,
    next_scan_us: AtomicU64,
    request_log: Arc<RequestLog>,
}

impl AdmissionControl {
    /// Creates empty queues.
    ///
    /// `retry_ratio` is the number of retries that each request adds to the budget.
    pub(crate) fn new(
        limits: AdmissionLimits,
        retry_ratio: f64,
        request_log: Arc<RequestLog>,
    ) -> Self {
        Self {
            queues: Mutex::new(Admission::new(limits)),
            budget: Mutex::new(RetryBudget::new(retry_ratio)),
            next_scan_us: AtomicU64::new(0),
            request_log,
        }
    }

    /// Returns the log of decisions about requests.
    pub(crate) fn request_log(&self) -> &RequestLog {
        &self.request_log
    }

    /// Replaces the limits of the queues and the ratio of the retry budget.
    pub(crate) fn set_limits(&self, limits: AdmissionLimits, retry_ratio: f64) {
        self.lock().set_limits(limits);
        self.lock_budget().set_ratio(retry_ratio);
    }

    /// Adds one request's share to the retry budget.
    pub(crate) fn credit_retry_budget(&self) {
        self.lock_budget().deposit();
    }

    /// Returns the pause in microseconds before the next attempt, or `None` when the request or the
    /// retry budget allows no further one.
    pub(crate) fn plan_retry(&self, attempts: &mut RetryState, end: AttemptEnd) -> Option<u64> {
        let mut budget = self.lock_budget();
        attempts.next_pause_us(end, clock::now_us(), &mut budget, &mut rand::rng())
    }

    /// Returns the number of queued requests of a class.
    pub(crate) fn queued_count(&self, class: RequestClass) -> usize {
        self.lock().waiting(class)
    }

    /// Returns the mean duration of requests of a class.
    pub(crate) fn response_time(&self, class: RequestClass) -> MeanResponseTime {
        *self.lock().response_time(class)
    }

    /// Records the duration of a request and returns the new mean.
    pub(crate) fn record_duration(&self, class: RequestClass, took_us: u64) -> MeanResponseTime {
        let mut queues = self.lock();
        queues.record_response_time(class, took_us);
        *queues.response_time(class)
    }

    /// Returns the time in microseconds that a new request would wait in the queue.
    pub(crate) fn expected_wait_us(&self, request: &AdmissionRequest) -> u64 {
        self.lock()
            .expected_wait_us(request.class, &request.team, clock::now_us())
    }

    /// Adds a request to the queue of its class, and refuses the request that it evicts, if any.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full or the deadline would pass in the queue.
    pub(crate) fn enqueue(
        &self,
        request: &AdmissionRequest,
        waiter: Waiter,
    ) -> Result<QueueTicket, Refusal> {
        let queued = self.lock().enqueue(request, clock::now_us(), waiter)?;
        if let Some((evicted, refusal)) = queued.evicted {
            notify(evicted, Err(refusal));
        }
        Ok(queued.ticket)
    }

    /// Removes a request from its queue, as after a disconnect of its caller.
    pub(crate) fn remove(&self, ticket: &QueueTicket) {
        let removed = self.lock().remove(ticket);
        drop(removed);
    }

    /// Frees a slot, or hands it to the queued request whose turn it is.
    ///
    /// `freed` is the class of the request that held the slot.
    pub(crate) fn release_slot(
        &self,
        link: &Arc<Link>,
        route: &Arc<ServiceRoute>,
        freed: RequestClass,
    ) {
        let dequeued = {
            let mut queues = self.lock();
            link.release_to(freed, |has_room| {
                queues.dequeue_for_freed_slot(freed, clock::now_us(), has_room)
            })
        };
        refuse_all(dequeued.late);
        if let Some(waiter) = dequeued.request {
            let slot = Slot::from_taken(link, route, waiter.class);
            notify(waiter, Ok(slot));
        }
    }

    /// Assigns free slots to queued requests, and refuses requests that can no longer meet their
    /// deadlines. Does nothing within [`SCAN_INTERVAL_US`] after the last scan.
    pub(crate) fn assign_free_slots(&self, route: &Arc<ServiceRoute>) {
        let now_us = clock::now_us();
        let due_us = self.next_scan_us.load(Ordering::Relaxed);
        let next_us = now_us + SCAN_INTERVAL_US;
        let claimed = self.next_scan_us.compare_exchange(
            due_us,
            next_us,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if now_us < due_us || claimed.is_err() {
            return;
        }
        let late = self.lock().remove_late(now_us);
        refuse_all(late);
        for class in [RequestClass::Quick, RequestClass::Long] {
            while self.queued_count(class) > 0 {
                let Some(slot) = select_slot(route, class, false, None) else {
                    break;
                };
                let Dequeued { request, late } = self.lock().dequeue(class, now_us);
                refuse_all(late);
                if let Some(waiter) = request {
                    notify(waiter, Ok(slot));
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Admission<Waiter>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse_all(late: Vec<(Waiter, Refusal)>) {
    for (waiter, refusal) in late {
        notify(waiter, Err(refusal));
    }
}

/// Notifies a queued request. When its caller has disconnected, the slot is dropped here, which
/// hands it to the next request.
fn notify(waiter: Waiter, result: Result<Slot, Refusal>) {
    drop(waiter.notifier.send(result));
}
