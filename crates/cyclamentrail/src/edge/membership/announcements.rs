//! Announcements by which processes on larger machines make themselves known.
//!
//! The store lists a group's members only if they hold partitions, and moves partitions as little as
//! it can. A process that joins a group of many members may therefore hold none and stay unseen.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use super::MemberName;
use crate::edge::clocks::boot_ms;

/// Time for which an announcement counts after it was received, in milliseconds; longer than the
/// interval at which it is repeated.
const VALID_MS: u64 = 3_000;

/// Announcements that this process has received, by the name of the machine.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    received: Mutex<HashMap<String, Announcement>>,
}

#[derive(Debug, Clone)]
struct Announcement {
    member: MemberName,
    /// Boot time in milliseconds at which it was received.
    received_ms: u64,
}

impl Announcements {
    /// Records an announcement that has just been received.
    pub(crate) fn record(&self, member: MemberName) {
        let announcement = Announcement {
            member,
            received_ms: boot_ms(),
        };
        self.received
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(announcement.member.machine.clone(), announcement);
    }

    /// Returns the processes whose announcements still count.
    pub(crate) fn members(&self) -> Vec<MemberName> {
        let now_ms = boot_ms();
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received
            .values()
            .filter(|announcement| now_ms < announcement.received_ms + VALID_MS)
            .map(|announcement| announcement.member.clone())
            .collect()
    }
}
