//! Answers of backend servers that break the protocol.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_core::{BootId, InstanceName};
use cyclamentrail_platform::{ListedInstance, ListedState};
use cyclamentrail_testkit::{Call, Site};

/// Longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves raw bytes to each request in place of the one instance of pool `checks`.
async fn raw_server(site: &Site, answers: &'static [u8], then: Then) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let listed = ListedInstance {
        name: InstanceName::from("w01"),
        address: listener.local_addr()?,
        boot: BootId::new(2),
        state: ListedState::Live,
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_raw(stream, answers, then));
        }
    });
    let list = site.list.address("")?;
    site.client
        .post_json(list, "/_standin/instances", None, &listed)
        .await?;
    let until = Instant::now() + PATIENCE;
    while site.state(0).await?["links"]["w01"]["boot"] != 2 {
        ensure!(Instant::now() < until, "the entry doesn't see the server");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// What a raw server does after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Close,
    Stay,
}

fn serve_raw(mut stream: TcpStream, answers: &[u8], then: Then) -> std::io::Result<()> {
    let mut buffer = vec![0; 4096];
    while stream.read(&mut buffer)? > 0 {
        stream.write_all(answers)?;
        if then == Then::Close {
            return Ok(());
        }
    }
    Ok(())
}

#[tokio::test]
async fn unframed_unknown() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    raw_server(&site, b"HTTP/1.1 200 OK\r\n\r\nhalf", Then::Close).await?;
    let answer = site.post(0, "checks/work", &Call::new("call")).await?;
    assert_eq!(
        (answer.outcome.as_str(), answer.reason.as_str()),
        ("unknown", "unframed-answer")
    );
    Ok(())
}

#[tokio::test]
async fn garbage_unknown() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    raw_server(&site, b"no answer at all\r\n\r\n", Then::Close).await?;
    let answer = site.post(0, "checks/work", &Call::new("call")).await?;
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    Ok(())
}

#[tokio::test]
async fn late_dropped() -> Result<()> {
    const TWICE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
        HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    let site = Site::builder().entries(1).instances(2).start().await?;
    raw_server(&site, TWICE, Then::Stay).await?;
    for _ in 0..5 {
        let answer = site.post(0, "checks/work", &Call::new("call")).await?;
        if answer.outcome == "answered" {
            assert_eq!(answer.body, "first");
        }
    }
    Ok(())
}
