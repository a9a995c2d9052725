//! Adopts a peer's state while the log can't be read and heartbeats don't bring the records that
//! this process lacks, because the peer no longer keeps them or they are too large.

use cyclamentrail_core::{Heartbeat, Incarnation};

use super::{Actor, membership_timing};

/// How long this process has been behind its peers without reaching the log.
#[derive(Debug, Default)]
pub(super) struct Lag {
    /// Clock in milliseconds when the lag was first seen or a peer's state was last requested.
    since_ms: Option<u64>,
}

impl Actor {
    /// Compares this process with a peer after the records in the peer's heartbeat were folded;
    /// requests the peer's state once the lag has lasted longer than the dispatch lease.
    pub(super) fn update_lag(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let is_behind = heartbeat.next_offset > self.fleet.next_offset();
        if !is_behind || !self.is_log_out_of_reach(now_ms) {
            if !is_behind {
                self.lag.since_ms = None;
            }
            return;
        }
        let since_ms = *self.lag.since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) > membership_timing(self.settings()).lease_ms {
            self.lag.since_ms = Some(now_ms);
            self.request_peer_state(heartbeat.from);
        }
    }

    /// Returns whether the log can't be read, or hasn't confirmed this process's state within the
    /// dispatch lease.
    pub(super) fn is_log_out_of_reach(&self, now_ms: u64) -> bool {
        !self.membership.reaches_log(now_ms) || self.parts.control.health().is_down()
    }

    /// Fetches a peer's agreed state in a task and offers it to the control thread.
    fn request_peer_state(&self, peer: Incarnation) {
        let Some(address) = self.fleet.member(peer).map(|member| member.peer_address) else {
            return;
        };
        let newer_than = self.fleet.next_offset();
        let client = self.parts.peers.clone();
        let control = self.parts.control.clone();
        tokio::spawn(async move {
            if let Some(fleet) = client.state(address, newer_than).await {
                control.adopt_snapshot(Box::new(fleet)).await;
            }
        });
    }
}
