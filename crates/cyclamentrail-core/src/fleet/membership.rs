//! Folds records of entries that join and leave, and checks evictions.
//!
//! Members permit one another to dispatch. An entry that is cut off from the log counts the
//! majority for its permit in the member set that it folded last. An eviction therefore requires
//! witnesses in every member set that the evicted entry may still use, not only in the newest
//! one. A member can't permit itself to dispatch on its own.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Fleet, Member, RejectionKind};
use crate::id::{Incarnation, Offset};
use crate::permit::{can_evict, is_majority};
use crate::record::LeaveReason;

/// Length of the fence, in dispatch leases, after a member was evicted or reported as switched off;
/// instances stay in their pools for this time. The second lease covers clocks that run at
/// different rates.
const FENCE_LEASES: u64 = 2;
/// Maximum number of departed processes that are remembered, so that a delayed join record of one
/// of them is rejected.
const MAX_DEPARTED: usize = 4096;

/// A set of members that was in force for a range of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberSet {
    /// Offset of the record that brought the set into force.
    from: Offset,
    members: BTreeSet<Incarnation>,
}

/// How and when a process stopped being a member; a process never joins a second time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    offset: Offset,
    reason: LeaveReason,
}

impl Departure {
    /// Returns whether the departed process no longer confirms permits of `peer`: the process has
    /// ended, or it was itself evicted and `peer` witnessed the eviction.
    fn stops_confirming(&self, peer: Incarnation) -> bool {
        match &self.reason {
            LeaveReason::Stopped | LeaveReason::SwitchedOff { .. } => true,
            LeaveReason::Evicted { witnesses } => witnesses.contains(&peer),
        }
    }
}

impl Fleet {
    /// Returns the newest record format that every member supports; without members, the newest one
    /// that was ever in use.
    #[must_use]
    pub fn agreed_format(&self) -> u16 {
        self.members()
            .map(|(_, member)| member.supports_format)
            .min()
            .unwrap_or(self.used_format)
    }

    /// Returns the newest record format that was ever in use.
    ///
    /// A build that doesn't support this format holds no valid state and must stop.
    #[must_use]
    pub const fn used_format(&self) -> u16 {
        self.used_format
    }

    /// Returns whether a process was a member and has left.
    #[must_use]
    pub fn has_left(&self, incarnation: Incarnation) -> bool {
        self.departed.contains_key(&incarnation)
    }

    pub(super) fn fold_joined(
        &mut self,
        offset: Offset,
        author: Incarnation,
        member: Member,
    ) -> Result<(), RejectionKind> {
        if self.members.get(&author).is_some() {
            return Err(RejectionKind::Duplicate);
        }
        if self.departed.contains_key(&author) {
            return Err(RejectionKind::Departed { author });
        }
        if member.supports_format < self.used_format {
            return Err(RejectionKind::BuildTooOld {
                supports: member.supports_format,
                used: self.used_format,
            });
        }
        self.members.insert(author, member);
        self.record_member_set(offset);
        Ok(())
    }

    pub(super) fn fold_left(
        &mut self,
        offset: Offset,
        author: Incarnation,
        departing: Incarnation,
        reason: &LeaveReason,
    ) -> Result<(), RejectionKind> {
        if self.members.get(&departing).is_none() {
            return Err(RejectionKind::Unknown {
                what: format!("entry process {departing}"),
            });
        }
        match reason {
            LeaveReason::Stopped if author != departing => {
                return Err(RejectionKind::ForeignStop {
                    author,
                    stopped: departing,
                });
            }
            LeaveReason::Stopped => {}
            LeaveReason::SwitchedOff { .. } => self.start_fence(),
            LeaveReason::Evicted { witnesses } => {
                self.check_witnesses(departing, witnesses)?;
                self.start_fence();
            }
        }
        self.members.remove(&departing);
        self.record_departure(offset, departing, reason);
        self.record_member_set(offset);
        if self.duty.holder == Some(departing) {
            self.duty.holder = None;
        }
        for instance in self.instances.values_mut() {
            instance.remove_awaited_member(departing, self.clock_ms);
        }
        Ok(())
    }

    /// Records that a member has folded the log up to an offset.
    pub(super) fn record_folded_offset(&mut self, member: Incarnation, offset: Offset) {
        if let Some(member) = self.members.get_mut(&member) {
            member.folded_offset = member.folded_offset.max(offset);
        }
    }

    fn record_departure(&mut self, offset: Offset, departing: Incarnation, reason: &LeaveReason) {
        let departure = Departure {
            offset,
            reason: reason.clone(),
        };
        self.departed.insert(departing, departure);
        if self.departed.len() > MAX_DEPARTED {
            let oldest = self
                .departed
                .iter()
                .min_by_key(|(_, departure)| departure.offset)
                .map(|(&incarnation, _)| incarnation);
            oldest.map(|oldest| self.departed.remove(&oldest));
        }
    }

    /// Adds the current member set and drops the sets that every member has folded past.
    fn record_member_set(&mut self, offset: Offset) {
        let members = self.members().map(|(incarnation, _)| incarnation).collect();
        self.member_sets.push(MemberSet {
            from: offset,
            members,
        });
        let folded_by_all = self.members().map(|(_, member)| member.folded_offset).min();
        let first = self.member_set_index(folded_by_all.unwrap_or(offset));
        self.member_sets.drain(..first);
    }

    /// Returns the index of the member set that was in force at an offset.
    fn member_set_index(&self, offset: Offset) -> usize {
        self.member_sets
            .partition_point(|set| set.from <= offset)
            .saturating_sub(1)
    }

    /// Rejects an eviction that the departing member might not notice: in each member set that it
    /// may still use, too many members could confirm its permit.
    fn check_witnesses(
        &self,
        departing: Incarnation,
        witnesses: &BTreeSet<Incarnation>,
    ) -> Result<(), RejectionKind> {
        let valid_witnesses = self
            .members()
            .filter(|&(member, _)| member != departing && witnesses.contains(&member))
            .count();
        let members = self.members.len();
        if !can_evict(valid_witnesses, members) {
            return Err(RejectionKind::TooFewWitnesses {
                witnesses: valid_witnesses,
                members,
            });
        }
        let folded_offset = self
            .member(departing)
            .map_or(Offset::default(), |departing| departing.folded_offset);
        for set in &self.member_sets[self.member_set_index(folded_offset)..] {
            let not_confirming = set.count_not_confirming(departing, witnesses, &self.departed);
            let may_confirm = set.members.len() - not_confirming;
            if may_confirm > 1 && is_majority(may_confirm, set.members.len()) {
                return Err(RejectionKind::TooFewWitnesses {
                    witnesses: not_confirming,
                    members: set.members.len(),
                });
            }
        }
        Ok(())
    }

    /// Extends the fence and requires a new boot of every instance, since the departed member may
    /// still be connected to any of them.
    fn start_fence(&mut self) {
        let fence_ms = self.longest_lease_ms.saturating_mul(FENCE_LEASES);
        let until_ms = self.clock_ms.saturating_add(fence_ms);
        self.fenced_until_ms = self.fenced_until_ms.max(until_ms);
        for instance in self.instances.values_mut() {
            instance.needs_boot = true;
            instance.boot_floor = None;
        }
    }
}

impl MemberSet {
    /// Returns how many members of the set no longer confirm permits of `departing`.
    fn count_not_confirming(
        &self,
        departing: Incarnation,
        witnesses: &BTreeSet<Incarnation>,
        departed: &BTreeMap<Incarnation, Departure>,
    ) -> usize {
        self.members
            .iter()
            .filter(|&&member| member != departing)
            .filter(|member| {
                departed.get(member).map_or_else(
                    || witnesses.contains(member),
                    |departure| departure.stops_confirming(departing),
                )
            })
            .count()
    }
}
