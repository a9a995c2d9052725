//! A bounded in-memory log of the decisions about requests and the reasons for them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{
    AttemptEnd, AttemptResult, HealthChange, InstanceName, NotRunReason, Outcome, RequestClass,
    TeamName,
};
use serde_json::{Value, json};

use crate::clock;

/// Most events that are kept. An event with its request's id takes less than 200 bytes.
const MAX_EVENTS: usize = 16_384;

/// A decision about a request, or a change of a backend server's health.
///
/// Operators see the `Debug` text of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    /// The request was queued because no slot was free.
    Queued {
        /// Class of the request.
        class: RequestClass,
        /// Team of the request.
        team: TeamName,
        /// Expected wait in microseconds.
        expected_wait_us: u64,
    },
    /// The request was refused before any byte of it was sent.
    Refused {
        /// Reason of the refusal.
        reason: NotRunReason,
        /// Time in microseconds after which a retry can succeed.
        retry_after_us: u64,
    },
    /// The request was sent to an instance.
    Sent {
        /// Instance that got the request.
        instance: InstanceName,
    },
    /// An attempt ended without a response to forward.
    TryEnded {
        /// Instance of the attempt.
        instance: InstanceName,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Pause in microseconds before the next attempt; `None` when no further one is made.
        pause_us: Option<u64>,
    },
    /// The head of a response was received and is forwarded.
    Answered {
        /// Instance that sent the response.
        instance: InstanceName,
        /// HTTP status code.
        status: u16,
    },
    /// The request failed and no further attempt is made.
    GivenUp {
        /// Outcome that the caller gets.
        outcome: Outcome,
    },
    /// A backend server was removed from routing, throttled or restored.
    Health {
        /// Instance of the backend server.
        instance: InstanceName,
        /// Result of the attempt that caused the change.
        result: AttemptResult,
        /// Change of the health.
        change: HealthChange,
    },
}

/// An event with its time and request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoggedEvent {
    /// Time of the event in milliseconds since the start of the process's clock.
    pub(crate) at_ms: u64,
    /// Id of the request; `None` for an event about an instance.
    pub(crate) request_id: Option<Arc<str>>,
    /// The decision or change.
    pub(crate) event: Event,
}

/// The newest events, shared by the traffic threads and the listener for operators.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    events: Mutex<VecDeque<LoggedEvent>>,
}

impl RequestLog {
    /// Appends an event, and drops the oldest one when the log is full.
    pub(crate) fn record(&self, request_id: Option<&Arc<str>>, event: Event) {
        let logged = LoggedEvent {
            at_ms: clock::now_ms(),
            request_id: request_id.cloned(),
            event,
        };
        let mut events = self.lock();
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(logged);
    }

    /// Returns the events about one request, oldest first.
    pub(crate) fn events_of(&self, request_id: &str) -> Vec<LoggedEvent> {
        let events = self.lock();
        events
            .iter()
            .filter(|logged| logged.request_id.as_deref() == Some(request_id))
            .cloned()
            .collect()
    }

    /// Returns the newest `count` events without the routine ones (sent and answered requests),
    /// oldest first.
    pub(crate) fn recent(&self, count: usize) -> Vec<LoggedEvent> {
        let events = self.lock();
        let is_notable = |logged: &&LoggedEvent| {
            !matches!(logged.event, Event::Sent { .. } | Event::Answered { .. })
        };
        let mut newest: Vec<LoggedEvent> = events
            .iter()
            .rev()
            .filter(is_notable)
            .take(count)
            .cloned()
            .collect();
        newest.reverse();
        newest
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<LoggedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<&LoggedEvent> for Value {
    fn from(logged: &LoggedEvent) -> Self {
        json!({
            "at_ms": logged.at_ms,
            "request_id": logged.request_id.as_deref(),
            "event": format!("{:?}", logged.event),
        })
    }
}
