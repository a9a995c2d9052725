//! Runs an axum router as an HTTP server on a TCP listener.

use std::net::SocketAddr;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// A running HTTP server; dropping the value closes the listener and all connections, as the end of
/// a process does.
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
        let server_task = tokio::spawn(accept_connections(listener, router));
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

/// Serves connections until the task is aborted, which closes them.
async fn accept_connections(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("a stand-in server failed to accept a connection: {error}");
                continue;
            }
        };
        let service = TowerToHyperService::new(router.clone());
        connections.spawn(async move {
            let server = Builder::new(TokioExecutor::new());
            // A connection that a client breaks off is none of the server's business.
            drop(server.serve_connection(TokioIo::new(stream), service).await);
        });
        while connections.try_join_next().is_some() {}
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.server_task.abort();
    }
}
