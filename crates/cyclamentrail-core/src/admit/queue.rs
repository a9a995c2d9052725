//! The queue of one class, which takes turns between teams.

use std::collections::{BTreeMap, VecDeque};

use super::pace::Pace;
use super::{Ask, Refusal, RequestClass, Turn};
use crate::name::TeamName;
use crate::outcome::NotRunReason;

/// Weight of a new interval between two starts.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Part of the expected wait that is kept as a margin when a request is admitted.
const WAIT_MARGIN: u64 = 3;

/// Takes a waiting request out of its queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    class: RequestClass,
    team: TeamName,
    number: u64,
}

impl Ticket {
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

/// Waiting requests of one team, with the rate at which they start.
#[derive(Debug)]
struct TeamQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    last_start_us: u64,
    interval_us: Option<f64>,
}

/// Waiting requests by team, with the rate at which they start.
#[derive(Debug)]
pub(crate) struct ClassQueue<T> {
    teams: BTreeMap<TeamName, TeamQueue<T>>,
    turns: VecDeque<TeamName>,
    length: usize,
    next_number: u64,
    interval_us: f64,
    last_start_us: u64,
    pub(crate) pace: Pace,
}

impl<T> ClassQueue<T> {
    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    pub(crate) fn new(start_interval_us: u64) -> Self {
        Self {
            teams: BTreeMap::new(),
            turns: VecDeque::new(),
            length: 0,
            next_number: 0,
            interval_us: start_interval_us as f64,
            last_start_us: 0,
            pace: Pace::default(),
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the wait of the team's next request, when each team gets its turn and the team's
    /// own requests start as they did.
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
        let own = self.teams.get(team);
        let own_count = own.map_or(0, |own| own.waiting.len());
        let ahead: usize = self
            .teams
            .values()
            .map(|other| other.waiting.len().min(own_count + 1))
            .sum();
        let own_interval_us = own.and_then(|own| own.interval_us).unwrap_or_default();
        let own_wait_us = own_interval_us * (own_count + 1) as f64;
        self.wait_us(ahead + 1, now_us).max(own_wait_us as u64)
    }

    /// Returns the time in which all waiting requests start.
    pub(crate) fn drain_us(&self, now_us: u64) -> u64 {
        self.wait_us(self.length, now_us)
    }

    /// Returns by how much a request would miss its deadline after a wait.
    pub(crate) fn excess_us(&self, wait_us: u64, deadline_us: u64, now_us: u64) -> Option<u64> {
        if wait_us == 0 {
            return None;
        }
        let margin_us = wait_us / WAIT_MARGIN;
        let done_us = now_us + wait_us + margin_us + self.pace.high_us();
        (done_us > deadline_us).then(|| done_us - deadline_us)
    }

    pub(crate) fn push(&mut self, ask: &Ask, now_us: u64, item: T) -> Ticket {
        if self.length == 0 {
            self.last_start_us = now_us;
        }
        let number = self.next_number;
        self.next_number += 1;
        let team = self
            .teams
            .entry(ask.team.clone())
            .or_insert_with(|| TeamQueue {
                waiting: VecDeque::new(),
                last_start_us: now_us,
                interval_us: None,
            });
        if team.waiting.is_empty() {
            self.turns.push_back(ask.team.clone());
        }
        team.waiting.push_back(Waiting {
            number,
            deadline_us: ask.deadline_us,
            item,
        });
        self.length += 1;
        Ticket {
            class: ask.class,
            team: ask.team.clone(),
            number,
        }
    }

    pub(crate) fn pop(&mut self, now_us: u64) -> Turn<T> {
        let mut late = Vec::new();
        while let Some(team) = self.turns.pop_front() {
            let Some(waiting) = self.take_first(&team, now_us) else {
                continue;
            };
            let is_late = now_us + self.pace.high_us() > waiting.deadline_us;
            if self.teams.contains_key(&team) {
                if is_late {
                    self.turns.push_front(team);
                } else {
                    self.turns.push_back(team);
                }
            }
            if is_late {
                late.push((waiting.item, self.late_by(waiting.deadline_us, now_us)));
                continue;
            }
            self.note_start(now_us);
            let taken = Some(waiting.item);
            return Turn { taken, late };
        }
        let taken = None;
        Turn { taken, late }
    }

    /// Takes out the newest request of the largest team, if that has more than `team` would.
    pub(crate) fn evict_for(&mut self, team: &TeamName) -> Option<T> {
        let own = self.teams.get(team).map_or(0, |own| own.waiting.len());
        let (_, largest) = self
            .teams
            .iter_mut()
            .max_by_key(|(_, other)| other.waiting.len())?;
        if largest.waiting.len() <= own + 1 {
            return None;
        }
        let evicted = largest.waiting.pop_back()?;
        self.length -= 1;
        Some(evicted.item)
    }

    pub(crate) fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        let waiting = &mut self.teams.get_mut(&ticket.team)?.waiting;
        let index = waiting
            .iter()
            .position(|waiting| waiting.number == ticket.number)?;
        let removed = waiting.remove(index)?;
        self.length -= 1;
        self.forget_if_empty(&ticket.team);
        Some(removed.item)
    }

    pub(crate) fn sweep(&mut self, now_us: u64) -> Vec<(T, Refusal)> {
        let rounds: Vec<(TeamName, Vec<u64>)> = self
            .teams
            .iter()
            .map(|(team, waiting)| (team.clone(), self.late_numbers(&waiting.waiting, now_us)))
            .filter(|(_, numbers)| !numbers.is_empty())
            .collect();
        let mut late = Vec::new();
        for (team, numbers) in rounds {
            let Some(TeamQueue { waiting, .. }) = self.teams.get_mut(&team) else {
                continue;
            };
            let all = std::mem::take(waiting);
            let (out, kept): (VecDeque<_>, VecDeque<_>) = all
                .into_iter()
                .partition(|waiting| numbers.contains(&waiting.number));
            *waiting = kept;
            self.length -= out.len();
            self.forget_if_empty(&team);
            for waiting in out {
                late.push((waiting.item, self.late_by(waiting.deadline_us, now_us)));
            }
        }
        late
    }

    fn late_numbers(&self, waiting: &VecDeque<Waiting<T>>, now_us: u64) -> Vec<u64> {
        waiting
            .iter()
            .filter(|waiting| now_us + self.pace.high_us() > waiting.deadline_us)
            .map(|waiting| waiting.number)
            .collect()
    }

    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    fn take_first(&mut self, name: &TeamName, now_us: u64) -> Option<Waiting<T>> {
        let team = self.teams.get_mut(name)?;
        let first = team.waiting.pop_front()?;
        self.length -= 1;
        let interval_us = now_us.saturating_sub(team.last_start_us) as f64;
        let mean_us = team.interval_us.unwrap_or(interval_us);
        team.interval_us = Some(mean_us + (interval_us - mean_us) * INTERVAL_WEIGHT);
        team.last_start_us = now_us;
        if team.waiting.is_empty() {
            self.teams.remove(name);
        }
        Some(first)
    }

    fn forget_if_empty(&mut self, name: &TeamName) {
        let is_empty = |team: &TeamQueue<T>| team.waiting.is_empty();
        if self.teams.get(name).is_some_and(is_empty) {
            self.teams.remove(name);
            self.turns.retain(|other| other != name);
        }
    }

    fn late_by(&self, deadline_us: u64, now_us: u64) -> Refusal {
        let done_us = now_us + self.pace.high_us();
        Refusal {
            reason: NotRunReason::Deadline,
            retry_after_us: self
                .drain_us(now_us)
                .max(done_us.saturating_sub(deadline_us)),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "intervals are below a year")]
    fn note_start(&mut self, now_us: u64) {
        let interval_us = now_us.saturating_sub(self.last_start_us) as f64;
        self.interval_us += (interval_us - self.interval_us) * INTERVAL_WEIGHT;
        self.last_start_us = now_us;
    }

    /// Returns the time until `count` requests have started, at the observed rate or, when
    /// nothing has started for longer, at that.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "times are below a year"
    )]
    fn wait_us(&self, count: usize, now_us: u64) -> u64 {
        let stalled_us = now_us.saturating_sub(self.last_start_us) as f64;
        let stalled_us = if self.length > 0 { stalled_us } else { 0.0 };
        (count as f64 * self.interval_us + (stalled_us - self.interval_us).max(0.0)) as u64
    }
}
