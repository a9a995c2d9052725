//! The control thread's state and what it does with each message.

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
use super::history::History;
use super::identity::Identity;
use super::recovery::PeerAddresses;
use super::wave_duty::WaveDuty;
use super::writer::Writer;
use super::{
    ClaimAnswer, ClaimMessage, ControlHandle, ControlMessage, PlatformClient, SnapshotStore,
    SubmitError,
};
use crate::clock;
use crate::peer::PeerClient;
use crate::timer::Ticks;
use crate::traffic::Link;
use crate::view::SharedView;

mod catch_up;
mod dump;
mod duties;
mod folding;
mod links;
mod members;
mod submit;

type Reply = oneshot::Sender<Result<(), SubmitError>>;

/// What the control thread works with.
#[derive(Debug)]
pub(crate) struct Parts {
    /// Who this process is.
    pub(crate) identity: Identity,
    /// Merged document that the process was started with.
    pub(crate) start_document: Value,
    /// The document as typed settings.
    pub(crate) start_settings: Arc<Settings>,
    /// The view that traffic routes from.
    pub(crate) shared: Arc<SharedView>,
    /// Handle of the control thread itself, for tasks that it starts.
    pub(crate) control: ControlHandle,
    /// Queue of records for the log.
    pub(crate) writer: Writer,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Store of snapshots.
    pub(crate) snapshots: SnapshotStore,
    /// Client of the other entries.
    pub(crate) peers: PeerClient,
    /// Addresses of peers, for recovery.
    pub(crate) peer_addresses: PeerAddresses,
    /// Tells the follower which record is folded next.
    pub(crate) folded: watch::Sender<Offset>,
}

/// Owns the agreed state.
#[derive(Debug)]
pub(crate) struct Actor {
    parts: Parts,
    fleet: Fleet,
    membership: Membership,
    history: History,
    list: BTreeMap<InstanceName, ListedInstance>,
    links: BTreeMap<InstanceName, Arc<Link>>,
    closing: Vec<Arc<Link>>,
    pending: BTreeMap<RecordId, Pending>,
    sequence: u64,
    standing: Standing,
    alive_ms: u64,
    released: BTreeMap<InstanceName, u64>,
    duty: WaveDuty,
    claims: ClaimTable,
    claimed: Option<(Term, u64)>,
    evictions: BTreeMap<Incarnation, EvictionTry>,
    snapshot: SnapshotState,
    lag: catch_up::Lag,
    view_stale: bool,
}

/// How this incarnation stands to the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It hasn't asked to join, or its record was lost.
    Outside,
    /// Its record is on the way.
    Joining,
    /// It was a member; whether it still is, the fold tells.
    Member,
    /// It asked to leave.
    Leaving,
}

/// A record that was submitted and isn't folded yet.
#[derive(Debug)]
struct Pending {
    reply: Option<Reply>,
    due: Instant,
}

/// An eviction that this process wrote.
#[derive(Debug, Clone, Copy)]
struct EvictionTry {
    /// Clock in milliseconds when it was written.
    written_ms: u64,
    /// Pause in milliseconds before it is written again.
    pause_ms: u64,
}

/// What this process knows of the snapshots in the log.
#[derive(Debug, Default)]
struct SnapshotState {
    /// First record that the newest known snapshot doesn't cover.
    newest: Offset,
    /// Oldest record that the log keeps.
    oldest: Offset,
    /// Clock in milliseconds when the last one was written or tried.
    tried_ms: u64,
    /// Settings version of the snapshot that is being written.
    writing: Option<Version>,
    /// Settings version of the newest known snapshot.
    settings_version: Version,
}

impl Actor {
    /// Creates the state of a process that hasn't joined yet.
    pub(crate) fn new(parts: Parts) -> Self {
        let timing = timing_of(&parts.start_settings);
        let membership = Membership::new(parts.identity.incarnation, timing, clock::now_ms());
        Self {
            parts,
            fleet: Fleet::new(),
            membership,
            history: History::default(),
            list: BTreeMap::new(),
            links: BTreeMap::new(),
            closing: Vec::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            standing: Standing::Outside,
            alive_ms: 0,
            released: BTreeMap::new(),
            duty: WaveDuty::default(),
            claims: ClaimTable::default(),
            claimed: None,
            evictions: BTreeMap::new(),
            snapshot: SnapshotState::default(),
            lag: catch_up::Lag::default(),
            view_stale: false,
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
            ControlMessage::Records { answer, asked_ms } => self.take_records(&answer, asked_ms),
            ControlMessage::Snapshot { fleet, reply } => {
                self.take_snapshot(*fleet);
                reply.send(()).unwrap_or_default();
            }
            ControlMessage::SnapshotWritten(covered) => self.note_snapshot(covered),
            ControlMessage::List(list) => self.take_list(list),
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
            ControlMessage::InForce(reply) => drop(reply.send(self.in_force())),
            ControlMessage::Dump(reply) => drop(reply.send(self.dump())),
            ControlMessage::Heartbeat { heartbeat, reply } => {
                drop(reply.send(self.answer_heartbeat(&heartbeat)));
            }
            ControlMessage::HeartbeatAnswered { peer, answer } => {
                self.take_answer(peer, answer.as_deref());
            }
            ControlMessage::WriteFailed(failed) => self.fail_writes(&failed),
            ControlMessage::Leave(reply) => self.leave(reply),
        }
    }

    fn handle_claim(&mut self, message: ClaimMessage) {
        let own = self.parts.identity.incarnation;
        if let ClaimAction::Claim { record, reply } = self.claims.handle(&self.fleet, own, message)
        {
            let (result, folded) = oneshot::channel();
            self.submit(RecordBody::Claim(record), Some(result));
            drop(reply.send(ClaimAnswer::Submitted(folded)));
        }
        self.end_claims();
    }

    fn end_claims(&mut self) {
        for record in self
            .claims
            .due(&self.fleet, self.parts.identity.incarnation)
        {
            self.submit(RecordBody::Claim(record), None);
        }
    }

    fn tick(&mut self) {
        let now_ms = clock::now_ms();
        self.refresh_members(now_ms);
        self.send_heartbeats(now_ms);
        self.expire_pending();
        self.end_claims();
        self.release_drained();
        self.show_alive(now_ms);
        self.step_duty(now_ms);
    }

    fn leave(&mut self, reply: Reply) {
        self.standing = Standing::Leaving;
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

fn timing_of(settings: &Settings) -> MembershipTiming {
    let ms =
        |duration: std::time::Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let control = &settings.control;
    MembershipTiming::new(ms(control.heartbeat_ms), ms(control.dispatch_lease_ms))
}
