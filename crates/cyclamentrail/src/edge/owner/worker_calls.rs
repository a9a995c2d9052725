//! Calls of an owner to workers: sends each one directly or over a relay, and keeps those without an
//! outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::WorkerClient;
use cyclamentrail_jobs::{
    CommandOutcome, PlacedRun, PollOutcome, Relay, RelayedWorker, TaskKey, WorkerKey,
};
use slotmap::SlotMap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::OwnerMessage;
use super::relay_links::{RelayLinkView, RelayLinks};
use crate::edge::confirmation::Confirmation;
use crate::edge::relay::{CallId, CallOutcome, CallResult, RelayReport, RelayedCall, WorkerCall};

/// Time after which a relay that hasn't reported the outcome of a call is lost, beyond the time that
/// the worker may take.
const RELAY_MARGIN: Duration = Duration::from_millis(400);

/// What an owner has to know of a call when its outcome arrives.
#[derive(Debug, Clone, Copy)]
pub(super) enum CallPurpose {
    /// Start of a run.
    Start(PlacedRun),
    /// Stop of a run.
    Stop(PlacedRun),
    /// Change of a run's processor share.
    SetCpuShare { task: TaskKey, run: u32 },
    /// Poll that acknowledges ended runs.
    Poll {
        worker: WorkerKey,
        /// Sequence number up to which ended runs are acknowledged.
        durable_sequence: u64,
        /// Time for which the worker may wait.
        wait: Duration,
    },
}

impl From<&WorkerCall> for CallPurpose {
    fn from(call: &WorkerCall) -> Self {
        match call {
            WorkerCall::Start(command) => Self::Start(command.placed_run()),
            WorkerCall::Stop(command) => Self::Stop(command.placed_run()),
            WorkerCall::SetCpuShare(command) => Self::SetCpuShare {
                task: command.task,
                run: command.run,
            },
            WorkerCall::Poll(poll) => Self::Poll {
                worker: poll.target.key,
                durable_sequence: poll.durable_sequence,
                wait: Duration::from_millis(poll.wait_ms),
            },
        }
    }
}

impl CallPurpose {
    /// Returns the outcome of a call whose relay is lost.
    const fn lost_outcome(&self) -> CallOutcome {
        match self {
            Self::Start(_) | Self::Stop(_) => CallOutcome::Command(CommandOutcome::RelayLost),
            Self::SetCpuShare { .. } => CallOutcome::CpuShare(false),
            // A poll that is carried out late does nothing that the owner doesn't account for.
            Self::Poll { .. } => CallOutcome::Poll(PollOutcome::NotSent),
        }
    }

    const fn worker_wait(&self) -> Duration {
        match self {
            Self::Poll { wait, .. } => *wait,
            Self::Start(_) | Self::Stop(_) | Self::SetCpuShare { .. } => Duration::ZERO,
        }
    }
}

/// Call with its outcome.
#[derive(Debug)]
pub(super) struct FinishedCall {
    pub(super) purpose: CallPurpose,
    pub(super) outcome: CallOutcome,
    /// Time from the decision to the outcome, less the time for which the worker was allowed to
    /// wait.
    pub(super) duration: Duration,
}

/// Call without an outcome.
#[derive(Debug)]
struct OpenCall {
    purpose: CallPurpose,
    /// Relay over which the call goes.
    relay: Option<SocketAddr>,
    sent: Instant,
}

/// Calls of one owner.
#[derive(Debug)]
pub(super) struct WorkerCalls {
    client: WorkerClient,
    /// Time limit of a call at the worker, beyond the time that it may wait.
    timeout: Duration,
    confirmation: Confirmation,
    registry_confirmation: Confirmation,
    open: SlotMap<CallId, OpenCall>,
    links: RelayLinks,
    owner: mpsc::UnboundedSender<OwnerMessage>,
}

impl WorkerCalls {
    /// Creates the calls of an owner, which sends them while `confirmation` is valid.
    pub(super) fn new(
        client: WorkerClient,
        timeout: Duration,
        confirmation: Confirmation,
        registry_confirmation: Confirmation,
        links: RelayLinks,
        owner: mpsc::UnboundedSender<OwnerMessage>,
    ) -> Self {
        Self {
            client,
            timeout,
            confirmation,
            registry_confirmation,
            open: SlotMap::with_key(),
            links,
            owner,
        }
    }

    /// Returns whether starts may be sent: the ownership is confirmed, and the registrations are
    /// new enough that no worker's notice can have passed unseen.
    pub(super) fn may_send_starts(&self) -> bool {
        self.confirmation.is_valid() && self.registry_confirmation.is_valid()
    }

    /// Sends a call over the relay of its worker, or directly; returns whether it goes over a relay.
    pub(super) fn send(&mut self, call: WorkerCall) -> bool {
        let relay = self.links.relay_of(&call.target().id);
        let id = self.open.insert(OpenCall {
            purpose: CallPurpose::from(&call),
            relay,
            sent: Instant::now(),
        });
        match relay {
            Some(relay) => self.links.push(relay, RelayedCall { id, call }),
            None => self.send_directly(id, call),
        }
        relay.is_some()
    }

    fn send_directly(&self, id: CallId, call: WorkerCall) {
        let (client, owner) = (self.client.clone(), self.owner.clone());
        let confirmation = self.confirmation.clone();
        let registry = matches!(call, WorkerCall::Start(_));
        let registry = registry.then(|| self.registry_confirmation.clone());
        tokio::spawn(async move {
            let is_registry_valid = registry.is_none_or(|registry| registry.is_valid());
            let outcome = if confirmation.is_valid() && is_registry_valid {
                call.send(&client).await
            } else {
                call.expired()
            };
            drop(owner.send(OwnerMessage::CallResult(CallResult { id, outcome })));
        });
    }

    /// Sends a call directly that is too long for a frame to its relay, unless the relay is lost, so that
    /// the call counts as unknown already.
    pub(super) fn send_too_long(&mut self, relay: SocketAddr, call: RelayedCall) {
        let RelayedCall { id, call } = call;
        let Some(open) = self.open.get_mut(id) else {
            return;
        };
        open.relay = None;
        log::warn!(relay:% = relay, worker:% = call.target().id; "relayed_call_too_long");
        self.send_directly(id, call);
    }

    /// Sends the batches that are due to relays; returns the time until the next one is due.
    pub(super) fn send_batches(&mut self) -> Option<Duration> {
        self.links
            .send_batches(&self.confirmation, &self.registry_confirmation)
    }

    /// Takes the call that an outcome belongs to; `None` if its relay was lost before.
    pub(super) fn finish(&mut self, result: CallResult) -> Option<FinishedCall> {
        let call = self.open.remove(result.id)?;
        Some(FinishedCall {
            purpose: call.purpose,
            outcome: result.outcome,
            duration: call
                .sent
                .elapsed()
                .saturating_sub(call.purpose.worker_wait()),
        })
    }

    /// Takes the calls whose outcomes a relay reports.
    pub(super) fn finish_reported(
        &mut self,
        relay: SocketAddr,
        report: RelayReport,
    ) -> Vec<FinishedCall> {
        self.links.record_report(relay, &report);
        report
            .results
            .into_iter()
            .filter_map(|result| self.finish(result))
            .collect()
    }

    /// Takes the calls of relays that are silent, or that haven't reported a call in time.
    pub(super) fn finish_overdue(&mut self) -> Vec<FinishedCall> {
        if !self.links.are_any_open() {
            return Vec::new();
        }
        let mut lost = self.links.silent_relays();
        let limit = self.timeout + RELAY_MARGIN;
        let overdue = self.open.values().filter_map(|call| {
            let waited = call.sent.elapsed();
            let relay = call.relay?;
            (waited > limit + call.purpose.worker_wait()).then_some(relay)
        });
        lost.extend(overdue);
        lost.sort_unstable();
        lost.dedup();
        let calls = lost.into_iter();
        calls.flat_map(|relay| self.finish_lost(relay)).collect()
    }

    /// Takes the calls of a lost relay, whose outcomes are unknown, and doesn't use the relay for a
    /// while.
    pub(super) fn finish_lost(&mut self, relay: SocketAddr) -> Vec<FinishedCall> {
        let is_lost = |(_, call): &(CallId, &OpenCall)| call.relay == Some(relay);
        let lost_result = |(id, call): (CallId, &OpenCall)| CallResult {
            id,
            outcome: call.purpose.lost_outcome(),
        };
        let open = self.open.iter().filter(is_lost);
        let results: Vec<CallResult> = open.map(lost_result).collect();
        if self.links.drop_lost(relay) {
            log::warn!(relay:% = relay, open_calls = results.len(); "relay_lost");
        }
        results
            .into_iter()
            .filter_map(|result| self.finish(result))
            .collect()
    }

    /// Reviews the spread of the workers over the relays if it is due.
    pub(super) fn review_relays(
        &mut self,
        relays: &Arc<Vec<Relay>>,
        workers: impl FnOnce() -> Vec<RelayedWorker>,
    ) {
        if self.links.is_review_due() {
            let open = &self.open;
            let has_open_calls =
                |relay: SocketAddr| open.values().any(|call| call.relay == Some(relay));
            self.links.review(&workers(), relays, has_open_calls);
        }
    }

    /// Describes the links to relays for operators.
    pub(super) fn describe_relays(
        &self,
        workers: &[RelayedWorker],
    ) -> BTreeMap<String, RelayLinkView> {
        self.links.describe(workers)
    }
}
