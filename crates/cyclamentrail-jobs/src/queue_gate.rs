//! Which queues the owner of a service accepts new jobs of.
//!
//! A configuration may give a queue to another service while owners still act on an earlier one. So
//! that no job has two owners, a queue is open at one service at a time: an owner opens it only after
//! all other services that may have accepted its jobs have closed it for good, in their own records.
//! Whoever acts on the older configuration can't open the queue again, and a successor knows what its
//! predecessor has promised. Answers the load pattern of submissions that are repeated while a queue
//! moves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cyclamentrail_core::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::KeyedRecord;
use crate::record::{QUEUE_PREFIX, RecordError, decode, encode};

/// Queue as its callers know it; its jobs keep to it whatever its route is called.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueId {
    /// Host name of the requests, without a port.
    pub host: Arc<str>,
    /// Prefix of the paths of the requests.
    pub path_prefix: Arc<str>,
}

impl QueueId {
    /// Returns the key of the queue's record in the topic of a shard.
    fn record_key(&self) -> String {
        format!("{QUEUE_PREFIX}{}{}", self.host, self.path_prefix)
    }
}

/// Place of a configuration among all that operators wrote: a later one has a higher version, or
/// replaces one with the same version.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigurationOrder {
    /// Version of the configuration.
    pub version: u64,
    /// Offset of its record in the operators' topic.
    pub offset: u64,
}

/// How an owner came to accept the jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Opening {
    /// Configuration by which the queue was opened. No later opening at the same service has it.
    pub order: ConfigurationOrder,
    /// Services that have closed the queue and may have jobs of it.
    pub former: BTreeSet<ServiceName>,
}

/// State of a queue at a service, as its owner's records say.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum QueueState {
    Open(Opening),
    /// The queue may be opened only by a configuration later than this one.
    Closed(ConfigurationOrder),
}

/// Stored form of a queue's state.
#[derive(Debug, Serialize, Deserialize)]
struct QueueRecord {
    queue: QueueId,
    order: ConfigurationOrder,
    /// Former services of an open queue; `None` if it is closed.
    former: Option<BTreeSet<ServiceName>>,
}

/// Whether a new job may be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAdmission {
    /// The job is new, and may be accepted.
    Open,
    /// The job may be accepted once these services have said, after this opening, that they don't know
    /// it.
    CheckFormer(QueueId, Opening),
    /// Another service may still accept the job.
    NotOpen,
    /// No route of the configuration leads to the service.
    NoRoute,
}

/// Result of another owner's request to close a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueClosing {
    /// The queue is closed once the record is durable.
    Closed(KeyedRecord),
    /// A later configuration gives the queue to this service.
    Outdated,
}

/// Queues of one service: those that lead to it, and those that it has opened or closed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct QueueGate {
    /// The configuration in force; `None` before one is known.
    in_force: Option<ConfigurationOrder>,
    configured: BTreeMap<RouteName, QueueId>,
    states: BTreeMap<QueueId, QueueState>,
}

impl QueueGate {
    /// Restores the state of a queue from a record of the shard; returns whether it is one.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] when the record of a queue can't be decoded.
    pub fn restore(&mut self, record: &KeyedRecord) -> Result<bool, RecordError> {
        if !record.key.starts_with(QUEUE_PREFIX) {
            return Ok(false);
        }
        if record.value.is_empty() {
            return Ok(true);
        }
        let QueueRecord {
            queue,
            order,
            former,
        } = decode(&record.value)?;
        let state = match former {
            Some(former) => QueueState::Open(Opening { order, former }),
            None => QueueState::Closed(order),
        };
        self.states.insert(queue, state);
        Ok(true)
    }

    /// Puts a configuration in force, unless a later one is; `routes` are those that lead to the service.
    /// Returns the records of the queues that it closes.
    #[must_use]
    pub fn configure(
        &mut self,
        order: ConfigurationOrder,
        routes: impl IntoIterator<Item = (RouteName, QueueId)>,
    ) -> Vec<KeyedRecord> {
        if Some(order) < self.in_force {
            return Vec::new();
        }
        self.in_force = Some(order);
        self.configured = routes.into_iter().collect();
        let left: Vec<QueueId> = self
            .open_queues()
            .filter(|queue| !self.leads_here(queue))
            .cloned()
            .collect();
        left.into_iter()
            .map(|queue| self.set(queue, QueueState::Closed(order)))
            .collect()
    }

    /// Returns the configuration in force; `None` before one is known.
    #[must_use]
    pub const fn in_force(&self) -> Option<ConfigurationOrder> {
        self.in_force
    }

    /// Returns the queues that the configuration gives to the service and that it hasn't opened. One that
    /// was closed for the same or a later configuration isn't among them.
    #[must_use]
    pub fn due_openings(&self) -> BTreeSet<QueueId> {
        let is_due = |queue: &&QueueId| match self.states.get(*queue) {
            None => true,
            Some(QueueState::Open(_)) => false,
            Some(QueueState::Closed(closed)) => Some(*closed) < self.in_force,
        };
        let configured = self.configured.values();
        configured.filter(is_due).cloned().collect()
    }

    /// Returns the queues that are open.
    pub fn open_queues(&self) -> impl Iterator<Item = &QueueId> {
        let is_open = |state: &QueueState| matches!(state, QueueState::Open(_));
        let states = self.states.iter();
        states
            .filter(move |(_, state)| is_open(state))
            .map(|(queue, _)| queue)
    }

    /// Opens a queue after all other services in `former` have closed it for a configuration.
    ///
    /// Returns the record that must be durable no later than the first accepted job, or `None` if the
    /// queue has been closed since, leads elsewhere by now, or is open already.
    #[must_use]
    pub fn open(
        &mut self,
        queue: &QueueId,
        order: ConfigurationOrder,
        former: BTreeSet<ServiceName>,
    ) -> Option<KeyedRecord> {
        let is_closed_since = match self.states.get(queue) {
            None => false,
            Some(QueueState::Open(_)) => true,
            Some(QueueState::Closed(closed)) => *closed >= order,
        };
        if is_closed_since || !self.leads_here(queue) {
            return None;
        }
        let opening = Opening { order, former };
        Some(self.set(queue.clone(), QueueState::Open(opening)))
    }

    /// Closes a queue for the owner to which a configuration gives it.
    #[must_use]
    pub fn close(&mut self, queue: &QueueId, order: ConfigurationOrder) -> QueueClosing {
        if Some(order) <= self.in_force && self.leads_here(queue) {
            return QueueClosing::Outdated;
        }
        // An opening that is under way was begun by the configuration in force or an earlier one, and may
        // not have met the owner that asks: it has to be begun anew.
        let mut closed = order.max(self.in_force.unwrap_or_default());
        if let Some(QueueState::Closed(earlier)) = self.states.get(queue) {
            closed = closed.max(*earlier);
        }
        QueueClosing::Closed(self.set(queue.clone(), QueueState::Closed(closed)))
    }

    /// Returns whether the queue was closed for its opening elsewhere by a configuration, or for a later
    /// one: no owner of this service accepts another job of it before it is closed there.
    #[must_use]
    pub fn is_closed_for(&self, queue: &QueueId, order: ConfigurationOrder) -> bool {
        let state = self.states.get(queue);
        matches!(state, Some(QueueState::Closed(closed)) if *closed >= order)
    }

    /// Keeps only those former services of the open queues that may still have jobs of them.
    pub fn retain_former(&mut self, has_jobs: impl Fn(&QueueId, &ServiceName) -> bool) {
        for (queue, state) in &mut self.states {
            if let QueueState::Open(opening) = state {
                opening.former.retain(|service| has_jobs(queue, service));
            }
        }
    }

    /// Returns whether a job that the shard doesn't know may be accepted by a route. `checked` is the
    /// configuration of the opening after which the former services were asked for the job, if they
    /// were.
    #[must_use]
    pub fn admit(&self, route: &RouteName, checked: Option<ConfigurationOrder>) -> QueueAdmission {
        let Some(queue) = self.configured.get(route) else {
            return QueueAdmission::NoRoute;
        };
        match self.states.get(queue) {
            Some(QueueState::Open(opening)) => {
                if opening.former.is_empty() || checked == Some(opening.order) {
                    QueueAdmission::Open
                } else {
                    QueueAdmission::CheckFormer(queue.clone(), opening.clone())
                }
            }
            Some(QueueState::Closed(_)) | None => QueueAdmission::NotOpen,
        }
    }

    fn leads_here(&self, queue: &QueueId) -> bool {
        self.configured.values().any(|known| known == queue)
    }

    /// Sets the state of a queue; returns its record.
    fn set(&mut self, queue: QueueId, state: QueueState) -> KeyedRecord {
        let (order, former) = match &state {
            QueueState::Open(opening) => (opening.order, Some(opening.former.clone())),
            QueueState::Closed(order) => (*order, None),
        };
        let record = QueueRecord {
            queue: queue.clone(),
            order,
            former,
        };
        let record = KeyedRecord {
            key: queue.record_key(),
            value: encode(&record),
        };
        self.states.insert(queue, state);
        record
    }
}
