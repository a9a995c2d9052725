//! Bad input is refused and counted, and never ends a process.

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

/// Longest time that a test waits for a listener's reaction.
const PATIENCE: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 8;

async fn start() -> Result<Site> {
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

/// Sends bytes and returns all that the listener answers until it closes.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // The listener may close before it has read everything.
    drop(stream.write_all(bytes).await);
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> Result<String> {
    let mut answer = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut answer))
        .await
        .context("the listener kept the connection")?;
    drop(read);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

async fn metrics_of(site: &Site) -> Result<String> {
    let operators = site.entries[0].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{operators}/metrics"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    let answer = site.client.send(request).await?;
    assert_eq!(answer.status, 200);
    Ok(String::from_utf8(answer.body.to_vec())?)
}

/// Returns the refusals that were counted, once there is one.
async fn refused(site: &Site, listener: &str, reason: &str) -> Result<u64> {
    let prefix =
        format!("cyclamentrail_refused_total{{listener=\"{listener}\",reason=\"{reason}\"}} ");
    let until = tokio::time::Instant::now() + PATIENCE;
    loop {
        let text = metrics_of(site).await?;
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

/// Waits until exactly this many refusals are counted; a connection is counted when it has ended.
async fn wait_refused(site: &Site, listener: &str, reason: &str, expected: u64) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if refused(site, listener, reason).await? == expected {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let counted = refused(site, listener, reason).await?;
    bail!("{counted} refusals counted, not {expected}")
}

async fn assert_alive(site: &Site) -> Result<()> {
    let answer = site.call(0, "checks", "alive").await?;
    assert_eq!(answer.outcome, "answered");
    Ok(())
}

#[rstest]
#[case::callers("callers")]
#[case::peers("peers")]
#[case::operators("operators")]
#[tokio::test]
async fn garbage_refused(#[case] listener: &str) -> Result<()> {
    let site = start().await?;
    let address = site.entries[0].address(listener)?;
    let answer = exchange(address, b"\x00\xff\x01 no http at all\r\n\r\n").await?;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    wait_refused(&site, listener, "malformed", 1).await?;
    assert_alive(&site).await
}

#[rstest]
#[case::callers("callers")]
#[case::operators("operators")]
#[tokio::test]
async fn large_header(#[case] listener: &str) -> Result<()> {
    let site = start().await?;
    let address = site.entries[0].address(listener)?;
    let header = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
        "b".repeat(60_000)
    );
    let answer = exchange(address, header.as_bytes()).await?;
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer:?}");
    wait_refused(&site, listener, "header_size", 1).await?;
    assert_alive(&site).await
}

#[rstest]
#[case::callers("callers")]
#[case::peers("peers")]
#[tokio::test]
async fn slow_header(#[case] listener: &str) -> Result<()> {
    let site = start().await?;
    let address = site.entries[0].address(listener)?;
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"GET /v1/services/checks/x HTTP/1.1\r\nhost: ")
        .await?;
    let dripping = async {
        while stream.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(PATIENCE, dripping)
        .await
        .context("the listener waits for ever")?;
    wait_refused(&site, listener, "header_timeout", 1).await?;
    assert_alive(&site).await
}

/// A body is streamed on, so that a request with a key, whose body is read whole first, was
/// definitely not run, and the outcome of one without is unknown.
#[rstest]
#[case::plain("", "x-outcome: not-run")]
#[case::keyed("idempotency-key: slow\r\n", "x-outcome: not-run")]
#[tokio::test]
async fn slow_body(#[case] header: &str, #[case] outcome: &str) -> Result<()> {
    let site = start().await?;
    let callers = site.entries[0].address("callers")?;
    let request = format!(
        "POST /v1/services/checks/x HTTP/1.1\r\nhost: x\r\nx-call-id: slow\r\n{header}content-length: 100\r\n\r\nhalf"
    );
    let answer = exchange(callers, request.as_bytes()).await?;
    assert!(answer.contains(outcome), "{answer:?}");
    assert!(!site.runs().await.contains_key("slow"));
    assert_alive(&site).await
}

#[tokio::test]
async fn large_body() -> Result<()> {
    let site = start().await?;
    let callers = site.entries[0].address("callers")?;
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{callers}/v1/services/checks/x"))
        .header("x-call-id", "large")
        .body(Full::from(vec![b'x'; 2 * 1024 * 1024]))?;
    let answer = site.client.send(request).await?;
    assert_eq!((answer.status, answer.outcome.as_str()), (413, "not-run"));
    assert!(!site.runs().await.contains_key("large"));
    Ok(())
}

#[tokio::test]
async fn many_connections() -> Result<()> {
    let site = start().await?;
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
    wait_refused(&site, "peers", "connections", refusals as u64).await?;
    assert_alive(&site).await
}

#[tokio::test]
async fn many_requests() -> Result<()> {
    let site = start().await?;
    let callers = site.entries[0].address("callers")?;
    let path = "/v1/services/checks/x?work_ms=1500";
    let calls = (0..5).map(|_| site.client.get(callers, path));
    let answers = futures_util::future::try_join_all(calls).await?;
    let refused_calls = answers
        .iter()
        .filter(|answer| answer.status == 503 && answer.outcome == "not-run")
        .count();
    assert_eq!(refused_calls, 3, "{answers:?}");
    wait_refused(&site, "callers", "requests", 3).await?;
    assert_alive(&site).await
}

#[rstest]
#[case::state("operators", "/state")]
#[case::metrics("operators", "/metrics")]
#[case::ping("peers", "/v1/peer/ping")]
#[tokio::test]
async fn token_needed(#[case] listener: &str, #[case] path: &str) -> Result<()> {
    let site = start().await?;
    let address = site.entries[0].address(listener)?;
    for authorization in ["", "Bearer wrong-token", "test-token", "Bearer "] {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .header("authorization", authorization)
            .body(Full::default())?;
        assert_eq!(site.client.send(request).await?.status, 401);
    }
    wait_refused(&site, listener, "token", 4).await?;
    Ok(())
}

#[tokio::test]
async fn callers_reach_none() -> Result<()> {
    let site = start().await?;
    let callers = site.entries[0].address("callers")?;
    for path in ["/state", "/metrics", "/v1/settings", "/v1/peer/ping"] {
        assert_eq!(site.client.get(callers, path).await?.status, 404);
    }
    Ok(())
}
