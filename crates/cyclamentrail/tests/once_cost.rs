//! What an idempotency key costs: records counted, times reported.

use std::time::{Duration, Instant};

use anyhow::Result;
use cyclamentrail_testkit::{Call, Site};
use futures_util::future::try_join_all;

const ROUNDS: u32 = 10;
/// Time for the last records of a round to be folded.
const SETTLE: Duration = Duration::from_millis(200);
const CALLERS: u32 = 8;
/// Records of the log that a keyed request may cost: its claim and its outcome.
const RECORDS_PER_KEY: u64 = 2;

async fn next_offset(site: &Site) -> Result<u64> {
    let state = site.state(0).await?;
    Ok(state["fleet"]["next_offset"].as_u64().unwrap_or_default())
}

/// How a request is kept from running twice.
#[derive(Debug, Clone, Copy)]
enum Way {
    Plain,
    Claim,
    Ticket,
}

async fn key_of(site: &Site, way: Way, name: &str) -> Result<Option<String>> {
    match way {
        Way::Plain => Ok(None),
        Way::Claim => Ok(Some(name.to_owned())),
        Way::Ticket => {
            let address = site.entries[0].address("callers")?;
            let minted = site.client.post_json(address, "/v1/tickets", None, &());
            let ticket: serde_json::Value = serde_json::from_slice(&minted.await?.body)?;
            Ok(ticket["idempotency_key"].as_str().map(str::to_owned))
        }
    }
}

async fn round(site: &Site, round: u32, way: Way) -> Result<Vec<f64>> {
    let calls = (0..CALLERS).map(|caller| async move {
        let name = format!("call-{way:?}-{round}-{caller}");
        let mut call = Call::new(&name);
        if let Some(key) = key_of(site, way, &name).await? {
            call = call.key(&key);
        }
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
    let mut times_ms = [const { Vec::new() }; 3];
    let mut records = [0; 3];
    for number in 0..ROUNDS {
        for (index, way) in [Way::Plain, Way::Claim, Way::Ticket]
            .into_iter()
            .enumerate()
        {
            let before = next_offset(&site).await?;
            times_ms[index].extend(round(&site, number, way).await?);
            tokio::time::sleep(SETTLE).await;
            records[index] += next_offset(&site).await? - before;
        }
    }
    for part in [50, 99] {
        let [plain, claim, ticket] = times_ms.each_mut().map(|times| quantile(times, part));
        println!("p{part}: {plain:.1} ms plain, {claim:.1} ms claimed, {ticket:.1} ms ticket");
    }
    println!("records: {records:?}");
    // The duty and the members write a few records of their own.
    let [_, claim, ticket] = records;
    let keys = u64::from(ROUNDS * CALLERS);
    assert!(claim <= keys * RECORDS_PER_KEY + 20, "{claim} records");
    assert!(ticket <= 20, "{ticket} records");
    Ok(())
}
