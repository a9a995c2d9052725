//! The bounded journal of what was decided about requests, and why.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{
    HealthChange, InstanceName, NotRunReason, Outcome, RequestClass, TeamName, TryEnd, TryResult,
};
use serde_json::{Value, json};

use crate::clock;

/// Events that are kept; an event with its request's id takes below 200 bytes.
const MAX_EVENTS: usize = 16_384;

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    /// The request waits for a slot.
    Queued {
        /// Its class.
        class: RequestClass,
        /// Its team.
        team: TeamName,
        /// Wait that is expected, in microseconds.
        expected_wait_us: u64,
    },
    /// The request wasn't admitted.
    Refused {
        /// The reason.
        reason: NotRunReason,
        /// Time in microseconds after which to come back.
        retry_after_us: u64,
    },
    /// The request was sent to an instance.
    Sent {
        /// The instance.
        instance: InstanceName,
    },
    /// A try ended without an answer to pass on.
    TryEnded {
        /// The instance.
        instance: InstanceName,
        /// How it ended.
        end: TryEnd,
        /// Pause in microseconds before the next try; `None` when there is none.
        pause_us: Option<u64>,
    },
    /// An answer's head came and is passed on.
    Answered {
        /// The instance.
        instance: InstanceName,
        /// HTTP status code.
        status: u16,
    },
    /// The request was given up.
    GivenUp {
        /// How it ended.
        outcome: Outcome,
    },
    /// A server left routing or came back.
    Health {
        /// The instance.
        instance: InstanceName,
        /// Result of the try that caused it.
        result: TryResult,
        /// What changed.
        change: HealthChange,
    },
}

/// An event with its time and the request that it is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Noted {
    /// When, in milliseconds of this process's clock.
    pub(crate) at_ms: u64,
    /// The request; `None` for an event that is about an instance.
    pub(crate) request_id: Option<Arc<str>>,
    /// What was decided.
    pub(crate) event: Event,
}

/// The newest events.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    events: Mutex<VecDeque<Noted>>,
}

impl Journal {
    /// Adds an event; the oldest makes room.
    pub(crate) fn note(&self, request_id: Option<&Arc<str>>, event: Event) {
        let noted = Noted {
            at_ms: clock::now_ms(),
            request_id: request_id.cloned(),
            event,
        };
        let mut events = self.lock();
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(noted);
    }

    /// Returns the events about one request, oldest first.
    pub(crate) fn explain(&self, request_id: &str) -> Vec<Noted> {
        let events = self.lock();
        events
            .iter()
            .filter(|noted| noted.request_id.as_deref() == Some(request_id))
            .cloned()
            .collect()
    }

    /// Returns the newest events that are not about a single answered request, oldest first.
    pub(crate) fn recent(&self, count: usize) -> Vec<Noted> {
        let events = self.lock();
        let told =
            |noted: &&Noted| !matches!(noted.event, Event::Sent { .. } | Event::Answered { .. });
        let mut newest: Vec<Noted> = events
            .iter()
            .rev()
            .filter(told)
            .take(count)
            .cloned()
            .collect();
        newest.reverse();
        newest
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Noted>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<&Noted> for Value {
    fn from(noted: &Noted) -> Self {
        json!({
            "at_ms": noted.at_ms,
            "request_id": noted.request_id.as_deref(),
            "event": format!("{:?}", noted.event),
        })
    }
}
