//! The queues of one service, shared by the traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{
    Admission, AdmitLimits, Ask, Pace, Refusal, RequestClass, RetryBudget, Ticket, Tries, TryEnd,
    Turn,
};
use tokio::sync::oneshot;

use super::journal::Journal;
use super::link::Link;
use super::pick::pick;
use super::slot::Slot;
use crate::clock;
use crate::view::ServiceRoute;

/// Shortest time in microseconds between two looks for slots that nobody handed over.
const PUMP_INTERVAL_US: u64 = 2_000;

/// A waiting request, which is told that it has a slot or that it is refused.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Its class.
    pub(crate) class: RequestClass,
    /// Tells it.
    pub(crate) waker: oneshot::Sender<Result<Slot, Refusal>>,
}

/// Queues and retry budget of one service.
#[derive(Debug)]
pub(crate) struct Gate {
    admission: Mutex<Admission<Waiter>>,
    budget: Mutex<RetryBudget>,
    next_pump_us: AtomicU64,
    journal: Arc<Journal>,
}

impl Gate {
    /// Creates empty queues.
    pub(crate) fn new(limits: AdmitLimits, retry_ratio: f64, journal: Arc<Journal>) -> Self {
        Self {
            admission: Mutex::new(Admission::new(limits)),
            budget: Mutex::new(RetryBudget::new(retry_ratio)),
            next_pump_us: AtomicU64::new(0),
            journal,
        }
    }

    /// Returns the journal of decisions.
    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Sets new limits.
    pub(crate) fn set_limits(&self, limits: AdmitLimits, retry_ratio: f64) {
        self.lock().set_limits(limits);
        self.lock_budget().set_ratio(retry_ratio);
    }

    /// Earns a request's share of the retry budget.
    pub(crate) fn earn(&self) {
        self.lock_budget().earn();
    }

    /// Returns the pause in microseconds before a further try, or `None` when there is none.
    pub(crate) fn next_try(&self, tries: &mut Tries, end: TryEnd) -> Option<u64> {
        let mut budget = self.lock_budget();
        tries.next(end, clock::now_us(), &mut budget, &mut rand::rng())
    }

    /// Returns the number of requests of a class that wait.
    pub(crate) fn waiting(&self, class: RequestClass) -> usize {
        self.lock().waiting(class)
    }

    /// Returns the mean time that answers of a class take.
    pub(crate) fn pace(&self, class: RequestClass) -> Pace {
        *self.lock().pace(class)
    }

    /// Takes in how long an answer took and returns the new mean.
    pub(crate) fn note_time(&self, class: RequestClass, took_us: u64) -> Pace {
        let mut admission = self.lock();
        admission.note_time(class, took_us);
        *admission.pace(class)
    }

    /// Returns the time in microseconds that a new request would wait.
    pub(crate) fn expected_wait_us(&self, ask: &Ask) -> u64 {
        self.lock()
            .expected_wait_us(ask.class, &ask.team, clock::now_us())
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns why it may not wait.
    pub(crate) fn enqueue(&self, ask: &Ask, waiter: Waiter) -> Result<Ticket, Refusal> {
        let queued = self.lock().enqueue(ask, clock::now_us(), waiter)?;
        if let Some((evicted, refusal)) = queued.evicted {
            wake(evicted, Err(refusal));
        }
        Ok(queued.ticket)
    }

    /// Takes a request out whose caller went away.
    pub(crate) fn remove(&self, ticket: &Ticket) {
        let removed = self.lock().remove(ticket);
        drop(removed);
    }

    /// Frees a slot, or gives it to the request whose turn it is.
    pub(crate) fn free(&self, link: &Arc<Link>, route: &Arc<ServiceRoute>, freed: RequestClass) {
        let turn = {
            let mut admission = self.lock();
            link.pass_on(freed, |has_room| {
                admission.next(freed, clock::now_us(), has_room)
            })
        };
        refuse_all(turn.late);
        if let Some(waiter) = turn.taken {
            let slot = Slot::passed_on(link, route, waiter.class);
            wake(waiter, Ok(slot));
        }
    }

    /// Looks for free slots that nobody handed over, and refuses who can't be in time any more.
    pub(crate) fn pump(&self, route: &Arc<ServiceRoute>) {
        let now_us = clock::now_us();
        let due_us = self.next_pump_us.load(Ordering::Relaxed);
        let next_us = now_us + PUMP_INTERVAL_US;
        let claimed = self.next_pump_us.compare_exchange(
            due_us,
            next_us,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if now_us < due_us || claimed.is_err() {
            return;
        }
        let late = self.lock().sweep(now_us);
        refuse_all(late);
        for class in [RequestClass::Quick, RequestClass::Long] {
            while self.waiting(class) > 0 {
                let Some(slot) = pick(route, class, false, None) else {
                    break;
                };
                let Turn { taken, late } = self.lock().next_of(class, now_us);
                refuse_all(late);
                if let Some(waiter) = taken {
                    wake(waiter, Ok(slot));
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Admission<Waiter>> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse_all(late: Vec<(Waiter, Refusal)>) {
    for (waker, refusal) in late {
        wake(waker, Err(refusal));
    }
}

/// Wakes a waiting request; a slot that it no longer wants goes to the next one.
fn wake(waiter: Waiter, result: Result<Slot, Refusal>) {
    drop(waiter.waker.send(result));
}
