//! Responses to requests that are open when their process stops.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::JOB_HOST;
use cyclamentrail_testkit::{Forwarder, JobSite, Process};
use hyper::{Method, StatusCode};
use rstest::rstest;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Longest time that a process may take to exit after SIGTERM.
const MAX_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Job that requests ask for.
const ID: &str = "00000000000000a1";
/// Settings line of a deployment whose grace period is shorter than a request may wait.
const SHORT_GRACE: &str = "Bounds.GraceS=2\n";
/// Time in which a process has surely taken a signal or a request.
const SIGNAL_TIME: Duration = Duration::from_millis(200);

/// A site whose processes write their output to files.
struct LoggedSite {
    site: JobSite,
    folder: TempDir,
}

impl LoggedSite {
    /// Starts a worker and processes `n0`, `n1` and so on, of which the first owns the service.
    async fn start(processes: usize, settings: &str) -> Result<Self> {
        let site = JobSite::start(0, 1, 200).await?.settings(settings);
        let folder = tempfile::tempdir()?;
        let mut logged = Self { site, folder };
        for index in 0..processes {
            let name = format!("n{index}");
            let log = logged.folder.path().join(&name);
            let store = logged.site.store.address();
            let started = logged.site.start_logged_process(&name, store, &log)?;
            logged.site.processes.push(started);
            logged
                .site
                .submit(index, &format!("{index:016x}"), 1)
                .await?;
        }
        Ok(logged)
    }

    fn process(&mut self, index: usize) -> &mut Process {
        &mut self.site.processes[index].0
    }

    /// Waits until a process has exited, and returns its `stopped` line.
    async fn stopped_line(&mut self, index: usize) -> Result<String> {
        let end = Instant::now() + MAX_WAIT;
        while self.process(index).try_wait()?.is_none() {
            ensure!(Instant::now() < end, "the process doesn't exit");
            sleep(POLL_INTERVAL).await;
        }
        let path = self.folder.path().join(format!("n{index}"));
        loop {
            let log = std::fs::read_to_string(&path)?;
            if let Some(line) = log.lines().find(|line| line.contains("event=stopped")) {
                return Ok(line.to_owned());
            }
            ensure!(Instant::now() < end, "no line of the exit: {log}");
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A process that exits tells how many requests it has cut.
#[tokio::test]
async fn cut_requests_told() -> Result<()> {
    let mut logged = LoggedSite::start(1, SHORT_GRACE).await?;
    logged.process(0).terminate()?;
    let line = logged.stopped_line(0).await?;
    assert!(line.contains("requests_cut=0"), "{line}");
    Ok(())
}

/// A request on a connection of its own.
struct OpenCall {
    stream: TcpStream,
}

impl OpenCall {
    async fn send(logged: &LoggedSite, process: usize, text: &str) -> Result<Self> {
        let mut stream = TcpStream::connect(logged.site.processes[process].1).await?;
        stream.write_all(text.as_bytes()).await?;
        Ok(Self { stream })
    }

    /// Reads until the process closes the connection, and returns the response's status.
    async fn status(mut self) -> Result<StatusCode> {
        let mut response = Vec::new();
        timeout(MAX_WAIT, self.stream.read_to_end(&mut response)).await??;
        let text = String::from_utf8(response)?;
        let status = text.split_whitespace().nth(1);
        Ok(status.context("closed without a response")?.parse()?)
    }
}

fn request(method: &Method, length_bytes: usize) -> String {
    format!(
        "{method} /q/{ID} HTTP/1.1\r\nhost: {JOB_HOST}\r\ncontent-length: {length_bytes}\r\n\r\n"
    )
}

/// A request for a service whose owner doesn't reply was cut when its process exited before the
/// request's deadline.
#[rstest]
#[case::before_signal(false)]
#[case::after_signal(true)]
#[tokio::test]
async fn unanswered_call_told(#[case] is_late: bool) -> Result<()> {
    let mut logged = LoggedSite::start(2, SHORT_GRACE).await?;
    logged.process(0).pause()?;
    if is_late {
        logged.process(1).terminate()?;
        sleep(SIGNAL_TIME).await;
    }
    let call = OpenCall::send(&logged, 1, &request(&Method::GET, 0)).await?;
    sleep(SIGNAL_TIME).await;
    if !is_late {
        logged.process(1).terminate()?;
    }
    let status = call.status().await?;
    logged.process(0).resume()?;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    let line = logged.stopped_line(1).await?;
    assert!(line.contains("requests_cut=0"), "{line}");
    Ok(())
}

/// A request that waited for an owner when the signal came was cut on a short grace period.
#[tokio::test]
async fn ownerless_request_refused() -> Result<()> {
    let mut logged = LoggedSite::start(2, SHORT_GRACE).await?;
    logged.process(0).kill()?;
    let call = OpenCall::send(&logged, 1, &request(&Method::GET, 0)).await?;
    sleep(SIGNAL_TIME).await;
    logged.process(1).terminate()?;
    let status = call.status().await;
    let line = logged.stopped_line(1).await?;
    assert_eq!(status?, StatusCode::SERVICE_UNAVAILABLE);
    assert!(line.contains("requests_cut=0"), "{line}");
    Ok(())
}

/// A request whose body was still arriving at the exit was cut.
#[tokio::test]
async fn unread_body_refused() -> Result<()> {
    let mut logged = LoggedSite::start(1, SHORT_GRACE).await?;
    let call = OpenCall::send(&logged, 0, &request(&Method::POST, 100)).await?;
    sleep(SIGNAL_TIME).await;
    logged.process(0).terminate()?;
    assert_eq!(call.status().await?, StatusCode::SERVICE_UNAVAILABLE);
    let line = logged.stopped_line(0).await?;
    assert!(line.contains("requests_cut=0"), "{line}");
    Ok(())
}

/// The final responses keep to grace periods of any length.
#[rstest]
#[case::tiny("Bounds.GraceS=0.3\n", 300)]
#[case::second("Bounds.GraceS=1\n", 1_000)]
#[case::long("Bounds.GraceS=9\n", 9_000)]
#[tokio::test]
async fn grace_period_kept(#[case] settings: &str, #[case] grace_ms: u64) -> Result<()> {
    let mut logged = LoggedSite::start(1, settings).await?;
    let call = OpenCall::send(&logged, 0, &request(&Method::POST, 100)).await?;
    sleep(SIGNAL_TIME).await;
    logged.process(0).terminate()?;
    let signal_at = Instant::now();
    let status = call.status().await?;
    logged.stopped_line(0).await?;
    assert!(signal_at.elapsed() < Duration::from_millis(grace_ms));
    assert!(status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE);
    Ok(())
}

/// A store that doesn't respond held a stop up for longer than a short grace period.
#[tokio::test]
async fn silent_store_bounded() -> Result<()> {
    let mut logged = LoggedSite::start(0, "Bounds.GraceS=1\n").await?;
    let link = Forwarder::start(logged.site.store.address()).await?;
    let log = logged.folder.path().join("n0");
    let site = &mut logged.site;
    let started = site.start_logged_process("n0", link.address(), &log)?;
    site.processes.push(started);
    site.submit(0, ID, 1).await?;
    link.silence_open();
    logged.process(0).terminate()?;
    let signal_at = Instant::now();
    logged.stopped_line(0).await?;
    assert!(signal_at.elapsed() < Duration::from_secs(1));
    Ok(())
}

/// Requests that come one after the other on kept connections while the listener closes.
#[tokio::test]
async fn closing_listener_answers() -> Result<()> {
    let mut logged = LoggedSite::start(1, SHORT_GRACE).await?;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let address = logged.site.processes[0].1;
        calls.spawn(async move { call_until_closed(address).await });
    }
    sleep(SIGNAL_TIME).await;
    logged.process(0).terminate()?;
    let mut cut = 0;
    while let Some(result) = calls.join_next().await {
        if !result?? {
            cut += 1;
        }
    }
    assert_eq!(
        cut, 0,
        "connections closed after a request without a response"
    );
    Ok(())
}

/// Sends requests until a response says that the connection ends; returns whether each had one.
async fn call_until_closed(address: std::net::SocketAddr) -> Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let mut buffer = vec![0; 4_096];
    loop {
        stream
            .write_all(request(&Method::GET, 0).as_bytes())
            .await?;
        let length = match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(false),
            Ok(length) => length,
        };
        let text = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
        if text.contains("connection: close") {
            return Ok(true);
        }
    }
}
