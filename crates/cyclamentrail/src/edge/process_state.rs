//! What the tasks of a process share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamentrail_adapter::{Caller, Configuration, NodeSettings, Store, Wave};
use cyclamentrail_core::{CallerLimits, ServiceName};
use cyclamentrail_jobs::Registration;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use super::clocks::boot_ms;
use super::commit_log::Confirmation;
use super::messages::OwnershipStatus;
use super::owner::OwnerMessage;
use super::peers::PeerClient;

/// Requests served at once by a listener.
const MAX_REQUESTS: u32 = 2_000;
/// Descriptors that a listener may take, beside those of calls.
const MAX_CONNECTIONS: u32 = 2_000;
/// Largest header block in bytes.
const MAX_HEADER_BYTES: u32 = 16_384;
/// Time limit of a header and between two parts of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A process's claim of a shard, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Name of the owner's machine.
    pub(crate) node: String,
    /// Where the owner answers the other processes.
    pub(crate) address: SocketAddr,
}

/// A claim with the token that its offset makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    /// The claim.
    pub(crate) claim: Claim,
    /// Rises with each claim of any shard.
    pub(crate) token: u64,
}

/// What the operators have written.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorState {
    /// The newest configuration.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The waves by their keys.
    pub(crate) waves: HashMap<String, Wave>,
}

/// The workers that are registered.
pub(crate) type RegisteredWorkers = HashMap<String, Registration>;

/// A shard that this process owns, or is taking over.
#[derive(Debug)]
struct OwnedShard {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    /// When the takeover began, on the clock that counts suspension.
    takeover_began_ms: u64,
    confirmation: Option<Confirmation>,
}

/// State that the tasks of a process share.
#[derive(Debug)]
pub(crate) struct ProcessState {
    pub(crate) settings: NodeSettings,
    pub(crate) caller: Caller,
    pub(crate) store: Store,
    pub(crate) peers: PeerClient,
    pub(crate) operator_state: watch::Sender<OperatorState>,
    pub(crate) owners: watch::Sender<HashMap<String, KnownOwner>>,
    pub(crate) workers: watch::Sender<Arc<RegisteredWorkers>>,
    owned: Mutex<HashMap<String, OwnedShard>>,
    is_stopping: AtomicBool,
}

impl ProcessState {
    /// Creates the state of a process that knows nothing yet.
    pub(crate) fn new(settings: NodeSettings, caller: Caller, store: Store) -> Self {
        Self {
            settings,
            caller,
            store,
            peers: PeerClient::new(),
            operator_state: watch::Sender::new(OperatorState::default()),
            owners: watch::Sender::new(HashMap::new()),
            workers: watch::Sender::new(Arc::default()),
            owned: Mutex::new(HashMap::new()),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force here.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.operator_state.borrow().configuration.clone()
    }

    /// Returns the owner of a shard, as far as this process knows.
    pub(crate) fn owner(&self, shard: &str) -> Option<KnownOwner> {
        self.owners.borrow().get(shard).cloned()
    }

    /// Returns where a shard that this process owns takes messages.
    pub(crate) fn owner_sender(
        &self,
        shard: &ServiceName,
    ) -> Option<mpsc::UnboundedSender<OwnerMessage>> {
        self.lock_owned()
            .get(shard.as_str())
            .map(|owned| owned.sender.clone())
    }

    /// Returns how well this process stands as the owner of a shard.
    pub(crate) fn ownership_status(&self, shard: &str) -> Option<OwnershipStatus> {
        if self.is_stopping() {
            return None;
        }
        let owned = self.lock_owned();
        let shard_state = owned.get(shard)?;
        let confirmed_age_ms = shard_state.confirmation.as_ref().map_or_else(
            || boot_ms().saturating_sub(shard_state.takeover_began_ms),
            Confirmation::age_ms,
        );
        Some(OwnershipStatus {
            confirmed_age_ms,
            shards: owned.len() as u64,
        })
    }

    /// Returns how many shards this process owns or is taking over.
    pub(crate) fn owned_shard_count(&self) -> u64 {
        self.lock_owned().len() as u64
    }

    /// Takes in when the ownership of a shard was confirmed.
    pub(crate) fn set_confirmation(&self, shard: &str, confirmation: Confirmation) {
        if let Some(owned) = self.lock_owned().get_mut(shard) {
            owned.confirmation = Some(confirmation);
        }
    }

    /// Returns whether this process owns a shard.
    pub(crate) fn owns_any(&self) -> bool {
        !self.lock_owned().is_empty()
    }

    /// Takes in that this process owns a shard.
    pub(crate) fn insert_owned(&self, shard: &str, sender: mpsc::UnboundedSender<OwnerMessage>) {
        let owned = OwnedShard {
            sender,
            takeover_began_ms: boot_ms(),
            confirmation: None,
        };
        self.lock_owned().insert(shard.to_owned(), owned);
    }

    /// Takes in that this process no longer owns a shard; a newer ownership of it stays.
    pub(crate) fn remove_owned(&self, shard: &str, sender: &mpsc::UnboundedSender<OwnerMessage>) {
        let mut owned = self.lock_owned();
        if owned
            .get(shard)
            .is_some_and(|kept| kept.sender.same_channel(sender))
        {
            owned.remove(shard);
        }
    }

    /// Begins the end of this process.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether this process is about to end.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.configuration().is_some()
    }

    /// Ends the ownership of all shards and lets others have them at once.
    pub(crate) async fn give_up_shards(&self) {
        let senders: Vec<_> = self.lock_owned().drain().collect();
        for (_, owned) in senders {
            drop(owned.sender.send(OwnerMessage::Stop));
        }
        let result = self
            .store
            .leave(super::membership::GROUP, &self.settings.name)
            .await;
        if let Err(error) = result {
            log::warn!(error:% = error; "group_not_left");
        }
    }

    /// Returns the limits of the listeners.
    #[expect(
        clippy::unused_self,
        reason = "limits follow the settings once they name any"
    )]
    pub(crate) fn limits(&self) -> CallerLimits {
        CallerLimits {
            max_connections: MAX_CONNECTIONS,
            max_requests: MAX_REQUESTS,
            max_header_bytes: MAX_HEADER_BYTES,
            header_timeout_ms: READ_TIMEOUT,
            body_timeout_ms: READ_TIMEOUT,
        }
    }

    fn lock_owned(&self) -> MutexGuard<'_, HashMap<String, OwnedShard>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
