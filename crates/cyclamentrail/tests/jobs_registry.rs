//! Entries of another writer among the registrations of workers: they name no worker, and cost nothing
//! else.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::JOB_SERVICE;
use cyclamentrail_testkit::JobSite;
use rstest::rstest;
use serde_json::{Value, json};

const TOPIC: &str = "keyed.servers";
/// Depth of nested lists at which a decoder that recurses for each runs out of its stack.
const DEEP: usize = 200_000;
/// Time in which each owner has read the entries.
const READ_TIME: Duration = Duration::from_secs(1);

/// Returns a registration as a worker writes it.
fn registration() -> Value {
    json!({
        "Service": JOB_SERVICE, "Address": "127.0.0.1:9", "Zone": "z", "State": "ready",
        "Capacity": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0}, "Labels": ["a", "r1"],
        "ClockMs": 5, "born": 9,
    })
}

/// Returns the text of a registration with another value of one field.
fn with_field(field: &str, value: &str) -> Vec<u8> {
    replace_field(registration(), field, value)
}

fn replace_field(mut entry: Value, field: &str, value: &str) -> Vec<u8> {
    entry[field] = json!("odd");
    entry.to_string().replace("\"odd\"", value).into_bytes()
}

fn deep() -> String {
    "[".repeat(DEEP)
}

/// The process that reads an odd entry must not end, nor stop following the list: a worker that
/// registers afterwards is used.
#[rstest]
#[case::deep(deep().into_bytes())]
#[case::deep_known_field(with_field("Labels", &deep()))]
#[case::deep_unknown_field(with_field("More", &deep()))]
#[case::float_too_large(with_field("ClockMs", "1e999"))]
#[case::whole_too_large(with_field("ClockMs", "99999999999999999999999999"))]
#[case::clock_at_limit(with_field("ClockMs", "18446744073709551615"))]
#[case::start_at_limit(with_field("born", "18446744073709551615"))]
#[case::warmup_at_limit(with_field("ColdRemainingMs", "18446744073709551615"))]
#[case::capacity_at_limit(with_field(
    "Capacity",
    r#"{"Cpu":18446744073709551615,"MemMb":18446744073709551615,"Gpu":18446744073709551615}"#
))]
#[case::negative(with_field("Capacity", r#"{"Cpu":-1}"#))]
#[case::port_too_large(with_field("Address", "\"127.0.0.1:70000\""))]
#[case::port_missing(with_field("Address", "\"127.0.0.1\""))]
#[case::not_text(vec![0xff, 0xfe, 0x00])]
#[tokio::test]
async fn odd_entry_costs_itself(#[case] odd: Vec<u8>) -> Result<()> {
    let mut site = JobSite::start(1, 0, 200).await?;
    site.store.put_bytes(TOPIC, "odd-1", odd.clone());
    site.add_worker("i-0", 200).await?;
    site.submit(0, "00000000000000a1", 3).await?;
    site.store.put_bytes(TOPIC, "odd-2", odd);
    tokio::time::sleep(READ_TIME).await;
    site.add_worker("i-1", 200).await?;
    site.submit(0, "00000000000000a2", 3).await?;
    for id in ["00000000000000a1", "00000000000000a2"] {
        site.wait_completed(0, id).await?;
        site.check_done_once(id, 3)?;
    }
    ensure!(
        site.processes[0].0.try_wait()?.is_none(),
        "the process ended"
    );
    Ok(())
}

/// An odd entry under the id of a worker that runs mustn't keep it out once the worker writes its own
/// again.
#[rstest]
#[case::start_at_limit("born", "18446744073709551615")]
#[case::start_in_years("born", "9999999999999")]
#[case::clock_at_limit("ClockMs", "18446744073709551615")]
#[case::deep("Labels", &deep())]
#[case::port_too_large("Address", "\"127.0.0.1:70000\"")]
#[tokio::test]
async fn odd_entry_replaced(#[case] field: &str, #[case] value: &str) -> Result<()> {
    let site = JobSite::start(1, 1, 200).await?;
    site.submit(0, "00000000000000b1", 2).await?;
    site.wait_completed(0, "00000000000000b1").await?;
    let own = site.store.newest(TOPIC, "i-0").context("no entry")?;
    let odd = replace_field(serde_json::from_slice(&own)?, field, value);
    site.store.put_bytes(TOPIC, "i-0", odd);
    tokio::time::sleep(READ_TIME).await;
    site.submit(0, "00000000000000b2", 2).await?;
    site.wait_completed(0, "00000000000000b2").await?;
    site.check_done_once("00000000000000b2", 2)
}

/// The same for an entry that has nothing of the worker's own.
#[tokio::test]
async fn foreign_entry_replaced() -> Result<()> {
    let site = JobSite::start(1, 1, 200).await?;
    site.submit(0, "00000000000000c1", 2).await?;
    site.wait_completed(0, "00000000000000c1").await?;
    let odd = with_field("born", "18446744073709551615");
    site.store.put_bytes(TOPIC, "i-0", odd);
    tokio::time::sleep(READ_TIME).await;
    site.submit(0, "00000000000000c2", 2).await?;
    site.wait_completed(0, "00000000000000c2").await?;
    site.check_done_once("00000000000000c2", 2)
}
