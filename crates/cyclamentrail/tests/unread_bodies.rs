//! A request that needs no body is answered without waiting for one.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::JOB_HOST;
use cyclamentrail_testkit::JobSite;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time that a test waits for the end of a connection.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Such requests waited for their bodies, which may have been up to the longest one.
#[rstest]
#[case::state("GET /q/00000000000000aa", "410")]
#[case::pending("GET /q/", "200")]
#[case::cancel("DELETE /q/00000000000000aa", "410")]
#[case::other_method("PUT /q/00000000000000aa", "405")]
#[case::no_id("POST /q/x", "404")]
#[case::no_route("POST /none/00000000000000aa", "404")]
#[case::too_long("POST /q/00000000000000aa", "413")]
#[tokio::test]
async fn answered_without_body(#[case] request: &str, #[case] status: &str) -> Result<()> {
    let site = JobSite::start(1, 1, 200).await?;
    site.submit(0, "00000000000000a1", 1).await?;
    site.wait_completed(0, "00000000000000a1").await?;
    let mut stream = TcpStream::connect(site.processes[0].1).await?;
    let head =
        format!("{request} HTTP/1.1\r\nhost: {JOB_HOST}\r\ncontent-length: 300000\r\n\r\nsome");
    stream.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    let closed = timeout(MAX_WAIT, stream.read_to_end(&mut response)).await;
    closed.context("the connection stays open")??;
    let text = String::from_utf8(response)?;
    let sent = text.split_whitespace().nth(1);
    ensure!(sent == Some(status), "{text:?}");
    Ok(())
}
