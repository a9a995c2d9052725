//! A TCP forwarder whose connections can be cut, for tests of network failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Buffer size in bytes for one direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Listens on a loopback port and forwards connections to a target address, except while it is cut.
///
/// Dropping the forwarder closes its listener and all connections.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    /// Incremented to silence the connections that are open.
    silencings: watch::Sender<u32>,
    /// Incremented to close the connections that are open.
    closings: watch::Sender<u32>,
    forwarded_bytes: Arc<AtomicU64>,
    accept_task: JoinHandle<()>,
}

impl Forwarder {
    /// Starts a forwarder to the target address.
    ///
    /// # Errors
    ///
    /// Returns an error when no loopback port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (cut, is_cut) = watch::channel(false);
        let (silencings, silenced) = watch::channel(0);
        let (closings, closed) = watch::channel(0);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let accept_task = tokio::spawn(accept_connections(
            listener,
            target,
            Controls {
                is_cut,
                silenced,
                closed,
            },
            Arc::clone(&forwarded_bytes),
        ));
        Ok(Self {
            address,
            cut,
            silencings,
            closings,
            forwarded_bytes,
            accept_task,
        })
    }

    /// Returns the address on which the forwarder listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// With `true`, closes all connections and each new one at once; with `false`, forwards new
    /// connections again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Closes the connections that are open; new ones are forwarded.
    pub fn close_open(&self) {
        self.closings.send_modify(|closings| *closings += 1);
    }

    /// Forwards nothing more over the connections that are open, and leaves them open; new ones are
    /// forwarded.
    pub fn silence_open(&self) {
        self.silencings.send_modify(|silencings| *silencings += 1);
    }

    /// Returns the number of bytes forwarded in both directions since the start.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// What a test does to the connections, as each of them sees it.
#[derive(Debug, Clone)]
struct Controls {
    is_cut: watch::Receiver<bool>,
    silenced: watch::Receiver<u32>,
    closed: watch::Receiver<u32>,
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    controls: Controls,
    forwarded_bytes: Arc<AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *controls.is_cut.borrow() {
            continue;
        }
        let mut controls = controls.clone();
        controls.silenced.mark_unchanged();
        controls.closed.mark_unchanged();
        tokio::spawn(forward(
            stream,
            target,
            controls,
            Arc::clone(&forwarded_bytes),
        ));
    }
}

async fn forward(
    client_stream: TcpStream,
    target: SocketAddr,
    mut controls: Controls,
    forwarded_bytes: Arc<AtomicU64>,
) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let (mut client_read, mut client_write) = client_stream.into_split();
    let (mut target_read, mut target_write) = target_stream.into_split();
    tokio::select! {
        () = copy(&mut client_read, &mut target_write, &forwarded_bytes) => return,
        () = copy(&mut target_read, &mut client_write, &forwarded_bytes) => return,
        _ = controls.is_cut.wait_for(|cut| *cut) => return,
        Ok(()) = controls.closed.changed() => return,
        Ok(()) = controls.silenced.changed() => {}
    }
    // Both connections stay open until the forwarder is cut or dropped.
    drop(controls.is_cut.wait_for(|cut| *cut).await);
}

async fn copy(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, forwarded_bytes: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        forwarded_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
}
