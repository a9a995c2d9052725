//! Invalid input is refused and counted, and the entry goes on serving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cyclamentrail_testkit::{Site, TOKEN};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time that a test waits for a listener to react.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 8;

async fn start_with_small_limits() -> Result<Site> {
    Site::builder()
        .entries(1)
        .instances(2)
        .patch(json!({"caller_limits": {
            "max_connections": MAX_CONNECTIONS, "max_requests": 2,
            "max_header_bytes": 8192, "header_timeout_ms": 400, "body_timeout_ms": 400,
        }}))
        .start()
        .await
}

/// Sends bytes and returns everything that the listener sends until it closes the connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // The listener may close the connection before all bytes are sent.
    drop(stream.write_all(bytes).await);
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> Result<String> {
    let mut response = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response))
        .await
        .context("the listener didn't close the connection")?;
    drop(read);
    Ok(String::from_utf8_lossy(&response).into_owned())
}

async fn fetch_metrics(site: &Site) -> Result<String> {
    let operators = site.entries[0].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{operators}/metrics"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    let response = site.client.send(request).await?;
    assert_eq!(response.status, 200);
    Ok(String::from_utf8(response.body.to_vec())?)
}

/// Returns the counted refusals as soon as the metric exists, or 0 after the timeout.
async fn refusal_count(site: &Site, listener: &str, reason: &str) -> Result<u64> {
    let prefix =
        format!("cyclamentrail_refused_total{{listener=\"{listener}\",reason=\"{reason}\"}} ");
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let text = fetch_metrics(site).await?;
        let count: Option<u64> = text
            .lines()
            .find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
        if let Some(count) = count {
            return Ok(count);
        }
        if tokio::time::Instant::now() >= until {
            return Ok(0);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until exactly `expected` refusals are counted; a refused connection is counted at its end.
async fn wait_for_refusals(site: &Site, listener: &str, reason: &str, expected: u64) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if refusal_count(site, listener, reason).await? == expected {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let counted = refusal_count(site, listener, reason).await?;
    bail!("counted {counted} refusals instead of {expected}")
}

async fn assert_serves(site: &Site) -> Result<()> {
    let response = site.call(0, "checks", "alive").await?;
    assert_eq!(response.outcome, "answered");
    Ok(())
}

#[rstest]
#[case::callers("callers")]
#[case::peers("peers")]
#[case::operators("operators")]
#[tokio::test]
async fn malformed_request_refused(#[case] listener: &str) -> Result<()> {
    let site = start_with_small_limits().await?;
    let address = site.entries[0].address(listener)?;
    let response = send_raw(address, b"\x00\xff\x01 no http at all\r\n\r\n").await?;
    assert!(response.starts_with("HTTP/1.1 400"), "{response:?}");
    wait_for_refusals(&site, listener, "malformed", 1).await?;
    assert_serves(&site).await
}

#[rstest]
#[case::callers("callers")]
#[case::operators("operators")]
#[tokio::test]
async fn large_header_refused(#[case] listener: &str) -> Result<()> {
    let site = start_with_small_limits().await?;
    let address = site.entries[0].address(listener)?;
    let header = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
        "b".repeat(60_000)
    );
    let response = send_raw(address, header.as_bytes()).await?;
    assert!(!response.starts_with("HTTP/1.1 2"), "{response:?}");
    wait_for_refusals(&site, listener, "header_size", 1).await?;
    assert_serves(&site).await
}

#[rstest]
#[case::callers("callers")]
#[case::peers("peers")]
#[tokio::test]
async fn slow_header_closed(#[case] listener: &str) -> Result<()> {
    let site = start_with_small_limits().await?;
    let address = site.entries[0].address(listener)?;
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"GET /v1/services/checks/x HTTP/1.1\r\nhost: ")
        .await?;
    let slow_sender = async {
        while stream.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(WAIT_TIMEOUT, slow_sender)
        .await
        .context("the listener didn't close the connection of a slow sender")?;
    wait_for_refusals(&site, listener, "header_timeout", 1).await?;
    assert_serves(&site).await
}

/// A body that doesn't arrive in time is never sent to a backend server: a short body is buffered
/// before dispatch, with and without a key.
#[rstest]
#[case::plain("", "x-outcome: not-run")]
#[case::keyed("idempotency-key: slow\r\n", "x-outcome: not-run")]
#[tokio::test]
async fn slow_body_not_run(#[case] header: &str, #[case] outcome: &str) -> Result<()> {
    let site = start_with_small_limits().await?;
    let callers = site.entries[0].address("callers")?;
    let request = format!(
        "POST /v1/services/checks/x HTTP/1.1\r\nhost: x\r\nx-call-id: slow\r\n{header}content-length: 100\r\n\r\nhalf"
    );
    let response = send_raw(callers, request.as_bytes()).await?;
    assert!(response.contains(outcome), "{response:?}");
    assert!(!site.runs_by_call().await.contains_key("slow"));
    assert_serves(&site).await
}

#[tokio::test]
async fn large_body_refused() -> Result<()> {
    let site = start_with_small_limits().await?;
    let callers = site.entries[0].address("callers")?;
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{callers}/v1/services/checks/x"))
        .header("x-call-id", "large")
        .body(Full::from(vec![b'x'; 2 * 1024 * 1024]))?;
    let response = site.client.send(request).await?;
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (413, "not-run")
    );
    assert!(!site.runs_by_call().await.contains_key("large"));
    Ok(())
}

#[tokio::test]
async fn excess_connections_refused() -> Result<()> {
    let site = start_with_small_limits().await?;
    let peers = site.entries[0].address("peers")?;
    let mut open = Vec::new();
    for _ in 0..MAX_CONNECTIONS * 3 {
        open.push(TcpStream::connect(peers).await?);
    }
    let mut refusals = 0;
    for stream in &mut open {
        if read_to_close(stream).await?.contains("x-outcome: not-run") {
            refusals += 1;
        }
    }
    assert!(refusals >= MAX_CONNECTIONS, "{refusals} refusals");
    wait_for_refusals(&site, "peers", "connections", refusals as u64).await?;
    assert_serves(&site).await
}

#[tokio::test]
async fn excess_requests_refused() -> Result<()> {
    let site = start_with_small_limits().await?;
    let callers = site.entries[0].address("callers")?;
    let path = "/v1/services/checks/x?work_ms=1500";
    let calls = (0..5).map(|_| site.client.get(callers, path));
    let responses = futures_util::future::try_join_all(calls).await?;
    let refused = responses
        .iter()
        .filter(|response| response.status == 503 && response.outcome == "not-run")
        .count();
    assert_eq!(refused, 3, "{responses:?}");
    wait_for_refusals(&site, "callers", "requests", 3).await?;
    assert_serves(&site).await
}

#[rstest]
#[case::state("operators", "/state")]
#[case::metrics("operators", "/metrics")]
#[case::ping("peers", "/v1/peer/ping")]
#[tokio::test]
async fn wrong_token_refused(#[case] listener: &str, #[case] path: &str) -> Result<()> {
    let site = start_with_small_limits().await?;
    let address = site.entries[0].address(listener)?;
    for authorization in ["", "Bearer wrong-token", "test-token", "Bearer "] {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .header("authorization", authorization)
            .body(Full::default())?;
        assert_eq!(site.client.send(request).await?.status, 401);
    }
    wait_for_refusals(&site, listener, "token", 4).await?;
    Ok(())
}

#[tokio::test]
async fn callers_see_no_operators() -> Result<()> {
    let site = start_with_small_limits().await?;
    let callers = site.entries[0].address("callers")?;
    for path in ["/state", "/metrics", "/v1/settings", "/v1/peer/ping"] {
        assert_eq!(site.client.get(callers, path).await?.status, 404);
    }
    Ok(())
}
