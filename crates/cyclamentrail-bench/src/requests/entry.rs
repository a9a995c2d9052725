//! One entry of a run: the state of the core's decisions.

use cyclamentrail_core::{
    Admission, AdmissionLimits, CandidatePool, Incarnation, InstanceName, LinkLimits, LinkState,
    RequestClass, RetryBudget, choose_instance, guaranteed_slots,
};
use rand_chacha::ChaCha8Rng;

use super::policy::Sharing;
use super::scenario::{QUICK_WORK_US, SLOTS, Scenario};

/// Zones that servers and entries are spread over.
const ZONES: usize = 3;
/// Servers of a rack.
const RACK_SIZE: usize = 4;
/// Slots that long requests leave to quick ones.
const QUICK_RESERVED_SLOTS: u32 = 2;
/// Connections of a server.
const CONNECTIONS: u32 = 64;
/// Requests of a class that may wait at an entry.
const MAX_WAITING: u32 = 256;
/// Retries as a share of the requests.
const RETRY_RATIO: f64 = 0.1;

/// State of one entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) links: Vec<LinkState>,
    pub(crate) admission: Admission<usize>,
    pub(crate) budget: RetryBudget,
    pub(crate) alive: bool,
    /// Servers that it may use, those of its own zone first.
    order: Vec<usize>,
    same_zone_count: usize,
    zone: usize,
    /// Free slots of the other entries as they were last told.
    pub(crate) known_free_slots: Vec<u32>,
    pub(crate) next_round_robin: usize,
}

impl Entry {
    /// Creates the entry at an index, which every server's slots are open to.
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

    /// Sets which servers it may use, and how much of each.
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

    /// Takes a slot of the server that routing chooses.
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

    /// Returns the free slots that it knows of.
    pub(crate) fn free_slots(&self, now_us: u64) -> u32 {
        let free = |&server: &usize| {
            let seen = self.links[server].candidate(RequestClass::Quick, false, 0, now_us);
            seen.limit.saturating_sub(seen.in_flight)
        };
        self.order.iter().map(free).sum()
    }

    /// Returns the servers that are ejected, without one of them.
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

    /// Returns the time in microseconds that a message to a server takes.
    pub(crate) const fn delay_us(&self, server: usize) -> u64 {
        if server % ZONES == self.zone {
            100
        } else {
            500
        }
    }
}

/// Returns the number of a server's rack.
pub(crate) const fn rack_of(server: usize) -> u32 {
    (server / RACK_SIZE) as u32
}
