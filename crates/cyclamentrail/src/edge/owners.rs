//! Follows the claims in the store: which process owns which shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{Append, KeyedRow, StoreError, keyed_topic};

use super::node::{Claim, Node, Owner};
use super::topic::{Read, Topic};

/// Topic of the claims.
const TOPIC: &str = "owners";
/// How long one read waits for something new.
const WAIT: Duration = Duration::from_secs(3);
/// Follows the claims for as long as the process runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut topic = Topic::new(TOPIC);
    loop {
        let (Read::All(rows) | Read::More(rows)) = topic.read(&node.store, WAIT).await;
        take(&node, rows);
    }
}

/// Claims a shard for this process; returns its token.
///
/// # Errors
///
/// Returns why the shard may not be claimed.
pub(crate) async fn claim(node: &Node, shard: &str) -> Result<u64, StoreError> {
    let claim = Claim {
        node: node.settings.name.clone(),
        address: node.settings.internal,
    };
    // Writing this type to memory can't fail.
    let value = rmp_serde::to_vec(&claim).unwrap_or_default();
    let records = [(shard.to_owned(), value)];
    let topic = keyed_topic(TOPIC);
    let append = Append {
        topic: &topic,
        records: &records,
        writer: None,
    };
    let appended = node.store.append(append).await?;
    // Tokens begin at 1, because a worker counts a missing one as 0.
    let token = appended.offset + 1;
    take_claim(node, shard, Owner { claim, token });
    Ok(token)
}

/// Reads the newest claims, so that an earlier owner of a shard is surely known.
///
/// # Errors
///
/// Returns why they weren't read.
pub(crate) async fn refresh(node: &Node) -> Result<(), StoreError> {
    let page = node.store.all_newest(&keyed_topic(TOPIC)).await?;
    take(node, page.rows);
    Ok(())
}

fn take(node: &Node, rows: Vec<KeyedRow>) {
    for row in rows {
        match rmp_serde::from_slice::<Claim>(&row.value) {
            Ok(claim) => {
                let token = row.offset + 1;
                take_claim(node, &row.key, Owner { claim, token });
            }
            Err(error) => {
                log::warn!(shard = row.key, offset = row.offset, error:% = error; "claim_unreadable");
            }
        }
    }
}

fn take_claim(node: &Node, shard: &str, owner: Owner) {
    let change = |owners: &mut HashMap<String, Owner>| {
        let is_newer = owners
            .get(shard)
            .is_none_or(|known| known.token < owner.token);
        if is_newer {
            log::info!(shard, owner = owner.claim.node, token = owner.token; "owner_known");
            owners.insert(shard.to_owned(), owner);
        }
        is_newer
    };
    node.owners.send_if_modified(change);
}
