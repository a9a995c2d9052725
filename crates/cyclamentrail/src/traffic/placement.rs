//! Zones and racks of instances, and this entry's share of each instance's slots.

use std::collections::BTreeMap;

use cyclamentrail_core::{
    Incarnation, InstanceName, LinkLimits, RackName, Settings, ZoneName, guaranteed_slots,
};

/// Zones, racks and limits of instances for one version of the settings and one set of members.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    settings: &'a Settings,
    locations: BTreeMap<&'a InstanceName, (&'a ZoneName, &'a RackName)>,
    rack_numbers: BTreeMap<&'a RackName, u32>,
    zone: &'a ZoneName,
    own: Incarnation,
    members: Vec<Incarnation>,
}

impl<'a> Placement<'a> {
    /// Creates the placement for the entry with incarnation `own` in `zone`.
    ///
    /// `members` are the incarnations of all entries that share the slots, this one included.
    pub(crate) fn new(
        settings: &'a Settings,
        zone: &'a ZoneName,
        own: Incarnation,
        members: Vec<Incarnation>,
    ) -> Self {
        let racks = settings.zones.values().flat_map(|zone| zone.racks.keys());
        Self {
            settings,
            locations: settings.instance_racks(),
            rack_numbers: racks.zip(0..).collect(),
            zone,
            own,
            members,
        }
    }

    /// Returns a number that identifies an instance's rack; `u32::MAX` when the settings don't name
    /// the instance.
    ///
    /// Instances with equal numbers fail together.
    pub(crate) fn rack_number(&self, instance: &InstanceName) -> u32 {
        let rack = self.locations.get(instance).map(|(_, rack)| *rack);
        rack.and_then(|rack| self.rack_numbers.get(rack).copied())
            .unwrap_or(u32::MAX)
    }

    /// Returns whether an instance is in the entry's own availability zone.
    pub(crate) fn is_in_own_zone(&self, instance: &InstanceName) -> bool {
        self.locations
            .get(instance)
            .is_some_and(|(zone, _)| *zone == self.zone)
    }

    /// Returns the limits of this entry's requests and connections at an instance.
    pub(crate) fn limits(&self, instance: &InstanceName) -> LinkLimits {
        let worker = &self.settings.worker;
        let reserved = self.settings.requests.quick_reserved_slots;
        let guaranteed = |slots| guaranteed_slots(instance, self.own, &self.members, slots);
        LinkLimits {
            slots: worker.slots,
            guaranteed: guaranteed(worker.slots),
            connections: (worker.connections / self.member_count()).max(1),
            long_requests: guaranteed(worker.slots.saturating_sub(reserved)),
        }
    }

    /// Returns the number of slots that are guaranteed to this entry over `instances` instances,
    /// which is an even share, rounded up.
    pub(crate) fn guaranteed_slots(&self, instances: usize) -> usize {
        let slots = instances * self.settings.worker.slots as usize;
        slots.div_ceil(self.members.len().max(1))
    }

    fn member_count(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1)
    }
}
