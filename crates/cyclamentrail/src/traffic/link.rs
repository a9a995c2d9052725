//! The link from this entry to one backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamentrail_core::{
    BootId, Candidate, HealthChange, InstanceName, LinkLimits, LinkState, Pace, RequestClass,
    TryResult, Turn, Version,
};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::gate::Waiter;
use super::request::RequestBody;
use crate::clock;

/// Time for which a kept connection may finish its last exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// A connection that can take one request at a time.
pub(crate) type Sender = SendRequest<RequestBody>;

/// What a link leads to; a change of any of these makes it another link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LinkTarget {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// Version of the instance that the link belongs to.
    pub(crate) version: Version,
    /// Address of its backend server.
    pub(crate) address: SocketAddr,
    /// Boot that the address belongs to.
    pub(crate) boot: BootId,
    /// Number of the rack that it stands in.
    pub(crate) rack: u32,
    /// Whether it stands in the entry's own availability zone.
    pub(crate) near: bool,
}

/// Requests that this entry has at one backend server, with its idle connections.
#[derive(Debug)]
pub(crate) struct Link {
    target: LinkTarget,
    closed: AtomicBool,
    state: Mutex<LinkState>,
    idle: Mutex<Vec<Sender>>,
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

    /// Returns what the link leads to.
    pub(crate) const fn target(&self) -> &LinkTarget {
        &self.target
    }

    /// Returns the instance.
    pub(crate) const fn instance(&self) -> &InstanceName {
        &self.target.instance
    }

    /// Sets new limits.
    pub(crate) fn set_limits(&self, limits: LinkLimits) {
        self.lock_state().set_limits(limits);
    }

    /// Returns a copy of the state.
    pub(crate) fn state(&self) -> LinkState {
        self.lock_state().clone()
    }

    /// Returns whether the link is out of routing because its server is bad.
    pub(crate) fn is_ejected(&self) -> bool {
        self.lock_state().health().is_ejected()
    }

    /// Returns what routing needs to know.
    pub(crate) fn candidate(&self, class: RequestClass, idempotent: bool) -> Candidate {
        let rack = self.target.rack;
        let now_us = clock::now_us();
        let candidate = self.lock_state().candidate(class, idempotent, rack, now_us);
        let open = !self.closed.load(Ordering::SeqCst);
        Candidate {
            limit: if open { candidate.limit } else { 0 },
            ..candidate
        }
    }

    /// Takes a slot; returns whether there was one.
    pub(crate) fn take(&self, class: RequestClass, idempotent: bool) -> bool {
        let mut state = self.lock_state();
        let open = !self.closed.load(Ordering::SeqCst);
        open && state.take(class, idempotent, clock::now_us())
    }

    /// Frees a slot and lets the request that `next` returns have it.
    ///
    /// `next` is told which classes of requests the server has room for.
    pub(crate) fn pass_on(
        &self,
        freed: RequestClass,
        next: impl FnOnce(&dyn Fn(RequestClass) -> bool) -> Turn<Waiter>,
    ) -> Turn<Waiter> {
        let now_us = clock::now_us();
        let mut state = self.lock_state();
        state.release(freed);
        let open = !self.closed.load(Ordering::SeqCst);
        let turn = next(&|class| open && state.may_follow(class, now_us));
        if let Some(waiter) = &turn.taken {
            state.follow(waiter.class, now_us);
        }
        turn
    }

    /// Takes in how a try went.
    pub(crate) fn note(&self, result: TryResult, spare: bool) -> Option<HealthChange> {
        self.lock_state()
            .note(result, clock::now_us(), spare, rand::random())
    }

    /// Takes in how long a whole answer took and returns how the try went.
    pub(crate) fn note_time(&self, class: RequestClass, took_us: u64, service: &Pace) -> TryResult {
        self.lock_state()
            .note_time(class, took_us, clock::now_us(), service)
    }

    /// Closes the idle connections.
    pub(crate) fn drop_idle(&self) {
        self.lock_idle().clear();
    }

    /// Closes the link to new work; work in flight goes on.
    pub(crate) fn close(&self) {
        let state = self.lock_state();
        self.closed.store(true, Ordering::SeqCst);
        drop(state);
        self.lock_idle().clear();
    }

    /// Returns whether the link is closed and nothing is in flight.
    pub(crate) fn is_released(&self) -> bool {
        let state = self.lock_state();
        self.closed.load(Ordering::SeqCst) && state.in_flight() == 0
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting; nothing was sent then.
    pub(crate) async fn connect(&self, timeout: Duration) -> anyhow::Result<Sender> {
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

    /// Keeps a connection for the next request, within the limit of connections.
    pub(crate) fn keep(&self, sender: Sender) {
        let in_use = self.lock_state().in_flight().saturating_sub(1);
        let limit = self.lock_state().connections();
        let mut idle = self.lock_idle();
        let open = !self.closed.load(Ordering::SeqCst);
        if open && idle.len() + (in_use as usize) < limit as usize {
            idle.push(sender);
        }
    }

    fn pop_idle(&self) -> Option<Sender> {
        self.lock_idle().pop()
    }

    fn lock_state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
