//! The link from this entry to one backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cyclamentrail_core::{BootId, Candidate, InstanceName, Version};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::request::RequestBody;

/// Requests that this entry has at one backend server, with its idle connections.
#[derive(Debug)]
pub(crate) struct Link {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// Version of the instance that the link belongs to.
    pub(crate) version: Version,
    /// Address of its backend server.
    pub(crate) address: SocketAddr,
    /// Boot that the address belongs to.
    pub(crate) boot: BootId,
    slots: u32,
    in_flight: AtomicU32,
    closed: AtomicBool,
    idle: Mutex<Vec<Sender>>,
}

/// A connection that can take one request at a time.
pub(crate) type Sender = SendRequest<RequestBody>;

impl Link {
    /// Creates a link without connections.
    pub(crate) const fn new(
        instance: InstanceName,
        version: Version,
        address: SocketAddr,
        boot: BootId,
        slots: u32,
    ) -> Self {
        Self {
            instance,
            version,
            address,
            boot,
            slots,
            in_flight: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns what routing needs to know.
    pub(crate) fn candidate(&self) -> Candidate {
        Candidate {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots: self.slots,
        }
    }

    /// Takes a slot; `None` when the link is closed or full.
    pub(crate) fn take_slot(self: &Arc<Self>) -> Option<Slot> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let slot = Slot(Arc::clone(self));
        let usable = before < self.slots && !self.closed.load(Ordering::SeqCst);
        usable.then_some(slot)
    }

    /// Closes the link to new work; work in flight goes on.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.lock_idle().clear();
    }

    /// Returns whether the link is closed and nothing is in flight.
    pub(crate) fn is_released(&self) -> bool {
        self.closed.load(Ordering::SeqCst) && self.in_flight.load(Ordering::SeqCst) == 0
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting; nothing was sent then.
    pub(crate) async fn connect(&self) -> anyhow::Result<Sender> {
        while let Some(sender) = self.pop_idle() {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "backend_connection_ended");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection for the next request.
    pub(crate) fn keep(&self, sender: Sender) {
        if !self.closed.load(Ordering::SeqCst) {
            self.lock_idle().push(sender);
        }
    }

    fn pop_idle(&self) -> Option<Sender> {
        self.lock_idle().pop()
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One slot of a link; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Link>);

impl Slot {
    /// Returns the link of the slot.
    pub(crate) const fn link(&self) -> &Arc<Link> {
        &self.0
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
