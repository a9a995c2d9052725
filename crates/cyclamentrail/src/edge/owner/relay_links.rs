//! The owner's links to its relays: which relay calls which worker, and whether a relay may be used.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{ClockSample, Relay, RelaySpread, RelayedWorker, spread_workers};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::OwnerMessage;
use crate::edge::clocks::boot_ms;
use crate::edge::confirmation::Confirmation;
use crate::edge::relay::{OwnerFrame, RelayBatch, RelayClient, RelayReport, RelayedCall, Session};

/// Time without a report after which a relay is lost, in milliseconds; several times the interval
/// of its reports.
pub(super) const MAX_SILENCE_MS: u64 = 800;
/// Time for which a lost relay isn't used, in milliseconds.
const LOST_PAUSE_MS: u64 = 5_000;
/// Time between two reviews of the spread, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 500;
/// Shortest time between two batches to one relay, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 8;

/// State of a link, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayLinkView {
    /// Number of workers whose calls go over the relay.
    pub(crate) workers: usize,
    /// Whether the relay may be used at present.
    pub(crate) is_usable: bool,
    /// Time since the relay's last report in milliseconds.
    pub(crate) silence_ms: u64,
}

/// Link to one relay.
#[derive(Debug)]
struct Link {
    session: Session,
    /// Calls for the next batch.
    waiting: Vec<RelayedCall>,
    /// Newest reading of the relay's clock; `None` before the first report.
    clock: Option<ClockSample>,
    /// Boot time in milliseconds of the last report, or of the opening.
    heard_ms: u64,
    /// Boot time in milliseconds of the last batch.
    sent_ms: u64,
    /// Whether the relay is about to exit.
    is_leaving: bool,
}

impl Link {
    const fn is_usable(&self) -> bool {
        self.clock.is_some() && !self.is_leaving
    }
}

/// Links of one owner.
#[derive(Debug)]
pub(super) struct RelayLinks {
    client: RelayClient,
    shard: String,
    token: u64,
    owner: mpsc::UnboundedSender<OwnerMessage>,
    spread: RelaySpread,
    links: HashMap<SocketAddr, Link>,
    /// Boot time in milliseconds until which each lost relay isn't used.
    paused_until_ms: HashMap<SocketAddr, u64>,
    reviewed_ms: u64,
}

impl RelayLinks {
    /// Creates the links of an owner with a fencing token; none is open.
    pub(super) fn new(
        client: RelayClient,
        shard: &str,
        token: u64,
        owner: mpsc::UnboundedSender<OwnerMessage>,
    ) -> Self {
        Self {
            client,
            shard: shard.to_owned(),
            token,
            owner,
            spread: RelaySpread::default(),
            links: HashMap::new(),
            paused_until_ms: HashMap::new(),
            reviewed_ms: 0,
        }
    }

    /// Returns whether the spread is due for a review.
    pub(super) fn is_review_due(&self) -> bool {
        boot_ms() >= self.reviewed_ms + REVIEW_INTERVAL_MS
    }

    /// Spreads the workers over the relays that aren't paused, opens the links that this needs and
    /// closes the others that have no `open_calls`.
    pub(super) fn review(
        &mut self,
        workers: &[RelayedWorker],
        relays: &Arc<Vec<Relay>>,
        has_open_calls: impl Fn(SocketAddr) -> bool,
    ) {
        let now_ms = boot_ms();
        self.reviewed_ms = now_ms;
        self.paused_until_ms
            .retain(|_, until_ms| *until_ms > now_ms);
        let may_use = |relay: &&Relay| {
            let link = self.links.get(&relay.address);
            !self.paused_until_ms.contains_key(&relay.address)
                && link.is_none_or(|link| !link.is_leaving)
        };
        let usable: Vec<Relay> = relays.iter().filter(may_use).cloned().collect();
        self.spread = spread_workers(&self.shard, workers, &usable);
        let wanted = self.spread.relays();
        self.links
            .retain(|address, _| wanted.contains(address) || has_open_calls(*address));
        for address in wanted {
            if !self.links.contains_key(&address) {
                self.open(address, now_ms);
            }
        }
    }

    fn open(&mut self, address: SocketAddr, now_ms: u64) {
        log::info!(shard = self.shard.as_str(), relay:% = address, token = self.token; "relay_used");
        let session = Session::open(
            self.client.clone(),
            address,
            &self.shard,
            self.token,
            self.owner.clone(),
        );
        let link = Link {
            session,
            waiting: Vec::new(),
            clock: None,
            heard_ms: now_ms,
            sent_ms: 0,
            is_leaving: false,
        };
        self.links.insert(address, link);
    }

    /// Returns the relay over which calls to a worker go now; `None` if the owner sends them itself.
    pub(super) fn relay_of(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let address = self.spread.relay_of(worker)?;
        let link = self.links.get(&address)?;
        link.is_usable().then_some(address)
    }

    /// Adds a call to the next batch of a relay.
    pub(super) fn push(&mut self, relay: SocketAddr, call: RelayedCall) {
        if let Some(link) = self.links.get_mut(&relay) {
            link.waiting.push(call);
        }
    }

    /// Sends the batches that are due. Their calls may be sent as long as the ownership is
    /// confirmed, and starts as long as the registrations may be relied on as well. Returns the time
    /// until the next batch is due.
    pub(super) fn send_batches(
        &mut self,
        ownership: &Confirmation,
        registry: &Confirmation,
    ) -> Option<Duration> {
        let now_ms = boot_ms();
        let mut next_due_ms: Option<u64> = None;
        for link in self.links.values_mut() {
            let Some(clock) = link.clock.filter(|_| !link.waiting.is_empty()) else {
                continue;
            };
            let due_ms = link.sent_ms + BATCH_INTERVAL_MS;
            if now_ms < due_ms {
                next_due_ms = Some(next_due_ms.map_or(due_ms, |next| next.min(due_ms)));
                continue;
            }
            link.sent_ms = now_ms;
            // At most what the relay's clock shows now: the reading was taken before it arrived.
            let relay_now_ms = clock.worker_ms + now_ms.saturating_sub(clock.local_ms);
            let others_until_ms = relay_now_ms + ownership.remaining_ms();
            link.session.send(OwnerFrame::Batch(RelayBatch {
                starts_until_ms: others_until_ms.min(relay_now_ms + registry.remaining_ms()),
                others_until_ms,
                calls: std::mem::take(&mut link.waiting),
            }));
        }
        next_due_ms.map(|due_ms| Duration::from_millis(due_ms - now_ms))
    }

    /// Records that a relay has reported.
    pub(super) fn record_report(&mut self, relay: SocketAddr, report: &RelayReport) {
        let Some(link) = self.links.get_mut(&relay) else {
            return;
        };
        let now_ms = boot_ms();
        link.heard_ms = now_ms;
        link.is_leaving |= report.is_leaving;
        let is_newer = link
            .clock
            .is_none_or(|clock| report.clock_ms >= clock.worker_ms);
        if is_newer {
            link.clock = Some(ClockSample {
                worker_ms: report.clock_ms,
                local_ms: now_ms,
            });
        }
    }

    /// Returns the relays that have been silent for longer than [`MAX_SILENCE_MS`].
    pub(super) fn silent_relays(&self) -> Vec<SocketAddr> {
        let now_ms = boot_ms();
        self.links
            .iter()
            .filter(|(_, link)| now_ms > link.heard_ms + MAX_SILENCE_MS)
            .map(|(&address, _)| address)
            .collect()
    }

    /// Closes the link to a lost relay, and doesn't use the relay for a while; returns whether there
    /// was a link.
    pub(super) fn drop_lost(&mut self, relay: SocketAddr) -> bool {
        let had_link = self.links.remove(&relay).is_some();
        if had_link {
            let until_ms = boot_ms() + LOST_PAUSE_MS;
            self.paused_until_ms.insert(relay, until_ms);
            self.reviewed_ms = 0;
        }
        had_link
    }

    /// Returns whether there is a link to any relay. Without one, no relayed call is open.
    pub(super) fn are_any_open(&self) -> bool {
        !self.links.is_empty()
    }

    /// Describes the links for operators.
    pub(super) fn describe(&self, workers: &[RelayedWorker]) -> BTreeMap<String, RelayLinkView> {
        let now_ms = boot_ms();
        let view = |(address, link): (&SocketAddr, &Link)| {
            let is_here =
                |worker: &&RelayedWorker| self.spread.relay_of(&worker.id) == Some(*address);
            let view = RelayLinkView {
                workers: workers.iter().filter(is_here).count(),
                is_usable: link.is_usable(),
                silence_ms: now_ms.saturating_sub(link.heard_ms),
            };
            (address.to_string(), view)
        };
        self.links.iter().map(view).collect()
    }
}
