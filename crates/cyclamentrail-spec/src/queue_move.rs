//! Model of a queue that is given to another service and back, while a job is submitted again and again
//! (docs/design/former-routes.md).
//!
//! The owners use the same [`QueueGate`] as the process. Each reads the configuration when it likes. An
//! owner may be replaced by one that knows an earlier configuration; its appends to the directory may
//! still land, and it may still be asked for the job.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{RouteName, ServiceName};
use cyclamentrail_jobs::{
    ConfigurationOrder, KeyedRecord, QueueAdmission, QueueClosing, QueueGate, QueueId,
};

use crate::explore::{Model, Violation};

mod action;

pub use action::QueueMoveAction;

const SERVICES: [&str; 2] = ["a", "b"];
/// Largest number of records that an owner publishes.
const MAX_RECORDS: u8 = 2;

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueMoveFault {
    /// A queue is opened before its record is in the directory.
    OpenedUnpublished,
    /// The directory is read before the own record is in it.
    ReadBeforePublished,
    /// Other services aren't asked to close the queue.
    NoClosing,
    /// A closing is replied to before it is durable.
    VolatileClosing,
    /// A service closes a queue that a later configuration gives to it, but goes on.
    LaterVersionIgnored,
    /// Former services aren't asked for the job.
    FormerNotAsked,
    /// A former service tells what it knows although it hasn't closed the queue.
    LookupBeforeClosing,
    /// All records of a service in the directory have the same key.
    SharedKey,
    /// A queue leaves the directory before its closing is durable.
    WithdrawnEarly,
}

/// Model of two services, one queue and one job.
#[derive(Debug)]
pub struct QueueMoveModel {
    /// Number of versions of the configuration: the queue is at the first service, the second, the first.
    versions: u64,
    /// Largest number of takeovers.
    takeovers: u8,
    fault: Option<QueueMoveFault>,
}

/// Name of a record in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RecordName {
    service: usize,
    token: u8,
    number: u8,
}

/// Append to the directory, under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DirectoryAppend {
    name: RecordName,
    /// Whether the record has the queue; `None` for a deletion.
    has_queue: Option<bool>,
}

/// Request of one owner to the other service, under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CloseRequest {
    from: usize,
    token: u8,
    version: u64,
}

/// How far an owner is with the opening of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Stage {
    #[default]
    Idle,
    /// The record is under way. `has_other` is what the directory said before.
    Publishing { version: u64, has_other: bool },
    /// The record is in the directory.
    Published { version: u64 },
    /// The other service has closed the queue, or never had it.
    Closed { version: u64, has_other: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Owner {
    token: u8,
    gate: QueueGate,
    /// Record that the next commit stores.
    unstored: Option<Vec<u8>>,
    /// Request that waits for the commit.
    reply_to: Option<CloseRequest>,
    stage: Stage,
    last_number: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Service {
    /// Stored record of the queue.
    record: Option<Vec<u8>>,
    has_job: bool,
    owner: Owner,
    /// The owner before, which may still be asked.
    replaced: Option<Replaced>,
}

/// An owner that was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Replaced {
    gate: QueueGate,
    /// Whether all that the owner decided is durable.
    is_stored: bool,
    has_job: bool,
}

/// What a process has found out about the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Front {
    #[default]
    Idle,
    /// The service has asked to check the other one.
    Asking { service: usize, opening: u64 },
    /// The other service doesn't know the job.
    Checked { service: usize, opening: u64 },
}

/// State of the configuration, the services, the directory and what is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueMoveState {
    version: u64,
    takeovers: u8,
    services: [Service; 2],
    directory: BTreeMap<RecordName, bool>,
    appends: BTreeSet<DirectoryAppend>,
    close_requests: BTreeSet<CloseRequest>,
    front: Front,
}

impl QueueMoveModel {
    /// Creates a model with a number of versions of the configuration, in which a number of owners are
    /// replaced.
    #[must_use]
    pub const fn new(versions: u64, takeovers: u8) -> Self {
        Self {
            versions,
            takeovers,
            fault: None,
        }
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: QueueMoveFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: QueueMoveFault) -> bool {
        self.fault == Some(fault)
    }

    fn may_publish(owner: &Owner) -> bool {
        owner.stage == Stage::Idle
            && owner.unstored.is_none()
            && owner.last_number < MAX_RECORDS
            && !owner.gate.due_openings().is_empty()
    }

    /// Returns whether an owner may publish that the queue has left it and has no jobs.
    fn may_withdraw(&self, state: &QueueMoveState, service: usize) -> bool {
        let Service { owner, has_job, .. } = &state.services[service];
        let is_stored = owner.unstored.is_none() || self.has_fault(QueueMoveFault::WithdrawnEarly);
        let version = version_of(&owner.gate);
        owner.stage == Stage::Idle
            && is_stored
            && !has_job
            && owner.last_number < MAX_RECORDS
            && version > 0
            && !leads_to(version, service)
            && !is_open(&owner.gate)
            && state.is_published(service)
    }

    fn publish(&self, state: &mut QueueMoveState, service: usize) {
        let has_other = state.is_published(1 - service);
        let owner = &mut state.services[service].owner;
        let version = version_of(&owner.gate);
        owner.stage = if self.has_fault(QueueMoveFault::OpenedUnpublished) {
            Stage::Published { version }
        } else {
            Stage::Publishing { version, has_other }
        };
        Self::append_record(state, service, true);
    }

    fn append_record(state: &mut QueueMoveState, service: usize, has_queue: bool) {
        let owner = &mut state.services[service].owner;
        owner.last_number += 1;
        state.appends.insert(DirectoryAppend {
            name: RecordName {
                service,
                token: owner.token,
                number: owner.last_number,
            },
            has_queue: Some(has_queue),
        });
    }

    /// Lets the directory take an append; its owner goes on, and deletes earlier records.
    fn land(&self, state: &mut QueueMoveState, append: DirectoryAppend) {
        state.appends.remove(&append);
        let name = append.name;
        let key = if self.has_fault(QueueMoveFault::SharedKey) {
            RecordName {
                token: 0,
                number: 0,
                ..name
            }
        } else {
            name
        };
        let Some(has_queue) = append.has_queue else {
            state.directory.remove(&key);
            return;
        };
        state.directory.insert(key, has_queue);
        if !self.has_fault(QueueMoveFault::SharedKey) {
            let earlier = state.directory.keys().copied();
            let earlier = earlier.filter(|it| it.service == name.service && *it < name);
            let deletions = earlier.map(|name| DirectoryAppend {
                name,
                has_queue: None,
            });
            state.appends.extend(deletions);
        }
        let owner = &mut state.services[name.service].owner;
        if (owner.token, owner.last_number) != (name.token, name.number) {
            return;
        }
        if let Stage::Publishing { version, has_other } = owner.stage {
            let is_early = self.has_fault(QueueMoveFault::ReadBeforePublished);
            owner.stage = if is_early && !has_other {
                Stage::Closed { version, has_other }
            } else {
                Stage::Published { version }
            };
        }
    }

    fn request_closing(&self, state: &mut QueueMoveState, service: usize) {
        let has_other = state.is_published(1 - service);
        let owner = &mut state.services[service].owner;
        let Stage::Published { version } = owner.stage else {
            return;
        };
        if !has_other || self.has_fault(QueueMoveFault::NoClosing) {
            owner.stage = Stage::Closed { version, has_other };
            return;
        }
        state.close_requests.insert(CloseRequest {
            from: service,
            token: owner.token,
            version,
        });
    }

    fn close(&self, state: &mut QueueMoveState, request: CloseRequest) {
        state.close_requests.remove(&request);
        let owner = &mut state.services[1 - request.from].owner;
        match owner.gate.close(&queue(), order(request.version)) {
            QueueClosing::Outdated if self.has_fault(QueueMoveFault::LaterVersionIgnored) => {
                state.finish_closing(request);
            }
            QueueClosing::Outdated => state.refuse_closing(request),
            QueueClosing::Closed(_) if self.has_fault(QueueMoveFault::VolatileClosing) => {
                state.finish_closing(request);
            }
            QueueClosing::Closed(record) => {
                owner.unstored = Some(record.value);
                owner.reply_to = Some(request);
            }
        }
    }

    fn open(&self, state: &mut QueueMoveState, service: usize) {
        let owner = &mut state.services[service].owner;
        let Stage::Closed { version, has_other } = std::mem::take(&mut owner.stage) else {
            return;
        };
        let is_asked = has_other && !self.has_fault(QueueMoveFault::FormerNotAsked);
        let former = is_asked.then(|| ServiceName::from(SERVICES[1 - service]));
        let record = owner
            .gate
            .open(&queue(), order(version), former.into_iter().collect());
        if let Some(record) = record {
            owner.unstored = Some(record.value);
        }
    }

    /// Submits the job; `checked` is the opening after which the former service was asked.
    fn submit(state: &mut QueueMoveState, service: usize, checked: Option<u64>) {
        if state.services[service].has_job {
            return;
        }
        let is_other_published = state.is_published(1 - service);
        let gate = &mut state.services[service].owner.gate;
        gate.retain_former(|_, _| is_other_published);
        match gate.admit(&route(), checked.map(order)) {
            QueueAdmission::Open => state.accept(service),
            QueueAdmission::CheckFormer(_, opening) if state.front == Front::Idle => {
                state.front = Front::Asking {
                    service,
                    opening: opening.order.version,
                };
            }
            _ => {}
        }
    }

    /// Returns what the other service replies to the process that asks for the job: whether it has the
    /// job, or `None` without a reply.
    fn lookup(&self, state: &QueueMoveState, is_replaced: bool) -> Option<bool> {
        let Front::Asking { service, opening } = state.front else {
            return None;
        };
        let other = &state.services[1 - service];
        let (gate, is_stored, has_job) = if is_replaced {
            let replaced = other.replaced.as_ref()?;
            (&replaced.gate, replaced.is_stored, replaced.has_job)
        } else {
            let is_stored = other.owner.unstored.is_none();
            (&other.owner.gate, is_stored, other.has_job)
        };
        let is_proved = is_stored && gate.is_closed_for(&queue(), order(opening));
        (is_proved || self.has_fault(QueueMoveFault::LookupBeforeClosing)).then_some(has_job)
    }

    /// Adds the steps of an owner.
    fn owner_actions(
        &self,
        state: &QueueMoveState,
        service: usize,
        actions: &mut Vec<QueueMoveAction>,
    ) {
        let owner = &state.services[service].owner;
        let later = version_of(&owner.gate) + 1..=state.version;
        actions.extend(later.map(|version| QueueMoveAction::Learn(service, version)));
        if owner.unstored.is_some() {
            actions.push(QueueMoveAction::Commit(service));
        }
        if Self::may_publish(owner) {
            actions.push(QueueMoveAction::Publish(service));
        }
        if self.may_withdraw(state, service) {
            actions.push(QueueMoveAction::Withdraw(service));
        }
        match owner.stage {
            Stage::Published { .. } => actions.push(QueueMoveAction::RequestClosing(service)),
            Stage::Closed { .. } => actions.push(QueueMoveAction::Open(service)),
            Stage::Idle | Stage::Publishing { .. } => {}
        }
        if state.takeovers < self.takeovers {
            let versions = 1..=state.version;
            actions.extend(versions.map(|version| QueueMoveAction::TakeOver(service, version)));
        }
        actions.push(QueueMoveAction::Submit(service));
    }
}

impl QueueMoveState {
    /// Returns whether the directory names a service for the queue.
    fn is_published(&self, service: usize) -> bool {
        let mut records = self.directory.iter();
        records.any(|(name, has_queue)| name.service == service && *has_queue)
    }

    /// Makes the last record of an owner durable, and replies to the request that waits for it.
    fn commit(&mut self, service: usize) {
        let Service { record, owner, .. } = &mut self.services[service];
        if let Some(unstored) = owner.unstored.take() {
            *record = Some(unstored);
        }
        if let Some(request) = owner.reply_to.take() {
            self.finish_closing(request);
        }
    }

    fn finish_closing(&mut self, request: CloseRequest) {
        let version = request.version;
        if let Some(stage) = self.stage_of(request) {
            *stage = Stage::Closed {
                version,
                has_other: true,
            };
        }
    }

    fn refuse_closing(&mut self, request: CloseRequest) {
        if let Some(stage) = self.stage_of(request) {
            *stage = Stage::Idle;
        }
    }

    /// Returns the stage of the owner that waits for the reply to a request.
    fn stage_of(&mut self, request: CloseRequest) -> Option<&mut Stage> {
        let owner = &mut self.services[request.from].owner;
        let waits = Stage::Published {
            version: request.version,
        };
        (owner.token == request.token && owner.stage == waits).then_some(&mut owner.stage)
    }

    /// Accepts the job, in one commit with what isn't durable yet.
    fn accept(&mut self, service: usize) {
        self.commit(service);
        self.services[service].has_job = true;
    }

    fn learn(&mut self, service: usize, version: u64) {
        let owner = &mut self.services[service].owner;
        let left = owner
            .gate
            .configure(order(version), routes(version, service));
        if let Some(record) = left.into_iter().next() {
            owner.unstored = Some(record.value);
        }
    }

    fn take_over(&mut self, service: usize, version: u64) {
        self.takeovers += 1;
        let replaced = &mut self.services[service];
        let token = replaced.owner.token + 1;
        let earlier = std::mem::take(&mut replaced.owner);
        replaced.replaced = Some(Replaced {
            gate: earlier.gate,
            is_stored: earlier.unstored.is_none(),
            has_job: replaced.has_job,
        });
        replaced.owner.token = token;
        if let Some(value) = &replaced.record {
            let record = KeyedRecord {
                key: String::from("~queue/"),
                value: value.clone(),
            };
            let restored = replaced.owner.gate.restore(&record);
            debug_assert!(matches!(restored, Ok(true)), "the record is readable");
        }
        self.learn(service, version);
    }
}

fn queue() -> QueueId {
    QueueId {
        host: "h".into(),
        path_prefix: "/q/".into(),
    }
}

fn route() -> RouteName {
    RouteName::from("q")
}

/// Returns whether a version of the configuration gives the queue to a service.
const fn leads_to(version: u64, service: usize) -> bool {
    version > 0 && (version + 1) % 2 == service as u64
}

/// Returns the routes that lead to a service.
fn routes(version: u64, service: usize) -> Option<(RouteName, QueueId)> {
    leads_to(version, service).then(|| (route(), queue()))
}

fn order(version: u64) -> ConfigurationOrder {
    ConfigurationOrder { version, offset: 0 }
}

/// Returns the version of an owner's configuration; 0 before it has read one.
fn version_of(gate: &QueueGate) -> u64 {
    gate.in_force().map_or(0, |order| order.version)
}

fn is_open(gate: &QueueGate) -> bool {
    gate.open_queues().next().is_some()
}

impl Model for QueueMoveModel {
    type State = QueueMoveState;
    type Action = QueueMoveAction;

    fn initial_state(&self) -> QueueMoveState {
        QueueMoveState {
            version: 1,
            takeovers: 0,
            services: Default::default(),
            directory: BTreeMap::new(),
            appends: BTreeSet::new(),
            close_requests: BTreeSet::new(),
            front: Front::Idle,
        }
    }

    fn actions(&self, state: &QueueMoveState) -> Vec<QueueMoveAction> {
        let mut actions = Vec::new();
        if state.version < self.versions {
            actions.push(QueueMoveAction::Configure);
        }
        for service in 0..SERVICES.len() {
            self.owner_actions(state, service, &mut actions);
        }
        actions.extend(state.appends.iter().copied().map(QueueMoveAction::Land));
        let free = |request: &&CloseRequest| {
            let owner = &state.services[1 - request.from].owner;
            owner.reply_to.is_none()
        };
        let requests = state.close_requests.iter().filter(free);
        actions.extend(requests.copied().map(QueueMoveAction::Close));
        if self.lookup(state, false).is_some() {
            actions.push(QueueMoveAction::AskFormer);
        }
        if self.lookup(state, true).is_some() {
            actions.push(QueueMoveAction::AskReplaced);
        }
        if matches!(state.front, Front::Checked { .. }) {
            actions.push(QueueMoveAction::SubmitChecked);
        }
        if state.front != Front::Idle {
            actions.push(QueueMoveAction::GiveUp);
        }
        actions
    }

    fn next_state(&self, state: &QueueMoveState, action: &QueueMoveAction) -> QueueMoveState {
        let mut state = state.clone();
        match *action {
            QueueMoveAction::Configure => state.version += 1,
            QueueMoveAction::Learn(service, version) => state.learn(service, version),
            QueueMoveAction::Commit(service) => state.commit(service),
            QueueMoveAction::Publish(service) => self.publish(&mut state, service),
            QueueMoveAction::Withdraw(service) => Self::append_record(&mut state, service, false),
            QueueMoveAction::Land(append) => self.land(&mut state, append),
            QueueMoveAction::RequestClosing(service) => self.request_closing(&mut state, service),
            QueueMoveAction::Close(request) => self.close(&mut state, request),
            QueueMoveAction::Open(service) => self.open(&mut state, service),
            QueueMoveAction::TakeOver(service, version) => state.take_over(service, version),
            QueueMoveAction::Submit(service) => Self::submit(&mut state, service, None),
            QueueMoveAction::AskFormer | QueueMoveAction::AskReplaced => {
                let is_replaced = matches!(action, QueueMoveAction::AskReplaced);
                if let (Front::Asking { service, opening }, Some(has_job)) =
                    (state.front, self.lookup(&state, is_replaced))
                {
                    state.front = if has_job {
                        Front::Idle
                    } else {
                        Front::Checked { service, opening }
                    };
                }
            }
            QueueMoveAction::SubmitChecked => {
                if let Front::Checked { service, opening } = std::mem::take(&mut state.front) {
                    Self::submit(&mut state, service, Some(opening));
                }
            }
            QueueMoveAction::GiveUp => state.front = Front::Idle,
        }
        state
    }

    fn check_invariants(&self, state: &QueueMoveState) -> Result<(), Violation> {
        if state.services.iter().all(|service| service.has_job) {
            return Err(Violation {
                invariant: "a job is accepted by one service",
                observed: String::from("both have it"),
            });
        }
        let lost = (0..SERVICES.len())
            .find(|&service| state.services[service].has_job && !state.is_published(service));
        match lost {
            Some(service) => Err(Violation {
                invariant: "the directory names the service that has the job",
                observed: format!("it doesn't name {}", SERVICES[service]),
            }),
            None => Ok(()),
        }
    }
}
