//! Folds who is a member, and which members could still permit one another to dispatch.
//!
//! An entry that is cut off from the log counts its majority in the member set that it last
//! folded. An eviction therefore needs witnesses in every member set that the evicted entry may
//! still hold, not only in the newest one. An entry alone never permits itself to dispatch.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Fleet, Member, RejectionKind};
use crate::id::{Incarnation, Offset};
use crate::permit::{can_evict, is_majority};
use crate::record::LeaveReason;

/// Dispatch leases for which an eviction keeps instances in their pools; the second one covers
/// clocks that run at different rates.
const FENCE_LEASES: u64 = 2;
/// Departed processes whose delayed join records are still recognised.
const MAX_DEPARTED: usize = 4096;

/// A member set that was in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberSet {
    /// Offset of the record that brought it into force.
    from: Offset,
    members: BTreeSet<Incarnation>,
}

/// A process that is no longer a member; it never becomes one again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    offset: Offset,
    reason: LeaveReason,
}

impl Departure {
    /// Returns whether the departed process can't confirm `peer` any more.
    fn is_silent_to(&self, peer: Incarnation) -> bool {
        match &self.reason {
            LeaveReason::Stopped | LeaveReason::SwitchedOff { .. } => true,
            LeaveReason::Evicted { witnesses } => witnesses.contains(&peer),
        }
    }
}

impl Fleet {
    /// Returns the newest record format that every member understands.
    #[must_use]
    pub fn agreed_format(&self) -> u16 {
        self.members()
            .map(|(_, member)| member.supports_format)
            .min()
            .unwrap_or(self.used_format)
    }

    /// Returns the newest record format that was ever in use; a build that doesn't understand it
    /// holds no valid state and must stop.
    #[must_use]
    pub const fn used_format(&self) -> u16 {
        self.used_format
    }

    /// Returns whether a process was a member and is gone.
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
        self.note_members(offset);
        Ok(())
    }

    pub(super) fn fold_left(
        &mut self,
        offset: Offset,
        author: Incarnation,
        gone: Incarnation,
        reason: &LeaveReason,
    ) -> Result<(), RejectionKind> {
        if self.members.get(&gone).is_none() {
            return Err(RejectionKind::Unknown {
                what: format!("entry process {gone}"),
            });
        }
        match reason {
            LeaveReason::Stopped if author != gone => {
                return Err(RejectionKind::NotOwn { author, gone });
            }
            LeaveReason::Stopped => {}
            LeaveReason::SwitchedOff { .. } => self.fence(),
            LeaveReason::Evicted { witnesses } => {
                self.check_witnesses(gone, witnesses)?;
                self.fence();
            }
        }
        self.members.remove(&gone);
        self.note_departure(offset, gone, reason);
        self.note_members(offset);
        if self.duty.holder == Some(gone) {
            self.duty.holder = None;
        }
        for instance in self.instances.values_mut() {
            instance.member_left(gone, self.clock_ms);
        }
        Ok(())
    }

    /// Notes that a member has folded the records up to an offset.
    pub(super) fn note_seen(&mut self, member: Incarnation, offset: Offset) {
        if let Some(member) = self.members.get_mut(&member) {
            member.seen = member.seen.max(offset);
        }
    }

    fn note_departure(&mut self, offset: Offset, gone: Incarnation, reason: &LeaveReason) {
        let departure = Departure {
            offset,
            reason: reason.clone(),
        };
        self.departed.insert(gone, departure);
        if self.departed.len() > MAX_DEPARTED {
            let oldest = self
                .departed
                .iter()
                .min_by_key(|(_, departure)| departure.offset)
                .map(|(&incarnation, _)| incarnation);
            oldest.map(|oldest| self.departed.remove(&oldest));
        }
    }

    fn note_members(&mut self, offset: Offset) {
        let members = self.members().map(|(incarnation, _)| incarnation).collect();
        self.member_sets.push(MemberSet {
            from: offset,
            members,
        });
        let seen = self.members().map(|(_, member)| member.seen).min();
        let first = self.first_set(seen.unwrap_or(offset));
        self.member_sets.drain(..first);
    }

    /// Returns the index of the member set in force at an offset.
    fn first_set(&self, seen: Offset) -> usize {
        self.member_sets
            .partition_point(|set| set.from <= seen)
            .saturating_sub(1)
    }

    fn check_witnesses(
        &self,
        gone: Incarnation,
        witnesses: &BTreeSet<Incarnation>,
    ) -> Result<(), RejectionKind> {
        let counted = self
            .members()
            .filter(|&(member, _)| member != gone && witnesses.contains(&member))
            .count();
        let members = self.members.len();
        if !can_evict(counted, members) {
            return Err(RejectionKind::TooFewWitnesses {
                witnesses: counted,
                members,
            });
        }
        let seen = self
            .member(gone)
            .map_or(Offset::default(), |gone| gone.seen);
        for set in &self.member_sets[self.first_set(seen)..] {
            let silent = set.silent_to(gone, witnesses, &self.departed);
            let others = set.members.len() - silent;
            if others > 1 && is_majority(others, set.members.len()) {
                return Err(RejectionKind::TooFewWitnesses {
                    witnesses: silent,
                    members: set.members.len(),
                });
            }
        }
        Ok(())
    }

    fn fence(&mut self) {
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
    /// Returns how many members of the set can't confirm `gone` any more.
    fn silent_to(
        &self,
        gone: Incarnation,
        witnesses: &BTreeSet<Incarnation>,
        departed: &BTreeMap<Incarnation, Departure>,
    ) -> usize {
        self.members
            .iter()
            .filter(|&&member| member != gone)
            .filter(|member| {
                departed.get(member).map_or_else(
                    || witnesses.contains(member),
                    |departure| departure.is_silent_to(gone),
                )
            })
            .count()
    }
}
