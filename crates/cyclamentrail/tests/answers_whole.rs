//! Answers are passed on whole and to their own request, or the caller sees that they aren't.

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
/// Memory in bytes that a streamed body may cost an entry.
const STREAM_BYTES: usize = 24 * MIB;
/// Longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a request on a connection of its own and returns the head of its answer.
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

fn request(address: SocketAddr, path: &str) -> hyper::http::request::Builder {
    Request::post(format!("/v1/services/{path}"))
        .header("host", address.to_string())
        .header("x-call-id", "call")
        .header("x-request-deadline-ms", "30000")
}

/// Returns the most memory in bytes that a process has used.
fn peak_memory(process: u32) -> Result<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .context("no peak in the process status")?;
    let kib = line.split_whitespace().next().context("no number")?;
    Ok(kib.parse::<usize>()? * 1024)
}

async fn large_site() -> Result<Site> {
    let patch = json!({"requests": {"max_body_bytes": 128 * MIB}});
    Site::builder().entries(1).patch(patch).start().await
}

#[tokio::test]
async fn streams_up() -> Result<()> {
    let site = large_site().await?;
    let address = site.entries[0].address("callers")?;
    let before = peak_memory(site.entries[0].id())?;
    let part = Bytes::from(vec![b'x'; MIB]);
    let parts =
        stream::iter((0..96).map(move |_| Ok::<_, std::io::Error>(Frame::data(part.clone()))));
    let request =
        request(address, "renders/answers?kind=length&bytes=10").body(StreamBody::new(parts))?;
    let response = exchange(address, request).await?;
    assert_eq!(
        response.headers()["x-received-bytes"],
        (96 * MIB).to_string()
    );
    let grown = peak_memory(site.entries[0].id())? - before;
    assert!(grown < STREAM_BYTES, "the entry grew by {grown} bytes");
    Ok(())
}

#[tokio::test]
async fn streams_down() -> Result<()> {
    let site = large_site().await?;
    let address = site.entries[0].address("callers")?;
    let before = peak_memory(site.entries[0].id())?;
    let path = format!("renders/answers?kind=chunked&bytes={}", 96 * MIB);
    let response = exchange(
        address,
        request(address, &path).body(Empty::<Bytes>::new())?,
    )
    .await?;
    // The caller reads nothing for a while.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut body = response.into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        received += frame?.data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(received, 96 * MIB);
    let grown = peak_memory(site.entries[0].id())? - before;
    assert!(grown < STREAM_BYTES, "the entry grew by {grown} bytes");
    Ok(())
}

#[rstest]
#[case::short("cut_length", 1_000)]
#[case::long("cut_length", 300_000)]
#[case::chunked("cut_chunked", 1_000)]
#[tokio::test]
async fn cut_seen(#[case] kind: &str, #[case] bytes: usize) -> Result<()> {
    let site = Site::builder().start().await?;
    let path = format!("checks/answers?kind={kind}&bytes={bytes}");
    // An aborted transfer is an error of the client; a short answer is told as unknown.
    if let Ok(answer) = site.post(0, &path, &Call::new("call")).await {
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
        assert_eq!(
            (answer.status, answer.reason.as_str()),
            (502, "connection-lost")
        );
    }
    assert_eq!(site.runs_of("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn cut_keyed() -> Result<()> {
    let site = Site::builder().start().await?;
    let path = "checks/answers?kind=cut_chunked&bytes=1000";
    let call = Call::new("call").key("k1");
    let cut = site.post(0, path, &call).await;
    assert!(cut.is_err(), "{cut:?}");
    let again = site.post(1, path, &call).await?;
    assert_eq!(again.outcome, "unknown");
    assert_eq!(site.runs_of("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn trailers_passed() -> Result<()> {
    let site = Site::builder().start().await?;
    let address = site.entries[0].address("callers")?;
    let request = request(address, "checks/answers?kind=trailers&bytes=100000")
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

#[tokio::test]
async fn early_error() -> Result<()> {
    let site = large_site().await?;
    let address = site.entries[0].address("callers")?;
    // The body never ends by itself.
    let part = Bytes::from(vec![b'x'; 1024]);
    let parts = stream::unfold(part, |part| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        Some((Ok::<_, std::io::Error>(Frame::data(part.clone())), part))
    });
    let request =
        request(address, "renders/answers?kind=early").body(StreamBody::new(Box::pin(parts)))?;
    let exchanged = exchange(address, request);
    let response = tokio::time::timeout(PATIENCE, exchanged).await??;
    assert_eq!(response.status(), 413);
    assert_eq!(response.headers()["x-outcome"], "answered");
    Ok(())
}

#[tokio::test]
async fn crossed_dropped() -> Result<()> {
    let site = Site::builder().start().await?;
    let path = "checks/answers?kind=crossed&bytes=1000";
    let answer = site.post(0, path, &Call::new("call")).await?;
    assert_eq!(
        (answer.outcome.as_str(), answer.reason.as_str()),
        ("unknown", "crossed-answer")
    );
    assert_eq!(site.runs_of("call").await, 1);
    Ok(())
}

#[tokio::test]
async fn caller_gone() -> Result<()> {
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
        let sent = sender.send_request(request(address, path).body(Empty::<Bytes>::new())?);
        let waited = tokio::time::timeout(Duration::from_millis(500), sent).await;
        ensure!(waited.is_err(), "answered too early");
        connection.abort();
    }
    let until = Instant::now() + PATIENCE;
    while site.report("w01").await?.in_flight > 0 {
        ensure!(Instant::now() < until, "the backend server never stops");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let answer = site.call(0, "checks", "next").await?;
    assert_eq!(answer.outcome, "answered");
    Ok(())
}
