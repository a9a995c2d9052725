//! Sends the calls of a schedule at their intended times and keeps how each ended.

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
use super::tally::{Call, Counts};
use crate::entry::Entry;

/// Time after which callers close an idle connection; shorter than the entries' own limit.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Longest answer time that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of answer times.
const LATENCY_DIGITS: u8 = 3;

/// The load and what its callers saw.
#[derive(Debug)]
pub(super) struct Load {
    entries: Arc<Vec<Entry>>,
    client: CallClient,
    seed: u64,
    turn: AtomicUsize,
    in_flight: AtomicU64,
    calls: Mutex<Vec<Call>>,
    latency_us: Mutex<Histogram<u64>>,
}

impl Load {
    /// Creates a load on some entries.
    ///
    /// # Errors
    ///
    /// Returns an error when answer times can't be kept.
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
            turn: AtomicUsize::new(0),
            in_flight: AtomicU64::new(0),
            calls: Mutex::default(),
            latency_us: Mutex::new(Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)?),
        })
    }

    /// Sends every call at its intended time.
    pub(super) async fn send(self: Arc<Self>, schedule: Schedule, start: Instant) {
        for (number, arrival) in schedule.arrivals.into_iter().enumerate() {
            tokio::time::sleep_until(start + arrival.at).await;
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let load = Arc::clone(&self);
            tokio::spawn(async move {
                load.make(number, arrival, start).await;
                load.in_flight.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    async fn make(&self, number: usize, arrival: Arrival, start: Instant) {
        let call_id = format!("{}-{number}", self.seed);
        let entry = self.pick_entry();
        let deadline = entry
            .settings()
            .and_then(|settings| settings.services.get(&arrival.service).cloned())
            .map_or(super::READY_TIMEOUT, |service| service.default_deadline_ms);
        let address = entry.caller_address();
        let end = call(&self.client, address, &arrival, &call_id, deadline).await;
        if end == CallEnd::Whole {
            let latency = start.elapsed().saturating_sub(arrival.at);
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.lock_latency().saturating_record(latency_us);
        }
        self.lock_calls().push(Call {
            call_id,
            service: arrival.service,
            idempotent: arrival.idempotent,
            end,
        });
    }

    /// Returns the next ready entry, as the platform's balancer would.
    fn pick_entry(&self) -> &Entry {
        let count = self.entries.len();
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        (first..first + count)
            .map(|turn| &self.entries[turn % count])
            .find(|entry| entry.is_ready())
            .unwrap_or(&self.entries[first % count])
    }

    /// Returns the calls that wait for their end.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns a line about the calls so far.
    pub(super) fn progress(&self) -> String {
        let counts = Counts::from(self.lock_calls().as_slice());
        format!(
            "answered {:>6}  not run {:>5}  unknown {:>4}  in flight {:>4}",
            counts.answered_whole,
            counts.not_run,
            counts.outcome_unknown,
            self.in_flight()
        )
    }

    /// Returns the ended calls.
    pub(super) fn calls(&self) -> Vec<Call> {
        self.lock_calls().clone()
    }

    /// Returns the answer time in milliseconds that this share of the answers kept.
    pub(super) fn latency_ms(&self, quantile: f64) -> u64 {
        self.lock_latency().value_at_quantile(quantile) / 1000
    }

    fn lock_calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_latency(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
