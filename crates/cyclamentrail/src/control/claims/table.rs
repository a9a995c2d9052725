//! Grants each run once, and submits the end of each run until the log has it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamentrail_core::{
    ClaimLookup, ClaimOutcome, ClaimRecord, Fleet, Incarnation, KeyDigest, Offset, UnknownReason,
};
use tokio::sync::oneshot;

use super::large_responses::LargeResponses;
use super::{ClaimMessage, ClaimReply, ClaimRequest, RunEnd, RunId, RunPermit};
use crate::clock;

/// Interval in milliseconds between two submissions of the same end of a run.
const RESUBMIT_INTERVAL_MS: u64 = 1000;
/// Interval in milliseconds between two searches for abandoned claims.
const SWEEP_INTERVAL_MS: u64 = 2000;

/// Effect of a message, carried out by the actor.
#[derive(Debug)]
pub(crate) enum ClaimAction {
    /// No effect.
    None,
    /// Submit a claim record and send the receiver of its result to `reply`.
    SubmitClaim {
        record: ClaimRecord,
        reply: oneshot::Sender<ClaimReply>,
    },
}

/// A run that was granted in this process, until the log has its end.
#[derive(Debug)]
struct TrackedRun {
    /// Offset of the accepted claim.
    claim: Offset,
    /// Record of the run's end; `None` while it is running.
    end: Option<ClaimRecord>,
    /// Clock in milliseconds when `end` was last submitted.
    submitted_ms: Option<u64>,
}

/// State of idempotency keys in this process, beside the claims in the agreed state.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    runs: BTreeMap<KeyDigest, TrackedRun>,
    /// Requests that wait for a change of a key, see [`ClaimReply::Running`].
    waiters: BTreeMap<KeyDigest, Vec<oneshot::Sender<()>>>,
    large_responses: LargeResponses,
    /// Claims of this process that had no run at the last search for abandoned claims.
    unattended_claims: BTreeMap<KeyDigest, Offset>,
    last_sweep_ms: u64,
}

impl ClaimTable {
    /// Handles a message and returns its effect.
    pub(crate) fn handle(
        &mut self,
        fleet: &Fleet,
        own: Incarnation,
        message: ClaimMessage,
    ) -> ClaimAction {
        match message {
            ClaimMessage::Request(claim_request) => {
                return self.claim_run(fleet, own, claim_request);
            }
            ClaimMessage::End { run, end } => self.handle_end(run, end),
            ClaimMessage::Fetch { key, reply } => drop(reply.send(self.outcome_of(fleet, &key))),
        }
        ClaimAction::None
    }

    /// Replies to a claim request; returns the claim to submit when the key is free.
    fn claim_run(
        &mut self,
        fleet: &Fleet,
        own: Incarnation,
        claim_request: ClaimRequest,
    ) -> ClaimAction {
        let ClaimRequest {
            key,
            request,
            control,
            reply,
        } = claim_request;
        let is_member = |process| fleet.member(process).is_some();
        let response = match fleet.claims().look_up(&key, &request, own, is_member) {
            ClaimLookup::Unclaimed => {
                let record = ClaimRecord::Claimed {
                    key,
                    request,
                    seen_ms: fleet.clock_ms(),
                };
                return ClaimAction::SubmitClaim { record, reply };
            }
            ClaimLookup::OtherRequest => ClaimReply::OtherRequest,
            ClaimLookup::OwnerGone => ClaimReply::OwnerGone,
            ClaimLookup::Ended(claim) => {
                let not_kept = ClaimOutcome::Unknown(UnknownReason::AnswerGone);
                ClaimReply::Ended {
                    outcome: self.outcome_of(fleet, &key).unwrap_or(not_kept),
                    owner: address_of(fleet, claim.owner).filter(|_| claim.owner != own),
                }
            }
            ClaimLookup::OwnedElsewhere { owner } => self.add_waiter(key, address_of(fleet, owner)),
            ClaimLookup::OwnedHere { claim } if !self.is_granted(&key, claim) => {
                ClaimReply::Granted(self.grant(RunId { key, claim }, control))
            }
            ClaimLookup::OwnedHere { .. } => match self.outcome_of(fleet, &key) {
                Some(outcome) => ClaimReply::Ended {
                    outcome,
                    owner: None,
                },
                None => self.add_waiter(key, None),
            },
        };
        drop(reply.send(response));
        ClaimAction::None
    }

    fn is_granted(&self, key: &KeyDigest, claim: Offset) -> bool {
        self.runs.get(key).is_some_and(|run| run.claim == claim)
    }

    fn grant(&mut self, id: RunId, control: crate::control::ControlHandle) -> RunPermit {
        let granted = TrackedRun {
            claim: id.claim,
            end: None,
            submitted_ms: None,
        };
        self.runs.insert(id.key, granted);
        RunPermit::new(id, control)
    }

    fn add_waiter(&mut self, key: KeyDigest, owner: Option<SocketAddr>) -> ClaimReply {
        let (sender, changed) = oneshot::channel();
        let waiters = self.waiters.entry(key).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        ClaimReply::Running { owner, changed }
    }

    fn handle_end(&mut self, id: RunId, end: RunEnd) {
        let RunId { key, claim } = id;
        let Some(run) = self.runs.get_mut(&key).filter(|run| run.claim == claim) else {
            return;
        };
        run.end = Some(match end {
            RunEnd::NotRun => ClaimRecord::Released { key, claim },
            RunEnd::Ended(outcome) => ClaimRecord::Finished {
                key,
                claim,
                outcome: self.large_responses.store(key, claim, outcome),
            },
        });
        self.wake_waiters(&key);
    }

    /// Returns the outcome of a key's run, with its whole body if this process keeps it.
    fn outcome_of(&self, fleet: &Fleet, key: &KeyDigest) -> Option<ClaimOutcome> {
        let (claim, outcome) = self.own_outcome(key).or_else(|| {
            let claim = fleet.claims().get(key)?;
            Some((claim.offset, claim.outcome.as_ref()?))
        })?;
        Some(self.large_responses.with_kept_body(*key, claim, outcome))
    }

    /// Returns the outcome of a run of this process whose end may not be folded yet.
    fn own_outcome(&self, key: &KeyDigest) -> Option<(Offset, &ClaimOutcome)> {
        let run = self.runs.get(key)?;
        match &run.end {
            Some(ClaimRecord::Finished { outcome, .. }) => Some((run.claim, outcome)),
            _ => None,
        }
    }

    /// Wakes the waiting requests whose keys no longer have a running claim of a member.
    pub(crate) fn wake_changed(&mut self, fleet: &Fleet) {
        let is_running = |key: &KeyDigest| {
            fleet
                .claims()
                .get(key)
                .is_some_and(|claim| claim.outcome.is_none() && fleet.member(claim.owner).is_some())
        };
        let changed: Vec<KeyDigest> = self
            .waiters
            .keys()
            .filter(|key| !is_running(key))
            .copied()
            .collect();
        for key in changed {
            self.wake_waiters(&key);
        }
    }

    fn wake_waiters(&mut self, key: &KeyDigest) {
        for waiter in self.waiters.remove(key).into_iter().flatten() {
            waiter.send(()).unwrap_or_default();
        }
    }

    /// Returns the records of runs' ends that are due for submission, and drops the runs whose
    /// claims are no longer open.
    pub(crate) fn due_ends(&mut self, fleet: &Fleet, own: Incarnation) -> Vec<ClaimRecord> {
        let now_ms = clock::now_ms();
        self.release_abandoned(fleet, own, now_ms);
        let mut due = Vec::new();
        self.runs.retain(|key, run| {
            let Some(end) = &run.end else { return true };
            // An evicted process rejoins as a new incarnation, which can't end claims of the old
            // one.
            let is_open = fleet.claims().get(key).is_some_and(|claim| {
                claim.offset == run.claim && claim.outcome.is_none() && claim.owner == own
            });
            if !is_open {
                return false;
            }
            if run
                .submitted_ms
                .is_none_or(|submitted_ms| now_ms >= submitted_ms + RESUBMIT_INTERVAL_MS)
            {
                run.submitted_ms = Some(now_ms);
                due.push(end.clone());
            }
            true
        });
        due
    }

    /// Releases claims of this process that were accepted after their requests had stopped waiting:
    /// those that have no run at two searches in a row.
    fn release_abandoned(&mut self, fleet: &Fleet, own: Incarnation, now_ms: u64) {
        if now_ms < self.last_sweep_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        let unattended: BTreeMap<KeyDigest, Offset> = fleet
            .claims()
            .iter()
            .filter(|claim| claim.owner == own && claim.outcome.is_none())
            .filter(|claim| !self.runs.contains_key(&claim.key))
            .map(|claim| (claim.key, claim.offset))
            .collect();
        for (&key, &claim) in &unattended {
            if self.unattended_claims.get(&key) == Some(&claim) {
                let abandoned = TrackedRun {
                    claim,
                    end: Some(ClaimRecord::Released { key, claim }),
                    submitted_ms: None,
                };
                self.runs.insert(key, abandoned);
            }
        }
        self.unattended_claims = unattended;
    }

    /// Returns counts for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let running = self.runs.values().filter(|run| run.end.is_none()).count();
        serde_json::json!({
            "running": running,
            "ending": self.runs.len() - running,
            "waiting": self.waiters.values().map(Vec::len).sum::<usize>(),
            "kept_answers": self.large_responses.len(),
            "kept_bytes": self.large_responses.total_bytes(),
        })
    }
}

fn address_of(fleet: &Fleet, process: Incarnation) -> Option<SocketAddr> {
    fleet.member(process).map(|member| member.peer_address)
}
