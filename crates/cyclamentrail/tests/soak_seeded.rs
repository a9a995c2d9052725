//! Soaks of separate processes with fixed seeds; CONTRIBUTING.md tells how more seeds are played.
//!
//! Seeds that once failed stay: in 13, 17, 30 and 40 an owner that went on after a pause showed a job
//! as running that the next owner had shown as completed; in 30 the pause was shorter than 2 s. In
//! 204 and 215 the soak didn't restart crashed workers at the end, and a task went on crashing others.

use std::time::Duration;

use anyhow::Result;
use cyclamentrail_testkit::Soak;
use rstest::rstest;

/// Seed of the run with compound faults.
const COMPOUND_SEED: u64 = 5_901;

async fn check_soak(soak: Soak) -> Result<()> {
    let report = soak.duration(Duration::from_secs(20)).run().await?;
    assert!(
        report.violations.is_empty(),
        "{:#?}\nlogs: {}",
        report.violations,
        report.logs.display()
    );
    assert!(report.accepted_jobs > 0, "no job was accepted");
    Ok(())
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_kept(#[values(13, 17, 30, 40, 204, 215)] seed: u64) -> Result<()> {
    check_soak(Soak::new(seed)).await
}

/// Late calls that the next incarnation of a worker carries out, and other compound faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn compound_faults_survived() -> Result<()> {
    check_soak(Soak::new(COMPOUND_SEED).compound_faults()).await
}
