//! Allowances that a shard holds, and its reports to the ledger.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{ServiceName, TeamName};

use super::caps::Caps;
use super::{QuotaReply, QuotaReport, TeamReport, WHOLE_CAP, base_share, largest_allowance};
use crate::TeamConfig;

/// Most teams that a report names, unless it is a full one. Bounds the bytes of the reports.
pub const MAX_CHANGED_TEAMS: usize = 32;
/// Number of reports after which a full one is sent. Replaces what the ledger has scaled after a
/// change of a cap.
const REPORTS_PER_FULL: u32 = 32;
/// Step to which shares are rounded up before they are compared with those that were reported.
const REPORTED_STEP: u64 = WHOLE_CAP / 64;

/// Change of a team's allowance, in millionths of the team's cap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowanceChange {
    /// Name of the team.
    pub team: TeamName,
    /// Allowance before the change.
    pub earlier: u64,
    /// Allowance after the change.
    pub allowance: u64,
}

/// Report whose reply hasn't come yet.
#[derive(Debug, Clone)]
struct OpenReport {
    sequence: u64,
    is_full: bool,
    teams: Vec<TeamReport>,
    /// Whether a cap has changed since. The reply then lends shares of another cap, or to a team that
    /// ran without a cap meanwhile.
    is_outdated: bool,
}

/// Allowances of all teams in one shard. They stay until the ledger replies with others; the base
/// needs no ledger.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    services: usize,
    /// Caps of the teams; `None` until the shard has a configuration.
    caps: Option<Caps>,
    caps_digest: u64,
    /// Allowances that differ from the base.
    granted: BTreeMap<TeamName, u64>,
    /// Highest fencing token of a ledger that was reported to.
    ledger: u64,
    sequence: u64,
    open: Option<OpenReport>,
    /// Teams as the ledger knows them for sure.
    known: BTreeMap<TeamName, TeamReport>,
    /// Whether the present ledger has replied to a full report.
    is_synchronized: bool,
    reports_since_full: u32,
}

impl Allowances {
    /// Makes the shard ignore ledgers that are earlier than the one with this token. The newest ledger
    /// at the time of the owner's claim has to be known: it may lend what an earlier one lends too,
    /// as it has the report of this owner's predecessor.
    pub fn ignore_earlier_ledgers(&mut self, ledger: u64) {
        if ledger > self.ledger {
            self.ledger = ledger;
            self.is_synchronized = false;
            self.known.clear();
        }
    }

    /// Sets the number of services that share the bases.
    pub const fn set_services(&mut self, services: usize) {
        self.services = services;
    }

    /// Returns the number of services that share the bases.
    #[must_use]
    pub const fn services(&self) -> usize {
        self.services
    }

    /// Returns the allowance without permission, in millionths of the cap.
    #[must_use]
    pub fn base(&self) -> u64 {
        base_share(self.services)
    }

    /// Returns the allowance of a shard that holds every loan, in millionths of the cap.
    #[must_use]
    pub fn largest(&self) -> u64 {
        largest_allowance(self.services)
    }

    /// Returns the allowance of a team in force, in millionths of its cap.
    #[must_use]
    pub fn of(&self, team: &TeamName) -> u64 {
        self.granted
            .get(team)
            .copied()
            .unwrap_or_else(|| self.base())
    }

    /// Returns the teams whose allowance is above the base.
    pub fn lent_teams(&self) -> impl Iterator<Item = &TeamName> {
        let base = self.base();
        let lent = self.granted.iter().filter(move |(_, share)| **share > base);
        lent.map(|(team, _)| team)
    }

    /// Sets the caps of all teams. A team without a cap loses its loan, and the reply to an open
    /// report doesn't count any more where a cap has changed.
    ///
    /// A team whose cap is lowered or new gets no allowance, not even its base, until a reply of a
    /// ledger that knows the new cap: another shard may already use more than the cap. The first caps
    /// of an owner lower nothing.
    pub fn set_caps<'a>(&mut self, teams: impl IntoIterator<Item = &'a TeamConfig>) {
        let caps = Caps::new(teams);
        if self.caps.as_ref() == Some(&caps) {
            return;
        }
        if let Some(open) = &mut self.open {
            open.is_outdated = true;
        }
        self.granted.retain(|team, _| caps.get(team).is_some());
        if let Some(earlier) = &self.caps {
            let lowered = caps.lowered_since(earlier).cloned();
            self.granted.extend(lowered.map(|team| (team, 0)));
        }
        self.caps_digest = caps.digest();
        self.caps = Some(caps);
        self.is_synchronized = false;
    }

    /// Returns whether a report waits for its reply.
    #[must_use]
    pub const fn is_report_open(&self) -> bool {
        self.open.is_some()
    }

    /// Returns whether a ledger may still know a team above its base.
    #[must_use]
    pub fn has_reported_teams(&self) -> bool {
        !self.known.is_empty()
    }

    /// Returns whether the ledger may know a team as one that isn't at its base.
    #[must_use]
    pub fn is_reported(&self, team: &TeamName) -> bool {
        self.known.contains_key(team)
    }

    /// Returns whether the next report has to name all teams.
    #[must_use]
    pub const fn needs_full_report(&self) -> bool {
        !self.is_synchronized
    }

    /// Returns whether there is anything to report to the ledger with this token, where `has_teams`
    /// tells whether a team isn't at its base. A loan that was returned has to be reported once more.
    #[must_use]
    pub fn needs_report(&self, ledger: u64, has_teams: bool) -> bool {
        let is_unknown = ledger > self.ledger || !self.is_synchronized;
        self.open.is_none()
            && ledger >= self.ledger
            && (has_teams || is_unknown || !self.known.is_empty())
    }

    /// Begins a report to the ledger with this token, where `teams` are all teams that aren't at
    /// their base and those that were reported as such. A team that is missing uses nothing. Returns
    /// `None` while a report is open, and for a ledger that is older than one that was reported to.
    pub fn begin_report(
        &mut self,
        service: &ServiceName,
        owner: u64,
        ledger: u64,
        teams: Vec<TeamReport>,
    ) -> Option<QuotaReport> {
        if !self.needs_report(ledger, !teams.is_empty()) {
            return None;
        }
        self.ignore_earlier_ledgers(ledger);
        let is_full = !self.is_synchronized || self.reports_since_full >= REPORTS_PER_FULL;
        let teams = if is_full {
            teams
        } else {
            self.changed_teams(teams)
        };
        self.sequence += 1;
        self.open = Some(OpenReport {
            sequence: self.sequence,
            is_full,
            teams: teams.clone(),
            is_outdated: false,
        });
        Some(QuotaReport {
            service: service.clone(),
            owner,
            sequence: self.sequence,
            ledger,
            caps: self.caps_digest,
            is_full,
            teams,
        })
    }

    /// Handles the reply to a report, or its absence. A reply that comes after its report was given
    /// up, or from an earlier ledger, changes nothing.
    pub fn finish_report(
        &mut self,
        sequence: u64,
        reply: Option<&QuotaReply>,
    ) -> Vec<AllowanceChange> {
        let Some(open) = self.open.take_if(|open| open.sequence == sequence) else {
            return Vec::new();
        };
        let counts = |reply: &&QuotaReply| {
            reply.ledger == self.ledger && reply.caps == self.caps_digest && !open.is_outdated
        };
        let Some(reply) = reply.filter(counts) else {
            // The ledger may have handled the report, so that what it knows is uncertain.
            self.is_synchronized = false;
            return Vec::new();
        };
        if open.is_full {
            self.is_synchronized = true;
            self.known.clear();
            self.reports_since_full = 0;
        } else {
            self.reports_since_full += 1;
        }
        let base = self.base();
        for team in open.teams {
            if team.is_at_base(base) {
                self.known.remove(&team.team);
            } else {
                self.known.insert(team.team.clone(), team);
            }
        }
        let mut changes = Vec::new();
        for grantee in &reply.teams {
            let earlier = self.of(&grantee.team);
            if grantee.allowance == base {
                self.granted.remove(&grantee.team);
            } else {
                self.granted.insert(grantee.team.clone(), grantee.allowance);
            }
            let allowance = self.of(&grantee.team);
            if allowance != earlier {
                changes.push(AllowanceChange {
                    team: grantee.team.clone(),
                    earlier,
                    allowance,
                });
            }
        }
        changes
    }

    /// Returns the teams that have to be reported to the ledger: first those whose allowance has changed,
    /// because a loan that was returned is free only then, and those that wait for more.
    fn changed_teams(&self, teams: Vec<TeamReport>) -> Vec<TeamReport> {
        let present: BTreeSet<TeamName> = teams.iter().map(|team| team.team.clone()).collect();
        let released = self.known.keys().filter(|team| !present.contains(*team));
        let released = released.map(|team| TeamReport {
            team: team.clone(),
            usage: 0,
            allowance: self.of(team),
            wanted: 0,
            needed: 0,
        });
        let mut changed: Vec<(u8, TeamReport)> = released
            .chain(teams)
            .filter_map(|team| Some((self.urgency(&team)?, team)))
            .collect();
        changed.sort_by_key(|(urgency, _)| *urgency);
        changed.truncate(MAX_CHANGED_TEAMS);
        changed.into_iter().map(|(_, team)| team).collect()
    }

    /// Returns how soon a team has to be reported, the lowest first; `None` if the ledger knows it as
    /// it is.
    fn urgency(&self, team: &TeamReport) -> Option<u8> {
        let Some(known) = self.known.get(&team.team) else {
            return Some(1);
        };
        let differs =
            |now: u64, then: u64| now.div_ceil(REPORTED_STEP) != then.div_ceil(REPORTED_STEP);
        if known.allowance != team.allowance {
            Some(0)
        } else if team.needed > team.allowance {
            Some(1)
        } else if differs(known.wanted, team.wanted) || differs(known.usage, team.usage) {
            Some(2)
        } else {
            (known.needed > known.allowance).then_some(2)
        }
    }
}
