//! What an owner that gives up its shard tells its successor of the owners before it.
//!
//! An owner that was released has stopped acting. One before it may not know yet that it was replaced,
//! and extend leases for as long as its last confirmation allows. Its successor counts that; a release
//! soon after the takeover hands on what is left of it.

use super::{Now, Shard};
use crate::record::{KeyedRecord, RELEASE_KEY, ReleaseRecord, decode, encode};

impl Shard {
    /// Returns for how long an owner before this one may still act, in milliseconds.
    #[must_use]
    pub const fn earlier_acts_ms(&self, now: Now) -> u64 {
        self.earlier_act_until_ms.saturating_sub(now.boot_ms)
    }

    /// Returns the time until which an owner before this one may act, as in [`Now::boot_ms`].
    #[must_use]
    pub const fn earlier_act_until_ms(&self) -> u64 {
        self.earlier_act_until_ms
    }

    /// Returns the record by which the owner gives up the shard, which follows its last commit.
    #[must_use]
    pub fn release_record(&self, now: Now) -> KeyedRecord {
        let release = ReleaseRecord {
            token: self.tokens.own,
            earlier_acts_ms: Some(self.earlier_acts_ms(now)),
        };
        KeyedRecord {
            key: RELEASE_KEY.to_owned(),
            value: encode(&release),
        }
    }

    /// Returns a release record if it is that of the previous owner, which then has recorded each lease
    /// that may last longer than a grant.
    pub(super) fn read_release(&self, value: &[u8]) -> Option<ReleaseRecord> {
        decode::<ReleaseRecord>(value)
            .ok()
            .filter(|release| self.tokens.previous == Some(release.token))
    }
}
