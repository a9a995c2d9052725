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
    /// As many bodies are under way as may be at the same time.
    Places,
    /// The body didn't arrive within the time limit of a whole body.
    Time,
}

impl Shortage {
    /// Returns the name of the shortage in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "body_memory",
            Self::Places => "open_bodies",
            Self::Time => "body_time",
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

/// Limits of a [`BodyBudget`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyBudgetLimits {
    /// Memory that bodies may take together, in bytes.
    pub(crate) memory_bytes: u32,
    /// Largest number of bodies that are under way.
    pub(crate) max_open: usize,
    /// Time within which a whole body has to arrive.
    pub(crate) max_time: Duration,
}

/// Bodies that a listener receives, with the memory that they may take together.
///
/// When the memory is used up, the body that has held the most memory for the longest time (the
/// product counts) is turned away; when too many bodies are under way, the one that has been so for
/// the longest time. A body that comes quickly is received beside any number of slow ones.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    max_open: usize,
    max_time: Duration,
    /// One permit for each byte.
    memory: Arc<Semaphore>,
    open: Mutex<SlotMap<BodyKey, OpenBody>>,
}

/// A body that is under way.
#[derive(Debug)]
struct OpenBody {
    began: Instant,
    held_bytes: usize,
    refusal: oneshot::Sender<CollectError>,
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
    pub(crate) memory: HeldMemory,
}

/// Memory of a budget, which is given back when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldMemory(Option<OwnedSemaphorePermit>);

impl HeldMemory {
    fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn add(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.0 {
            Some(held) => held.merge(permit),
            None => self.0 = Some(permit),
        }
    }
}

impl BodyBudget {
    /// Creates a budget with all memory free.
    pub(crate) fn new(limits: BodyBudgetLimits) -> Self {
        Self {
            max_open: limits.max_open,
            max_time: limits.max_time,
            memory: Arc::new(Semaphore::new(limits.memory_bytes as usize)),
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
        let mut memory = HeldMemory::default();
        let gathered = tokio::time::timeout(self.max_time, open.gather(body, length, &mut memory));
        let gathered = tokio::select! {
            biased;
            Ok(error) = turned_away => return Err(error),
            gathered = gathered => gathered,
        };
        let bytes =
            gathered.unwrap_or_else(|_elapsed| Err(open.refused(Shortage::Time, &memory)))?;
        Ok(HeldBody { bytes, memory })
    }

    fn begin(&self) -> (OpenBodyGuard<'_>, oneshot::Receiver<CollectError>) {
        let (refusal, turned_away) = oneshot::channel();
        let began = Instant::now();
        let mut open = self.lock();
        if open.len() >= self.max_open
            && let Some(oldest) = key_of_oldest(&open)
        {
            turn_away(&mut open, oldest, Shortage::Places, began);
        }
        let key = open.insert(OpenBody {
            began,
            held_bytes: 0,
            refusal,
        });
        drop(open);
        let guard = OpenBodyGuard {
            budget: self,
            key,
            began,
        };
        (guard, turned_away)
    }

    /// Adds memory for what was decoded from a body, so that `bytes` are held in all. Memory beyond
    /// that stays held.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is used up by what can't be turned away.
    pub(crate) async fn hold(
        &self,
        memory: &mut HeldMemory,
        bytes: usize,
    ) -> Result<(), CollectError> {
        let added = bytes.saturating_sub(memory.bytes());
        if added == 0 {
            return Ok(());
        }
        let began = Instant::now();
        let permit = self.acquire(added).await;
        memory.add(permit.ok_or_else(|| CollectError::TurnedAway {
            shortage: Shortage::Memory,
            held_bytes: memory.bytes(),
            open_for: began.elapsed(),
        })?);
        Ok(())
    }

    /// Takes memory from the budget, for which bodies may be turned away; `None` if there is too little
    /// that they hold.
    async fn acquire(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes).ok()?;
        if let Ok(permit) = Arc::clone(&self.memory).try_acquire_many_owned(permits) {
            return Some(permit);
        }
        if !self.turn_away_for(bytes) {
            return None;
        }
        let memory = Arc::clone(&self.memory);
        memory.acquire_many_owned(permits).await.ok()
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
            freed_bytes += turn_away(&mut open, key, Shortage::Memory, now);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<BodyKey, OpenBody>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key_of_oldest(open: &SlotMap<BodyKey, OpenBody>) -> Option<BodyKey> {
    let oldest = open.iter().min_by_key(|(_, body)| body.began);
    oldest.map(|(key, _)| key)
}

/// Turns a body away and returns the memory that it gives back.
fn turn_away(
    open: &mut SlotMap<BodyKey, OpenBody>,
    key: BodyKey,
    shortage: Shortage,
    now: Instant,
) -> usize {
    let Some(body) = open.remove(key) else {
        return 0;
    };
    let error = CollectError::TurnedAway {
        shortage,
        held_bytes: body.held_bytes,
        open_for: now.saturating_duration_since(body.began),
    };
    // The receiver is gone if the body has ended.
    body.refusal.send(error).map_or(0, |()| body.held_bytes)
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
        memory: &mut HeldMemory,
    ) -> Result<Bytes, CollectError> {
        let mut buffer = BodyBuffer::new(length)?;
        while let Some(data) = next_data(&mut body).await? {
            let growth = buffer.growth_for(data.len())?;
            if growth > 0 {
                self.reserve(growth, memory).await?;
            }
            buffer.append(&data, growth);
        }
        Ok(buffer.into_bytes())
    }

    /// Adds `bytes` to the memory that the body holds, for which others may be turned away.
    async fn reserve(&self, bytes: usize, memory: &mut HeldMemory) -> Result<(), CollectError> {
        let Some(permit) = self.budget.acquire(bytes).await else {
            return Err(self.refused(Shortage::Memory, memory));
        };
        memory.add(permit);
        if let Some(body) = self.budget.lock().get_mut(self.key) {
            body.held_bytes += bytes;
        }
        Ok(())
    }

    /// Returns the error of this body when it is turned away itself.
    fn refused(&self, shortage: Shortage, memory: &HeldMemory) -> CollectError {
        CollectError::TurnedAway {
            shortage,
            held_bytes: memory.bytes(),
            open_for: self.began.elapsed(),
        }
    }
}

impl Drop for OpenBodyGuard<'_> {
    fn drop(&mut self) {
        self.budget.lock().remove(self.key);
    }
}
