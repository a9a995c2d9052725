//! Grants each run once, and sees to it that each run's end reaches the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamentrail_core::{
    ClaimLook, ClaimOutcome, ClaimRecord, Fleet, Incarnation, KeyDigest, Offset, UnknownReason,
};
use tokio::sync::oneshot;

use super::memory::AnswerMemory;
use super::{ClaimAnswer, ClaimMessage, ClaimQuestion, Run, RunEnd, RunId};
use crate::clock;

/// Interval in milliseconds between two appends of the same end of a claim.
const RESUBMIT_MS: u64 = 1000;
/// Interval in milliseconds between two searches for claims that nobody here waits for.
const SWEEP_MS: u64 = 2000;

/// What is to be done after a message.
#[derive(Debug)]
pub(crate) enum ClaimAction {
    /// Nothing.
    None,
    /// Append a claim, and hand the receiver of its result to the request.
    Claim {
        record: ClaimRecord,
        reply: oneshot::Sender<ClaimAnswer>,
    },
}

/// What is kept of a run that this process was granted.
#[derive(Debug)]
struct GrantedRun {
    claim: Offset,
    end: Option<ClaimRecord>,
    submitted_ms: Option<u64>,
}

/// What the control thread keeps about idempotency keys beside the agreed state.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    runs: BTreeMap<KeyDigest, GrantedRun>,
    waiting: BTreeMap<KeyDigest, Vec<oneshot::Sender<()>>>,
    memory: AnswerMemory,
    /// Claims of this process without a run at the last sweep.
    suspects: BTreeMap<KeyDigest, Offset>,
    swept_ms: u64,
}

impl ClaimTable {
    /// Handles a message.
    pub(crate) fn handle(
        &mut self,
        fleet: &Fleet,
        own: Incarnation,
        message: ClaimMessage,
    ) -> ClaimAction {
        match message {
            ClaimMessage::Ask(question) => return self.ask(fleet, own, question),
            ClaimMessage::End { run, end } => self.end(run, end),
            ClaimMessage::Fetch { key, reply } => drop(reply.send(self.known(fleet, &key))),
        }
        ClaimAction::None
    }

    fn ask(&mut self, fleet: &Fleet, own: Incarnation, question: ClaimQuestion) -> ClaimAction {
        let ClaimQuestion {
            key,
            request,
            control,
            reply,
        } = question;
        let is_member = |process| fleet.member(process).is_some();
        let answer = match fleet.claims().look(&key, &request, own, is_member) {
            ClaimLook::Free => {
                let record = ClaimRecord::Claimed {
                    key,
                    request,
                    seen_ms: fleet.clock_ms(),
                };
                return ClaimAction::Claim { record, reply };
            }
            ClaimLook::OtherRequest => ClaimAnswer::OtherRequest,
            ClaimLook::OwnerGone => ClaimAnswer::OwnerGone,
            ClaimLook::Ended(claim) => {
                let unkept = ClaimOutcome::Unknown(UnknownReason::AnswerGone);
                ClaimAnswer::Ended {
                    outcome: self.known(fleet, &key).unwrap_or(unkept),
                    owner: address_of(fleet, claim.owner).filter(|_| claim.owner != own),
                }
            }
            ClaimLook::Elsewhere { owner } => self.wait(key, address_of(fleet, owner)),
            ClaimLook::Own { claim } if !self.is_granted(&key, claim) => {
                ClaimAnswer::Granted(self.grant(RunId { key, claim }, control))
            }
            ClaimLook::Own { .. } => match self.known(fleet, &key) {
                Some(outcome) => ClaimAnswer::Ended {
                    outcome,
                    owner: None,
                },
                None => self.wait(key, None),
            },
        };
        drop(reply.send(answer));
        ClaimAction::None
    }

    fn is_granted(&self, key: &KeyDigest, claim: Offset) -> bool {
        self.runs.get(key).is_some_and(|run| run.claim == claim)
    }

    fn grant(&mut self, id: RunId, control: crate::control::ControlHandle) -> Run {
        let granted = GrantedRun {
            claim: id.claim,
            end: None,
            submitted_ms: None,
        };
        self.runs.insert(id.key, granted);
        Run::new(id, control)
    }

    fn wait(&mut self, key: KeyDigest, owner: Option<SocketAddr>) -> ClaimAnswer {
        let (sender, changed) = oneshot::channel();
        let waiting = self.waiting.entry(key).or_default();
        waiting.retain(|waiter| !waiter.is_closed());
        waiting.push(sender);
        ClaimAnswer::Running { owner, changed }
    }

    fn end(&mut self, id: RunId, end: RunEnd) {
        let RunId { key, claim } = id;
        let Some(run) = self.runs.get_mut(&key).filter(|run| run.claim == claim) else {
            return;
        };
        run.end = Some(match end {
            RunEnd::NotRun => ClaimRecord::Released { key, claim },
            RunEnd::Ended(outcome) => ClaimRecord::Finished {
                key,
                claim,
                outcome: self.memory.keep(key, claim, outcome),
            },
        });
        self.wake(&key);
    }

    /// Returns the outcome of a run, with its whole body if this process has it.
    fn known(&self, fleet: &Fleet, key: &KeyDigest) -> Option<ClaimOutcome> {
        let (claim, outcome) = self.ended_here(key).or_else(|| {
            let claim = fleet.claims().get(key)?;
            Some((claim.offset, claim.outcome.as_ref()?))
        })?;
        Some(self.memory.complete(*key, claim, outcome))
    }

    fn ended_here(&self, key: &KeyDigest) -> Option<(Offset, &ClaimOutcome)> {
        let run = self.runs.get(key)?;
        match &run.end {
            Some(ClaimRecord::Finished { outcome, .. }) => Some((run.claim, outcome)),
            _ => None,
        }
    }

    /// Wakes the requests whose keys may have changed in the agreed state.
    pub(crate) fn wake_changed(&mut self, fleet: &Fleet) {
        let is_running = |key: &KeyDigest| {
            fleet
                .claims()
                .get(key)
                .is_some_and(|claim| claim.outcome.is_none() && fleet.member(claim.owner).is_some())
        };
        let changed: Vec<KeyDigest> = self
            .waiting
            .keys()
            .filter(|key| !is_running(key))
            .copied()
            .collect();
        for key in changed {
            self.wake(&key);
        }
    }

    fn wake(&mut self, key: &KeyDigest) {
        for waiter in self.waiting.remove(key).into_iter().flatten() {
            waiter.send(()).unwrap_or_default();
        }
    }

    /// Returns the ends of claims that are due to be appended.
    pub(crate) fn due(&mut self, fleet: &Fleet, own: Incarnation) -> Vec<ClaimRecord> {
        let now_ms = clock::now_ms();
        self.sweep(fleet, own, now_ms);
        let mut due = Vec::new();
        self.runs.retain(|key, run| {
            let Some(end) = &run.end else { return true };
            // After an eviction this process is another member, which can't end the claim.
            let is_open = fleet.claims().get(key).is_some_and(|claim| {
                claim.offset == run.claim && claim.outcome.is_none() && claim.owner == own
            });
            if !is_open {
                return false;
            }
            if run
                .submitted_ms
                .is_none_or(|submitted_ms| now_ms >= submitted_ms + RESUBMIT_MS)
            {
                run.submitted_ms = Some(now_ms);
                due.push(end.clone());
            }
            true
        });
        due
    }

    /// Releases claims of this process that were accepted when no request waited any more.
    fn sweep(&mut self, fleet: &Fleet, own: Incarnation, now_ms: u64) {
        if now_ms < self.swept_ms + SWEEP_MS {
            return;
        }
        self.swept_ms = now_ms;
        let unclaimed: BTreeMap<KeyDigest, Offset> = fleet
            .claims()
            .iter()
            .filter(|claim| claim.owner == own && claim.outcome.is_none())
            .filter(|claim| !self.runs.contains_key(&claim.key))
            .map(|claim| (claim.key, claim.offset))
            .collect();
        for (&key, &claim) in &unclaimed {
            if self.suspects.get(&key) == Some(&claim) {
                let abandoned = GrantedRun {
                    claim,
                    end: Some(ClaimRecord::Released { key, claim }),
                    submitted_ms: None,
                };
                self.runs.insert(key, abandoned);
            }
        }
        self.suspects = unclaimed;
    }

    /// Returns a summary for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let running = self.runs.values().filter(|run| run.end.is_none()).count();
        serde_json::json!({
            "running": running,
            "ending": self.runs.len() - running,
            "waiting": self.waiting.values().map(Vec::len).sum::<usize>(),
            "kept_answers": self.memory.len(),
            "kept_bytes": self.memory.bytes(),
        })
    }
}

fn address_of(fleet: &Fleet, process: Incarnation) -> Option<SocketAddr> {
    fleet.member(process).map(|member| member.peer_address)
}
