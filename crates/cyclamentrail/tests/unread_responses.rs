//! Callers that don't read their responses.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_standin::JOB_HOST;
use cyclamentrail_testkit::JobSite;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Longest time that a test waits for the end of a connection.
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a write that isn't taken up counts as stuck.
const STUCK_TIME: Duration = Duration::from_secs(1);
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Line of the metrics that counts the connection.
const UNREAD_COUNT: &str = "cyclamentrail_refused_total{listener=\"callers\",reason=\"unread\"} 1";
/// Requests in one write.
const PIPELINED_REQUESTS: usize = 100;

/// Sends requests until the process takes no more, because it can't send its responses.
async fn stuff(stream: &mut TcpStream) -> Result<()> {
    let request = format!("GET /none HTTP/1.1\r\nhost: {JOB_HOST}\r\n\r\n");
    let requests = request.repeat(PIPELINED_REQUESTS);
    let end = Instant::now() + MAX_WAIT;
    while let Ok(written) = timeout(STUCK_TIME, stream.write_all(requests.as_bytes())).await {
        written?;
        ensure!(Instant::now() < end, "the process takes all requests");
    }
    Ok(())
}

/// Returns whether a write fails, because the process has closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(
        timeout(POLL_INTERVAL, stream.write_all(b"x")).await,
        Ok(Err(_))
    )
}

async fn fetch_metrics(address: SocketAddr) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await?;
    let mut response = String::new();
    timeout(MAX_WAIT, stream.read_to_string(&mut response)).await??;
    Ok(response)
}

/// Such a connection stayed open for good, and kept its place among those of all callers.
#[tokio::test]
async fn unread_responses_end() -> Result<()> {
    let mut site = JobSite::start(0, 1, 200)
        .await?
        .settings("Callers.MaxUnackedMs=1500\n");
    site.add_process("n0")?;
    site.submit(0, "00000000000000a1", 1).await?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(site.processes[0].1).await?;
    stuff(&mut stream).await?;
    let end = Instant::now() + MAX_WAIT;
    while !is_closed(&mut stream).await {
        ensure!(Instant::now() < end, "the connection stays open");
        sleep(POLL_INTERVAL).await;
    }
    site.submit(0, "00000000000000a2", 1).await?;
    let metrics = fetch_metrics(site.processes[0].0.address("metrics")?).await?;
    ensure!(metrics.contains(UNREAD_COUNT), "{metrics}");
    Ok(())
}
