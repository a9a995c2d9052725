//! Serves a router on a listener, with limits and a graceful end.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use cyclamentrail_core::CallerLimits;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that `hyper` allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves until `stop` turns true, then lets the requests in flight end.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: CallerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections as usize));
    let graceful = GracefulShutdown::new();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout_ms)
        .max_buf_size((limits.max_header_bytes as usize).max(MIN_BUFFER_BYTES));
    loop {
        let permit = tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let Ok(permit) = permit else { break };
        let accepted = tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "nodelay_failed");
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection_ended");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
