//! Takes a peer's state over, when records are missing that no peer passes on any more.

use cyclamentrail_core::{Heartbeat, Incarnation};

use super::{Actor, timing_of};

/// Since when this process lacks records that a peer has.
#[derive(Debug, Default)]
pub(super) struct Lag {
    since_ms: Option<u64>,
}

impl Actor {
    /// Takes note of how far a peer is, after the records that it passed on were folded.
    pub(super) fn watch_lag(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let behind = heartbeat.next_offset > self.fleet.next_offset();
        if !behind || !self.lacks_log(now_ms) {
            if !behind {
                self.lag.since_ms = None;
            }
            return;
        }
        let since_ms = *self.lag.since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) > timing_of(self.settings()).lease_ms {
            self.lag.since_ms = Some(now_ms);
            self.ask_state(heartbeat.from);
        }
    }

    /// Returns whether this process can't read the log now.
    pub(super) fn lacks_log(&self, now_ms: u64) -> bool {
        !self.membership.reaches_log(now_ms) || self.parts.control.health().is_down()
    }

    fn ask_state(&self, peer: Incarnation) {
        let Some(address) = self.fleet.member(peer).map(|member| member.peer_address) else {
            return;
        };
        let newer_than = self.fleet.next_offset();
        let client = self.parts.peers.clone();
        let control = self.parts.control.clone();
        tokio::spawn(async move {
            if let Some(fleet) = client.state(address, newer_than).await {
                control.take_snapshot(Box::new(fleet)).await;
            }
        });
    }
}
