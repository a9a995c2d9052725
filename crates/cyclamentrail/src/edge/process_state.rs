//! State that the tasks of an edge process share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamentrail_adapter::{
    ApiKeys, Configuration, HttpClient, ProcessSettings, Store, StoreError, Wave,
};
use cyclamentrail_core::{CallerLimits, ServiceName};
use cyclamentrail_jobs::{OwnerCapacity, Relay, RunTimeUses, WorkerRegistration};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use super::clocks::boot_ms;
use super::confirmation::Confirmation;
use super::earlier_owners::EarlierOwners;
use super::line_budget::LineBudget;
use super::membership::{Announcements, MemberName, OWNER_GROUP};
use super::messages::OwnershipStatus;
use super::open_requests::OpenRequests;
use super::owner::{OwnerMessage, WORKER_TIMEOUT};
use super::peers::PeerClient;
use super::queue_directory::QueueDirectory;
use super::relay::{RelayClient, relay_client};
use super::revocation::RevocationCheck;
use crate::body::{BodyBudget, BodyBudgetLimits};
use crate::serve::Audience;

/// Largest number of requests that a listener serves at once.
const MAX_REQUESTS: u32 = 2_000;
/// Largest number of open connections of other processes.
const MAX_PEER_CONNECTIONS: u32 = 2_000;
/// Largest number of open connections of operators, and of the platform's readiness checks.
const MAX_OPERATOR_CONNECTIONS: u32 = 128;
/// Largest header block in bytes.
const MAX_HEADER_BYTES: u32 = 16_384;
/// Shortest time for which registrations may be relied on; several times the interval at which
/// owners read them.
const MIN_REGISTRY_VALID: Duration = Duration::from_millis(600);
/// Time limit for reading a header, and between two parts of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Claim of a shard by a process, as it is in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Name of the machine that the owner runs on.
    pub(crate) node: String,
    /// Address of the owner's internal listener.
    pub(crate) address: SocketAddr,
}

/// Newest known claim of a shard, with its fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    /// Claim as it is in the store.
    pub(crate) claim: Claim,
    /// Fencing token, which the offset of the claim gives; rises with each claim of any shard.
    pub(crate) token: u64,
}

/// Newest state that the operators have written.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorState {
    /// Newest configuration, without the keys of its teams; `None` until one was read.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Keys of the teams of that configuration.
    pub(crate) api_keys: Arc<ApiKeys>,
    /// Waves by the keys of their records.
    pub(crate) waves: HashMap<String, Wave>,
}

/// Registrations of workers, by worker id.
pub(crate) type RegisteredWorkers = HashMap<String, WorkerRegistration>;

/// Shard that this process owns or is taking over.
#[derive(Debug)]
struct OwnedShard {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    /// Boot time in milliseconds at which the takeover began.
    takeover_began_ms: u64,
    /// Last confirmation by the store; `None` during the takeover.
    confirmation: Option<Confirmation>,
    /// Signals that the takeover is done, or has failed.
    takeover_ended: Arc<Notify>,
    /// Closed once this process doesn't own the shard any more; nothing is sent.
    held: watch::Sender<()>,
}

/// State of an edge process: its clients, what it has read from the store, and the shards that it
/// owns.
#[derive(Debug)]
pub(crate) struct ProcessState {
    pub(crate) settings: ProcessSettings,
    /// Decisions of this process's owners that use learned run times.
    pub(crate) run_time_uses: RunTimeUses,
    pub(crate) http_client: HttpClient,
    pub(crate) store: Store,
    pub(crate) peers: PeerClient,
    pub(crate) relay_client: RelayClient,
    /// Processes that relay calls, as they were listed last.
    pub(crate) relays: watch::Sender<Arc<Vec<Relay>>>,
    /// Newest configuration and waves.
    pub(crate) operator_state: watch::Sender<OperatorState>,
    /// Newest known owner of each shard.
    pub(crate) owners: watch::Sender<HashMap<String, KnownOwner>>,
    /// Queues that led or lead to each service.
    pub(crate) queue_directory: QueueDirectory,
    /// Processes on larger machines that have made themselves known.
    pub(crate) announcements: Announcements,
    /// Registered workers of all services; `None` unless this process owns a shard and has read
    /// them.
    pub(crate) workers: watch::Sender<Option<Arc<RegisteredWorkers>>>,
    /// When the registrations were last read. They may be relied on for a start as long as it
    /// arrives within the notice of a worker that gave it right after the read.
    pub(crate) registry_confirmation: Confirmation,
    /// Whether the configuration is new enough to accept keys by it.
    pub(crate) revocation: RevocationCheck,
    /// Log lines about calls that weren't served because of their key.
    pub(crate) refusal_lines: LineBudget,
    /// Log lines about requests that got their response because of the exit.
    pub(crate) exit_lines: LineBudget,
    /// Requests of callers that have no response yet.
    pub(crate) open_requests: OpenRequests,
    /// Bodies of callers' requests that are under way.
    pub(crate) bodies: BodyBudget,
    /// Log lines about bodies that were turned away.
    pub(crate) body_lines: LineBudget,
    /// Log lines about requests that a former service of their queue answered.
    pub(crate) former_lines: LineBudget,
    /// Until when owners before those in this process may act.
    pub(crate) earlier_owners: EarlierOwners,
    owned_shards: Mutex<HashMap<String, OwnedShard>>,
    /// Signals that a takeover has begun.
    takeover_begun: Notify,
    /// Time by which callers get their responses; set once the process is stopping.
    last_response: watch::Sender<Option<Instant>>,
}

impl ProcessState {
    /// Creates the state of a process that has read nothing from the store yet.
    pub(crate) fn new(settings: ProcessSettings, http_client: HttpClient, store: Store) -> Self {
        let drain_notice = Duration::from_millis(settings.bounds.drain_notice_ms);
        let registry_valid = drain_notice
            .saturating_sub(WORKER_TIMEOUT)
            .max(MIN_REGISTRY_VALID);
        let revocation = RevocationCheck::new(&settings.bounds);
        let bodies = BodyBudget::new(BodyBudgetLimits {
            memory_bytes: settings.caller_bounds.body_memory_bytes,
            max_open: settings.caller_bounds.max_open_bodies as usize,
            max_time: Duration::from_millis(settings.caller_bounds.max_body_ms),
        });
        Self {
            settings,
            run_time_uses: RunTimeUses::NONE,
            http_client,
            store,
            peers: PeerClient::new(),
            relay_client: relay_client(),
            relays: watch::Sender::new(Arc::default()),
            operator_state: watch::Sender::new(OperatorState::default()),
            owners: watch::Sender::new(HashMap::new()),
            queue_directory: QueueDirectory::default(),
            announcements: Announcements::default(),
            workers: watch::Sender::new(None),
            registry_confirmation: Confirmation::new(0, registry_valid),
            revocation,
            refusal_lines: LineBudget::default(),
            exit_lines: LineBudget::default(),
            open_requests: OpenRequests::default(),
            bodies,
            body_lines: LineBudget::default(),
            former_lines: LineBudget::default(),
            earlier_owners: EarlierOwners::default(),
            owned_shards: Mutex::new(HashMap::new()),
            takeover_begun: Notify::new(),
            last_response: watch::Sender::new(None),
        }
    }

    /// Sets the decisions of this process's owners that use learned run times.
    #[must_use]
    pub(crate) const fn run_time_uses(mut self, uses: RunTimeUses) -> Self {
        self.run_time_uses = uses;
        self
    }

    /// Returns the newest configuration, if one was read.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.operator_state.borrow().configuration.clone()
    }

    /// Returns the newest owner of a shard that this process knows of.
    pub(crate) fn owner(&self, shard: &str) -> Option<KnownOwner> {
        self.owners.borrow().get(shard).cloned()
    }

    /// Returns the channel to the owner of a shard, if the owner is in this process.
    pub(crate) fn owner_sender(
        &self,
        shard: &ServiceName,
    ) -> Option<mpsc::UnboundedSender<OwnerMessage>> {
        self.lock_owned_shards()
            .get(shard.as_str())
            .map(|owned| owned.sender.clone())
    }

    /// Waits until the takeover of a shard by this process has ended, at most for `limit`; returns
    /// the channel to the owner if the shard was taken over.
    pub(crate) async fn acting_owner(
        &self,
        shard: &ServiceName,
        limit: Duration,
    ) -> Option<mpsc::UnboundedSender<OwnerMessage>> {
        let takeover_ended = {
            let owned_shards = self.lock_owned_shards();
            let owned = owned_shards.get(shard.as_str())?;
            if owned.confirmation.is_some() {
                return Some(owned.sender.clone());
            }
            Arc::clone(&owned.takeover_ended).notified_owned()
        };
        drop(tokio::time::timeout(limit, takeover_ended).await);
        let owned_shards = self.lock_owned_shards();
        let owned = owned_shards.get(shard.as_str())?;
        owned.confirmation.as_ref().map(|_| owned.sender.clone())
    }

    /// Returns the status of this process's ownership of a shard; `None` if it doesn't own the
    /// shard or is stopping. During a takeover, the confirmation counts as made when the takeover
    /// began.
    pub(crate) fn ownership_status(&self, shard: &str) -> Option<OwnershipStatus> {
        if self.is_stopping() {
            return None;
        }
        let owned_shards = self.lock_owned_shards();
        let shard_state = owned_shards.get(shard)?;
        let confirmed_age_ms = shard_state.confirmation.as_ref().map_or_else(
            || boot_ms().saturating_sub(shard_state.takeover_began_ms),
            Confirmation::age_ms,
        );
        Some(OwnershipStatus {
            confirmed_age_ms,
            shards: owned_shards.len() as u64,
            tasks_per_s: self.capacity().tasks_per_s(),
        })
    }

    /// Returns the number of shards that this process owns or is taking over.
    pub(crate) fn owned_shard_count(&self) -> u64 {
        self.lock_owned_shards().len() as u64
    }

    /// Sets the confirmation of the ownership of a shard, once the shard is taken over.
    pub(crate) fn set_confirmation(&self, shard: &str, confirmation: Confirmation) {
        if let Some(owned) = self.lock_owned_shards().get_mut(shard) {
            owned.confirmation = Some(confirmation);
            owned.takeover_ended.notify_waiters();
        }
    }

    /// Returns the confirmation of the ownership of a shard; `None` during the takeover.
    pub(crate) fn shard_confirmation(&self, shard: &str) -> Option<Confirmation> {
        self.lock_owned_shards().get(shard)?.confirmation.clone()
    }

    /// Returns whether this process owns, or is taking over, any shard.
    pub(crate) fn owns_any(&self) -> bool {
        !self.lock_owned_shards().is_empty()
    }

    /// Waits until this process owns, or is taking over, any shard. One task may wait at a time.
    pub(crate) async fn wait_until_owner(&self) {
        while !self.owns_any() {
            self.takeover_begun.notified().await;
        }
    }

    /// Records that this process is taking over a shard.
    pub(crate) fn insert_owned_shard(
        &self,
        shard: &str,
        sender: mpsc::UnboundedSender<OwnerMessage>,
    ) {
        let owned = OwnedShard {
            sender,
            takeover_began_ms: boot_ms(),
            confirmation: None,
            takeover_ended: Arc::default(),
            held: watch::Sender::new(()),
        };
        self.lock_owned_shards().insert(shard.to_owned(), owned);
        self.takeover_begun.notify_one();
    }

    /// Records that this process no longer owns a shard, unless a newer owner in this process has
    /// replaced the one with this `sender`.
    pub(crate) fn remove_owned_shard(
        &self,
        shard: &str,
        sender: &mpsc::UnboundedSender<OwnerMessage>,
    ) {
        let mut owned_shards = self.lock_owned_shards();
        if owned_shards
            .get(shard)
            .is_some_and(|kept| kept.sender.same_channel(sender))
        {
            let owned = owned_shards.remove(shard);
            if let Some(owned) = owned {
                owned.takeover_ended.notify_waiters();
            }
        }
    }

    /// Waits until this process doesn't own a shard any more. Its owner may still try to store its last
    /// records, and acts on workers no more.
    pub(crate) async fn wait_given_up(&self, shard: &str) {
        let held = self
            .lock_owned_shards()
            .get(shard)
            .map(|owned| owned.held.subscribe());
        if let Some(mut held) = held {
            drop(held.changed().await);
        }
    }

    /// Marks the process as stopping: it takes over no more shards and is no longer ready.
    /// Callers get their responses by `last_response`, because the process exits then.
    pub(crate) fn begin_stop(&self, last_response: Instant) {
        self.last_response.send_replace(Some(last_response));
    }

    /// Returns whether the process is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.last_response.borrow().is_some()
    }

    /// Returns whether every request must get its response within `duration`, because the process
    /// exits.
    pub(crate) fn is_last_response_within(&self, duration: Duration) -> bool {
        self.last_response
            .borrow()
            .is_some_and(|due| Instant::now() + duration >= due)
    }

    /// Waits until the process is stopping and every request must get its response, because the
    /// process exits. Waits forever if it doesn't stop.
    pub(crate) async fn wait_last_response(&self) {
        let mut last_response = self.last_response.subscribe();
        let is_stopping = last_response.wait_for(Option::is_some).await;
        let due = is_stopping.ok().and_then(|due| *due);
        match due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether the platform may send callers to this process.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self
                .configuration()
                .is_some_and(|configuration| self.revocation.accepts_keys_of(&configuration))
    }

    /// Makes all owners in this process give up their shards, and leaves the consumer group so that
    /// its shards are assigned to other processes at once.
    pub(crate) async fn give_up_shards(&self) {
        let owned_shards: Vec<_> = self.lock_owned_shards().drain().collect();
        for (_, owned) in owned_shards {
            drop(owned.sender.send(OwnerMessage::Stop));
        }
        if let Err(error) = self.leave_group().await {
            log::warn!(error:% = error; "group_not_left");
        }
    }

    /// Returns the capacity of this process as an owner.
    pub(crate) fn capacity(&self) -> OwnerCapacity {
        OwnerCapacity::from(self.settings.limits)
    }

    /// Returns the name of this process in the consumer group.
    pub(crate) fn member_name(&self) -> MemberName {
        MemberName {
            capacity: self.capacity(),
            machine: self.settings.machine_name.clone(),
        }
    }

    /// Leaves the consumer group, so that its shards are assigned to other processes at once.
    ///
    /// # Errors
    ///
    /// Returns the store's error; this process may still be a member.
    pub(crate) async fn leave_group(&self) -> Result<(), StoreError> {
        let member = self.member_name().to_string();
        self.store.leave(OWNER_GROUP, &member).await
    }

    /// Returns the limits of a listener.
    pub(crate) const fn limits(&self, audience: Audience) -> CallerLimits {
        let max_connections = match audience {
            Audience::Callers => self.settings.caller_bounds.max_connections,
            Audience::Peers => MAX_PEER_CONNECTIONS,
            Audience::Operators => MAX_OPERATOR_CONNECTIONS,
        };
        CallerLimits {
            max_connections,
            max_requests: MAX_REQUESTS,
            max_header_bytes: MAX_HEADER_BYTES,
            header_timeout_ms: READ_TIMEOUT,
            body_timeout_ms: READ_TIMEOUT,
        }
    }

    fn lock_owned_shards(&self) -> MutexGuard<'_, HashMap<String, OwnedShard>> {
        self.owned_shards
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
