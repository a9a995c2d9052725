//! Crowds of clients whose bodies don't end: a process stays within the memory and the descriptors
//! of its machine and goes on serving others.
//!
//! The tests of this file run one after the other, because each needs the machine for itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::JOB_HOST;
use cyclamentrail_testkit::{JobSite, Process};
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Memory of the machine, in MiB.
const MEMORY_MIB: u64 = 80;
/// Descriptors of the machine.
const MAX_DESCRIPTORS: usize = 1_100;
/// Descriptors of a machine that has few.
const FEW_DESCRIPTORS: usize = 500;
/// Descriptors of the machine that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 262_144;
/// Bytes that a body which isn't completed lacks.
const MISSING_BYTES: usize = 90;
/// One body of so many is completed, where a crowd completes any.
const COMPLETED_EACH: usize = 8;
/// Bodies whose parts are large.
const LARGE_PART_BODIES: usize = 260;
/// Bodies in chunks of one byte.
const SMALL_CHUNK_BODIES: usize = 12;
/// Jobs that wait for an owner, and their steps.
const LONG_JOBS: usize = 60;
const LONG_JOB_STEPS: usize = 20_000;
/// Connections for which a machine with few descriptors has too few.
const MANY_CONNECTIONS: usize = 400;
/// Body of a client that only holds a connection, in bytes.
const SHORT_BODY_BYTES: usize = 4_096;
/// Part of a body in pieces, in bytes.
const PIECE_BYTES: usize = 8_192;
/// Content of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 16_384;
/// Parts of a body that is sent slowly, and the pause between them.
const SLOW_PARTS: usize = 8;
const SLOW_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which a client sends one more byte of a body that stays open.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause of a client that was refused.
const RETURN_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the memory of a process doesn't grow once it has read all that was sent.
const SETTLED_TIME: Duration = Duration::from_secs(4);
/// Longest time that a process takes to read what a crowd sends.
const MAX_READING: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a test waits for a response.
const MAX_WAIT: Duration = Duration::from_secs(30);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// How the clients of a crowd send their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// With a length, at once.
    Whole,
    /// With a length, in pieces.
    Pieces,
    /// In chunks of so many bytes.
    Chunks(usize),
}

impl Shape {
    fn head(self, id: &str, length_bytes: usize) -> String {
        let framing = match self {
            Self::Whole | Self::Pieces => format!("content-length: {length_bytes}"),
            Self::Chunks(_) => String::from("transfer-encoding: chunked"),
        };
        format!("POST /q/{id} HTTP/1.1\r\nhost: {JOB_HOST}\r\n{framing}\r\n\r\n")
    }

    /// Returns the bytes that carry a part of the body.
    fn encode(self, body: &[u8]) -> Vec<u8> {
        let Self::Chunks(chunk_bytes) = self else {
            return body.to_vec();
        };
        let mut encoded = Vec::new();
        for chunk in body.chunks(chunk_bytes) {
            encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded
    }

    /// Returns the bytes that end a body.
    const fn end(self) -> &'static [u8] {
        match self {
            Self::Whole | Self::Pieces => b"",
            Self::Chunks(_) => b"0\r\n\r\n",
        }
    }
}

/// Clients that send bodies.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    shape: Shape,
    count: usize,
    body_bytes: usize,
    /// Whether some of the bodies are completed; else a client that was refused comes again.
    completes_some: bool,
}

/// Starts a site with one process on a machine with little memory.
async fn start_on_small_machine(max_descriptors: usize) -> Result<JobSite> {
    let lines = format!("Limits.MemoryMb={MEMORY_MIB}\nLimits.MaxFds={max_descriptors}\n");
    let mut site = JobSite::start(0, 2, 200).await?.settings(&lines);
    site.add_process("n0")?;
    site.submit(0, "00000000000000a1", 1).await?;
    Ok(site)
}

/// Sends a body, drops `sending`, and keeps the connection open until the process closes it; a body
/// that isn't completed goes on one byte at a time.
async fn send_body(
    address: SocketAddr,
    crowd: Crowd,
    index: usize,
    encoded: Arc<Vec<u8>>,
    sending: mpsc::Sender<()>,
) {
    let shape = crowd.shape;
    let id = format!("{index:016x}");
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let head = shape.head(&id, crowd.body_bytes);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let part_bytes = match shape {
        Shape::Pieces => PIECE_BYTES,
        Shape::Whole | Shape::Chunks(_) => encoded.len(),
    };
    for part in encoded.chunks(part_bytes) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    if crowd.completes_some && index.is_multiple_of(COMPLETED_EACH) {
        let rest = shape.encode(&[b' '; MISSING_BYTES]);
        drop(stream.write_all(&rest).await);
        drop(stream.write_all(shape.end()).await);
    }
    drop(sending);
    for _ in 1..MISSING_BYTES {
        sleep(TRICKLE_INTERVAL).await;
        if stream.write_all(&shape.encode(b" ")).await.is_err() {
            break;
        }
    }
    // The end of a connection is the process's decision.
    drop(stream.read_to_end(&mut Vec::new()).await);
}

/// Sends bodies until the crowd is dropped, a new one whenever the process has closed a connection.
async fn send_again(address: SocketAddr, crowd: Crowd, index: usize, encoded: Arc<Vec<u8>>) {
    loop {
        let (sending, _) = mpsc::channel(1);
        send_body(address, crowd, index, Arc::clone(&encoded), sending).await;
        sleep(RETURN_INTERVAL).await;
    }
}

/// Opens the connections of a crowd and waits until each has sent its body or was closed; they are
/// closed when the result is dropped.
async fn open_crowd(address: SocketAddr, crowd: Crowd) -> JoinSet<()> {
    let sent = vec![b' '; crowd.body_bytes - MISSING_BYTES];
    let encoded = Arc::new(crowd.shape.encode(&sent));
    let (sending, mut all_sent) = mpsc::channel(1);
    let mut clients = JoinSet::new();
    for index in 1..=crowd.count {
        let encoded = Arc::clone(&encoded);
        if crowd.completes_some {
            clients.spawn(send_body(address, crowd, index, encoded, sending.clone()));
        } else {
            clients.spawn(send_again(address, crowd, index, encoded));
        }
    }
    drop(sending);
    drop(timeout(MAX_READING, all_sent.recv()).await);
    clients
}

/// Waits until neither the peak memory of a process nor its largest number of sockets grows any more,
/// and returns the latter.
async fn wait_settled(process: &Process) -> Result<usize> {
    let end = Instant::now() + MAX_READING;
    let (mut peak_kib, mut sockets) = (0, 0);
    let mut grown_at = Instant::now();
    while grown_at.elapsed() < SETTLED_TIME && Instant::now() < end {
        let now_kib = process.peak_memory_kib()?;
        let now_sockets = open_sockets(process.id())?;
        if now_kib > peak_kib || now_sockets > sockets {
            grown_at = Instant::now();
        }
        peak_kib = peak_kib.max(now_kib);
        sockets = sockets.max(now_sockets);
        sleep(POLL_INTERVAL).await;
    }
    Ok(sockets)
}

/// Counts the open sockets of a process.
fn open_sockets(process_id: u32) -> Result<usize> {
    let mut sockets = 0;
    for entry in std::fs::read_dir(format!("/proc/{process_id}/fd"))? {
        // A descriptor may be closed between the two calls.
        if let Ok(target) = std::fs::read_link(entry?.path())
            && target.to_string_lossy().starts_with("socket:")
        {
            sockets += 1;
        }
    }
    Ok(sockets)
}

/// Opens a crowd and checks that the process lives within its machine and serves another client.
async fn check_crowd(crowd: Crowd, max_descriptors: usize) -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start_on_small_machine(max_descriptors).await?;
    let address = site.processes[0].1;
    let clients = open_crowd(address, crowd).await;
    let sockets = wait_settled(&site.processes[0].0).await?;
    let served = site.submit(0, "00000000000000a2", 1).await;
    let exit = site.processes[0].0.try_wait()?;
    ensure!(exit.is_none(), "the process has ended: {exit:?}");
    let peak_kib = site.processes[0].0.peak_memory_kib()?;
    println!("peak memory {peak_kib} KiB, {sockets} sockets, ordinary request {served:?}");
    served?;
    site.wait_completed(0, "00000000000000a2").await?;
    ensure!(
        peak_kib <= MEMORY_MIB * 1024,
        "peak memory of {peak_kib} KiB on a machine of {MEMORY_MIB} MiB"
    );
    let max_sockets = max_descriptors - FILE_DESCRIPTORS;
    ensure!(
        sockets <= max_sockets,
        "{sockets} sockets on a machine with {max_sockets}"
    );
    drop(clients);
    Ok(())
}

/// Checks a crowd whose bodies are as large as the configuration allows.
async fn check_large_bodies(shape: Shape, count: usize) -> Result<()> {
    let crowd = Crowd {
        shape,
        count,
        body_bytes: MAX_BODY_BYTES,
        completes_some: true,
    };
    check_crowd(crowd, MAX_DESCRIPTORS).await
}

#[tokio::test]
async fn whole_bodies_bounded() -> Result<()> {
    check_large_bodies(Shape::Whole, LARGE_PART_BODIES).await
}

#[tokio::test]
async fn bodies_in_pieces_bounded() -> Result<()> {
    check_large_bodies(Shape::Pieces, LARGE_PART_BODIES).await
}

#[tokio::test]
async fn large_chunks_bounded() -> Result<()> {
    check_large_bodies(Shape::Chunks(LARGE_CHUNK_BYTES), LARGE_PART_BODIES).await
}

#[tokio::test]
async fn tiny_chunks_bounded() -> Result<()> {
    check_large_bodies(Shape::Chunks(1), SMALL_CHUNK_BODIES).await
}

/// Callers that hold connections leave descriptors for the process's own calls.
#[tokio::test]
async fn callers_leave_descriptors() -> Result<()> {
    let crowd = Crowd {
        shape: Shape::Whole,
        count: MANY_CONNECTIONS,
        body_bytes: SHORT_BODY_BYTES,
        completes_some: true,
    };
    check_crowd(crowd, FEW_DESCRIPTORS).await
}

/// Bodies of which none ever ends leave connections for other callers.
#[tokio::test]
async fn endless_bodies_leave_connections() -> Result<()> {
    let crowd = Crowd {
        shape: Shape::Chunks(1),
        count: MANY_CONNECTIONS,
        body_bytes: MISSING_BYTES + 1,
        completes_some: false,
    };
    check_crowd(crowd, FEW_DESCRIPTORS).await
}

/// A planned stop ends with a crowd open, and each request on it gets a final response.
#[tokio::test]
async fn stop_ends_with_crowd() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_on_small_machine(FEW_DESCRIPTORS).await?;
    let log = tempfile::NamedTempFile::new()?;
    let (mut process, address) =
        site.start_logged_process("n1", site.store.address(), log.path())?;
    let crowd = Crowd {
        shape: Shape::Whole,
        count: MANY_CONNECTIONS,
        body_bytes: SHORT_BODY_BYTES,
        completes_some: true,
    };
    let clients = open_crowd(address, crowd).await;
    process.terminate()?;
    let end = Instant::now() + MAX_WAIT;
    while process.try_wait()?.is_none() {
        ensure!(Instant::now() < end, "the process doesn't exit");
        sleep(POLL_INTERVAL).await;
    }
    drop(clients);
    while !std::fs::read_to_string(log.path())?.contains("requests_cut=0") {
        ensure!(Instant::now() < end, "requests were cut");
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Jobs of thousands of steps take many times their bodies once they are decoded, and wait at a process
/// that their owner doesn't reply to.
#[tokio::test]
async fn long_jobs_bounded() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start_on_small_machine(MAX_DESCRIPTORS).await?;
    site.add_process("n1")?;
    site.submit(1, "00000000000000a3", 1).await?;
    site.processes[0].0.pause()?;
    let steps = vec![r#"{"Count":1}"#; LONG_JOB_STEPS].join(",");
    let body = format!(r#"{{"Spec":"x","Steps":[{steps}]}}"#);
    let submissions = (0..LONG_JOBS).map(|index| {
        let id = format!("{:016x}", index + 0xb000);
        let (site, body) = (&site, body.clone());
        async move { site.call(1, Method::POST, &id, body).await }
    });
    let responses = futures_util::future::join_all(submissions).await;
    site.processes[0].0.resume()?;
    let peak_kib = site.processes[1].0.peak_memory_kib()?;
    println!("peak memory {peak_kib} KiB, {responses:.60?}");
    ensure!(
        site.processes[1].0.try_wait()?.is_none(),
        "the process has ended"
    );
    ensure!(
        peak_kib <= MEMORY_MIB * 1024,
        "peak memory of {peak_kib} KiB on a machine of {MEMORY_MIB} MiB"
    );
    site.submit(1, "00000000000000a4", 1).await
}

/// Returns the body of a job of one task, padded to a length.
fn job_body(length_bytes: usize) -> Vec<u8> {
    let job = r#"{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":200}]}"#;
    let mut body = Vec::from(job);
    body.resize(length_bytes.max(job.len()), b' ');
    body
}

/// Sends a job's body in parts with a pause between two of them, and returns the status of the
/// response.
async fn submit_raw(
    address: SocketAddr,
    shape: Shape,
    id: &str,
    parts: &[&[u8]],
    pause: Duration,
) -> Result<StatusCode> {
    let mut stream = TcpStream::connect(address).await?;
    let length_bytes = parts.iter().map(|part| part.len()).sum();
    let head = shape.head(id, length_bytes);
    stream.write_all(head.as_bytes()).await?;
    for part in parts {
        stream.write_all(&shape.encode(part)).await?;
        sleep(pause).await;
    }
    stream.write_all(shape.end()).await?;
    let mut response = vec![0; 1_024];
    let length = timeout(MAX_WAIT, stream.read(&mut response)).await??;
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    let status = text.split_whitespace().nth(1);
    Ok(status.context("closed without a response")?.parse()?)
}

/// Submits until the job is accepted: a response may be late on a busy machine.
async fn check_accepted(shape: Shape, body: &[u8], parts: usize, pause: Duration) -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_on_small_machine(MAX_DESCRIPTORS).await?;
    let address = site.processes[0].1;
    let parts: Vec<&[u8]> = body.chunks(body.len().div_ceil(parts)).collect();
    let end = Instant::now() + MAX_WAIT;
    loop {
        let status = submit_raw(address, shape, "00000000000000b1", &parts, pause).await?;
        println!("status {status}");
        if status == StatusCode::OK {
            break;
        }
        ensure!(status == StatusCode::GATEWAY_TIMEOUT, "{status}");
        ensure!(Instant::now() < end, "never accepted in time");
    }
    site.wait_completed(0, "00000000000000b1").await?;
    site.check_done_once("00000000000000b1", 1)
}

/// The largest body that the configuration allows, in chunks of one byte, with no other client.
#[tokio::test]
async fn lone_tiny_chunks_served() -> Result<()> {
    check_accepted(
        Shape::Chunks(1),
        &job_body(MAX_BODY_BYTES),
        1,
        Duration::ZERO,
    )
    .await
}

/// A body that goes on without end gets a final response, and is never submitted.
#[tokio::test]
async fn endless_body_refused() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = JobSite::start(0, 1, 200)
        .await?
        .settings("Callers.MaxBodyMs=1500\n");
    site.add_process("n0")?;
    site.submit(0, "00000000000000a1", 1).await?;
    let id = "00000000000000b2";
    let mut stream = TcpStream::connect(site.processes[0].1).await?;
    let head = Shape::Whole.head(id, MAX_BODY_BYTES);
    stream.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    let end = Instant::now() + MAX_WAIT;
    while response.is_empty() && Instant::now() < end {
        // The process may have closed the connection after its response.
        drop(stream.write_all(b" ").await);
        drop(timeout(SLOW_PAUSE, stream.read_buf(&mut response)).await);
    }
    let text = String::from_utf8(response)?;
    ensure!(text.starts_with("HTTP/1.1 503"), "{text:?}");
    ensure!(text.contains("retry-after: "), "{text:?}");
    let (status, _) = site.call(0, Method::GET, id, String::new()).await?;
    ensure!(status == StatusCode::GONE, "{status}");
    Ok(())
}

/// A body that comes slowly, with no other client.
#[tokio::test]
async fn lone_slow_body_served() -> Result<()> {
    check_accepted(Shape::Pieces, &job_body(200), SLOW_PARTS, SLOW_PAUSE).await
}
