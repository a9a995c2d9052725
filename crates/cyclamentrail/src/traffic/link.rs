//! Connections and slots of this entry at one backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamentrail_core::{
    AttemptResult, BootId, Candidate, Dequeued, HealthChange, InstanceName, LinkLimits, LinkState,
    MeanResponseTime, RequestClass, Version,
};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::admission::Waiter;
use super::request::RequestBody;
use crate::clock;

/// Longest wait for an idle connection to finish its previous exchange; it is closed afterwards.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Sending half of an HTTP/1 connection, which carries one request at a time.
pub(crate) type RequestSender = SendRequest<RequestBody>;

/// Identity of the backend server behind a link.
///
/// When any field changes, the link is closed and a new one is created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LinkTarget {
    /// Name of the instance.
    pub(crate) instance: InstanceName,
    /// Version of the instance in the agreed state.
    pub(crate) version: Version,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Boot of the instance during which it has this address.
    pub(crate) boot: BootId,
    /// Number of the instance's rack; see
    /// [`Placement::rack_number`](super::Placement::rack_number).
    pub(crate) rack_number: u32,
    /// Whether the instance is in the entry's own availability zone.
    pub(crate) in_own_zone: bool,
}

/// This entry's slots and idle connections at one backend server.
#[derive(Debug)]
pub(crate) struct Link {
    target: LinkTarget,
    closed: AtomicBool,
    state: Mutex<LinkState>,
    idle: Mutex<Vec<RequestSender>>,
}

impl Link {
    /// Creates a link without connections.
    pub(crate) fn new(target: LinkTarget, limits: LinkLimits) -> Self {
        Self {
            target,
            closed: AtomicBool::new(false),
            state: Mutex::new(LinkState::new(limits)),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the identity of the backend server.
    pub(crate) const fn target(&self) -> &LinkTarget {
        &self.target
    }

    /// Returns the name of the instance.
    pub(crate) const fn instance(&self) -> &InstanceName {
        &self.target.instance
    }

    /// Replaces the limits on slots and connections.
    pub(crate) fn set_limits(&self, limits: LinkLimits) {
        self.lock_state().set_limits(limits);
    }

    /// Returns a copy of the slot counts and the server's health.
    pub(crate) fn state(&self) -> LinkState {
        self.lock_state().clone()
    }

    /// Returns whether the server is removed from routing because its requests failed.
    pub(crate) fn is_ejected(&self) -> bool {
        self.lock_state().health().is_ejected()
    }

    /// Returns what load balancing needs to know of the server; a closed link has a limit of 0.
    pub(crate) fn candidate(&self, class: RequestClass, idempotent: bool) -> Candidate {
        let rack = self.target.rack_number;
        let now_us = clock::now_us();
        let candidate = self.lock_state().candidate(class, idempotent, rack, now_us);
        let open = !self.closed.load(Ordering::SeqCst);
        Candidate {
            limit: if open { candidate.limit } else { 0 },
            ..candidate
        }
    }

    /// Takes a slot; returns false when none is free or the link is closed.
    pub(crate) fn take(&self, class: RequestClass, idempotent: bool) -> bool {
        let mut state = self.lock_state();
        let open = !self.closed.load(Ordering::SeqCst);
        open && state.try_occupy(class, idempotent, clock::now_us())
    }

    /// Frees a slot and gives it to the waiting request that `next` chooses.
    ///
    /// `next` gets a predicate that returns whether the server has room for a request of a class.
    /// Both steps happen under one lock, so that no other request takes the slot in between.
    pub(crate) fn release_to(
        &self,
        freed: RequestClass,
        next: impl FnOnce(&dyn Fn(RequestClass) -> bool) -> Dequeued<Waiter>,
    ) -> Dequeued<Waiter> {
        let now_us = clock::now_us();
        let mut state = self.lock_state();
        state.release(freed);
        let open = !self.closed.load(Ordering::SeqCst);
        let dequeued = next(&|class| open && state.may_occupy_freed_slot(class, now_us));
        if let Some(waiter) = &dequeued.request {
            state.occupy_freed_slot(waiter.class, now_us);
        }
        dequeued
    }

    /// Records the result of an attempt and returns the change of health that it caused.
    ///
    /// `may_be_ejected` is whether the service's contract allows removing the server from routing.
    pub(crate) fn record_result(
        &self,
        result: AttemptResult,
        may_be_ejected: bool,
    ) -> Option<HealthChange> {
        self.lock_state()
            .record_attempt(result, clock::now_us(), may_be_ejected, rand::random())
    }

    /// Records the duration of a complete response and returns whether the server was slow.
    ///
    /// `service` is the mean duration over all servers of the service.
    pub(crate) fn record_duration(
        &self,
        class: RequestClass,
        took_us: u64,
        service: &MeanResponseTime,
    ) -> AttemptResult {
        self.lock_state()
            .record_response_time(class, took_us, clock::now_us(), service)
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.lock_idle().clear();
    }

    /// Refuses new requests from now on and closes the idle connections; requests in flight go on.
    pub(crate) fn close(&self) {
        let state = self.lock_state();
        self.closed.store(true, Ordering::SeqCst);
        drop(state);
        self.lock_idle().clear();
    }

    /// Returns whether the link is closed and no request is in flight.
    pub(crate) fn is_released(&self) -> bool {
        let state = self.lock_state();
        self.closed.load(Ordering::SeqCst) && state.in_flight() == 0
    }

    /// Returns an idle connection, or opens a new one within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be opened; no byte of a request was sent.
    pub(crate) async fn connect(&self, timeout: Duration) -> anyhow::Result<RequestSender> {
        while let Some(mut sender) = self.pop_idle() {
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(sender);
            }
        }
        let address = self.target.address;
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "backend_connection_ended");
            }
        });
        Ok(sender)
    }

    /// Returns a connection to the idle ones, or closes it when that would exceed the limit.
    pub(crate) fn return_connection(&self, sender: RequestSender) {
        let in_use = self.lock_state().in_flight().saturating_sub(1);
        let limit = self.lock_state().connections();
        let mut idle = self.lock_idle();
        let open = !self.closed.load(Ordering::SeqCst);
        if open && idle.len() + (in_use as usize) < limit as usize {
            idle.push(sender);
        }
    }

    fn pop_idle(&self) -> Option<RequestSender> {
        self.lock_idle().pop()
    }

    fn lock_state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<RequestSender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
