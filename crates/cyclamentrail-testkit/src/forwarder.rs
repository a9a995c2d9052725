//! A TCP forwarder that can be cut, for tests of lost connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to an address until it is cut; dropping it ends it.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Forwarder {
    /// Starts a forwarder to an address.
    ///
    /// # Errors
    ///
    /// Returns an error when no port is free.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (cut, is_cut) = watch::channel(false);
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, is_cut, Arc::clone(&bytes)));
        Ok(Self {
            address,
            cut,
            bytes,
            task,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts all connections and refuses new ones, or lets them pass again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Returns the bytes that passed in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    is_cut: watch::Receiver<bool>,
    bytes: Arc<AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *is_cut.borrow() {
            continue;
        }
        tokio::spawn(forward(stream, target, is_cut.clone(), Arc::clone(&bytes)));
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    mut is_cut: watch::Receiver<bool>,
    bytes: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, &bytes) => {}
        () = copy(far_read, near_write, &bytes) => {}
        _ = is_cut.wait_for(|cut| *cut) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
}
