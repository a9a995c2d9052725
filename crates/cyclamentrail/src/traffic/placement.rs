//! Where instances stand, and how much of each one this entry may use.

use std::collections::BTreeMap;

use cyclamentrail_core::{
    Incarnation, InstanceName, LinkLimits, RackName, Settings, ZoneName, sure_slots,
};

/// Racks, zones and limits as of one version of the settings and one set of members.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    settings: &'a Settings,
    places: BTreeMap<&'a InstanceName, (&'a ZoneName, &'a RackName)>,
    racks: BTreeMap<&'a RackName, u32>,
    zone: &'a ZoneName,
    own: Incarnation,
    members: Vec<Incarnation>,
}

impl<'a> Placement<'a> {
    /// Creates the placement for an entry in a zone.
    pub(crate) fn new(
        settings: &'a Settings,
        zone: &'a ZoneName,
        own: Incarnation,
        members: Vec<Incarnation>,
    ) -> Self {
        let racks = settings.zones.values().flat_map(|zone| zone.racks.keys());
        Self {
            settings,
            places: settings.instance_racks(),
            racks: racks.zip(0..).collect(),
            zone,
            own,
            members,
        }
    }

    /// Returns the number of an instance's rack.
    pub(crate) fn rack(&self, instance: &InstanceName) -> u32 {
        let rack = self.places.get(instance).map(|(_, rack)| *rack);
        rack.and_then(|rack| self.racks.get(rack).copied())
            .unwrap_or(u32::MAX)
    }

    /// Returns whether an instance stands in the entry's own zone.
    pub(crate) fn is_near(&self, instance: &InstanceName) -> bool {
        self.places
            .get(instance)
            .is_some_and(|(zone, _)| *zone == self.zone)
    }

    /// Returns what this entry may use of an instance.
    pub(crate) fn limits(&self, instance: &InstanceName) -> LinkLimits {
        let worker = &self.settings.worker;
        let reserved = self.settings.requests.quick_reserved_slots;
        let sure = |slots| sure_slots(instance, self.own, &self.members, slots);
        LinkLimits {
            slots: worker.slots,
            sure: sure(worker.slots),
            connections: (worker.connections / self.member_count()).max(1),
            long: sure(worker.slots.saturating_sub(reserved)),
        }
    }

    /// Returns the slots that this entry is sure of, over so many instances.
    pub(crate) fn sure_slots(&self, instances: usize) -> usize {
        let slots = instances * self.settings.worker.slots as usize;
        slots.div_ceil(self.members.len().max(1))
    }

    fn member_count(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1)
    }
}
