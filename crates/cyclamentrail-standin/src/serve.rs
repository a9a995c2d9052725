//! Runs an axum router as an HTTP server on a TCP listener.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server; dropping the value closes the listener.
#[derive(Debug)]
pub struct Served {
    address: SocketAddr,
    server_task: JoinHandle<()>,
}

impl Served {
    /// Starts a server for a router on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let server_task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                eprintln!("stand-in server on {address} stopped: {error}");
            }
        });
        Ok(Self {
            address,
            server_task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.server_task.abort();
    }
}
