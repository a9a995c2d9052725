//! Each response is forwarded completely and to its own request; otherwise the caller sees a failed
//! transfer or an unknown outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use cyclamentrail_testkit::{Call, Site};
use futures_util::stream;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::Request;
use hyper::body::{Body, Frame, Incoming};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;

const MIB: usize = 1024 * 1024;
/// Most memory in bytes by which an entry may grow while it streams a body.
const MAX_GROWTH_BYTES: usize = 24 * MIB;
/// Longest time that a test waits for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a request on a connection of its own and returns the response before its body is received.
async fn exchange<B>(address: SocketAddr, request: Request<B>) -> Result<hyper::Response<Incoming>>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync,
{
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}

fn post_request(address: SocketAddr, path: &str) -> hyper::http::request::Builder {
    Request::post(format!("/v1/services/{path}"))
        .header("host", address.to_string())
        .header("x-call-id", "call")
        .header("x-request-deadline-ms", "30000")
}

/// Returns the peak resident memory of a process in bytes.
fn peak_memory_bytes(process: u32) -> Result<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .context("no peak in the process status")?;
    let kib = line.split_whitespace().next().context("no number")?;
    Ok(kib.parse::<usize>()? * 1024)
}

async fn start_with_large_bodies() -> Result<Site> {
    let patch = json!({"requests": {"max_body_bytes": 128 * MIB}});
    Site::builder().entries(1).patch(patch).start().await
}

#[tokio::test]
async fn upload_streamed() -> Result<()> {
    let site = start_with_large_bodies().await?;
    let address = site.entries[0].address("callers")?;
    let before = peak_memory_bytes(site.entries[0].id())?;
    let part = Bytes::from(vec![b'x'; MIB]);
    let parts =
        stream::iter((0..96).map(move |_| Ok::<_, std::io::Error>(Frame::data(part.clone()))));
    let request = post_request(address, "renders/answers?kind=length&bytes=10")
        .body(StreamBody::new(parts))?;
    let response = exchange(address, request).await?;
    assert_eq!(
        response.headers()["x-received-bytes"],
        (96 * MIB).to_string()
    );
    let growth = peak_memory_bytes(site.entries[0].id())? - before;
    assert!(
        growth < MAX_GROWTH_BYTES,
        "the entry grew by {growth} bytes"
    );
    Ok(())
}

#[tokio::test]
async fn download_streamed() -> Result<()> {
    let site = start_with_large_bodies().await?;
    let address = site.entries[0].address("callers")?;
    let before = peak_memory_bytes(site.entries[0].id())?;
    let path = format!("renders/answers?kind=chunked&bytes={}", 96 * MIB);
    let response = exchange(
        address,
        post_request(address, &path).body(Empty::<Bytes>::new())?,
    )
    .await?;
    // The caller doesn't read for a second, so that an entry without flow control would buffer.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut body = response.into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        received += frame?.data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(received, 96 * MIB);
    let growth = peak_memory_bytes(site.entries[0].id())? - before;
    assert!(
        growth < MAX_GROWTH_BYTES,
        "the entry grew by {growth} bytes"
    );
    Ok(())
}

/// A server that ends a response early must not make it look complete to the caller.
#[rstest]
#[case::short("cut_length", 1_000)]
#[case::long("cut_length", 300_000)]
#[case::chunked("cut_chunked", 1_000)]
#[tokio::test]
async fn truncation_reported(#[case] kind: &str, #[case] bytes: usize) -> Result<()> {
    let site = Site::builder().start().await?;
    let path = format!("checks/answers?kind={kind}&bytes={bytes}");
    // The client fails on an aborted transfer. A truncated short response is reported as unknown.
    if let Ok(response) = site.post(0, &path, &Call::new("call")).await {
        assert_eq!(response.outcome, "unknown", "{response:?}");
        assert_eq!(
            (response.status, response.reason.as_str()),
            (502, "connection-lost")
        );
    }
    assert_eq!(site.run_count("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn keyed_truncation_unknown() -> Result<()> {
    let site = Site::builder().start().await?;
    let path = "checks/answers?kind=cut_chunked&bytes=1000";
    let call = Call::new("call").key("k1");
    let truncated = site.post(0, path, &call).await;
    assert!(truncated.is_err(), "{truncated:?}");
    let repeated = site.post(1, path, &call).await?;
    assert_eq!(repeated.outcome, "unknown");
    assert_eq!(site.run_count("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn trailers_forwarded() -> Result<()> {
    let site = Site::builder().start().await?;
    let address = site.entries[0].address("callers")?;
    let request = post_request(address, "checks/answers?kind=trailers&bytes=100000")
        .header("te", "trailers")
        .body(Empty::<Bytes>::new())?;
    let body = exchange(address, request)
        .await?
        .into_body()
        .collect()
        .await?;
    let trailers = body.trailers().context("no trailers")?;
    assert_eq!(trailers["x-received-bytes"], "0");
    assert_eq!(body.to_bytes().len(), 100_000);
    Ok(())
}

/// A server may respond before it has received the request body, and the entry must not wait for
/// the end of that body.
#[tokio::test]
async fn early_error_forwarded() -> Result<()> {
    let site = start_with_large_bodies().await?;
    let address = site.entries[0].address("callers")?;
    // The body is endless.
    let part = Bytes::from(vec![b'x'; 1024]);
    let parts = stream::unfold(part, |part| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        Some((Ok::<_, std::io::Error>(Frame::data(part.clone())), part))
    });
    let request = post_request(address, "renders/answers?kind=early")
        .body(StreamBody::new(Box::pin(parts)))?;
    let exchanged = exchange(address, request);
    let response = tokio::time::timeout(WAIT_TIMEOUT, exchanged).await??;
    assert_eq!(response.status(), 413);
    assert_eq!(response.headers()["x-outcome"], "answered");
    Ok(())
}

#[tokio::test]
async fn misrouted_response_unknown() -> Result<()> {
    let site = Site::builder().start().await?;
    let path = "checks/answers?kind=crossed&bytes=1000";
    let response = site.post(0, path, &Call::new("call")).await?;
    assert_eq!(
        (response.outcome.as_str(), response.reason.as_str()),
        ("unknown", "crossed-answer")
    );
    assert_eq!(site.run_count("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn disconnect_frees_slots() -> Result<()> {
    let site = Site::builder()
        .entries(1)
        .instances(2)
        .slots(2)
        .start()
        .await?;
    let address = site.entries[0].address("callers")?;
    let path = "checks/work?work_ms=60000";
    for _ in 0..2 {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::spawn(connection);
        let sent = sender.send_request(post_request(address, path).body(Empty::<Bytes>::new())?);
        let waited = tokio::time::timeout(Duration::from_millis(500), sent).await;
        ensure!(waited.is_err(), "the response came too early");
        connection.abort();
    }
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while site.backend_report("w01").await?.in_flight > 0 {
        ensure!(
            Instant::now() < deadline,
            "the backend server still runs the requests of the disconnected callers"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let response = site.call(0, "checks", "next").await?;
    assert_eq!(response.outcome, "answered");
    Ok(())
}
