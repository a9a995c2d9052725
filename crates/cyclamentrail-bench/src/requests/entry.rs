//! Simulated entry: per-server links, admission queues and retry budget of the core.

use cyclamentrail_core::{
    Admission, AdmissionLimits, CandidatePool, Incarnation, InstanceName, LinkLimits, LinkState,
    RequestClass, RetryBudget, choose_instance, guaranteed_slots,
};
use rand_chacha::ChaCha8Rng;

use super::policy::Sharing;
use super::scenario::{QUICK_WORK_US, SLOTS, Scenario};

/// Availability zones over which servers and entries are spread.
const ZONES: usize = 3;
/// Servers in each rack.
const RACK_SIZE: usize = 4;
/// Slots of each server that only quick requests may use.
const QUICK_RESERVED_SLOTS: u32 = 2;
/// Connections that one server accepts from all entries.
const CONNECTIONS: u32 = 64;
/// Largest number of waiting requests of one class at one entry.
const MAX_WAITING: u32 = 256;
/// Retries that the budget allows, as a share of the requests.
const RETRY_RATIO: f64 = 0.1;

/// State of one simulated entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) links: Vec<LinkState>,
    pub(crate) admission: Admission<usize>,
    pub(crate) budget: RetryBudget,
    pub(crate) alive: bool,
    /// Indexes of the servers that this entry may use, those of its own zone first.
    order: Vec<usize>,
    same_zone_count: usize,
    zone: usize,
    /// Free slots last reported by each entry; 0 for this entry.
    pub(crate) known_free_slots: Vec<u32>,
    pub(crate) next_round_robin: usize,
}

impl Entry {
    /// Creates the entry at `index`, with links that are limited only by the servers' own limits.
    pub(crate) fn new(index: usize, scenario: &Scenario) -> Self {
        let slots = scenario.servers as f64 * f64::from(SLOTS) / scenario.entries as f64;
        let interval_us = QUICK_WORK_US / slots;
        let limits = AdmissionLimits {
            max_waiting: MAX_WAITING,
            initial_start_interval_us: interval_us as u64,
        };
        let open = LinkLimits {
            slots: SLOTS,
            guaranteed: SLOTS,
            connections: CONNECTIONS,
            long_requests: SLOTS,
        };
        Self {
            links: vec![LinkState::new(open); scenario.servers],
            admission: Admission::new(limits),
            budget: RetryBudget::new(RETRY_RATIO),
            alive: true,
            order: Vec::new(),
            same_zone_count: 0,
            zone: index % ZONES,
            known_free_slots: vec![0; scenario.entries],
            next_round_robin: index,
        }
    }

    /// Sets the servers that this entry may use and its limits at each of them.
    ///
    /// `own` is this entry's incarnation, `members` those of all live entries; `is_home` tells
    /// whether this entry may use the server at an index.
    pub(crate) fn set_members(
        &mut self,
        own: Incarnation,
        members: &[Incarnation],
        sharing: Sharing,
        is_home: impl Fn(usize) -> bool,
    ) {
        let count = members.len() as u32;
        let mut order: Vec<usize> = (0..self.links.len())
            .filter(|&server| is_home(server))
            .collect();
        order.sort_by_key(|server| server % ZONES != self.zone);
        self.same_zone_count = order
            .iter()
            .filter(|&&server| server % ZONES == self.zone)
            .count();
        for &server in &order {
            let instance = InstanceName::from(format!("w{server}"));
            let equal = |slots| guaranteed_slots(&instance, own, members, slots);
            let fixed = match sharing {
                Sharing::Static => Some(SLOTS / count),
                Sharing::Exact => Some(equal(SLOTS)),
                Sharing::Home | Sharing::Optimistic => Some(SLOTS),
                Sharing::Learned => None,
            };
            let long = match sharing {
                Sharing::Home => SLOTS - QUICK_RESERVED_SLOTS,
                _ => equal(SLOTS - QUICK_RESERVED_SLOTS),
            };
            self.links[server].set_limits(LinkLimits {
                slots: fixed.unwrap_or(SLOTS),
                guaranteed: fixed.unwrap_or_else(|| equal(SLOTS)),
                connections: (CONNECTIONS / count).max(1),
                long_requests: long,
            });
        }
        self.order = order;
    }

    /// Chooses a server by the core's routing and occupies one of its slots.
    ///
    /// Returns the index of the server, or `None` if no server has a free slot for the request.
    pub(crate) fn pick(
        &mut self,
        class: RequestClass,
        idempotent: bool,
        avoided_rack: Option<u32>,
        now_us: u64,
        random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let pool = CandidatePool {
            same_zone_count: self.same_zone_count,
            count: self.order.len(),
            avoided_rack,
        };
        let describe = |index: usize| {
            let server = self.order[index];
            self.links[server].candidate(class, idempotent, rack_of(server), now_us)
        };
        let server = self.order[choose_instance(pool, describe, random).index?];
        self.links[server]
            .try_occupy(class, idempotent, now_us)
            .then_some(server)
    }

    /// Returns the number of slots that this entry may still occupy, over all its servers.
    pub(crate) fn free_slots(&self, now_us: u64) -> u32 {
        let free = |&server: &usize| {
            let seen = self.links[server].candidate(RequestClass::Quick, false, 0, now_us);
            seen.limit.saturating_sub(seen.in_flight)
        };
        self.order.iter().map(free).sum()
    }

    /// Returns the number of ejected servers other than `server`.
    pub(crate) fn other_ejected_count(&self, server: usize) -> usize {
        let others = self
            .links
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != server);
        others
            .filter(|(_, link)| link.health().is_ejected())
            .count()
    }

    /// Returns the one-way network delay to a server in microseconds.
    pub(crate) const fn delay_us(&self, server: usize) -> u64 {
        if server % ZONES == self.zone {
            100
        } else {
            500
        }
    }
}

/// Returns the rack number of a server.
pub(crate) const fn rack_of(server: usize) -> u32 {
    (server / RACK_SIZE) as u32
}
