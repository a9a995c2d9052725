//! What an idempotency key costs: records counted, times reported.

use std::time::Instant;

use anyhow::Result;
use cyclamentrail_testkit::{Call, Site};
use futures_util::future::try_join_all;

const ROUNDS: u32 = 20;
const CALLERS: u32 = 8;
/// Records of the log that a keyed request may cost: its claim and its outcome.
const RECORDS_PER_KEY: u64 = 2;

async fn next_offset(site: &Site) -> Result<u64> {
    let state = site.state(0).await?;
    Ok(state["fleet"]["next_offset"].as_u64().unwrap_or_default())
}

async fn round(site: &Site, round: u32, keyed: bool) -> Result<Vec<f64>> {
    let calls = (0..CALLERS).map(|caller| async move {
        let name = format!("call-{keyed}-{round}-{caller}");
        let call = Call::new(&name);
        let call = if keyed { call.key(&name) } else { call };
        let asked = Instant::now();
        let entry = caller as usize % site.entries.len();
        let answer = site.post(entry, "checks/work?work_ms=5", &call).await?;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        anyhow::Ok(asked.elapsed().as_secs_f64() * 1000.0)
    });
    try_join_all(calls).await
}

fn quantile(times_ms: &mut [f64], part: usize) -> f64 {
    times_ms.sort_by(f64::total_cmp);
    times_ms[(times_ms.len() - 1) * part / 100]
}

#[tokio::test]
async fn records_counted() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let (mut plain, mut keyed) = (Vec::new(), Vec::new());
    let before = next_offset(&site).await?;
    for number in 0..ROUNDS {
        plain.extend(round(&site, number, false).await?);
        keyed.extend(round(&site, number, true).await?);
    }
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let records = next_offset(&site).await? - before;
    let keys = u64::from(ROUNDS * CALLERS);
    for part in [50, 99] {
        let (plain, keyed) = (quantile(&mut plain, part), quantile(&mut keyed, part));
        println!("p{part}: {plain:.1} ms without a key, {keyed:.1} ms with one");
    }
    println!("{records} records for {keys} keys");
    // The duty and the members write a few records of their own.
    assert!(records <= keys * RECORDS_PER_KEY + 20, "{records} records");
    Ok(())
}
