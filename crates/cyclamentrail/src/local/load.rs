//! Sends the calls of a schedule at their intended times and records the end of each.
//!
//! A slow entry delays no later call, and latencies count from the intended time of sending.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anyhow::Result;
use hdrhistogram::Histogram;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

use super::arrival::{Arrival, Schedule};
use super::call::{CallClient, CallEnd, call};
use super::tally::{CallCounts, EndedCall};
use crate::entry::Entry;

/// Time after which callers close an idle connection. It is shorter than the entries' own limit, so
/// that callers don't reuse a connection that the entry is closing.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Largest latency that the histogram records, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Sends the calls of a schedule and keeps the ends and latencies that the callers saw.
#[derive(Debug)]
pub(super) struct LoadGenerator {
    entries: Arc<Vec<Entry>>,
    client: CallClient,
    seed: u64,
    next_entry: AtomicUsize,
    in_flight: AtomicU64,
    calls: Mutex<Vec<EndedCall>>,
    latency_us: Mutex<Histogram<u64>>,
}

impl LoadGenerator {
    /// Creates a load on `entries`; `seed` is the prefix of the call ids.
    ///
    /// # Errors
    ///
    /// Returns an error when the latency histogram can't be created.
    pub(super) fn new(entries: Arc<Vec<Entry>>, seed: u64) -> Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Ok(Self {
            entries,
            client,
            seed,
            next_entry: AtomicUsize::new(0),
            in_flight: AtomicU64::new(0),
            calls: Mutex::default(),
            latency_us: Mutex::new(Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)?),
        })
    }

    /// Sends every call at its intended time after `start`, without waiting for earlier calls.
    pub(super) async fn send(self: Arc<Self>, schedule: Schedule, start: Instant) {
        for (call_index, arrival) in schedule.arrivals.into_iter().enumerate() {
            tokio::time::sleep_until(start + arrival.at).await;
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let load = Arc::clone(&self);
            tokio::spawn(async move {
                load.make_call(call_index, arrival, start).await;
                load.in_flight.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// Sends one call, waits for its end and records it.
    async fn make_call(&self, call_index: usize, arrival: Arrival, start: Instant) {
        let call_id = format!("{}-{call_index}", self.seed);
        let entry = self.pick_entry();
        let deadline = entry
            .settings()
            .and_then(|settings| settings.services.get(&arrival.service).cloned())
            .map_or(super::READY_TIMEOUT, |service| service.default_deadline_ms);
        let address = entry.caller_address();
        let end = call(&self.client, address, &arrival, &call_id, deadline).await;
        if end == CallEnd::Answered {
            let latency = start.elapsed().saturating_sub(arrival.at);
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.lock_latency().saturating_record(latency_us);
        }
        self.lock_calls().push(EndedCall {
            call_id,
            service: arrival.service,
            idempotent: arrival.idempotent,
            end,
        });
    }

    /// Returns the ready entries in turn, as the platform's load balancer would; when none is ready,
    /// one that isn't.
    fn pick_entry(&self) -> &Entry {
        let entry_count = self.entries.len();
        let first = self.next_entry.fetch_add(1, Ordering::Relaxed);
        (first..first + entry_count)
            .map(|entry_index| &self.entries[entry_index % entry_count])
            .find(|entry| entry.is_ready())
            .unwrap_or(&self.entries[first % entry_count])
    }

    /// Returns the number of calls that were sent and haven't ended.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the progress line with the numbers of ended calls and of those in flight.
    pub(super) fn progress(&self) -> String {
        let counts = CallCounts::from(self.lock_calls().as_slice());
        format!(
            "answered {:>6}  not run {:>5}  unknown {:>4}  in flight {:>4}",
            counts.answered_whole,
            counts.not_run,
            counts.outcome_unknown,
            self.in_flight()
        )
    }

    /// Returns all calls that have ended, in the order of their ends.
    pub(super) fn calls(&self) -> Vec<EndedCall> {
        self.lock_calls().clone()
    }

    /// Returns a quantile (0.0 to 1.0) of the latency of answered calls in milliseconds, from the
    /// intended time of sending to the end of the response.
    pub(super) fn latency_ms(&self, quantile: f64) -> u64 {
        self.lock_latency().value_at_quantile(quantile) / 1000
    }

    fn lock_calls(&self) -> MutexGuard<'_, Vec<EndedCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_latency(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
