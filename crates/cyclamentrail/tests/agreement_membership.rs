//! Membership and the fleet duty with separate entry processes that are killed, paused or cut off
//! from the log.

use std::time::Duration;

use anyhow::{Context, Result};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Forwarder, Site};
use serde_json::{Value, json};

/// Longest time until another entry takes over the duty of a lost holder.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(5);
/// Time after which a leaving backend server gets no new work.
const LEAVING_DELAY: Duration = Duration::from_secs(2);
/// Time limit of waits for conditions that have no limit of their own.
const MAX_WAIT: Duration = Duration::from_secs(20);

fn duty_holder(state: &Value) -> u64 {
    state["fleet"]["duty"]["holder"]
        .as_u64()
        .unwrap_or_default()
}

fn members(state: &Value) -> Vec<u64> {
    let pairs = state["fleet"]["members"].as_array();
    pairs
        .into_iter()
        .flatten()
        .filter_map(|member| member[0].as_u64())
        .collect()
}

async fn incarnation(site: &Site, entry: usize) -> Result<u64> {
    let state = site.state(entry).await?;
    state["incarnation"].as_u64().context("no incarnation")
}

async fn find_holder(site: &Site) -> Result<usize> {
    site.wait_state(0, MAX_WAIT, |state| duty_holder(state) != 0)
        .await?;
    let holder_incarnation = duty_holder(&site.state(0).await?);
    for entry in 0..site.entries.len() {
        if incarnation(site, entry).await? == holder_incarnation {
            return Ok(entry);
        }
    }
    anyhow::bail!("the holder {holder_incarnation} is no entry")
}

#[tokio::test]
async fn killed_holder_replaced() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    let holder_entry = find_holder(&site).await?;
    let former = incarnation(&site, holder_entry).await?;
    let other = (holder_entry + 1) % 3;
    site.entries[holder_entry].kill()?;
    let takeover_time = site
        .wait_state(other, MAX_TAKEOVER_TIME, |state| {
            duty_holder(state) != former && duty_holder(state) != 0
        })
        .await?;
    println!("duty taken over after {takeover_time:?}");
    site.wait_state(other, MAX_WAIT, |state| !members(state).contains(&former))
        .await?;
    Ok(())
}

#[tokio::test]
async fn paused_holder_rejoins() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let holder_entry = find_holder(&site).await?;
    let former = incarnation(&site, holder_entry).await?;
    let other = (holder_entry + 1) % 3;
    site.entries[holder_entry].pause()?;
    site.wait_state(other, MAX_TAKEOVER_TIME, |state| {
        duty_holder(state) != former && duty_holder(state) != 0
    })
    .await?;
    site.wait_state(other, MAX_WAIT, |state| !members(state).contains(&former))
        .await?;
    let next_holder = duty_holder(&site.state(other).await?);
    site.entries[holder_entry].resume()?;
    site.wait_state(holder_entry, MAX_WAIT, |state| {
        state["incarnation"].as_u64() != Some(former) && state["may_dispatch"] == true
    })
    .await?;
    let resumed_state = site.state(holder_entry).await?;
    assert_eq!(
        duty_holder(&resumed_state),
        next_holder,
        "the paused holder took the duty back"
    );
    assert_eq!(members(&resumed_state).len(), 3);
    let response = site.call(holder_entry, "checks", "after-pause").await?;
    assert_eq!(response.outcome, "answered");
    Ok(())
}

/// A duty holder that can't reach the log loses the duty, but stays a member and keeps dispatching.
#[tokio::test]
async fn cut_off_holder_replaced() -> Result<()> {
    let mut site = Site::builder().entries(0).instances(4).start().await?;
    let log_proxy = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": log_proxy.address()}});
    site.start_entry_with("e1", &patch)?;
    site.wait_ready(0).await?;
    let cut_off = incarnation(&site, 0).await?;
    site.wait_state(0, MAX_WAIT, |state| duty_holder(state) == cut_off)
        .await?;
    for (entry, name) in [(1, "e2"), (2, "e3")] {
        site.start_entry(name)?;
        site.wait_ready(entry).await?;
    }
    log_proxy.set_cut(true);
    site.wait_state(1, MAX_TAKEOVER_TIME, |state| duty_holder(state) != cut_off)
        .await?;
    let response = site.call(0, "checks", "cut-off").await?;
    assert_eq!(response.outcome, "answered");
    assert!(members(&site.state(1).await?).contains(&cut_off));
    Ok(())
}

#[tokio::test]
async fn last_entry_evicts() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let former = incarnation(&site, 0).await?;
    site.entries[0].kill()?;
    site.wait_state(1, MAX_WAIT, |state| !members(state).contains(&former))
        .await?;
    Ok(())
}

#[tokio::test]
async fn outage_keeps_dispatching() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    site.set_log_fault(LogFault::Down).await?;
    for entry in 0..3 {
        site.wait_state(entry, MAX_WAIT, |state| state["log_reached"] == false)
            .await?;
    }
    for number in 0..60 {
        let response = site
            .call(number % 3, "checks", &format!("call-{number}"))
            .await?;
        assert_eq!(response.outcome, "answered", "call {number}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// An entry that reaches neither the log nor its peers stops dispatching.
#[tokio::test]
async fn lone_entry_stops() -> Result<()> {
    let mut site = Site::builder().entries(3).instances(4).start().await?;
    site.set_log_fault(LogFault::Down).await?;
    site.entries[1].kill()?;
    site.entries[2].kill()?;
    site.wait_state(0, MAX_WAIT, |state| state["may_dispatch"] == false)
        .await?;
    let response = site.call(0, "checks", "alone").await?;
    assert_eq!(response.outcome, "not-run");
    Ok(())
}

/// An entry that can't reach the log gets a change from its peers and rejects own ones.
#[tokio::test]
async fn peers_send_records() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let log_proxy = Forwarder::start(site.log.address("")?).await?;
    let patch = json!({"platform": {"log_address": log_proxy.address()}});
    site.start_entry_with("e3", &patch)?;
    site.wait_ready(2).await?;
    log_proxy.set_cut(true);
    site.wait_state(2, MAX_WAIT, |state| state["log_reached"] == false)
        .await?;
    let change = json!({"worker": {"cores": 5}});
    let accepted = site.change_settings(0, "test", None, &change).await?;
    assert_eq!(accepted.status, 204);
    site.wait_state(2, Duration::from_secs(3), |state| {
        state["settings_version"] == 2
    })
    .await?;
    let response = site.call(2, "checks", "cut-off").await?;
    assert_eq!(response.outcome, "answered");
    let refused = site.change_settings(2, "test", None, &change).await?;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after_s.is_some());
    Ok(())
}

/// An entry that reaches neither the log nor the list learns only from its peers that a backend
/// server is drained.
#[tokio::test]
async fn peers_send_drain() -> Result<()> {
    let mut site = Site::builder().entries(2).instances(4).start().await?;
    let log_proxy = Forwarder::start(site.log.address("")?).await?;
    let list_proxy = Forwarder::start(site.list.address("")?).await?;
    let platform =
        json!({"log_address": log_proxy.address(), "list_address": list_proxy.address()});
    site.start_entry_with("e3", &json!({"platform": platform}))?;
    site.wait_ready(2).await?;
    log_proxy.set_cut(true);
    list_proxy.set_cut(true);
    site.wait_state(2, MAX_WAIT, |state| state["log_reached"] == false)
        .await?;
    site.mark_leaving("w01").await?;
    tokio::time::sleep(LEAVING_DELAY).await;
    let runs_before = site.backend_report("w01").await?.runs.len();
    for number in 0..20 {
        let response = site.call(2, "checks", &format!("cut-{number}")).await?;
        assert_eq!(response.outcome, "answered");
    }
    assert_eq!(site.backend_report("w01").await?.runs.len(), runs_before);
    Ok(())
}
