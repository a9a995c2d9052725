//! Responses of backend servers that violate HTTP/1.1: the entry must not report a truncated or
//! misplaced response as answered.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_core::{BootId, InstanceName};
use cyclamentrail_platform::{ListedInstance, ListedState};
use cyclamentrail_testkit::{Call, Site};

/// Longest time that a test waits for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Replaces the only instance of pool `checks` by a server that responds to each request with
/// `bytes`.
async fn start_raw_server(
    site: &Site,
    bytes: &'static [u8],
    after_response: AfterResponse,
) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let listed = ListedInstance {
        name: InstanceName::from("w01"),
        address: listener.local_addr()?,
        boot: BootId::new(2),
        state: ListedState::Live,
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_raw(stream, bytes, after_response));
        }
    });
    let list = site.list.address("")?;
    site.client
        .post_json(list, "/_standin/instances", None, &listed)
        .await?;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while site.state(0).await?["links"]["w01"]["boot"] != 2 {
        ensure!(
            Instant::now() < deadline,
            "the entry didn't connect to the raw server"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Treatment of the connection after a raw response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    Close,
    KeepOpen,
}

fn serve_raw(
    mut stream: TcpStream,
    bytes: &[u8],
    after_response: AfterResponse,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 4096];
    while stream.read(&mut buffer)? > 0 {
        stream.write_all(bytes)?;
        if after_response == AfterResponse::Close {
            return Ok(());
        }
    }
    Ok(())
}

#[tokio::test]
async fn unframed_response_unknown() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    start_raw_server(&site, b"HTTP/1.1 200 OK\r\n\r\nhalf", AfterResponse::Close).await?;
    let response = site.post(0, "checks/work", &Call::new("call")).await?;
    assert_eq!(
        (response.outcome.as_str(), response.reason.as_str()),
        ("unknown", "unframed-answer")
    );
    Ok(())
}

#[tokio::test]
async fn garbage_response_unknown() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    start_raw_server(&site, b"no answer at all\r\n\r\n", AfterResponse::Close).await?;
    let response = site.post(0, "checks/work", &Call::new("call")).await?;
    assert_eq!(response.outcome, "unknown", "{response:?}");
    Ok(())
}

/// A server that sends two responses to one request must not have the second one forwarded to the
/// next request on the connection.
#[tokio::test]
async fn surplus_response_dropped() -> Result<()> {
    const TWO_RESPONSES: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
        HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    let site = Site::builder().entries(1).instances(2).start().await?;
    start_raw_server(&site, TWO_RESPONSES, AfterResponse::KeepOpen).await?;
    for _ in 0..5 {
        let response = site.post(0, "checks/work", &Call::new("call")).await?;
        if response.outcome == "answered" {
            assert_eq!(response.body, "first");
        }
    }
    Ok(())
}
