//! Ledger of the loans of all teams, which the holder of the machine duties keeps in memory.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cyclamentrail_core::{ServiceName, TeamName};

use super::caps::Caps;
use super::targets::{Demand, divide};
use super::{
    Grantee, MAX_SHARE, QuotaReply, QuotaReport, TeamReport, WHOLE_CAP, base_share, cap_share,
    largest_allowance,
};
use crate::{Resources, TeamConfig};

/// What the ledger knows of a shard's owner.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    owner: u64,
    sequence: u64,
    /// Revision of the caps under which it last reported; 0 if the ledger doesn't know them.
    revision: u64,
}

/// What the ledger knows of a team in a shard, in millionths of the team's cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holding {
    usage: u64,
    allowance: u64,
    wanted: u64,
    needed: u64,
    /// Largest allowance that was granted since the shard last reported the team; the shard may have
    /// it in force or not. 0 if there was none.
    granted: u64,
    /// Place in the queue of shards with a task that waits for an allowance.
    queued: Option<u64>,
    /// Number of the report at which the allowance was last computed; 0 if it wasn't.
    computed_at: u64,
}

impl Holding {
    fn reserved(&self) -> u64 {
        self.allowance.max(self.usage).max(self.granted)
    }
}

/// Lends the part of each team's cap that isn't a base to the shards that want it.
///
/// The ledger reserves for each shard the largest of its allowance as reported, its usage as
/// reported, and what it was granted since; it raises an allowance only while all reservations of the
/// team stay within the cap. A new ledger lends nothing until each shard has reported to it, and
/// nothing to a team whose cap is lowered or new until each shard has reported under that cap.
#[derive(Debug)]
pub struct Ledger {
    token: u64,
    services: BTreeSet<ServiceName>,
    caps: Caps,
    caps_digest: u64,
    /// Number of the caps, which rises with each change.
    revision: u64,
    /// Last revision that had the caps with a digest.
    revisions: HashMap<u64, u64>,
    /// Revision at which a capped team was last limited further than before.
    limited_at: HashMap<TeamName, u64>,
    /// Lowest fencing token of an owner whose reports count, by service.
    first_owners: HashMap<ServiceName, u64>,
    reporters: HashMap<ServiceName, Reporter>,
    holdings: HashMap<TeamName, BTreeMap<ServiceName, Holding>>,
    is_lending: bool,
    next_queued: u64,
    divisions: u64,
    /// Number of reports that were handled.
    reports: u64,
    /// Number of the report at which what is known of a team last changed.
    changed_at: HashMap<TeamName, u64>,
    /// Number of the report at which something that concerns all teams last changed.
    all_changed_at: u64,
    /// Lowest revision of the caps under which a shard last reported.
    settled: u64,
}

impl Ledger {
    /// Creates a ledger that hasn't received any report.
    #[must_use]
    pub fn new(token: u64) -> Self {
        Self {
            token,
            services: BTreeSet::new(),
            caps: Caps::default(),
            caps_digest: 0,
            revision: 0,
            revisions: HashMap::new(),
            limited_at: HashMap::new(),
            first_owners: HashMap::new(),
            reporters: HashMap::new(),
            holdings: HashMap::new(),
            is_lending: false,
            next_queued: 0,
            divisions: 0,
            reports: 0,
            changed_at: HashMap::new(),
            all_changed_at: 0,
            settled: 0,
        }
    }

    /// Replaces the services that have a shard, and the teams. A service that has left keeps what is
    /// reserved for it until its owner reports less.
    pub fn configure<'a>(
        &mut self,
        services: impl IntoIterator<Item = ServiceName>,
        teams: impl IntoIterator<Item = &'a TeamConfig>,
    ) {
        self.services = services.into_iter().collect();
        self.all_changed_at = self.reports + 1;
        let caps = Caps::new(teams);
        if self.revision > 0 && caps == self.caps {
            return;
        }
        let unlimited = Resources::default();
        for (team, holdings) in &mut self.holdings {
            let earlier = self.caps.get(team).unwrap_or(&unlimited);
            let cap = caps.get(team).unwrap_or(&unlimited);
            for holding in holdings.values_mut() {
                holding.usage = scaled_usage(holding.usage, earlier, cap);
            }
        }
        self.revision += 1;
        self.caps_digest = caps.digest();
        self.revisions.insert(self.caps_digest, self.revision);
        self.limited_at.retain(|team, _| caps.get(team).is_some());
        let lowered = caps.lowered_since(&self.caps).cloned();
        self.limited_at
            .extend(lowered.map(|team| (team, self.revision)));
        self.caps = caps;
    }

    /// Makes the ledger ignore the reports of owners of a service that are earlier than the one with
    /// this token. The newest owner at the time of the ledger's claim has to be known: it may still
    /// borrow from an earlier ledger while a report of its predecessor arrives here.
    pub fn ignore_earlier_owners(&mut self, service: ServiceName, owner: u64) {
        self.first_owners.insert(service, owner);
    }

    /// Returns the fencing token of the ledger.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns whether each shard has reported, so that the ledger lends.
    #[must_use]
    pub const fn is_lending(&self) -> bool {
        self.is_lending
    }

    /// Returns the services whose shards the ledger waits for.
    pub fn missing_services(&self) -> impl Iterator<Item = &ServiceName> {
        let is_missing = |service: &&ServiceName| !self.reporters.contains_key(*service);
        self.services.iter().filter(is_missing)
    }

    /// Returns how often a team's cap was divided among the shards, which is most of the ledger's work.
    #[must_use]
    pub const fn divisions(&self) -> u64 {
        self.divisions
    }

    /// Returns what is reserved for a team over all shards, in millionths of its cap.
    #[must_use]
    pub fn reserved(&self, team: &TeamName) -> u64 {
        self.reservations(team, None)
    }

    /// Handles a report; returns the allowances that change. A report for another ledger, an older
    /// one than the last, and one of an earlier owner get no reply.
    pub fn handle_report(&mut self, report: &QuotaReport) -> Option<QuotaReply> {
        if report.ledger != self.token || !self.is_newest(report) {
            return None;
        }
        self.reports += 1;
        let known = self.reporters.insert(
            report.service.clone(),
            Reporter {
                owner: report.owner,
                sequence: report.sequence,
                revision: self.revisions.get(&report.caps).copied().unwrap_or(0),
            },
        );
        let is_new_owner = known.is_none_or(|known| known.owner < report.owner);
        if is_new_owner || report.is_full {
            self.forget_others(report, is_new_owner);
        }
        for team in &report.teams {
            self.record(&report.service, team);
        }
        let have_all_reported = self.missing_services().next().is_none();
        self.is_lending |= have_all_reported;
        let teams = self.changed_allowances(&report.service);
        Some(QuotaReply {
            ledger: self.token,
            caps: self.caps_digest,
            teams,
        })
    }

    /// Returns whether a report is newer than all others of its shard. The first one of an owner has
    /// to be full.
    fn is_newest(&self, report: &QuotaReport) -> bool {
        let first_owner = self.first_owners.get(&report.service);
        if first_owner.is_some_and(|first| report.owner < *first) {
            return false;
        }
        match self.reporters.get(&report.service) {
            Some(known) if known.owner == report.owner => known.sequence < report.sequence,
            Some(known) => known.owner < report.owner && report.is_full,
            None => report.is_full,
        }
    }

    /// Drops what is known of a shard's teams that a full report doesn't name. An earlier owner's
    /// grants are dropped as well: it can't place any more tasks, because its appends are fenced.
    fn forget_others(&mut self, report: &QuotaReport, is_new_owner: bool) {
        let named: BTreeSet<&TeamName> = report.teams.iter().map(|team| &team.team).collect();
        for (team, holdings) in &mut self.holdings {
            if (is_new_owner || !named.contains(team)) && holdings.remove(&report.service).is_some()
            {
                self.changed_at.insert(team.clone(), self.reports);
            }
        }
    }

    /// Records what a shard reports of a team. Earlier grants are settled by it: their replies were
    /// applied before the report was sent, or dropped.
    fn record(&mut self, service: &ServiceName, report: &TeamReport) {
        let base = base_share(self.services.len());
        let holdings = self.holdings.entry(report.team.clone()).or_default();
        if report.is_at_base(base) {
            if holdings.remove(service).is_some() {
                self.changed_at.insert(report.team.clone(), self.reports);
            }
            return;
        }
        let queued = holdings
            .get(service)
            .and_then(|holding| holding.queued)
            .filter(|_| report.needed > report.allowance);
        let queued = queued.or_else(|| {
            (report.needed > report.allowance).then(|| {
                self.next_queued += 1;
                self.next_queued
            })
        });
        let holding = Holding {
            usage: report.usage.min(MAX_SHARE),
            allowance: report.allowance.min(MAX_SHARE),
            wanted: report.wanted.min(MAX_SHARE),
            needed: report.needed.min(MAX_SHARE),
            granted: 0,
            queued,
            computed_at: holdings.get(service).map_or(0, |known| known.computed_at),
        };
        if holdings.insert(service.clone(), holding) != Some(holding) {
            self.changed_at.insert(report.team.clone(), self.reports);
        }
    }

    /// Returns the lowest revision of the caps under which a shard last reported.
    fn settled_revision(&self) -> u64 {
        let revision = |service| {
            self.reporters
                .get(service)
                .map_or(0, |known| known.revision)
        };
        let revisions = self.services.iter().map(revision);
        revisions.min().unwrap_or(self.revision)
    }

    /// Returns the allowances of a shard that change, and reserves them.
    fn changed_allowances(&mut self, service: &ServiceName) -> Vec<Grantee> {
        // A shard with other caps drops the reply.
        let is_current = |known: &Reporter| known.revision == self.revision;
        if !self.is_lending || !self.reporters.get(service).is_some_and(is_current) {
            return Vec::new();
        }
        let settled = self.settled_revision();
        if settled != self.settled {
            self.settled = settled;
            self.all_changed_at = self.reports;
        }
        let held: Vec<TeamName> = self
            .holdings
            .iter()
            .filter(|(team, holdings)| {
                let changed_at = self.changed_at.get(*team).copied().unwrap_or(0);
                let changed_at = changed_at.max(self.all_changed_at);
                holdings
                    .get(service)
                    .is_some_and(|holding| holding.computed_at <= changed_at)
            })
            .map(|(team, _)| team.clone())
            .collect();
        let mut changed = Vec::new();
        for team in held {
            // Usage under an earlier cap, or without one, isn't known as a share of this one.
            let is_settled = |limited: &u64| *limited <= settled;
            if !self.limited_at.get(&team).is_some_and(is_settled) {
                continue;
            }
            self.divisions += 1;
            let Some(allowance) = self.allowance_for(&team, service) else {
                continue;
            };
            let holding = self
                .holdings
                .get_mut(&team)
                .and_then(|holdings| holdings.get_mut(service));
            let Some(holding) = holding else {
                continue;
            };
            holding.computed_at = self.reports;
            if allowance != holding.allowance {
                holding.granted = holding.granted.max(allowance);
                self.changed_at.insert(team.clone(), self.reports);
                changed.push(Grantee { team, allowance });
            }
        }
        changed
    }

    /// Returns the allowance that a shard should have from now on.
    fn allowance_for(&self, team: &TeamName, service: &ServiceName) -> Option<u64> {
        let holdings = self.holdings.get(team)?;
        let holding = holdings.get(service)?;
        let target = self.target(holdings, service);
        // Where others use more than the rest of the cap, this shard gets less, also below its base.
        let unused = WHOLE_CAP.saturating_sub(self.occupied(holdings, service));
        let kept = holding.allowance.min(unused);
        if target <= kept {
            return Some(target);
        }
        let room = WHOLE_CAP.saturating_sub(self.reservations(team, Some(service)));
        Some(target.min(room).max(kept))
    }

    /// Returns the share of the cap that a shard should have.
    fn target(&self, holdings: &BTreeMap<ServiceName, Holding>, service: &ServiceName) -> u64 {
        let all_base = base_share(self.services.len());
        let largest = largest_allowance(self.services.len());
        let mut own = 0;
        let mut demands: Vec<Demand> = Vec::with_capacity(holdings.len() + 1);
        for (holder, holding) in holdings {
            if holder == service {
                own = demands.len();
            }
            // A shard whose service has left places nothing and gets nothing.
            let is_listed = self.services.contains(holder);
            demands.push(Demand {
                base: if is_listed { all_base } else { holding.usage },
                usage: holding.usage,
                wanted: if is_listed {
                    holding.wanted.min(largest)
                } else {
                    0
                },
                needed: holding
                    .queued
                    .filter(|_| is_listed)
                    .map_or(0, |_| holding.needed.min(largest)),
                queued: holding.queued.unwrap_or(u64::MAX),
            });
        }
        let others = self.services_without(holdings);
        demands.push(Demand {
            base: all_base * others,
            usage: 0,
            wanted: 0,
            needed: 0,
            queued: u64::MAX,
        });
        divide(&demands)[own]
    }

    /// Returns what all shards but one may use, in millionths of the cap.
    fn occupied(&self, holdings: &BTreeMap<ServiceName, Holding>, except: &ServiceName) -> u64 {
        let others = holdings.iter().filter(|(service, _)| *service != except);
        let reserved: u64 = others.map(|(_, holding)| holding.reserved()).sum();
        reserved + base_share(self.services.len()) * self.services_without(holdings)
    }

    /// Returns what is reserved for a team in all shards but one, in millionths of its cap. A shard
    /// that was lowered below its base counts with the base, because its next owner starts with it.
    fn reservations(&self, team: &TeamName, except: Option<&ServiceName>) -> u64 {
        let base = base_share(self.services.len());
        let no_holdings = BTreeMap::new();
        let holdings = self.holdings.get(team).unwrap_or(&no_holdings);
        let mut sum = base * self.services_without(holdings);
        for (service, holding) in holdings {
            if except == Some(service) {
                continue;
            }
            let is_listed = self.services.contains(service);
            sum += holding.reserved().max(if is_listed { base } else { 0 });
        }
        sum
    }

    /// Returns the number of services that hold nothing but their base.
    fn services_without(&self, holdings: &BTreeMap<ServiceName, Holding>) -> u64 {
        let without = |service: &&ServiceName| !holdings.contains_key(*service);
        self.services.iter().filter(without).count() as u64
    }
}

/// Returns the largest share of a new cap that a usage of an earlier cap may be. A shard that has
/// applied the new cap and can't reach the ledger uses as much as before.
fn scaled_usage(usage: u64, earlier: &Resources, cap: &Resources) -> u64 {
    let is_new_limit = |before: u64, after: u64| before == 0 && after > 0;
    let is_unknown = is_new_limit(earlier.cpu_milli, cap.cpu_milli)
        || is_new_limit(earlier.memory_mib, cap.memory_mib)
        || is_new_limit(earlier.gpus, cap.gpus);
    if is_unknown {
        return usage.max(WHOLE_CAP);
    }
    let ratio = cap_share(earlier, cap).max(WHOLE_CAP);
    usage
        .saturating_mul(ratio)
        .div_ceil(WHOLE_CAP)
        .min(MAX_SHARE)
}
