//! A worker of a soak, and what is recorded of it.

use std::time::Instant;

use cyclamentrail_standin::JobWorker;

use super::history::{RunHistory, WorkerHistory};

/// Running worker.
pub(super) struct SoakWorker {
    pub(super) id: String,
    pub(super) worker: JobWorker,
    pub(super) gave_notice: Option<Instant>,
    /// Since when the worker is cut off; `None` while it isn't.
    cut_since: Option<Instant>,
    /// Times of the earlier cuts of this incarnation.
    cuts: Vec<(Instant, Instant)>,
}

impl SoakWorker {
    /// Creates the record of a new incarnation, which is cut off if the earlier one was.
    pub(super) fn new(id: String, worker: JobWorker, is_cut: bool) -> Self {
        Self {
            id,
            worker,
            gave_notice: None,
            cut_since: is_cut.then(Instant::now),
            cuts: Vec::new(),
        }
    }

    pub(super) const fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Cuts the worker off from all owners, or ends that.
    pub(super) fn set_cut(&mut self, is_cut: bool) {
        self.worker.set_cut(is_cut);
        if is_cut {
            self.cut_since.get_or_insert_with(Instant::now);
        } else if let Some(since) = self.cut_since.take() {
            self.cuts.push((since, Instant::now()));
        }
    }

    /// Returns how many late calls another incarnation carried out than the one that they were sent to.
    pub(super) fn crossed_calls(&self) -> usize {
        let calls = self.worker.late_calls().into_iter();
        calls
            .filter(|call| call.carried_out_by.is_some_and(|by| by != call.sent_to))
            .count()
    }

    /// Returns what the incarnation recorded, as it ends; runs that haven't ended end with it.
    pub(super) fn history(&self) -> WorkerHistory {
        let ended = self.worker.crashed().unwrap_or_else(Instant::now);
        let runs = self.worker.runs().into_iter().map(|run| RunHistory {
            task: run.task,
            requested: run.requested,
            began: run.began,
            ended: run.ended.unwrap_or(ended),
            is_done: run.result == "done",
            acknowledged: run.acknowledged,
        });
        let last_cut = self.cut_since.map(|since| (since, ended));
        WorkerHistory {
            id: self.id.clone(),
            runs: runs.collect(),
            gave_notice: self.gave_notice,
            cuts: self.cuts.iter().copied().chain(last_cut).collect(),
            ended,
        }
    }
}
