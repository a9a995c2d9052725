//! Requests with an idempotency key run at most once, whatever fails.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_standin::{BackendFault, LogFault};
use cyclamentrail_testkit::{Answer, Call, Site};
use futures_util::future::{join_all, try_join_all};

/// Longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn until_runs(site: &Site, call_id: &str) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    while site.runs_of(call_id).await == 0 {
        ensure!(Instant::now() < until, "{call_id} never ran");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends a call through an entry until it is answered.
async fn until_answered(site: &Site, entry: usize, path: &str, call: &Call) -> Result<Answer> {
    let until = Instant::now() + PATIENCE;
    loop {
        let answer = site.post(entry, path, call).await?;
        if answer.outcome == "answered" {
            return Ok(answer);
        }
        ensure!(Instant::now() < until, "never answered: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn one_run() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").body("hold the crowd");
    let path = "checks/work?work_ms=300";
    let posts = (0..12).map(|number| site.post(number % 3, path, &call));
    let answers = try_join_all(posts).await?;
    for answer in &answers {
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
        assert_eq!(answer.body, answers[0].body);
        assert_eq!(answer.call_id, "warn");
    }
    assert_eq!(answers.iter().filter(|answer| !answer.replayed).count(), 1);
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn other_body() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("first").key("k1").body("hold");
    assert_eq!(
        site.post(0, "checks/work", &call).await?.outcome,
        "answered"
    );
    let other = Call::new("second").key("k1").body("open");
    let answer = site.post(1, "checks/work", &other).await?;
    assert_eq!((answer.status, answer.outcome.as_str()), (422, "not-run"));
    assert_eq!(answer.reason, "key-reused");
    assert_eq!(site.runs_of("second").await, 0);
    Ok(())
}

#[tokio::test]
async fn owner_killed() -> Result<()> {
    let mut site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(10_000);
    let path = "checks/work?work_ms=5000";
    let lost = tokio::select! {
        answer = site.post(0, path, &call) => answer.is_err(),
        ran = until_runs(&site, "warn") => { ran?; true }
    };
    assert!(lost);
    site.entries[0].kill()?;
    let retry = call.clone().deadline_ms(2_000);
    for entry in [1, 2, 1] {
        let answer = site.post(entry, path, &retry).await?;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
    }
    let gone = until_reason(&site, 1, path, &retry, "owner-gone").await?;
    assert_eq!(gone.outcome, "unknown");
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

/// Sends a call until it ends for a reason.
async fn until_reason(
    site: &Site,
    entry: usize,
    path: &str,
    call: &Call,
    reason: &str,
) -> Result<Answer> {
    let until = Instant::now() + PATIENCE;
    loop {
        let answer = site.post(entry, path, call).await?;
        if answer.reason == reason {
            return Ok(answer);
        }
        ensure!(Instant::now() < until, "not {reason}: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn lost_appends() -> Result<()> {
    let site = Site::builder().start().await?;
    site.set_log_fault(LogFault::LoseAnswers).await?;
    let calls: Vec<Call> = (0..8)
        .map(|number| Call::new(&format!("warn-{number}")).key(&format!("k{number}")))
        .collect();
    let posts = calls.iter().map(|call| site.post(0, "checks/work", call));
    let told = try_join_all(posts).await?;
    for (number, answer) in told.iter().enumerate() {
        let runs = site.runs_of(&format!("warn-{number}")).await;
        let most = u32::from(answer.outcome != "not-run");
        assert!(runs <= most, "told {} and ran {runs} times", answer.outcome);
    }
    site.set_log_fault(LogFault::None).await?;
    let retries = calls
        .iter()
        .map(|call| until_answered(&site, 1, "checks/work", call));
    try_join_all(retries).await?;
    for number in 0..8 {
        assert_eq!(site.runs_of(&format!("warn-{number}")).await, 1);
    }
    Ok(())
}

#[tokio::test]
async fn log_outage() -> Result<()> {
    let site = Site::builder().start().await?;
    let before = Call::new("before").key("k1");
    let first = site.post(0, "checks/work", &before).await?;
    assert_eq!(first.outcome, "answered");
    let again = until_answered(&site, 1, "checks/work", &before).await?;
    assert!(again.replayed);
    site.set_log_fault(LogFault::Down).await?;
    let asked = Instant::now();
    let during = Call::new("during").key("k2").deadline_ms(30_000);
    let refused = site.post(0, "checks/work", &during).await?;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "log-down")
    );
    assert!(refused.retry_after_s.is_some());
    assert!(
        asked.elapsed() < Duration::from_secs(5),
        "{:?}",
        asked.elapsed()
    );
    let replayed = site.post(1, "checks/work", &before).await?;
    assert_eq!((replayed.body, replayed.replayed), (first.body, true));
    site.set_log_fault(LogFault::None).await?;
    until_answered(&site, 1, "checks/work", &during).await?;
    assert_eq!(site.runs_of("before").await, 1);
    assert_eq!(site.runs_of("during").await, 1);
    Ok(())
}

#[tokio::test]
async fn log_hangs() -> Result<()> {
    let site = Site::builder().start().await?;
    let hang = LogFault::Slow { delay_ms: 600_000 };
    site.set_log_fault(hang).await?;
    // The last answer of the log is older than the lease now.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let asked = Instant::now();
    let call = Call::new("during").key("k1").deadline_ms(30_000);
    let refused = site.post(0, "checks/work", &call).await?;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "log-down")
    );
    assert!(
        asked.elapsed() < Duration::from_secs(1),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(site.runs_of("during").await, 0);
    Ok(())
}

#[tokio::test]
async fn outage_peer() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(20_000);
    let path = "checks/work?work_ms=1500";
    let first = site.post(0, path, &call);
    let outage = async {
        until_runs(&site, "warn").await?;
        // The other entry has folded the claim before the log goes.
        let early = site.post(1, path, &call.clone().deadline_ms(300)).await?;
        assert_eq!(
            (early.outcome.as_str(), early.reason.as_str()),
            ("unknown", "still-running")
        );
        site.set_log_fault(LogFault::Down).await?;
        site.post(1, path, &call).await
    };
    let (first, again) = tokio::join!(first, outage);
    let (first, again) = (first?, again?);
    assert_eq!(first.outcome, "answered");
    assert_eq!((again.body, again.replayed), (first.body, true));
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn paused_owner() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let path = "checks/work";
    let call = Call::new("warn").key("k1").deadline_ms(1_500);
    // The claim is on its way to the log while its owner stops.
    site.set_log_fault(LogFault::Slow { delay_ms: 400 }).await?;
    let paused = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.entries[0].pause()?;
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.set_log_fault(LogFault::None).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let told = join_all([1, 2].map(|entry| site.post(entry, path, &call))).await;
        site.entries[0].resume()?;
        anyhow::Ok(told)
    };
    let (first, told) = tokio::join!(site.post(0, path, &call), paused);
    let mut told = told?;
    told.push(first);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let runs = site.runs_of("warn").await;
    assert!(runs <= 1, "ran {runs} times");
    let answered = told
        .iter()
        .flatten()
        .filter(|answer| answer.outcome == "answered");
    assert!(answered.count() <= runs as usize, "{told:?}");
    let again = site.post(1, path, &call).await?;
    assert_ne!(again.outcome, "not-run", "{again:?}");
    assert!(site.runs_of("warn").await <= 1);
    Ok(())
}

#[tokio::test]
async fn evicted_owner() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let call = Call::new("warn").key("k1").deadline_ms(30_000);
    let path = "checks/work?work_ms=1000";
    let evicted = async {
        until_runs(&site, "warn").await?;
        site.entries[0].pause()?;
        let retry = call.clone().deadline_ms(1_000);
        let gone = until_reason(&site, 1, path, &retry, "owner-gone").await;
        site.entries[0].resume()?;
        gone
    };
    let (first, gone) = tokio::join!(site.post(0, path, &call), evicted);
    let (first, gone) = (first?, gone?);
    // Its own caller may have been answered by the one run; the others are never told otherwise.
    assert!(
        ["answered", "unknown"].contains(&first.outcome.as_str()),
        "{first:?}"
    );
    assert_eq!(gone.outcome, "unknown");
    site.wait_ready(0).await?;
    for entry in 0..3 {
        let again = site.post(entry, path, &call).await?;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn refused_runs_later() -> Result<()> {
    let site = Site::builder().start().await?;
    set_faults(&site, BackendFault::Refuse).await?;
    let call = Call::new("warn").key("k1");
    let refused = site.post(0, "checks/work", &call).await?;
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(site.runs_of("warn").await, 0);
    set_faults(&site, BackendFault::None).await?;
    until_answered(&site, 1, "checks/work", &call).await?;
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

async fn set_faults(site: &Site, fault: BackendFault) -> Result<()> {
    for backend in site.backends.values() {
        let address = backend.address("")?;
        site.client
            .post_json(address, "/_standin/fault", None, &fault)
            .await?;
    }
    Ok(())
}

#[tokio::test]
async fn large_answer() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("render").key("k1");
    let path = "renders/answers?kind=chunked&bytes=300000";
    let first = site.post(0, path, &call).await?;
    assert_eq!(
        (first.outcome.as_str(), first.body.len()),
        ("answered", 300_000)
    );
    for entry in [1, 0] {
        let again = until_answered(&site, entry, path, &call).await?;
        assert_eq!((again.body.len(), again.replayed), (300_000, true));
    }
    assert_eq!(site.runs_of("render").await, 1);
    Ok(())
}

#[tokio::test]
async fn gone_caller() -> Result<()> {
    let site = Site::builder().start().await?;
    let call = Call::new("warn").key("k1");
    let path = "checks/work?work_ms=500";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        ran = until_runs(&site, "warn") => ran?,
    }
    let again = until_answered(&site, 1, path, &call).await?;
    assert!(again.replayed);
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn gone_midway() -> Result<()> {
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
    let again = until_answered(&site, 1, path, &call).await?;
    assert_eq!((again.body.len(), again.replayed), (320_000, true));
    assert_eq!(site.runs_of("render").await, 1);
    Ok(())
}
