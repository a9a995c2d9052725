//! Membership and the duty in separate processes: kills, pauses and lost connections.

use std::time::Duration;

use anyhow::{Context, Result};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Forwarder, Site};
use serde_json::{Value, json};

/// Longest delay of a duty by the loss of its holder.
const DUTY_DELAY: Duration = Duration::from_secs(5);
/// Time after which a leaving server gets nothing new.
const LEAVING: Duration = Duration::from_secs(2);
/// Longest wait for conditions that have no bound of their own.
const PATIENCE: Duration = Duration::from_secs(20);

fn holder(state: &Value) -> u64 {
    state["fleet"]["duty"]["holder"]
        .as_u64()
        .unwrap_or_default()
}

fn members(state: &Value) -> Vec<u64> {
    let listed = state["fleet"]["members"].as_array();
    listed
        .into_iter()
        .flatten()
        .filter_map(|member| member[0].as_u64())
        .collect()
}

async fn incarnation(site: &Site, entry: usize) -> Result<u64> {
    let state = site.state(entry).await?;
    state["incarnation"].as_u64().context("no incarnation")
}

async fn holding_entry(site: &Site) -> Result<usize> {
    site.wait_state(0, PATIENCE, |state| holder(state) != 0)
        .await?;
    let held = holder(&site.state(0).await?);
    for entry in 0..site.entries.len() {
        if incarnation(site, entry).await? == held {
            return Ok(entry);
        }
    }
    anyhow::bail!("the holder {held} is no entry")
}

#[tokio::test]
async fn holder_killed() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    let first = holding_entry(&site).await?;
    let gone = incarnation(&site, first).await?;
    let other = (first + 1) % 3;
    site.entries[first].kill()?;
    let delay = site
        .wait_state(other, DUTY_DELAY, |state| {
            holder(state) != gone && holder(state) != 0
        })
        .await?;
    println!("duty delayed by {delay:?}");
    site.wait_state(other, PATIENCE, |state| !members(state).contains(&gone))
        .await?;
    Ok(())
}

#[tokio::test]
async fn holder_paused() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let first = holding_entry(&site).await?;
    let gone = incarnation(&site, first).await?;
    let other = (first + 1) % 3;
    site.entries[first].pause()?;
    site.wait_state(other, DUTY_DELAY, |state| {
        holder(state) != gone && holder(state) != 0
    })
    .await?;
    site.wait_state(other, PATIENCE, |state| !members(state).contains(&gone))
        .await?;
    let next = holder(&site.state(other).await?);
    site.entries[first].resume()?;
    site.wait_state(first, PATIENCE, |state| {
        state["incarnation"].as_u64() != Some(gone) && state["may_dispatch"] == true
    })
    .await?;
    let back = site.state(first).await?;
    assert_eq!(holder(&back), next, "the paused holder took the duty back");
    assert_eq!(members(&back).len(), 3);
    let answer = site.call(first, "checks", "after-pause").await?;
    assert_eq!(answer.outcome, "answered");
    Ok(())
}

#[tokio::test]
async fn holder_cut_off() -> Result<()> {
    let mut site = Site::builder().entries(0).instances(4).start().await?;
    let cut = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": cut.address()}});
    site.start_entry_with("e1", &patch)?;
    site.wait_ready(0).await?;
    let first = incarnation(&site, 0).await?;
    site.wait_state(0, PATIENCE, |state| holder(state) == first)
        .await?;
    for (entry, name) in [(1, "e2"), (2, "e3")] {
        site.start_entry(name)?;
        site.wait_ready(entry).await?;
    }
    cut.set_cut(true);
    site.wait_state(1, DUTY_DELAY, |state| holder(state) != first)
        .await?;
    let answer = site.call(0, "checks", "cut-off").await?;
    assert_eq!(answer.outcome, "answered");
    assert!(members(&site.state(1).await?).contains(&first));
    Ok(())
}

#[tokio::test]
async fn last_one_evicts() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let gone = incarnation(&site, 0).await?;
    site.entries[0].kill()?;
    site.wait_state(1, PATIENCE, |state| !members(state).contains(&gone))
        .await?;
    Ok(())
}

#[tokio::test]
async fn outage_goes_on() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    site.set_log_fault(LogFault::Down).await?;
    for entry in 0..3 {
        site.wait_state(entry, PATIENCE, |state| state["log_reached"] == false)
            .await?;
    }
    for number in 0..60 {
        let answer = site
            .call(number % 3, "checks", &format!("call-{number}"))
            .await?;
        assert_eq!(answer.outcome, "answered", "call {number}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

#[tokio::test]
async fn alone_in_outage() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    site.set_log_fault(LogFault::Down).await?;
    site.entries[1].kill()?;
    site.entries[2].kill()?;
    site.wait_state(0, PATIENCE, |state| state["may_dispatch"] == false)
        .await?;
    let answer = site.call(0, "checks", "alone").await?;
    assert_eq!(answer.outcome, "not-run");
    Ok(())
}

#[tokio::test]
async fn cut_off_from_log() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let cut = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": cut.address()}});
    site.start_entry_with("e3", &patch)?;
    site.wait_ready(2).await?;
    cut.set_cut(true);
    site.wait_state(2, PATIENCE, |state| state["log_reached"] == false)
        .await?;
    let change = json!({"worker": {"cores": 5}});
    let accepted = site.change_settings(0, "test", None, &change).await?;
    assert_eq!(accepted.status, 204);
    site.wait_state(2, Duration::from_secs(3), |state| {
        state["settings_version"] == 2
    })
    .await?;
    let answer = site.call(2, "checks", "cut-off").await?;
    assert_eq!(answer.outcome, "answered");
    let refused = site.change_settings(2, "test", None, &change).await?;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after_s.is_some());
    Ok(())
}

/// The entry sees neither the log nor the list; only its peers can tell it.
#[tokio::test]
async fn leaving_told_by_peers() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let log = Forwarder::start(site.log.address("")?).await?;
    let list = Forwarder::start(site.list.address("")?).await?;
    let platform = json!({"log_address": log.address(), "list_address": list.address()});
    site.start_entry_with("e3", &json!({"platform": platform}))?;
    site.wait_ready(2).await?;
    log.set_cut(true);
    list.set_cut(true);
    site.wait_state(2, PATIENCE, |state| state["log_reached"] == false)
        .await?;
    site.mark_leaving("w01").await?;
    tokio::time::sleep(LEAVING).await;
    let before = site.report("w01").await?.runs.len();
    for number in 0..20 {
        let answer = site.call(2, "checks", &format!("cut-{number}")).await?;
        assert_eq!(answer.outcome, "answered");
    }
    assert_eq!(site.report("w01").await?.runs.len(), before);
    Ok(())
}
