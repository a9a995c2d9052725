//! Serves an axum router on a TCP listener until it is dropped.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running stand-in server; dropping it closes the listener.
#[derive(Debug)]
pub struct Served {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Served {
    /// Serves a router on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                eprintln!("stand-in server on {address} stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}
