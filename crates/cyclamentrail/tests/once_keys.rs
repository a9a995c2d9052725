//! Of all requests with one idempotency key at most one runs, under failures of entries, callers,
//! backend servers and the log.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_standin::{BackendFault, LogFault};
use cyclamentrail_testkit::{Call, ClientResponse, Site};
use futures_util::future::{join_all, try_join_all};

/// Longest time that a test waits for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn wait_for_run(site: &Site, call_id: &str) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while site.run_count(call_id).await == 0 {
        ensure!(Instant::now() < deadline, "{call_id} did not run");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Repeats a call through an entry until its outcome is `answered`.
async fn repeat_until_answered(
    site: &Site,
    entry: usize,
    path: &str,
    call: &Call,
) -> Result<ClientResponse> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let response = site.post(entry, path, call).await?;
        if response.outcome == "answered" {
            return Ok(response);
        }
        ensure!(
            Instant::now() < deadline,
            "not answered in time: {response:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn repeats_run_once() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").body("hold the crowd");
    let path = "checks/work?work_ms=300";
    let posts = (0..12).map(|number| site.post(number % 3, path, &call));
    let responses = try_join_all(posts).await?;
    for response in &responses {
        assert_eq!(
            (response.status, response.outcome.as_str()),
            (200, "answered")
        );
        assert_eq!(response.body, responses[0].body);
        assert_eq!(response.call_id, "warn");
    }
    assert_eq!(
        responses
            .iter()
            .filter(|response| !response.replayed)
            .count(),
        1
    );
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn reused_key_refused() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("first").key("k1").body("hold");
    assert_eq!(
        site.post(0, "checks/work", &call).await?.outcome,
        "answered"
    );
    let other = Call::new("second").key("k1").body("open");
    let response = site.post(1, "checks/work", &other).await?;
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (422, "not-run")
    );
    assert_eq!(response.reason, "key-reused");
    assert_eq!(site.run_count("second").await, 0);
    Ok(())
}

/// The entry that runs the request is killed. No other entry may run it, and all report the outcome
/// as unknown.
#[tokio::test]
async fn killed_owner_unknown() -> Result<()> {
    let mut site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(10_000);
    let path = "checks/work?work_ms=5000";
    let interrupted = tokio::select! {
        response = site.post(0, path, &call) => response.is_err(),
        ran = wait_for_run(&site, "warn") => { ran?; true }
    };
    assert!(interrupted);
    site.entries[0].kill()?;
    let retry = call.clone().deadline_ms(2_000);
    for entry in [1, 2, 1] {
        let response = site.post(entry, path, &retry).await?;
        assert_eq!(response.outcome, "unknown", "{response:?}");
    }
    let gone = repeat_until_reason(&site, 1, path, &retry, "owner-gone").await?;
    assert_eq!(gone.outcome, "unknown");
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

/// Repeats a call until its outcome has the given reason.
async fn repeat_until_reason(
    site: &Site,
    entry: usize,
    path: &str,
    call: &Call,
    reason: &str,
) -> Result<ClientResponse> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let response = site.post(entry, path, call).await?;
        if response.reason == reason {
            return Ok(response);
        }
        ensure!(
            Instant::now() < deadline,
            "the reason is not {reason}: {response:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The log appends records but its responses are lost, so that no entry knows of its claim.
#[tokio::test]
async fn lost_appends_run_once() -> Result<()> {
    let site = Site::builder().start().await?;
    site.set_log_fault(LogFault::LoseResponses).await?;
    let calls: Vec<Call> = (0..8)
        .map(|number| Call::new(&format!("warn-{number}")).key(&format!("k{number}")))
        .collect();
    let posts = calls.iter().map(|call| site.post(0, "checks/work", call));
    let responses = try_join_all(posts).await?;
    for (number, response) in responses.iter().enumerate() {
        let runs = site.run_count(&format!("warn-{number}")).await;
        let max_runs = u32::from(response.outcome != "not-run");
        assert!(
            runs <= max_runs,
            "reported {} and ran {runs} times",
            response.outcome
        );
    }
    site.set_log_fault(LogFault::None).await?;
    let retries = calls
        .iter()
        .map(|call| repeat_until_answered(&site, 1, "checks/work", call));
    try_join_all(retries).await?;
    for number in 0..8 {
        assert_eq!(site.run_count(&format!("warn-{number}")).await, 1);
    }
    Ok(())
}

#[tokio::test]
async fn outage_replays_only() -> Result<()> {
    let site = Site::builder().start().await?;
    let before = Call::new("before").key("k1");
    let first = site.post(0, "checks/work", &before).await?;
    assert_eq!(first.outcome, "answered");
    let repeated = repeat_until_answered(&site, 1, "checks/work", &before).await?;
    assert!(repeated.replayed);
    site.set_log_fault(LogFault::Down).await?;
    let started = Instant::now();
    let during = Call::new("during").key("k2").deadline_ms(30_000);
    let refused = site.post(0, "checks/work", &during).await?;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "log-down")
    );
    assert!(refused.retry_after_s.is_some());
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "{:?}",
        started.elapsed()
    );
    let replayed = site.post(1, "checks/work", &before).await?;
    assert_eq!((replayed.body, replayed.replayed), (first.body, true));
    site.set_log_fault(LogFault::None).await?;
    repeat_until_answered(&site, 1, "checks/work", &during).await?;
    assert_eq!(site.run_count("before").await, 1);
    assert_eq!(site.run_count("during").await, 1);
    Ok(())
}

#[tokio::test]
async fn hanging_log_refuses_keys() -> Result<()> {
    let site = Site::builder().start().await?;
    let hang = LogFault::Slow { delay_ms: 600_000 };
    site.set_log_fault(hang).await?;
    // The last confirmation by the log is now older than the lease.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    let call = Call::new("during").key("k1").deadline_ms(30_000);
    let refused = site.post(0, "checks/work", &call).await?;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "log-down")
    );
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(site.run_count("during").await, 0);
    Ok(())
}

/// During a log outage an entry gets the outcome of a run from the entry that runs it.
#[tokio::test]
async fn outage_outcome_from_peer() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(20_000);
    let path = "checks/work?work_ms=1500";
    let first = site.post(0, path, &call);
    let outage = async {
        wait_for_run(&site, "warn").await?;
        // The other entry folds the claim before the log fails.
        let early = site.post(1, path, &call.clone().deadline_ms(300)).await?;
        assert_eq!(
            (early.outcome.as_str(), early.reason.as_str()),
            ("unknown", "still-running")
        );
        site.set_log_fault(LogFault::Down).await?;
        site.post(1, path, &call).await
    };
    let (first, repeated) = tokio::join!(first, outage);
    let (first, repeated) = (first?, repeated?);
    assert_eq!(first.outcome, "answered");
    assert_eq!((repeated.body, repeated.replayed), (first.body, true));
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

/// An entry is paused between its claim and its run, and resumes after other entries got
/// the same key.
#[tokio::test]
async fn paused_owner_runs_once() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let path = "checks/work";
    let call = Call::new("warn").key("k1").deadline_ms(1_500);
    // The owner is paused while the append of its claim is in progress.
    site.set_log_fault(LogFault::Slow { delay_ms: 400 }).await?;
    let pause = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.entries[0].pause()?;
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.set_log_fault(LogFault::None).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let responses = join_all([1, 2].map(|entry| site.post(entry, path, &call))).await;
        site.entries[0].resume()?;
        anyhow::Ok(responses)
    };
    let (first, responses) = tokio::join!(site.post(0, path, &call), pause);
    let mut responses = responses?;
    responses.push(first);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let runs = site.run_count("warn").await;
    assert!(runs <= 1, "ran {runs} times");
    let answered = responses
        .iter()
        .flatten()
        .filter(|response| response.outcome == "answered");
    assert!(answered.count() <= runs as usize, "{responses:?}");
    let repeated = site.post(1, path, &call).await?;
    assert_ne!(repeated.outcome, "not-run", "{repeated:?}");
    assert!(site.run_count("warn").await <= 1);
    Ok(())
}

/// An entry is paused during a run until the members evict it. Its late outcome must not contradict
/// the unknown one that others have reported.
#[tokio::test]
async fn evicted_owner_unknown() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(30_000);
    let path = "checks/work?work_ms=1000";
    let eviction = async {
        wait_for_run(&site, "warn").await?;
        site.entries[0].pause()?;
        let retry = call.clone().deadline_ms(1_000);
        let gone = repeat_until_reason(&site, 1, path, &retry, "owner-gone").await;
        site.entries[0].resume()?;
        gone
    };
    let (first, gone) = tokio::join!(site.post(0, path, &call), eviction);
    let (first, gone) = (first?, gone?);
    // The first caller may get the response of the one run; every repetition gets `unknown`.
    assert!(
        ["answered", "unknown"].contains(&first.outcome.as_str()),
        "{first:?}"
    );
    assert_eq!(gone.outcome, "unknown");
    site.wait_ready(0).await?;
    for entry in 0..3 {
        let repeated = site.post(entry, path, &call).await?;
        assert_eq!(repeated.outcome, "unknown", "{repeated:?}");
    }
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn refused_key_runs_later() -> Result<()> {
    let site = Site::builder().start().await?;
    set_backend_faults(&site, BackendFault::Refuse).await?;
    let call = Call::new("warn").key("k1");
    let refused = site.post(0, "checks/work", &call).await?;
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(site.run_count("warn").await, 0);
    set_backend_faults(&site, BackendFault::None).await?;
    repeat_until_answered(&site, 1, "checks/work", &call).await?;
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

async fn set_backend_faults(site: &Site, fault: BackendFault) -> Result<()> {
    for backend in site.backends.values() {
        let address = backend.address("")?;
        site.client
            .post_json(address, "/_standin/fault", None, &fault)
            .await?;
    }
    Ok(())
}

#[tokio::test]
async fn large_response_replayed() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("render").key("k1");
    let path = "renders/answers?kind=chunked&bytes=300000";
    let first = site.post(0, path, &call).await?;
    assert_eq!(
        (first.outcome.as_str(), first.body.len()),
        ("answered", 300_000)
    );
    for entry in [1, 0] {
        let repeated = repeat_until_answered(&site, entry, path, &call).await?;
        assert_eq!((repeated.body.len(), repeated.replayed), (300_000, true));
    }
    assert_eq!(site.run_count("render").await, 1);
    Ok(())
}

#[tokio::test]
async fn disconnect_completes_run() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("warn").key("k1");
    let path = "checks/work?work_ms=500";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        ran = wait_for_run(&site, "warn") => ran?,
    }
    let repeated = repeat_until_answered(&site, 1, path, &call).await?;
    assert!(repeated.replayed);
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

/// The caller disconnects while it receives the body, and the recorded response is complete all the
/// same.
#[tokio::test]
async fn disconnect_in_body_recorded() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("render").key("k1").deadline_ms(20_000);
    let path = "renders/answers?kind=chunked&bytes=320000&pause_ms=50";
    let address = site.entries[0].address("callers")?;
    let request = format!(
        "POST /v1/services/{path} HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\
         X-Call-Id: render\r\nIdempotency-Key: k1\r\nX-Request-Deadline-Ms: 20000\r\n\r\n"
    );
    let mut caller = std::net::TcpStream::connect(address)?;
    caller.write_all(request.as_bytes())?;
    let mut head = [0; 12];
    tokio::task::spawn_blocking(move || caller.read_exact(&mut head)).await??;
    let repeated = repeat_until_answered(&site, 1, path, &call).await?;
    assert_eq!((repeated.body.len(), repeated.replayed), (320_000, true));
    assert_eq!(site.run_count("render").await, 1);
    Ok(())
}
