//! Follows the claims in the store, which tell which process owns which shard, and the
//! announcements of processes on larger machines and the queues of each service, which stand in the
//! same topic.

use std::collections::HashMap;
use std::sync::Arc;

use cyclamentrail_adapter::{Append, StoreError, StoredRecord, keyed_topic};
use cyclamentrail_jobs::ReadTimes;

use super::membership::MemberName;
use super::process_state::{Claim, KnownOwner, ProcessState};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the claims.
pub(super) const TOPIC: &str = "owners";
/// Prefix of the keys of announcements; no shard has such a name.
const ANNOUNCEMENT_PREFIX: &str = "~member/";
/// Time that one read waits for new claims, in milliseconds.
const READ_WAIT_MS: u64 = 3_000;

/// Reads claims until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    let mut topic = TopicReader::new(TOPIC, ReadTimes::waiting(READ_WAIT_MS));
    loop {
        match topic.read(&process.store).await {
            TopicRead::Snapshot(records) => {
                apply_claims(&process, records);
                process.queue_directory.mark_read();
            }
            TopicRead::Update(records) => {
                // The announcements of a snapshot may be old, those of an update are new.
                record_announcements(&process, &records);
                apply_claims(&process, records);
            }
        }
        // Only now: the records of the read are applied.
        process.queue_directory.set_position(topic.position());
    }
}

/// Claims a shard for this process and returns the fencing token of the claim.
///
/// # Errors
///
/// Returns the store's error if the claim wasn't appended, or its outcome is unknown.
pub(crate) async fn claim(process: &ProcessState, shard: &str) -> Result<u64, StoreError> {
    let claim = Claim {
        node: process.settings.machine_name.clone(),
        address: process.settings.internal_listener,
    };
    // Serializing this type to memory can't fail.
    let value = rmp_serde::to_vec(&claim).unwrap_or_default();
    let records = [(shard.to_owned(), value)];
    let topic = keyed_topic(TOPIC);
    let append = Append {
        topic: &topic,
        records: &records,
        writer: None,
    };
    let appended = process.store.append(append).await?;
    // Tokens start at 1, because a worker treats a missing token as 0.
    let token = appended.first_offset + 1;
    apply_claim(process, shard, KnownOwner { claim, token });
    Ok(token)
}

/// Announces this process to the others, which may not see it in the group.
///
/// # Errors
///
/// Returns the store's error if the announcement may not have been appended.
pub(crate) async fn announce(process: &ProcessState) -> Result<(), StoreError> {
    let member = process.member_name();
    let key = format!("{ANNOUNCEMENT_PREFIX}{}", member.machine);
    let topic = keyed_topic(TOPIC);
    let append = Append {
        topic: &topic,
        records: &[(key, member.to_string().into_bytes())],
        writer: None,
    };
    process.store.append(append).await.map(|_appended| ())
}

fn record_announcements(process: &ProcessState, records: &[StoredRecord]) {
    let announced = records
        .iter()
        .filter(|record| record.key.starts_with(ANNOUNCEMENT_PREFIX))
        .filter_map(|record| MemberName::parse(std::str::from_utf8(&record.value).ok()?));
    for member in announced {
        process.announcements.record(member);
    }
}

/// Reads the newest claim of each shard, so that the previous owner of a shard is known for sure.
///
/// # Errors
///
/// Returns the store's error if the claims weren't read.
pub(crate) async fn refresh(process: &ProcessState) -> Result<(), StoreError> {
    let page = process.store.read_all_newest(&keyed_topic(TOPIC)).await?;
    apply_claims(process, page.records);
    process.queue_directory.mark_read();
    Ok(())
}

fn apply_claims(process: &ProcessState, records: Vec<StoredRecord>) {
    let claims = records
        .into_iter()
        .filter(|record| !record.key.starts_with(ANNOUNCEMENT_PREFIX))
        .filter(|record| !process.queue_directory.apply(record));
    for record in claims {
        match rmp_serde::from_slice::<Claim>(&record.value) {
            Ok(claim) => {
                let token = record.offset + 1;
                apply_claim(process, &record.key, KnownOwner { claim, token });
            }
            Err(error) => {
                log::warn!(shard = record.key, offset = record.offset, error:% = error; "claim_unreadable");
            }
        }
    }
}

/// Records a claim unless a claim with a higher token is known.
fn apply_claim(process: &ProcessState, shard: &str, owner: KnownOwner) {
    let insert_newer = |owners: &mut HashMap<String, KnownOwner>| {
        let is_newer = owners
            .get(shard)
            .is_none_or(|known| known.token < owner.token);
        if is_newer {
            log::info!(shard, owner = owner.claim.node, token = owner.token; "owner_known");
            owners.insert(shard.to_owned(), owner);
        }
        is_newer
    };
    process.owners.send_if_modified(insert_newer);
}
