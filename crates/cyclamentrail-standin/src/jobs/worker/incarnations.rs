//! What the incarnations of a worker share: its id on the network, which late calls reach.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use super::Shared;
use super::calls::{Call, CallKind};

/// Call that was left unanswered and carried out later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateCall {
    /// Kind of the call.
    pub kind: CallKind,
    /// Start time of the incarnation that it arrived at, in milliseconds since the Unix epoch.
    pub sent_to: u64,
    /// Start time of the incarnation that carried it out; `None` if none ran.
    pub carried_out_by: Option<u64>,
    /// Why it was rejected, if it was.
    pub rejection: Option<&'static str>,
}

/// The incarnations of a worker's id.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// The one that runs now.
    current: Mutex<Weak<Shared>>,
    /// Whether calls don't reach the worker.
    is_cut: AtomicBool,
    late_calls: Mutex<Vec<LateCall>>,
}

impl Incarnations {
    pub(super) fn begin(&self, incarnation: &Arc<Shared>) {
        *lock(&self.current) = Arc::downgrade(incarnation);
    }

    /// Ends the one that runs now; nothing is carried out until the next one begins.
    pub(super) fn end(&self) {
        *lock(&self.current) = Weak::new();
    }

    pub(super) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    pub(super) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    /// Returns the late calls that were carried out, in order.
    pub(super) fn late_calls(&self) -> Vec<LateCall> {
        lock(&self.late_calls).clone()
    }

    /// Carries out a call after `delay` on the incarnation that runs then, also if its caller has closed
    /// the connection long before.
    pub(super) async fn carry_out_late(&self, call: Call, sent_to: u64, delay: Duration) {
        let requested = Instant::now();
        tokio::time::sleep(delay).await;
        let current = lock(&self.current).upgrade();
        let current = current.filter(|incarnation| incarnation.crashed.get().is_none());
        let result = current.as_ref().map(|incarnation| {
            let now_ms = incarnation.clock_ms();
            incarnation.lock().carry_out(&call, now_ms, requested)
        });
        lock(&self.late_calls).push(LateCall {
            kind: call.kind(),
            sent_to,
            carried_out_by: current.map(|incarnation| incarnation.started_ms),
            rejection: result.and_then(Result::err),
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
