//! Queue of one request class, which serves teams round-robin.

use std::collections::{BTreeMap, VecDeque};

use super::response_time::MeanResponseTime;
use super::{AdmissionRequest, Dequeued, Refusal, RequestClass};
use crate::name::TeamName;
use crate::outcome::NotRunReason;

/// Weight of a new interval in the mean interval between two starts.
const INTERVAL_WEIGHT: f64 = 0.05;

/// A third of the expected wait is added as a margin when a request is admitted.
const WAIT_MARGIN_DIVISOR: u64 = 3;

/// Identifies a waiting request, so that it can be removed from its queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueTicket {
    class: RequestClass,
    team: TeamName,
    number: u64,
}

impl QueueTicket {
    pub(crate) const fn class(&self) -> RequestClass {
        self.class
    }
}

#[derive(Debug)]
struct Waiting<T> {
    number: u64,
    deadline_us: u64,
    item: T,
}

/// Waiting requests of one team, with the mean interval at which they start.
#[derive(Debug)]
struct TeamQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    last_start_us: u64,
    /// Mean time between two starts; `None` before the first start.
    mean_interval_us: Option<f64>,
}

/// Waiting requests of one class by team, with the mean interval at which they start.
#[derive(Debug)]
pub(crate) struct ClassQueue<T> {
    teams: BTreeMap<TeamName, TeamQueue<T>>,
    /// Teams with waiting requests; the first one is served next.
    round_robin: VecDeque<TeamName>,
    length: usize,
    next_number: u64,
    /// Mean time between two starts of any team.
    mean_interval_us: f64,
    last_start_us: u64,
    pub(crate) response_time: MeanResponseTime,
}

impl<T> ClassQueue<T> {
    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    pub(crate) fn new(initial_start_interval_us: u64) -> Self {
        Self {
            teams: BTreeMap::new(),
            round_robin: VecDeque::new(),
            length: 0,
            next_number: 0,
            mean_interval_us: initial_start_interval_us as f64,
            last_start_us: 0,
            response_time: MeanResponseTime::default(),
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the expected wait in microseconds of a new request of the team.
    ///
    /// This is the longer of two estimates: the time until all requests ahead of the new one in
    /// round-robin order have started, and the time in which the team's own requests would start
    /// at their observed interval.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "times are below a year"
    )]
    pub(crate) fn expected_wait_us(&self, team: &TeamName, now_us: u64) -> u64 {
        if self.length == 0 {
            return 0;
        }
        let queue = self.teams.get(team);
        let team_count = queue.map_or(0, |queue| queue.waiting.len());
        let ahead: usize = self
            .teams
            .values()
            .map(|other| other.waiting.len().min(team_count + 1))
            .sum();
        let team_interval_us = queue
            .and_then(|queue| queue.mean_interval_us)
            .unwrap_or_default();
        let team_wait_us = team_interval_us * (team_count + 1) as f64;
        self.time_to_start_us(ahead + 1, now_us)
            .max(team_wait_us as u64)
    }

    /// Returns the time in microseconds until all waiting requests have started.
    pub(crate) fn drain_time_us(&self, now_us: u64) -> u64 {
        self.time_to_start_us(self.length, now_us)
    }

    /// Returns by how many microseconds a request would miss its deadline after a wait; `None` when
    /// it would be in time. A request that needn't wait always counts as in time.
    pub(crate) fn overrun_us(&self, wait_us: u64, deadline_us: u64, now_us: u64) -> Option<u64> {
        if wait_us == 0 {
            return None;
        }
        let margin_us = wait_us / WAIT_MARGIN_DIVISOR;
        let done_us = now_us + wait_us + margin_us + self.response_time.upper_bound_us();
        (done_us > deadline_us).then(|| done_us - deadline_us)
    }

    /// Appends a request to the queue of its team.
    pub(crate) fn push(&mut self, request: &AdmissionRequest, now_us: u64, item: T) -> QueueTicket {
        if self.length == 0 {
            self.last_start_us = now_us;
        }
        let number = self.next_number;
        self.next_number += 1;
        let team = self
            .teams
            .entry(request.team.clone())
            .or_insert_with(|| TeamQueue {
                waiting: VecDeque::new(),
                last_start_us: now_us,
                mean_interval_us: None,
            });
        if team.waiting.is_empty() {
            self.round_robin.push_back(request.team.clone());
        }
        team.waiting.push_back(Waiting {
            number,
            deadline_us: request.deadline_us,
            item,
        });
        self.length += 1;
        QueueTicket {
            class: request.class,
            team: request.team.clone(),
            number,
        }
    }

    /// Takes the next request in round-robin order, and all late requests before it.
    ///
    /// A team whose request was late is served again at once.
    pub(crate) fn pop(&mut self, now_us: u64) -> Dequeued<T> {
        let mut late = Vec::new();
        while let Some(team) = self.round_robin.pop_front() {
            let Some(waiting) = self.pop_of_team(&team, now_us) else {
                continue;
            };
            let is_late = now_us + self.response_time.upper_bound_us() > waiting.deadline_us;
            if self.teams.contains_key(&team) {
                if is_late {
                    self.round_robin.push_front(team);
                } else {
                    self.round_robin.push_back(team);
                }
            }
            if is_late {
                late.push((waiting.item, self.late_refusal(waiting.deadline_us, now_us)));
                continue;
            }
            self.record_start(now_us);
            let request = Some(waiting.item);
            return Dequeued { request, late };
        }
        let request = None;
        Dequeued { request, late }
    }

    /// Removes and returns the newest request of the team with the most waiting requests, if that
    /// team has more than `team` would have with one more.
    pub(crate) fn evict_from_largest(&mut self, team: &TeamName) -> Option<T> {
        let team_count = self.teams.get(team).map_or(0, |queue| queue.waiting.len());
        let (_, largest) = self
            .teams
            .iter_mut()
            .max_by_key(|(_, other)| other.waiting.len())?;
        if largest.waiting.len() <= team_count + 1 {
            return None;
        }
        let evicted = largest.waiting.pop_back()?;
        self.length -= 1;
        Some(evicted.item)
    }

    pub(crate) fn remove(&mut self, ticket: &QueueTicket) -> Option<T> {
        let waiting = &mut self.teams.get_mut(&ticket.team)?.waiting;
        let index = waiting
            .iter()
            .position(|waiting| waiting.number == ticket.number)?;
        let removed = waiting.remove(index)?;
        self.length -= 1;
        self.remove_if_empty(&ticket.team);
        Some(removed.item)
    }

    /// Removes and returns the requests whose deadlines can't be met any more.
    pub(crate) fn remove_late(&mut self, now_us: u64) -> Vec<(T, Refusal)> {
        let late_by_team: Vec<(TeamName, Vec<u64>)> = self
            .teams
            .iter()
            .map(|(team, queue)| (team.clone(), self.late_numbers(&queue.waiting, now_us)))
            .filter(|(_, numbers)| !numbers.is_empty())
            .collect();
        let mut late = Vec::new();
        for (team, numbers) in late_by_team {
            let Some(TeamQueue { waiting, .. }) = self.teams.get_mut(&team) else {
                continue;
            };
            let all = std::mem::take(waiting);
            let (late_waiting, kept): (VecDeque<_>, VecDeque<_>) = all
                .into_iter()
                .partition(|waiting| numbers.contains(&waiting.number));
            *waiting = kept;
            self.length -= late_waiting.len();
            self.remove_if_empty(&team);
            for waiting in late_waiting {
                late.push((waiting.item, self.late_refusal(waiting.deadline_us, now_us)));
            }
        }
        late
    }

    /// Returns the numbers of the requests whose deadlines can't be met any more.
    fn late_numbers(&self, waiting: &VecDeque<Waiting<T>>, now_us: u64) -> Vec<u64> {
        waiting
            .iter()
            .filter(|waiting| now_us + self.response_time.upper_bound_us() > waiting.deadline_us)
            .map(|waiting| waiting.number)
            .collect()
    }

    /// Takes the oldest request of a team and updates the team's mean interval.
    ///
    /// A late request counts as a start here.
    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    fn pop_of_team(&mut self, name: &TeamName, now_us: u64) -> Option<Waiting<T>> {
        let team = self.teams.get_mut(name)?;
        let first = team.waiting.pop_front()?;
        self.length -= 1;
        let elapsed_us = now_us.saturating_sub(team.last_start_us) as f64;
        let mean_us = team.mean_interval_us.unwrap_or(elapsed_us);
        team.mean_interval_us = Some(mean_us + (elapsed_us - mean_us) * INTERVAL_WEIGHT);
        team.last_start_us = now_us;
        if team.waiting.is_empty() {
            self.teams.remove(name);
        }
        Some(first)
    }

    /// Removes a team without waiting requests from the queue.
    fn remove_if_empty(&mut self, name: &TeamName) {
        let is_empty = |team: &TeamQueue<T>| team.waiting.is_empty();
        if self.teams.get(name).is_some_and(is_empty) {
            self.teams.remove(name);
            self.round_robin.retain(|other| other != name);
        }
    }

    /// Returns the refusal of a request that can't meet its deadline.
    fn late_refusal(&self, deadline_us: u64, now_us: u64) -> Refusal {
        let done_us = now_us + self.response_time.upper_bound_us();
        Refusal {
            reason: NotRunReason::Deadline,
            retry_after_us: self
                .drain_time_us(now_us)
                .max(done_us.saturating_sub(deadline_us)),
        }
    }

    /// Updates the mean interval between two starts of any team.
    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    fn record_start(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.last_start_us) as f64;
        self.mean_interval_us += (elapsed_us - self.mean_interval_us) * INTERVAL_WEIGHT;
        self.last_start_us = now_us;
    }

    /// Returns the time in microseconds until `count` requests have started.
    ///
    /// Each start takes the mean interval; when the last start is longer ago than that, the excess
    /// is added, so that a stalled service has a growing wait.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "times are below a year"
    )]
    fn time_to_start_us(&self, count: usize, now_us: u64) -> u64 {
        let idle_us = now_us.saturating_sub(self.last_start_us) as f64;
        let idle_us = if self.length > 0 { idle_us } else { 0.0 };
        (count as f64 * self.mean_interval_us + (idle_us - self.mean_interval_us).max(0.0)) as u64
    }
}
