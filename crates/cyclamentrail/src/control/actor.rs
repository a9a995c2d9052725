//! The control thread's state and what it does with each message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cyclamentrail_core::{
    Applied, DrainReason, EntryName, FORMAT, Fleet, Incarnation, Instance, InstanceName,
    InstanceState, LeaveReason, Record, RecordBody, RecordId, Settings, Term, ZoneName,
    decode_record,
};
use cyclamentrail_platform::{InstanceList, ListedInstance, ListedState, LogRecord, ReadAnswer};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::duty::{DutyAction, FleetDuty, World};
use super::platform_client::PlatformClient;
use super::writer::{WriteFailed, Writer};
use super::{ControlMessage, SubmitError};
use crate::timer::Ticks;
use crate::traffic::Link;
use crate::view::{ServiceRoute, SharedView, View};
use crate::{clock, metrics};

type Reply = oneshot::Sender<Result<(), SubmitError>>;

/// Who this process is.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Name of the entry instance.
    pub(crate) entry: EntryName,
    /// This run of the process.
    pub(crate) incarnation: Incarnation,
    /// Availability zone that it stands in.
    pub(crate) zone: ZoneName,
    /// Address of its listener for peers.
    pub(crate) peer_address: SocketAddr,
}

/// Owns the agreed state.
#[derive(Debug)]
pub(crate) struct Actor {
    identity: Identity,
    start_document: Value,
    start_settings: Arc<Settings>,
    fleet: Fleet,
    list: BTreeMap<InstanceName, ListedInstance>,
    links: BTreeMap<InstanceName, Arc<Link>>,
    closing: Vec<Arc<Link>>,
    pending: BTreeMap<u64, Option<Reply>>,
    sequence: u64,
    joining: bool,
    released: BTreeMap<InstanceName, u64>,
    duty: FleetDuty,
    claimed_term: Option<Term>,
    shared: Arc<SharedView>,
    writer: Writer,
    platform: PlatformClient,
}

impl Actor {
    /// Creates the state of a process that hasn't joined yet.
    pub(crate) fn new(
        identity: Identity,
        start_document: Value,
        start_settings: Arc<Settings>,
        shared: Arc<SharedView>,
        writer: Writer,
        platform: PlatformClient,
    ) -> Self {
        Self {
            identity,
            start_document,
            start_settings,
            fleet: Fleet::new(),
            list: BTreeMap::new(),
            links: BTreeMap::new(),
            closing: Vec::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            joining: false,
            released: BTreeMap::new(),
            duty: FleetDuty::default(),
            claimed_term: None,
            shared,
            writer,
            platform,
        }
    }

    /// Handles messages until all senders are gone.
    pub(crate) async fn run(
        mut self,
        mut messages: mpsc::Receiver<ControlMessage>,
        mut ticks: Ticks,
    ) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = ticks.next() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Records { answer, asked_ms } => self.fold_records(&answer, asked_ms),
            ControlMessage::List(list) => self.take_list(list),
            ControlMessage::ChangeSettings {
                presumes,
                patch,
                operator,
                reply,
            } => {
                let current = self.fleet.settings().map(|accepted| accepted.version);
                let body = RecordBody::SettingsChanged {
                    presumes: presumes.or(current).unwrap_or_default(),
                    patch,
                    operator,
                };
                self.submit(body, Some(reply));
            }
            ControlMessage::Submit { body, reply } => self.submit(body, Some(reply)),
            ControlMessage::Fleet(reply) => drop(reply.send(Box::new(self.fleet.clone()))),
            ControlMessage::Dump(reply) => drop(reply.send(self.dump())),
            ControlMessage::WriteFailed(failed) => self.fail_writes(&failed),
            ControlMessage::Leave(reply) => {
                let body = RecordBody::EntryLeft {
                    incarnation: self.identity.incarnation,
                    reason: LeaveReason::Stopped,
                };
                self.submit(body, Some(reply));
            }
        }
    }

    fn tick(&mut self) {
        self.release_drained();
        match self.fleet.duty().holder {
            Some(holder) if holder == self.identity.incarnation => self.run_duty(),
            Some(_) => self.duty = FleetDuty::default(),
            None => self.claim_duty(),
        }
    }

    fn claim_duty(&mut self) {
        let term = self.fleet.duty().term;
        let first = self.fleet.members().next();
        let is_first = first.is_some_and(|(first, _)| first == self.identity.incarnation);
        if is_first && self.claimed_term != Some(term) {
            self.claimed_term = Some(term);
            self.submit(RecordBody::DutyClaimed { presumes: term }, None);
        }
    }

    fn run_duty(&mut self) {
        let world = World {
            fleet: &self.fleet,
            list: &self.list,
            own: self.identity.incarnation,
            now_ms: clock::now_ms(),
        };
        for action in self.duty.step(&world) {
            match action {
                DutyAction::Submit(body) => self.submit(body, None),
                DutyAction::Reboot(instance) => self.reboot(instance),
            }
        }
    }

    fn reboot(&self, instance: InstanceName) {
        let platform = self.platform.clone();
        tokio::spawn(async move {
            if let Err(error) = platform.reboot(&instance).await {
                log::warn!(instance:% = instance, error:% = error; "reboot_failed");
            }
        });
    }

    fn fold_records(&mut self, answer: &ReadAnswer, asked_ms: u64) {
        for record in &answer.records {
            self.fold_record(record);
        }
        let caught_up = self.fleet.next_offset() >= answer.head;
        if caught_up {
            self.join_or_confirm(asked_ms);
        }
        if !answer.records.is_empty() {
            self.publish_view();
        }
        self.release_drained();
    }

    fn fold_record(&mut self, logged: &LogRecord) {
        if logged.offset < self.fleet.next_offset() {
            return;
        }
        let record = match decode_record(&logged.bytes) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(offset:% = logged.offset, error:% = error; "record_skipped");
                self.fleet.skip(logged.offset, logged.appended_ms);
                return;
            }
        };
        let applied = self.fleet.apply(logged.offset, logged.appended_ms, &record);
        metrics::count_record(matches!(applied, Applied::Accepted));
        if let Applied::Rejected(rejection) = &applied {
            log::info!(offset:% = logged.offset, author:% = record.id.author, reason:% = rejection.kind; "record_rejected");
        }
        if record.id.author == self.identity.incarnation
            && let Some(Some(reply)) = self.pending.remove(&record.id.sequence)
        {
            let result = match applied {
                Applied::Accepted => Ok(()),
                Applied::Rejected(rejection) => Err(SubmitError::Rejected(rejection.kind)),
            };
            drop(reply.send(result));
        }
    }

    fn join_or_confirm(&mut self, asked_ms: u64) {
        let member = self.fleet.member(self.identity.incarnation).is_some();
        if !member {
            if !self.joining {
                self.joining = true;
                self.submit(
                    RecordBody::EntryJoined {
                        entry: self.identity.entry.clone(),
                        zone: self.identity.zone.clone(),
                        peer_address: self.identity.peer_address,
                        supports_format: FORMAT,
                    },
                    None,
                );
            }
            return;
        }
        if self.fleet.settings().is_none() {
            if self.pending.is_empty() {
                let body = RecordBody::SettingsChanged {
                    presumes: cyclamentrail_core::Version::default(),
                    patch: self.start_document.clone(),
                    operator: format!("entry {}", self.identity.entry),
                };
                self.submit(body, None);
            }
            return;
        }
        let lease = self.settings().control.dispatch_lease_ms;
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        self.shared.permit_until(asked_ms.saturating_add(lease_ms));
    }

    fn settings(&self) -> &Settings {
        self.fleet
            .settings()
            .map_or(&self.start_settings, |accepted| &accepted.settings)
    }

    fn submit(&mut self, body: RecordBody, reply: Option<Reply>) {
        self.sequence += 1;
        let record = Record {
            format: FORMAT,
            id: RecordId::new(self.identity.incarnation, self.sequence),
            body: Some(body),
        };
        match self.writer.queue(&record) {
            Ok(true) => {
                self.pending.insert(self.sequence, reply);
            }
            Ok(false) => answer(reply, SubmitError::LogDown),
            Err(error) => {
                log::error!(error:% = error; "record_not_encoded");
                answer(reply, SubmitError::LogDown);
            }
        }
    }

    fn fail_writes(&mut self, failed: &WriteFailed) {
        self.joining = false;
        self.claimed_term = None;
        for sequence in &failed.sequences {
            let reply = self.pending.remove(sequence).flatten();
            let error = if failed.uncertain {
                SubmitError::Uncertain
            } else {
                SubmitError::LogDown
            };
            answer(reply, error);
        }
        self.released.clear();
    }

    fn take_list(&mut self, list: InstanceList) {
        self.list = list
            .instances
            .into_iter()
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        self.drain_leaving();
        self.publish_view();
    }

    fn drain_leaving(&mut self) {
        let leaving: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter(|(name, instance)| {
                instance.state == InstanceState::Serving && self.is_leaving(name)
            })
            .map(|(name, instance)| RecordBody::DrainBegun {
                instance: name.clone(),
                presumes: instance.version,
                reason: DrainReason::Leaving,
            })
            .collect();
        for body in leaving {
            self.submit(body, None);
        }
    }

    fn is_leaving(&self, name: &InstanceName) -> bool {
        self.list
            .get(name)
            .is_some_and(|listed| listed.state == ListedState::Leaving)
    }

    fn publish_view(&mut self) {
        let Some(accepted) = self.fleet.settings().cloned() else {
            return;
        };
        self.refresh_links(&accepted.settings);
        let mut services = BTreeMap::new();
        for (service, settings) in &accepted.settings.services {
            let links = self
                .links
                .iter()
                .filter(|(name, _)| {
                    self.fleet
                        .instance(name)
                        .is_some_and(|instance| instance.pool == settings.pool)
                })
                .map(|(_, link)| Arc::clone(link))
                .collect();
            let route = ServiceRoute {
                settings: settings.clone(),
                links,
            };
            services.insert(service.clone(), route);
        }
        self.shared.publish(View {
            settings_version: accepted.version,
            settings: Some(accepted.settings),
            services,
        });
    }

    fn refresh_links(&mut self, settings: &Settings) {
        let mut links = BTreeMap::new();
        for (name, instance) in self.fleet.instances() {
            let Some(listed) = self.list.get(name) else {
                continue;
            };
            if !takes_work(instance, listed) {
                continue;
            }
            let link = match self.links.get(name) {
                Some(link) if is_current(link, instance, listed) => Arc::clone(link),
                _ => Arc::new(Link::new(
                    name.clone(),
                    instance.version,
                    listed.address,
                    listed.boot,
                    settings.worker.slots,
                )),
            };
            links.insert(name.clone(), link);
        }
        let old = std::mem::replace(&mut self.links, links);
        for (name, link) in old {
            let kept = self
                .links
                .get(&name)
                .is_some_and(|current| Arc::ptr_eq(current, &link));
            if !kept {
                link.close();
                self.closing.push(link);
            }
        }
    }

    fn release_drained(&mut self) {
        self.closing.retain(|link| !link.is_released());
        let releases: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter_map(|(name, instance)| self.release_of(name, instance))
            .collect();
        for body in releases {
            if let RecordBody::DrainReleased { instance, drain } = &body {
                self.released.insert(instance.clone(), drain.get());
            }
            self.submit(body, None);
        }
    }

    fn release_of(&self, name: &InstanceName, instance: &Instance) -> Option<RecordBody> {
        let InstanceState::Draining {
            drain, awaiting, ..
        } = &instance.state
        else {
            return None;
        };
        let due = awaiting.contains(&self.identity.incarnation)
            && self.released.get(name) != Some(&drain.get())
            && !self.links.contains_key(name)
            && !self.closing.iter().any(|link| &link.instance == name);
        due.then(|| RecordBody::DrainReleased {
            instance: name.clone(),
            drain: *drain,
        })
    }

    fn dump(&self) -> Value {
        let links: BTreeMap<&str, Value> = self
            .links
            .iter()
            .map(|(name, link)| {
                let candidate = link.candidate();
                let value = json!({
                    "address": link.address,
                    "boot": link.boot,
                    "in_flight": candidate.in_flight,
                    "slots": candidate.slots,
                });
                (name.as_str(), value)
            })
            .collect();
        json!({
            "entry": self.identity.entry,
            "incarnation": self.identity.incarnation,
            "settings_version": self.shared.load().settings_version,
            "may_dispatch": self.shared.may_dispatch(),
            "pending_records": self.pending.len(),
            "fleet": self.fleet,
            "links": links,
        })
    }
}

fn answer(reply: Option<Reply>, error: SubmitError) {
    if let Some(reply) = reply {
        drop(reply.send(Err(error)));
    }
}

fn takes_work(instance: &Instance, listed: &ListedInstance) -> bool {
    instance.state == InstanceState::Serving && listed.state == ListedState::Live
}

fn is_current(link: &Link, instance: &Instance, listed: &ListedInstance) -> bool {
    link.version == instance.version && link.address == listed.address && link.boot == listed.boot
}
