//! Admits requests to a service: at once, to a queue, or not at all.
//!
//! Quick and long requests wait in queues of their own. A queue takes turns between teams. A
//! request whose deadline passes before its turn is expected is refused at once, with the time
//! after which coming back makes sense.
//!
//! ```
//! use cyclamentrail_core::{Admission, AdmitLimits, Ask, RequestClass, TeamName};
//!
//! let mut admission = Admission::new(AdmitLimits { max_waiting: 8, start_interval_us: 1_000 });
//! let ask = Ask { class: RequestClass::Quick, team: TeamName::from("a"), deadline_us: 5_000 };
//! let admitted = admission.enqueue(&ask, 0, "request").expect("the queue is empty");
//! let turn = admission.next(RequestClass::Quick, 10, |_class| true);
//! assert_eq!(turn.taken, Some("request"));
//! assert_eq!(admission.remove(&admitted.ticket), None);
//! ```

use crate::name::TeamName;
use crate::outcome::NotRunReason;

mod pace;
mod queue;

pub use pace::Pace;
use queue::ClassQueue;
pub use queue::Ticket;

/// Turns of the quick queue after which a long request gets a quick one's slot.
const QUICK_TURNS: u32 = 4;

/// Kind of work, each with limits and a queue of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// An answer is due within seconds.
    Quick = 0,
    /// The work may take long.
    Long = 1,
}

impl RequestClass {
    const fn other(self) -> Self {
        match self {
            Self::Quick => Self::Long,
            Self::Long => Self::Quick,
        }
    }
}

/// Limits of the queues of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitLimits {
    /// Requests of a class that may wait.
    pub max_waiting: u32,
    /// Time in microseconds between two starts that is assumed until it is observed.
    pub start_interval_us: u64,
}

/// A request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Its class.
    pub class: RequestClass,
    /// Team of the caller.
    pub team: TeamName,
    /// When its answer is due, in microseconds.
    pub deadline_us: u64,
}

/// Why a request isn't admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: NotRunReason,
    /// Time in microseconds after which the request would be expected to be in time.
    pub retry_after_us: u64,
}

/// A request that now waits.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// Takes the request out of the queue again.
    pub ticket: Ticket,
    /// A waiting request of the largest team that had to make room.
    pub evicted: Option<(T, Refusal)>,
}

/// Whose turn it is.
#[derive(Debug, PartialEq, Eq)]
pub struct Turn<T> {
    /// The request that starts.
    pub taken: Option<T>,
    /// Requests whose deadline can't be met any more.
    pub late: Vec<(T, Refusal)>,
}

impl<T> Default for Turn<T> {
    fn default() -> Self {
        Self {
            taken: None,
            late: Vec::new(),
        }
    }
}

/// The queues of one service at one entry.
#[derive(Debug)]
pub struct Admission<T> {
    limits: AdmitLimits,
    queues: [ClassQueue<T>; 2],
    quick_turns: u32,
}

impl<T> Admission<T> {
    /// Creates empty queues.
    #[must_use]
    pub fn new(limits: AdmitLimits) -> Self {
        let queue = || ClassQueue::new(limits.start_interval_us);
        Self {
            limits,
            queues: [queue(), queue()],
            quick_turns: 0,
        }
    }

    /// Sets new limits.
    pub const fn set_limits(&mut self, limits: AdmitLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests of a class that wait.
    #[must_use]
    pub const fn waiting(&self, class: RequestClass) -> usize {
        self.queues[class as usize].len()
    }

    /// Returns the mean time that answers of a class take.
    #[must_use]
    pub const fn pace(&self, class: RequestClass) -> &Pace {
        &self.queues[class as usize].pace
    }

    /// Takes in how long an answer took.
    pub fn note_time(&mut self, class: RequestClass, took_us: u64) {
        self.queues[class as usize].pace.add(took_us);
    }

    /// Returns the time in microseconds that a new request of the team would wait.
    #[must_use]
    pub fn expected_wait_us(&self, class: RequestClass, team: &TeamName, now_us: u64) -> u64 {
        self.queues[class as usize].expected_wait_us(team, now_us)
    }

    /// Lets a request wait for its turn.
    ///
    /// # Errors
    ///
    /// Returns why it would wait in vain, or that the queue is full.
    pub fn enqueue(&mut self, ask: &Ask, now_us: u64, item: T) -> Result<Queued<T>, Refusal> {
        let queue = &mut self.queues[ask.class as usize];
        let wait_us = queue.expected_wait_us(&ask.team, now_us);
        if let Some(retry_after_us) = queue.excess_us(wait_us, ask.deadline_us, now_us) {
            return Err(Refusal {
                reason: NotRunReason::Deadline,
                retry_after_us,
            });
        }
        let full = queue.len() >= self.limits.max_waiting as usize;
        let evicted = if full {
            let reason = NotRunReason::QueueFull;
            let retry_after_us = queue.drain_us(now_us);
            let refusal = Refusal {
                reason,
                retry_after_us,
            };
            let larger = queue.evict_for(&ask.team).ok_or(refusal)?;
            let reason = NotRunReason::TeamShare;
            Some((larger, Refusal { reason, ..refusal }))
        } else {
            None
        };
        let ticket = queue.push(ask, now_us, item);
        Ok(Queued { ticket, evicted })
    }

    /// Takes a request out, for example because its caller went away.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        self.queues[ticket.class() as usize].remove(ticket)
    }

    /// Returns the request that may use a slot which a request of class `freed` has left.
    ///
    /// The class that used the slot goes first, but for every few quick ones a long one does.
    /// `has_room` tells whether the server takes one more of a class.
    pub fn next(
        &mut self,
        freed: RequestClass,
        now_us: u64,
        has_room: impl Fn(RequestClass) -> bool,
    ) -> Turn<T> {
        let first = self.first_class(freed);
        let mut turn = Turn::default();
        for class in [first, first.other()] {
            if turn.taken.is_none() && has_room(class) {
                let mut next = self.next_of(class, now_us);
                turn.taken = next.taken;
                turn.late.append(&mut next.late);
            }
        }
        turn
    }

    fn first_class(&mut self, freed: RequestClass) -> RequestClass {
        if freed == RequestClass::Long || self.waiting(RequestClass::Long) == 0 {
            return freed;
        }
        self.quick_turns = (self.quick_turns + 1) % QUICK_TURNS;
        if self.quick_turns == 0 {
            RequestClass::Long
        } else {
            freed
        }
    }

    /// Returns the next request of one class.
    pub fn next_of(&mut self, class: RequestClass, now_us: u64) -> Turn<T> {
        self.queues[class as usize].pop(now_us)
    }

    /// Takes out the requests whose deadline can't be met any more.
    pub fn sweep(&mut self, now_us: u64) -> Vec<(T, Refusal)> {
        let [quick, long] = &mut self.queues;
        let mut late = quick.sweep(now_us);
        late.append(&mut long.sweep(now_us));
        late
    }
}
