//! State of the worker, the owners and the calls in flight.

use super::{HOLD_MAX, LEASE, MAX_CALLS};

/// The task's run on the worker's present incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) enum WorkerRun {
    #[default]
    Absent,
    Running,
    /// The run was killed or stopped here, so that no start begins it again.
    Ended,
}

/// The worker's present incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Worker {
    pub(super) incarnation: u8,
    pub(super) highest_token: u8,
    /// Ticks until all that runs is killed.
    pub(super) lease: u8,
    pub(super) run: WorkerRun,
    /// Whether the next run of the task is here, until the incarnation ends.
    pub(super) has_next_run: bool,
}

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum CallKind {
    /// Poll without a lease.
    Poll,
    /// Poll with a lease, or start of another task, which extends the lease as well.
    Hold,
    /// Start of the task's run.
    Start,
}

/// Call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Call {
    pub(super) kind: CallKind,
    pub(super) owner: u8,
    /// Incarnation that the owner knew when it sent the call.
    pub(super) sent_to: u8,
    /// Ticks until the granted lease ends on the clock of that incarnation; 0 once it has ended.
    pub(super) lease: u8,
}

/// Response in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Response {
    pub(super) call: Call,
    /// Incarnation that responded.
    pub(super) incarnation: u8,
    /// Whether the call's token was accepted.
    pub(super) is_accepted: bool,
    /// Whether the task ran there.
    pub(super) is_running: bool,
}

/// The task's run as an owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Assignment {
    pub(super) incarnation: u8,
    /// Whether the worker has restarted since, so that the new incarnation may get the start.
    pub(super) is_in_doubt: bool,
    /// Whether an earlier owner sent the start, and no report has listed the run since.
    pub(super) is_inherited: bool,
    /// Whether the incarnation has the run, as its response told.
    pub(super) is_listed: bool,
    /// Number of starts without an outcome.
    pub(super) open_starts: u8,
}

/// What an owner knows of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Owner {
    /// Newest incarnation that the owner knows.
    pub(super) known: u8,
    /// Whether that incarnation has responded to a call with its token.
    pub(super) is_acknowledged: bool,
    /// Whether the owner found that incarnation registered at its claim; kept only for the fault that
    /// relies on it.
    pub(super) is_found_registered: bool,
    /// Ticks until the lease is over, as the owner counts.
    pub(super) counted: u8,
    pub(super) run: Option<Assignment>,
}

/// State of the worker, the owners, the shard's topic and the calls in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct CrossedState {
    pub(super) worker: Worker,
    /// Index of the present owner.
    pub(super) present: u8,
    /// Ticks for which the first owner may act after the claim of the second; `None` before the claim and
    /// once that time is over.
    pub(super) former_acts: Option<u8>,
    pub(super) owners: [Owner; 2],
    /// Incarnation on which the run is placed by the stored record.
    pub(super) record: Option<u8>,
    pub(super) calls: [Option<Call>; MAX_CALLS],
    /// Response that is delayed.
    pub(super) response: Option<Response>,
    /// Whether the first run was given up, so that the task may be started again on the worker.
    pub(super) is_given_up: bool,
    /// Whether the task was started elsewhere.
    pub(super) is_elsewhere: bool,
}

impl Worker {
    /// Carries out a call that was accepted.
    pub(super) fn execute(&mut self, call: Call) {
        let granted = if call.sent_to < self.incarnation {
            HOLD_MAX
        } else {
            call.lease.min(HOLD_MAX)
        };
        if call.kind == CallKind::Poll || granted == 0 {
            return;
        }
        self.lease = self.lease.max(granted);
        if call.kind == CallKind::Start && self.run == WorkerRun::Absent {
            self.run = WorkerRun::Running;
        }
    }

    fn tick(&mut self) {
        self.lease = self.lease.saturating_sub(1);
        if self.lease == 0 && self.run == WorkerRun::Running {
            self.run = WorkerRun::Ended;
        }
    }

    /// Stops the task's run, which no start begins any more.
    pub(super) const fn stop(&mut self) {
        self.run = WorkerRun::Ended;
    }

    pub(super) const fn is_running(self) -> bool {
        matches!(self.run, WorkerRun::Running)
    }
}

impl CrossedState {
    pub(super) fn owner(&mut self, index: u8) -> &mut Owner {
        &mut self.owners[usize::from(index)]
    }

    /// Returns whether a process may send calls and handles responses.
    pub(super) const fn may_act(&self, index: u8) -> bool {
        index == self.present || (index < self.present && self.former_acts.is_some())
    }

    /// Returns whether another call can be sent.
    pub(super) fn has_room(&self) -> bool {
        self.calls.iter().any(Option::is_none)
    }

    /// Returns whether a start of the first run may still be carried out.
    pub(super) fn may_start(&self) -> bool {
        let is_start = |call: &Call| call.kind == CallKind::Start;
        self.former_acts.is_some() || self.calls.iter().flatten().any(is_start)
    }

    /// Sends a call to the incarnation that its owner knows.
    pub(super) fn send(&mut self, kind: CallKind, index: u8) {
        let owner = self.owner(index);
        let sent_to = owner.known;
        if kind != CallKind::Poll {
            owner.counted = owner.counted.max(LEASE);
        }
        let grants = kind != CallKind::Poll && sent_to == self.worker.incarnation;
        let call = Call {
            kind,
            owner: index,
            sent_to,
            lease: if grants { LEASE } else { 0 },
        };
        if let Some(slot) = self.calls.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some(call);
        }
    }

    /// Takes a call out of those in flight.
    pub(super) fn remove(&mut self, call: Call) {
        if let Some(slot) = self.calls.iter_mut().find(|slot| **slot == Some(call)) {
            *slot = None;
        }
    }

    pub(super) fn tick(&mut self) {
        self.worker.tick();
        for owner in &mut self.owners {
            owner.counted = owner.counted.saturating_sub(1);
        }
        for call in self.calls.iter_mut().flatten() {
            call.lease = call.lease.saturating_sub(1);
        }
        self.former_acts = self.former_acts.and_then(|ticks| ticks.checked_sub(1));
    }

    /// Restarts the worker, which then knows nothing; calls name times on another clock from now on.
    pub(super) fn restart(&mut self) {
        self.worker = Worker {
            incarnation: self.worker.incarnation + 1,
            ..Worker::default()
        };
        for call in self.calls.iter_mut().flatten() {
            call.lease = 0;
        }
    }

    /// Drops what can have no effect any more, so that fewer states differ.
    pub(super) fn drop_ineffective(&mut self) {
        if self.worker.run == WorkerRun::Ended {
            self.worker.lease = 0;
        }
        if self.present > 0 && self.former_acts.is_none() {
            *self.owner(0) = Owner::default();
        }
        if self.is_elsewhere {
            self.drop_present_owner();
        }
        let (known, is_elsewhere) = (self.owners.map(|owner| owner.known), self.is_elsewhere);
        self.response = self.response.filter(|response| {
            let index = response.call.owner;
            let has_ended = is_elsewhere && index == self.present;
            let is_old = response.incarnation < known[usize::from(index)];
            self.may_act(index) && !has_ended && !is_old
        });
        if let Some(response) = &mut self.response {
            response.call.lease = 0;
        }
        self.calls.sort_unstable();
    }

    /// Drops what the present owner knows once the task was started elsewhere, where the model ends for
    /// it; starts may still arrive.
    fn drop_present_owner(&mut self) {
        *self.owner(self.present) = Owner::default();
        self.record = None;
        self.worker.lease = 0;
        for slot in &mut self.calls {
            *slot = slot.filter(|call| call.kind == CallKind::Start);
        }
    }
}
