//! Limits on the bodies that a listener receives at the same time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

use super::{BodyBuffer, BodyError, ExpectedLength, next_data};

new_key_type! {
    /// Key of a body that is under way.
    struct BodyKey;
}

/// What a body was turned away for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// The memory for bodies is used up.
    Memory,
}

impl Shortage {
    /// Returns the name of the shortage in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "body_memory",
        }
    }
}

/// Reason why a body wasn't collected within the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum CollectError {
    /// The body itself is at fault.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body was turned away in favour of others.
    #[error("the body was turned away after {open_for:?}, with {held_bytes} bytes")]
    TurnedAway {
        /// What was short.
        shortage: Shortage,
        /// Memory that the body held.
        held_bytes: usize,
        /// Time since the body began.
        open_for: Duration,
    },
}

/// Bodies that a listener receives, with the memory that they may take together.
///
/// When the memory is used up, the body that has held the most memory for the longest time (the
/// product counts) is turned away, so that a body which comes quickly is received beside any number
/// of slow ones.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    /// One permit for each byte.
    memory: Arc<Semaphore>,
    open: Mutex<SlotMap<BodyKey, OpenBody>>,
}

/// A body that is under way.
#[derive(Debug)]
struct OpenBody {
    began: Instant,
    held_bytes: usize,
    turn_away: oneshot::Sender<CollectError>,
}

impl OpenBody {
    /// Returns the memory held, weighted with the time under way.
    fn cost(&self, now: Instant) -> u128 {
        let open_ms = now.saturating_duration_since(self.began).as_millis() + 1;
        open_ms * self.held_bytes as u128
    }
}

/// A complete body with the memory that it takes.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    _memory: Option<OwnedSemaphorePermit>,
}

impl BodyBudget {
    /// Creates a budget of `memory_bytes`.
    pub(crate) fn new(memory_bytes: u32) -> Self {
        Self {
            memory: Arc::new(Semaphore::new(memory_bytes as usize)),
            open: Mutex::default(),
        }
    }

    /// Collects a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or incomplete, or if it is turned away.
    pub(crate) async fn collect(
        &self,
        body: Body,
        length: ExpectedLength,
    ) -> Result<HeldBody, CollectError> {
        let (open, turned_away) = self.begin();
        let gathered = tokio::select! {
            biased;
            Ok(error) = turned_away => Err(error),
            gathered = open.gather(body, length) => gathered,
        };
        gathered
    }

    fn begin(&self) -> (OpenBodyGuard<'_>, oneshot::Receiver<CollectError>) {
        let (turn_away, turned_away) = oneshot::channel();
        let began = Instant::now();
        let key = self.lock().insert(OpenBody {
            began,
            held_bytes: 0,
            turn_away,
        });
        let guard = OpenBodyGuard {
            budget: self,
            key,
            began,
        };
        (guard, turned_away)
    }

    /// Turns away the costliest bodies until they give back `needed_bytes`; returns whether there were
    /// enough of them.
    fn turn_away_for(&self, needed_bytes: usize) -> bool {
        let now = Instant::now();
        let mut open = self.lock();
        let mut freed_bytes = 0;
        while freed_bytes < needed_bytes {
            let holders = open.iter().filter(|(_, body)| body.held_bytes > 0);
            let Some((key, _)) = holders.max_by_key(|(_, body)| body.cost(now)) else {
                return false;
            };
            if let Some(body) = open.remove(key) {
                let error = CollectError::TurnedAway {
                    shortage: Shortage::Memory,
                    held_bytes: body.held_bytes,
                    open_for: now.saturating_duration_since(body.began),
                };
                if body.turn_away.send(error).is_ok() {
                    freed_bytes += body.held_bytes;
                }
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<BodyKey, OpenBody>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists a body as under way until dropped.
#[derive(Debug)]
struct OpenBodyGuard<'a> {
    budget: &'a BodyBudget,
    key: BodyKey,
    began: Instant,
}

impl OpenBodyGuard<'_> {
    async fn gather(
        &self,
        mut body: Body,
        length: ExpectedLength,
    ) -> Result<HeldBody, CollectError> {
        let mut buffer = BodyBuffer::new(length)?;
        let mut memory = None;
        while let Some(data) = next_data(&mut body).await? {
            let growth = buffer.growth_for(data.len())?;
            if growth > 0 {
                self.reserve(growth, &mut memory).await?;
            }
            buffer.append(&data, growth);
        }
        Ok(HeldBody {
            bytes: buffer.into_bytes(),
            _memory: memory,
        })
    }

    /// Adds `bytes` to the memory that the body holds, for which others may be turned away.
    async fn reserve(
        &self,
        bytes: usize,
        memory: &mut Option<OwnedSemaphorePermit>,
    ) -> Result<(), CollectError> {
        let held_bytes = memory.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let short = || CollectError::TurnedAway {
            shortage: Shortage::Memory,
            held_bytes,
            open_for: self.began.elapsed(),
        };
        let permits = u32::try_from(bytes).map_err(|_too_many| short())?;
        let semaphore = Arc::clone(&self.budget.memory);
        let permit = match Arc::clone(&semaphore).try_acquire_many_owned(permits) {
            Ok(permit) => permit,
            Err(_) if self.budget.turn_away_for(bytes) => semaphore
                .acquire_many_owned(permits)
                .await
                .map_err(|_closed| short())?,
            Err(_) => return Err(short()),
        };
        match memory {
            Some(held) => held.merge(permit),
            None => *memory = Some(permit),
        }
        if let Some(body) = self.budget.lock().get_mut(self.key) {
            body.held_bytes += bytes;
        }
        Ok(())
    }
}

impl Drop for OpenBodyGuard<'_> {
    fn drop(&mut self) {
        self.budget.lock().remove(self.key);
    }
}
