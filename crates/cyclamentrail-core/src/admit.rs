//! Admission control for one service: queues requests and refuses those that would be late.
//!
//! Quick and long requests wait in separate queues. Each queue serves the teams round-robin. A
//! request that isn't expected to be answered before its deadline is refused at once, with the
//! delay after which the caller may try again.
//!
//! ```
//! use cyclamentrail_core::{Admission, AdmissionLimits, AdmissionRequest, RequestClass, TeamName};
//!
//! let limits = AdmissionLimits { max_waiting: 8, initial_start_interval_us: 1_000 };
//! let mut admission = Admission::new(limits);
//! let team = TeamName::from("a");
//! let request = AdmissionRequest { class: RequestClass::Quick, team, deadline_us: 5_000 };
//! let admitted = admission.enqueue(&request, 0, "request").expect("the queue is empty");
//! let dequeued = admission.dequeue_for_freed_slot(RequestClass::Quick, 10, |_class| true);
//! assert_eq!(dequeued.request, Some("request"));
//! assert_eq!(admission.remove(&admitted.ticket), None);
//! ```

use crate::name::TeamName;
use crate::outcome::NotRunReason;

mod queue;
mod response_time;

use queue::ClassQueue;
pub use queue::QueueTicket;
pub use response_time::MeanResponseTime;

/// While long requests wait, every fourth slot that a quick request frees is offered to the long
/// queue first, so that a steady load of quick requests can't starve it.
const LONG_SLOT_INTERVAL: u32 = 4;

/// Class of a request by its expected duration; each class has its own limits and queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// The response is due within seconds.
    Quick = 0,
    /// The request may run for a long time.
    Long = 1,
}

impl RequestClass {
    const fn other(self) -> Self {
        match self {
            Self::Quick => Self::Long,
            Self::Long => Self::Quick,
        }
    }
}

/// Limits of the queues of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of waiting requests in each class.
    pub max_waiting: u32,
    /// Time in microseconds between two starts that is assumed before any start was observed.
    pub initial_start_interval_us: u64,
}

/// The properties of a request that decide whether it is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Class of the request, which selects the queue.
    pub class: RequestClass,
    /// Team of the caller, with which the queue is shared round-robin.
    pub team: TeamName,
    /// Time in microseconds by which the response is due, on the same clock as `now_us`.
    pub deadline_us: u64,
}

/// Why a request wasn't admitted, or was removed from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that is reported to the caller.
    pub reason: NotRunReason,
    /// Delay in microseconds after which a new request is expected to be answered in time.
    pub retry_after_us: u64,
}

/// Result of adding a request to its queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// Identifies the request in [`Admission::remove`].
    pub ticket: QueueTicket,
    /// Request that was removed from a full queue to make room: the newest one of the team with
    /// the most waiting requests.
    pub evicted: Option<(T, Refusal)>,
}

/// Result of taking the next request from the queues.
#[derive(Debug, PartialEq, Eq)]
pub struct Dequeued<T> {
    /// Request to start now; `None` when no request can start.
    pub request: Option<T>,
    /// Requests that were removed because their deadlines can't be met any more.
    pub late: Vec<(T, Refusal)>,
}

impl<T> Default for Dequeued<T> {
    fn default() -> Self {
        Self {
            request: None,
            late: Vec::new(),
        }
    }
}

/// Queues of one service at one entry process.
#[derive(Debug)]
pub struct Admission<T> {
    limits: AdmissionLimits,
    queues: [ClassQueue<T>; 2],
    /// Slots freed by quick requests while long ones waited, modulo [`LONG_SLOT_INTERVAL`].
    freed_quick_slots: u32,
}

impl<T> Admission<T> {
    /// Creates empty queues.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let queue = || ClassQueue::new(limits.initial_start_interval_us);
        Self {
            limits,
            queues: [queue(), queue()],
            freed_quick_slots: 0,
        }
    }

    /// Sets new limits; requests that wait already stay in the queue.
    pub const fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns the number of waiting requests of a class.
    #[must_use]
    pub const fn waiting(&self, class: RequestClass) -> usize {
        self.queues[class as usize].len()
    }

    /// Returns the response times of a class.
    #[must_use]
    pub const fn response_time(&self, class: RequestClass) -> &MeanResponseTime {
        &self.queues[class as usize].response_time
    }

    /// Records the response time of an answered request.
    pub fn record_response_time(&mut self, class: RequestClass, took_us: u64) {
        self.queues[class as usize].response_time.record(took_us);
    }

    /// Returns the expected wait in microseconds of a new request of the team.
    #[must_use]
    pub fn expected_wait_us(&self, class: RequestClass, team: &TeamName, now_us: u64) -> u64 {
        self.queues[class as usize].expected_wait_us(team, now_us)
    }

    /// Adds a request to the queue of its class.
    ///
    /// When the queue is full, the newest request of the team with the most waiting requests is
    /// evicted, provided that this team has more of them than the new request's team would have.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request isn't expected to be answered before its deadline, or
    /// when the queue is full and no request can be evicted.
    pub fn enqueue(
        &mut self,
        request: &AdmissionRequest,
        now_us: u64,
        item: T,
    ) -> Result<Queued<T>, Refusal> {
        let queue = &mut self.queues[request.class as usize];
        let wait_us = queue.expected_wait_us(&request.team, now_us);
        if let Some(retry_after_us) = queue.overrun_us(wait_us, request.deadline_us, now_us) {
            return Err(Refusal {
                reason: NotRunReason::Deadline,
                retry_after_us,
            });
        }
        let is_full = queue.len() >= self.limits.max_waiting as usize;
        let evicted = if is_full {
            let reason = NotRunReason::QueueFull;
            let retry_after_us = queue.drain_time_us(now_us);
            let refusal = Refusal {
                reason,
                retry_after_us,
            };
            let evicted_item = queue.evict_from_largest(&request.team).ok_or(refusal)?;
            let reason = NotRunReason::TeamShare;
            Some((evicted_item, Refusal { reason, ..refusal }))
        } else {
            None
        };
        let ticket = queue.push(request, now_us, item);
        Ok(Queued { ticket, evicted })
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub fn remove(&mut self, ticket: &QueueTicket) -> Option<T> {
        self.queues[ticket.class() as usize].remove(ticket)
    }

    /// Returns the request that may use a slot freed by a request of class `freed`.
    ///
    /// The slot is offered to the class that freed it first, and to the other class when the first
    /// has no room or no request to start. While long requests wait, every fourth slot freed by a
    /// quick request is offered to the long queue first. `has_room` returns whether the server
    /// accepts one more request of a class.
    pub fn dequeue_for_freed_slot(
        &mut self,
        freed: RequestClass,
        now_us: u64,
        has_room: impl Fn(RequestClass) -> bool,
    ) -> Dequeued<T> {
        let first = self.preferred_class(freed);
        let mut dequeued = Dequeued::default();
        for class in [first, first.other()] {
            if dequeued.request.is_none() && has_room(class) {
                let mut next = self.dequeue(class, now_us);
                dequeued.request = next.request;
                dequeued.late.append(&mut next.late);
            }
        }
        dequeued
    }

    /// Returns the class to which a freed slot is offered first.
    fn preferred_class(&mut self, freed: RequestClass) -> RequestClass {
        if freed == RequestClass::Long || self.waiting(RequestClass::Long) == 0 {
            return freed;
        }
        self.freed_quick_slots = (self.freed_quick_slots + 1) % LONG_SLOT_INTERVAL;
        if self.freed_quick_slots == 0 {
            RequestClass::Long
        } else {
            freed
        }
    }

    /// Returns the next request of one class, whichever class freed the slot.
    pub fn dequeue(&mut self, class: RequestClass, now_us: u64) -> Dequeued<T> {
        self.queues[class as usize].pop(now_us)
    }

    /// Removes and returns the requests of both classes whose deadlines can't be met any more.
    pub fn remove_late(&mut self, now_us: u64) -> Vec<(T, Refusal)> {
        let [quick, long] = &mut self.queues;
        let mut late = quick.remove_late(now_us);
        late.append(&mut long.remove_late(now_us));
        late
    }
}
