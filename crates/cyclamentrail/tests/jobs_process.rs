//! Jobs through separate processes on a stand-in of the users' platform.

use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_testkit::JobSite;
use hyper::{Method, StatusCode};

#[tokio::test]
async fn through_two() -> Result<()> {
    let site = JobSite::start(2, 2, 300).await?;
    site.submit(0, "00000000000000a1", 4).await?;
    site.submit(1, "00000000000000a2", 4).await?;
    for id in ["00000000000000a1", "00000000000000a2"] {
        site.wait_completed(0, id).await?;
        site.wait_completed(1, id).await?;
        site.check_once(id, 4)?;
    }
    let (status, _) = site
        .call(0, Method::GET, "00000000000000ff", String::new())
        .await?;
    assert_eq!(status, StatusCode::GONE);
    Ok(())
}

#[tokio::test]
async fn owner_killed() -> Result<()> {
    let mut site = JobSite::start(2, 3, 1_500).await?;
    site.submit(0, "00000000000000b1", 6).await?;
    site.wait_begun("00000000000000b1").await?;
    // Whichever owned the service, both are replaced in turn.
    for index in 0..2 {
        drop(site.nodes.remove(0));
        site.add_node(&format!("m{index}"))?;
        site.submit(1, &format!("00000000000000c{index}"), 2)
            .await?;
    }
    for id in ["00000000000000b1", "00000000000000c0", "00000000000000c1"] {
        site.wait_completed(0, id).await?;
    }
    site.check_once("00000000000000b1", 6)
}

#[tokio::test]
async fn store_gone() -> Result<()> {
    let site = JobSite::start(2, 2, 2_000).await?;
    site.submit(0, "00000000000000d1", 4).await?;
    site.wait_begun("00000000000000d1").await?;
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.set_down(false);
    site.wait_completed(1, "00000000000000d1").await?;
    site.check_once("00000000000000d1", 4)
}

/// After an outage the group is dealt anew; each shard changed its owner, once or more.
#[tokio::test]
async fn owners_kept() -> Result<()> {
    let site = JobSite::start(3, 2, 300).await?;
    site.submit(0, "00000000000000d2", 2).await?;
    site.wait_completed(0, "00000000000000d2").await?;
    // Longer than the time after which shards are shared out evenly.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let claims = site.store.count("keyed.owners");
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.submit(1, "00000000000000d3", 2).await?;
    site.wait_completed(1, "00000000000000d3").await?;
    ensure!(
        site.store.count("keyed.owners") == claims,
        "a shard was claimed again"
    );
    Ok(())
}

#[tokio::test]
async fn late_order() -> Result<()> {
    let site = JobSite::start(1, 1, 300).await?;
    site.submit(0, "00000000000000e0", 1).await?;
    site.wait_completed(0, "00000000000000e0").await?;
    site.workers[0].delay_next_start(2_000);
    site.submit(0, "00000000000000e1", 3).await?;
    site.wait_completed(0, "00000000000000e1").await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.check_once("00000000000000e1", 3)
}

#[tokio::test]
async fn worker_reborn() -> Result<()> {
    let mut site = JobSite::start(1, 1, 3_000).await?;
    site.submit(0, "00000000000000f1", 2).await?;
    site.wait_begun("00000000000000f1").await?;
    drop(site.workers.remove(0));
    site.add_worker("i-0", 300).await?;
    site.wait_completed(0, "00000000000000f1").await?;
    site.check_once("00000000000000f1", 2)
}
