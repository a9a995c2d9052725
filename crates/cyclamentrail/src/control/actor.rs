//! State and message handling of the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamentrail_core::{
    Fleet, Incarnation, InstanceName, LeaveReason, Membership, MembershipTiming, Offset,
    RecordBody, RecordId, Settings, Term, Version,
};
use cyclamentrail_platform::ListedInstance;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::claims::{ClaimAction, ClaimTable};
use super::identity::Identity;
use super::record_history::RecordHistory;
use super::recovery::PeerAddresses;
use super::wave_duty::WaveDuty;
use super::writer::Writer;
use super::{
    ClaimMessage, ClaimReply, ControlHandle, ControlMessage, PlatformClient, SnapshotStore,
    SubmitError,
};
use crate::clock;
use crate::peer::PeerClient;
use crate::timer::Ticks;
use crate::traffic::Link;
use crate::view::SharedView;

mod catch_up;
mod dump;
mod fleet_duty;
mod folding;
mod links;
mod members;
mod submit;

type SubmitReply = oneshot::Sender<Result<(), SubmitError>>;

/// Identity, clients and shared state that [`Actor`] is built from.
#[derive(Debug)]
pub(crate) struct ActorParts {
    /// Names and addresses of this process.
    pub(crate) identity: Identity,
    /// Merged settings document that the process was started with.
    pub(crate) start_document: Value,
    /// Typed settings of `start_document`; in use until the log brings settings.
    pub(crate) start_settings: Arc<Settings>,
    /// Holder of the view that traffic routes from.
    pub(crate) shared: Arc<SharedView>,
    /// Handle of the control thread itself, passed to the tasks that it starts.
    pub(crate) control: ControlHandle,
    /// Queue of the records that are appended to the log.
    pub(crate) writer: Writer,
    /// Client of the platform's log and instance list.
    pub(crate) platform: PlatformClient,
    /// Snapshots in the platform's log.
    pub(crate) snapshots: SnapshotStore,
    /// Client of the other entries.
    pub(crate) peers: PeerClient,
    /// Addresses of peers that [`Recovery`](super::Recovery) may query; the actor keeps them
    /// current.
    pub(crate) peer_addresses: PeerAddresses,
    /// Offset of the record that is folded next, for the follower.
    pub(crate) next_offset: watch::Sender<Offset>,
}

/// Owner of the agreed state; runs on the control thread.
#[derive(Debug)]
pub(crate) struct Actor {
    parts: ActorParts,
    fleet: Fleet,
    membership: Membership,
    record_history: RecordHistory,
    /// Last known listing of each instance, also of those that the list no longer shows.
    instance_list: BTreeMap<InstanceName, ListedInstance>,
    links: BTreeMap<InstanceName, Arc<Link>>,
    /// Closed links that may still have requests in flight.
    closing_links: Vec<Arc<Link>>,
    pending: BTreeMap<RecordId, PendingRecord>,
    /// Sequence number of the last record that this incarnation submitted.
    last_sequence: u64,
    member_state: MemberState,
    /// Clock in milliseconds of the last [`RecordBody::EntryAlive`] record.
    alive_written_ms: u64,
    /// Number of the drain that this process last released, by instance.
    release_written: BTreeMap<InstanceName, u64>,
    wave_duty: WaveDuty,
    claim_table: ClaimTable,
    /// Term that this process last claimed the fleet duty after, and the clock in milliseconds.
    duty_claim: Option<(Term, u64)>,
    evictions: BTreeMap<Incarnation, EvictionAttempt>,
    snapshot: SnapshotState,
    lag: catch_up::Lag,
    /// Whether folded records changed what the published view shows.
    view_stale: bool,
}

/// Progress of this incarnation from joining to leaving the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberState {
    /// No join record is under way: none was submitted yet, or the last one failed.
    Outside,
    /// The join record was submitted and isn't folded yet.
    Joining,
    /// The join record was folded; the incarnation may have been evicted since.
    Member,
    /// The process is stopping and submitted its leave record.
    Leaving,
}

/// A submitted record that isn't folded yet.
#[derive(Debug)]
struct PendingRecord {
    /// Receiver of the result; `None` for records that the control thread submits on its own.
    reply: Option<SubmitReply>,
    /// Time at which the submitter gets [`SubmitError::Uncertain`].
    due: Instant,
}

/// Last eviction record that this process submitted for a member.
#[derive(Debug, Clone, Copy)]
struct EvictionAttempt {
    /// Clock in milliseconds when the record was submitted.
    submitted_ms: u64,
    /// Pause in milliseconds before the eviction is submitted again.
    pause_ms: u64,
}

/// State of the snapshots in the log, as far as this process knows.
#[derive(Debug, Default)]
struct SnapshotState {
    /// Offset of the first record that the newest known snapshot doesn't cover.
    next_uncovered: Offset,
    /// Offset of the oldest record that the log retains.
    oldest_record: Offset,
    /// Clock in milliseconds when this process last started to write a snapshot.
    attempted_ms: u64,
    /// Settings version of the snapshot that is being written; `None` when none is.
    writing_version: Option<Version>,
    /// Settings version of the newest known snapshot.
    settings_version: Version,
}

impl Actor {
    /// Creates the state of a process that hasn't joined the members yet.
    pub(crate) fn new(parts: ActorParts) -> Self {
        let timing = membership_timing(&parts.start_settings);
        let membership = Membership::new(parts.identity.incarnation, timing, clock::now_ms());
        Self {
            parts,
            fleet: Fleet::new(),
            membership,
            record_history: RecordHistory::default(),
            instance_list: BTreeMap::new(),
            links: BTreeMap::new(),
            closing_links: Vec::new(),
            pending: BTreeMap::new(),
            last_sequence: 0,
            member_state: MemberState::Outside,
            alive_written_ms: 0,
            release_written: BTreeMap::new(),
            wave_duty: WaveDuty::default(),
            claim_table: ClaimTable::default(),
            duty_claim: None,
            evictions: BTreeMap::new(),
            snapshot: SnapshotState::default(),
            lag: catch_up::Lag::default(),
            view_stale: false,
        }
    }

    /// Handles messages and timer ticks until all senders are dropped.
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
            ControlMessage::Records {
                response,
                requested_ms,
            } => self.handle_records(&response, requested_ms),
            ControlMessage::AdoptSnapshot { fleet, reply } => {
                self.adopt_snapshot(*fleet);
                reply.send(()).unwrap_or_default();
            }
            ControlMessage::SnapshotResult(result) => self.handle_snapshot_result(result),
            ControlMessage::List(list) => self.handle_list(list),
            ControlMessage::ListUnchanged => self.drain_leaving(),
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
            ControlMessage::Claim(message) => self.handle_claim(message),
            ControlMessage::Fleet(reply) => drop(reply.send(Box::new(self.fleet.clone()))),
            ControlMessage::SettingsStatus(reply) => drop(reply.send(self.settings_status())),
            ControlMessage::Dump(reply) => drop(reply.send(self.dump())),
            ControlMessage::Heartbeat { heartbeat, reply } => {
                drop(reply.send(self.handle_heartbeat(&heartbeat)));
            }
            ControlMessage::HeartbeatResult { peer, response } => {
                self.handle_heartbeat_result(peer, response.as_deref());
            }
            ControlMessage::WriteFailed(failure) => self.handle_write_failure(&failure),
            ControlMessage::Leave(reply) => self.leave(reply),
        }
    }

    fn handle_claim(&mut self, message: ClaimMessage) {
        let own = self.parts.identity.incarnation;
        if let ClaimAction::SubmitClaim { record, reply } =
            self.claim_table.handle(&self.fleet, own, message)
        {
            let (result, folded) = oneshot::channel();
            self.submit(RecordBody::Claim(record), Some(result));
            drop(reply.send(ClaimReply::Submitted(folded)));
        }
        self.append_claim_ends();
    }

    /// Submits the ends of runs that are due.
    fn append_claim_ends(&mut self) {
        for record in self
            .claim_table
            .due_ends(&self.fleet, self.parts.identity.incarnation)
        {
            self.submit(RecordBody::Claim(record), None);
        }
    }

    fn tick(&mut self) {
        let now_ms = clock::now_ms();
        self.refresh_members(now_ms);
        self.send_heartbeats(now_ms);
        self.expire_pending();
        self.append_claim_ends();
        self.release_drained();
        self.write_alive_record(now_ms);
        self.update_duty(now_ms);
    }

    fn leave(&mut self, reply: SubmitReply) {
        self.member_state = MemberState::Leaving;
        let body = RecordBody::EntryLeft {
            incarnation: self.parts.identity.incarnation,
            reason: LeaveReason::Stopped,
        };
        self.submit(body, Some(reply));
    }

    fn settings_version(&self) -> Version {
        self.fleet
            .settings()
            .map(|accepted| accepted.version)
            .unwrap_or_default()
    }

    fn settings(&self) -> &Settings {
        self.fleet
            .settings()
            .map_or(&self.parts.start_settings, |accepted| &accepted.settings)
    }
}

fn membership_timing(settings: &Settings) -> MembershipTiming {
    let ms =
        |duration: std::time::Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let control = &settings.control;
    MembershipTiming::new(ms(control.heartbeat_ms), ms(control.dispatch_lease_ms))
}
