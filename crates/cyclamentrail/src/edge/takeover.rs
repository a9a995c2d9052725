//! Takes over a shard: claims it, fences the previous owner in the store, and reads the records.

use std::time::Duration;

use cyclamentrail_adapter::{Append, StoreError, Writer, keyed_topic};
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{Incumbent, KeyedRecord, Predecessor, RELEASE_KEY, ReleaseRecord, decode};

use super::claims;
use super::clocks::boot_ms;
use super::messages::{OwnerCall, OwnerRequest, Reply};
use super::process_state::{KnownOwner, ProcessState};

/// Pause before a failed call to the store is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time to wait for the previous owner to release the shard.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of taking over a shard.
pub(crate) struct Takeover {
    /// Fencing token for workers, and epoch of the records.
    pub(crate) token: u64,
    /// Fencing token of the previous owner; `None` if there was none.
    pub(crate) previous_token: Option<u64>,
    /// Topic of the shard's records.
    pub(crate) topic: String,
    /// Newest record of each key of the topic.
    pub(crate) records: Vec<KeyedRecord>,
    /// Boot time in milliseconds at which the ownership was last confirmed.
    pub(crate) confirmed_ms: u64,
    /// What is known of the previous owner's end.
    pub(crate) predecessor: Predecessor,
    /// For how long an owner before the previous one may still act, in milliseconds, if the previous
    /// one has told that in another way than by a release record.
    pub(crate) earlier_acts_ms: Option<u64>,
}

/// End of the previous owner, as far as it is known.
struct Release {
    predecessor: Predecessor,
    /// For how long an owner before it may still act, in milliseconds, if it has told that.
    earlier_acts_ms: Option<u64>,
}

impl From<Predecessor> for Release {
    fn from(predecessor: Predecessor) -> Self {
        Self {
            predecessor,
            earlier_acts_ms: None,
        }
    }
}

/// Takes over a shard; retries until it succeeds or another process has claimed the shard since. An
/// `incumbent` that has just been found silent isn't requested to release the shard: callers would wait
/// for its response once more.
///
/// # Errors
///
/// Returns [`StoreError::Fenced`] if another process has fenced the shard with a newer claim.
pub(crate) async fn take_over(
    process: &ProcessState,
    shard: &str,
    incumbent: Incumbent,
) -> Result<Takeover, StoreError> {
    // What is known of the owners before an earlier ownership in this process isn't true of this one.
    let own_earlier_ms = process.earlier_owners.take(shard);
    while let Err(error) = claims::refresh(process).await {
        pause_before_retry(shard, &error).await;
    }
    let earlier = process.owner(shard);
    let token = claim_shard(process, shard).await;
    let topic = keyed_topic(&format!("jobs.{shard}"));
    let confirmed_ms = fence(process, &topic, token).await?;
    let records = loop {
        match process.store.read_all_newest(&topic).await {
            Ok(page) => break page.records,
            Err(error) => pause_before_retry(shard, &error).await,
        }
    };
    let records: Vec<KeyedRecord> = records
        .into_iter()
        .map(|record| KeyedRecord {
            key: record.key,
            value: record.value.to_vec(),
        })
        .collect();
    let release = match &earlier {
        None => Predecessor::Nobody.into(),
        Some(earlier) if has_release_record(&records, earlier.token) => {
            Predecessor::Released.into()
        }
        Some(_) if incumbent == Incumbent::Silent => Predecessor::Unknown.into(),
        // The previous process at this address has exited, or its owner has ended in this process.
        Some(earlier) if earlier.claim.address == process.settings.internal_listener => Release {
            predecessor: Predecessor::Released,
            earlier_acts_ms: own_earlier_ms,
        },
        Some(earlier) => request_release(process, shard, earlier).await,
    };
    let Release {
        predecessor,
        earlier_acts_ms,
    } = release;
    let previous_token = earlier.map(|owner| owner.token);
    log::info!(
        shard, token, earlier = previous_token.unwrap_or(0), predecessor:? = predecessor,
        earlier_acts_ms:? = earlier_acts_ms;
        "shard_claimed"
    );
    Ok(Takeover {
        token,
        previous_token,
        topic,
        records,
        confirmed_ms,
        predecessor,
        earlier_acts_ms,
    })
}

/// Returns whether the previous owner wrote a release record, its last write before it stopped
/// acting.
fn has_release_record(records: &[KeyedRecord], earlier_token: u64) -> bool {
    records
        .iter()
        .filter(|record| record.key == RELEASE_KEY)
        .filter_map(|record| decode::<ReleaseRecord>(&record.value).ok())
        .any(|release| release.token == earlier_token)
}

/// Requests the previous owner to stop; returns what is known of its end.
async fn request_release(process: &ProcessState, shard: &str, earlier: &KnownOwner) -> Release {
    let call = OwnerCall {
        service: ServiceName::from(shard),
        request: OwnerRequest::Release,
    };
    let reply = process
        .peers
        .call(earlier.claim.address, &call, RELEASE_TIMEOUT)
        .await;
    let Ok(Reply::Released {
        confirmed_age_ms,
        earlier_acts_ms,
    }) = reply
    else {
        return Predecessor::Unknown.into();
    };
    let predecessor = match confirmed_age_ms {
        Some(age_ms) => Predecessor::ReleasedAfter {
            // The reply took some time, so that the confirmation is at least that old.
            confirmed_ms: boot_ms().saturating_sub(age_ms),
        },
        None => Predecessor::Released,
    };
    Release {
        predecessor,
        earlier_acts_ms,
    }
}

/// Sequence number of the first append after the fence.
pub(crate) const FIRST_SEQUENCE: u64 = 1;

/// Claims the shard and retries until the claim is appended; returns its token.
async fn claim_shard(process: &ProcessState, shard: &str) -> u64 {
    loop {
        match claims::claim(process, shard).await {
            Ok(token) => return token,
            Err(error) => pause_before_retry(shard, &error).await,
        }
    }
}

/// Raises the topic's epoch to `token` with an append without records, after which the store
/// rejects the appends of earlier owners. Returns the boot time in milliseconds at which the append
/// was sent.
async fn fence(process: &ProcessState, topic: &str, token: u64) -> Result<u64, StoreError> {
    loop {
        let sent_ms = boot_ms();
        let append = Append {
            topic,
            records: &[],
            writer: Some(Writer {
                epoch: token,
                sequence: FIRST_SEQUENCE - 1,
            }),
        };
        match process.store.append(append).await {
            Ok(_) => return Ok(sent_ms),
            Err(StoreError::Fenced) => return Err(StoreError::Fenced),
            Err(error) => pause_before_retry(topic, &error).await,
        }
    }
}

async fn pause_before_retry(what: &str, error: &StoreError) {
    log::debug!(what, error:% = error; "takeover_waits");
    tokio::time::sleep(RETRY_INTERVAL).await;
}
