//! Cost of an idempotency key: the test bounds the log records and prints the latencies.

use std::time::{Duration, Instant};

use anyhow::Result;
use cyclamentrail_testkit::{Call, Site};
use futures_util::future::try_join_all;

const ROUNDS: u32 = 10;
/// Pause after a round, in which its last records are folded.
const FOLD_DELAY: Duration = Duration::from_millis(200);
const CALLERS: u32 = 8;
/// Log records of a request with a claimed key: the claim and the outcome.
const RECORDS_PER_CLAIM: u64 = 2;

async fn next_offset(site: &Site) -> Result<u64> {
    let state = site.state(0).await?;
    Ok(state["fleet"]["next_offset"].as_u64().unwrap_or_default())
}

/// Protection of a request against a second run.
#[derive(Debug, Clone, Copy)]
enum Protection {
    Plain,
    Claim,
    Ticket,
}

async fn key_of(site: &Site, protection: Protection, name: &str) -> Result<Option<String>> {
    match protection {
        Protection::Plain => Ok(None),
        Protection::Claim => Ok(Some(name.to_owned())),
        Protection::Ticket => {
            let address = site.entries[0].address("callers")?;
            let request = site.client.post_json(address, "/v1/tickets", None, &());
            let ticket: serde_json::Value = serde_json::from_slice(&request.await?.body)?;
            Ok(ticket["idempotency_key"].as_str().map(str::to_owned))
        }
    }
}

async fn run_round(site: &Site, round: u32, protection: Protection) -> Result<Vec<f64>> {
    let calls = (0..CALLERS).map(|caller| async move {
        let name = format!("call-{protection:?}-{round}-{caller}");
        let mut call = Call::new(&name);
        if let Some(key) = key_of(site, protection, &name).await? {
            call = call.key(&key);
        }
        let started = Instant::now();
        let entry = caller as usize % site.entries.len();
        let response = site.post(entry, "checks/work?work_ms=5", &call).await?;
        assert_eq!(response.outcome, "answered", "{response:?}");
        anyhow::Ok(started.elapsed().as_secs_f64() * 1000.0)
    });
    try_join_all(calls).await
}

fn percentile(times_ms: &mut [f64], percent: usize) -> f64 {
    times_ms.sort_by(f64::total_cmp);
    times_ms[(times_ms.len() - 1) * percent / 100]
}

#[tokio::test]
async fn records_per_key_bounded() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let mut times_ms = [const { Vec::new() }; 3];
    let mut records = [0; 3];
    for number in 0..ROUNDS {
        for (index, protection) in [Protection::Plain, Protection::Claim, Protection::Ticket]
            .into_iter()
            .enumerate()
        {
            let before = next_offset(&site).await?;
            times_ms[index].extend(run_round(&site, number, protection).await?);
            tokio::time::sleep(FOLD_DELAY).await;
            records[index] += next_offset(&site).await? - before;
        }
    }
    for percent in [50, 99] {
        let [plain, claim, ticket] = times_ms.each_mut().map(|times| percentile(times, percent));
        println!("p{percent}: {plain:.1} ms plain, {claim:.1} ms claimed, {ticket:.1} ms ticket");
    }
    println!("records: {records:?}");
    // The duty and the members append a few records of their own, at most 20 in the test.
    let [_, claim, ticket] = records;
    let keys = u64::from(ROUNDS * CALLERS);
    assert!(claim <= keys * RECORDS_PER_CLAIM + 20, "{claim} records");
    assert!(ticket <= 20, "{ticket} records");
    Ok(())
}
