//! Links to instances, the view for traffic, and the release of drained instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamentrail_core::{
    DrainReason, Instance, InstanceName, InstanceState, PoolName, RecordBody, Settings,
};
use cyclamentrail_platform::{InstanceList, ListedInstance, ListedState};

use super::Actor;
use crate::traffic::{Link, LinkTarget, Placement};
use crate::view::{RoutingView, ServiceRoute};

impl Actor {
    /// Merges the platform's list into the last known one.
    ///
    /// An instance that is no longer listed keeps its last known address: the list lags and may be
    /// empty for a while, so a missing instance may still be running.
    pub(super) fn handle_list(&mut self, list: InstanceList) {
        let before = self.instance_list.clone();
        for instance in list.instances {
            self.instance_list.insert(instance.name.clone(), instance);
        }
        self.drain_leaving();
        if self.instance_list != before {
            self.publish_view();
        }
    }

    /// Submits a drain record for each serving instance that the list shows as leaving.
    pub(super) fn drain_leaving(&mut self) {
        let leaving: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter(|(name, instance)| {
                instance.state == InstanceState::Serving && self.is_leaving(name)
            })
            .map(|(name, instance)| RecordBody::DrainBegun {
                instance: name.clone(),
                presumes: instance.version,
                reason: DrainReason::Leaving,
            })
            .collect();
        for body in leaving {
            self.submit(body, None);
        }
    }

    fn is_leaving(&self, name: &InstanceName) -> bool {
        self.instance_list
            .get(name)
            .is_some_and(|listed| listed.state == ListedState::Leaving)
    }

    /// Publishes a new view if folded records changed what the last one shows.
    pub(super) fn publish_if_stale(&mut self) {
        if std::mem::take(&mut self.view_stale) {
            self.publish_view();
        }
    }

    /// Publishes the view that traffic routes from; does nothing while the site has no settings.
    pub(super) fn publish_view(&mut self) {
        let Some(accepted) = self.fleet.settings().cloned() else {
            return;
        };
        self.refresh_links(&accepted.settings);
        let mut pools = self.links_by_pool();
        let placement = self.placement(&accepted.settings);
        let requests = &accepted.settings.requests;
        let mut services = BTreeMap::new();
        for (service, settings) in &accepted.settings.services {
            let links = pools.entry(&settings.pool).or_default().clone();
            let slots = placement.guaranteed_slots(links.len());
            let admission = self
                .parts
                .shared
                .admission(service, settings, requests, slots);
            let route = ServiceRoute::new(
                service.clone(),
                settings.clone(),
                links,
                requests,
                admission,
            );
            services.insert(service.clone(), Arc::new(route));
        }
        self.parts.shared.publish(RoutingView {
            settings_version: accepted.version,
            settings: Some(accepted.settings),
            own_incarnation: self.parts.identity.incarnation,
            members: self
                .fleet
                .members()
                .map(|(incarnation, member)| (incarnation, member.peer_address))
                .collect(),
            services,
        });
    }

    fn links_by_pool(&self) -> BTreeMap<&PoolName, Vec<Arc<Link>>> {
        let mut pools: BTreeMap<&PoolName, Vec<Arc<Link>>> = BTreeMap::new();
        for (name, link) in &self.links {
            if let Some(instance) = self.fleet.instance(name) {
                let links = pools.entry(&instance.pool).or_default();
                links.push(Arc::clone(link));
            }
        }
        pools
    }

    fn placement<'a>(&'a self, settings: &'a Settings) -> Placement<'a> {
        let members = self.fleet.members().map(|(member, _)| member).collect();
        let identity = &self.parts.identity;
        Placement::new(settings, &identity.zone, identity.incarnation, members)
    }

    /// Opens a link to each serving and listed instance, and closes the links whose instance or
    /// target changed.
    fn refresh_links(&mut self, settings: &Settings) {
        let placement = self.placement(settings);
        let mut links = BTreeMap::new();
        for (name, instance) in self.fleet.instances() {
            let Some(listed) = self.instance_list.get(name) else {
                continue;
            };
            if !accepts_work(instance, listed) {
                continue;
            }
            let target = LinkTarget {
                instance: name.clone(),
                version: instance.version,
                address: listed.address,
                boot: listed.boot,
                rack_number: placement.rack_number(name),
                in_own_zone: placement.is_in_own_zone(name),
            };
            let limits = placement.limits(name);
            let link = match self.links.get(name) {
                Some(link) if *link.target() == target => Arc::clone(link),
                _ => Arc::new(Link::new(target, limits)),
            };
            link.set_limits(limits);
            links.insert(name.clone(), link);
        }
        let old = std::mem::replace(&mut self.links, links);
        for (name, link) in old {
            let kept = self
                .links
                .get(&name)
                .is_some_and(|current| Arc::ptr_eq(current, &link));
            if !kept {
                link.close();
                self.closing_links.push(link);
            }
        }
    }

    /// Closes all links, because this process is no longer a member.
    pub(super) fn drop_links(&mut self) {
        for link in std::mem::take(&mut self.links).into_values() {
            link.close();
            self.closing_links.push(link);
        }
    }

    /// Submits a release for each draining instance that has no request of this process in flight.
    pub(super) fn release_drained(&mut self) {
        self.closing_links.retain(|link| !link.is_released());
        let releases: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter_map(|(name, instance)| self.drain_release(name, instance))
            .collect();
        for body in releases {
            if let RecordBody::DrainReleased { instance, drain } = &body {
                self.release_written.insert(instance.clone(), drain.get());
            }
            self.submit(body, None);
        }
    }

    /// Returns the release record of a draining instance if this process has to write it now.
    fn drain_release(&self, name: &InstanceName, instance: &Instance) -> Option<RecordBody> {
        let InstanceState::Draining {
            drain, awaiting, ..
        } = &instance.state
        else {
            return None;
        };
        let due = awaiting.contains(&self.parts.identity.incarnation)
            && self.release_written.get(name) != Some(&drain.get())
            && !self.links.contains_key(name)
            && !self
                .closing_links
                .iter()
                .any(|link| link.instance() == name);
        due.then(|| RecordBody::DrainReleased {
            instance: name.clone(),
            drain: *drain,
        })
    }
}

fn accepts_work(instance: &Instance, listed: &ListedInstance) -> bool {
    instance.state == InstanceState::Serving && listed.state == ListedState::Live
}
