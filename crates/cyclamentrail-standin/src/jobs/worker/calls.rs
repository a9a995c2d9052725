//! Calls to a worker, and what they do there.

use std::time::Instant;

use serde::Deserialize;

use super::{MAX_LEASE_MS, TaskRun, WorkerState};

/// Kind of a call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
    /// Sets the CPU share of a run.
    Share,
    /// Renews the lease and asks for the runs.
    Poll,
}

/// Call with its body.
#[derive(Debug, Clone)]
pub(super) enum Call {
    Start(CommandBody),
    Stop(CommandBody),
    /// The stand-in's runs work at full share whatever a command says.
    Share(CommandBody),
    Poll(PollBody),
}

/// Body of a command.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct CommandBody {
    #[serde(rename = "Task")]
    pub(super) task: String,
    #[serde(rename = "Run")]
    run: u64,
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    fencing_token: u64,
}

/// Body of a worker poll.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct PollBody {
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    pub(super) fencing_token: u64,
    /// Sequence number of the last ended run that the caller knows.
    #[serde(rename = "LastSeen", default)]
    last_seen: u64,
    #[serde(rename = "WaitMs", default)]
    pub(super) wait_ms: u64,
}

impl Call {
    pub(super) const fn kind(&self) -> CallKind {
        match self {
            Self::Start(_) => CallKind::Start,
            Self::Stop(_) => CallKind::Stop,
            Self::Share(_) => CallKind::Share,
            Self::Poll(_) => CallKind::Poll,
        }
    }

    const fn fencing_token(&self) -> u64 {
        match self {
            Self::Start(body) | Self::Stop(body) | Self::Share(body) => body.fencing_token,
            Self::Poll(body) => body.fencing_token,
        }
    }
}

impl WorkerState {
    /// Carries out a call that arrived at `requested`.
    ///
    /// Returns the reason of a rejection: `fence` for an outdated fencing token, `late` for a lease
    /// end in the past, `old` if the task has had this run or a later one.
    pub(super) fn carry_out(
        &mut self,
        call: &Call,
        now_ms: u64,
        requested: Instant,
    ) -> Result<(), &'static str> {
        if call.fencing_token() < self.highest_token {
            return Err("fence");
        }
        self.highest_token = call.fencing_token();
        match call {
            Call::Start(body) => self.begin_run(body, now_ms, requested),
            Call::Stop(body) => {
                self.end_run(&body.task, body.run, "stopped");
                let stopped = self.stopped_runs.entry(body.task.clone()).or_default();
                *stopped = (*stopped).max(body.run);
                Ok(())
            }
            Call::Share(_) => Ok(()),
            Call::Poll(body) => {
                self.extend_lease(body.until_ms, now_ms);
                self.acknowledge(body.last_seen);
                Ok(())
            }
        }
    }

    /// Extends the lease of all runs, to the longest lease at most.
    fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        let until_ms = until_ms.min(now_ms + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Forgets the ends up to a number.
    fn acknowledge(&mut self, last_seen: u64) {
        let (seen, others) = std::mem::take(&mut self.ended_runs)
            .into_iter()
            .partition(|ended| ended.0 <= last_seen);
        self.ended_runs = others;
        for (_, task, number, _) in seen {
            let is_meant = |run: &&mut TaskRun| run.task == task && run.run == number;
            if let Some(run) = self.runs.iter_mut().find(is_meant) {
                run.acknowledged = Some(Instant::now());
            }
        }
    }

    /// Begins a run and extends the lease, also where the run is rejected as `old`.
    fn begin_run(
        &mut self,
        body: &CommandBody,
        now_ms: u64,
        requested: Instant,
    ) -> Result<(), &'static str> {
        let key = (body.task.clone(), body.run);
        let is_running = self.end_times_ms.contains_key(&key);
        if body.until_ms <= now_ms && !is_running {
            return Err("late");
        }
        self.extend_lease(body.until_ms, now_ms);
        if is_running {
            return Ok(());
        }
        let is_superseded = |known: &TaskRun| known.task == body.task && known.run >= body.run;
        let stopped = self.stopped_runs.get(&body.task).copied();
        if self.runs.iter().any(is_superseded) || stopped.is_some_and(|run| run >= body.run) {
            return Err("old");
        }
        self.end_times_ms.insert(key, now_ms + self.task_ms);
        self.runs.push(TaskRun {
            task: body.task.clone(),
            run: body.run,
            result: String::new(),
            requested,
            began: Instant::now(),
            ended: None,
            acknowledged: None,
        });
        Ok(())
    }
}
