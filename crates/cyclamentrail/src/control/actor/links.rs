//! Links to instances, the published view, and the release of drained instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamentrail_core::{
    DrainReason, Instance, InstanceName, InstanceState, PoolName, RecordBody, Settings,
};
use cyclamentrail_platform::{InstanceList, ListedInstance, ListedState};

use super::Actor;
use crate::traffic::{Link, LinkTarget, Placement};
use crate::view::{ServiceRoute, View};

impl Actor {
    /// Takes the platform's list over.
    ///
    /// An instance that isn't listed any more keeps its last known address: the list lags, may be
    /// empty for a while, and says nothing about whether the instance runs.
    pub(super) fn take_list(&mut self, list: InstanceList) {
        let before = self.list.clone();
        for instance in list.instances {
            self.list.insert(instance.name.clone(), instance);
        }
        self.drain_leaving();
        if self.list != before {
            self.publish_view();
        }
    }

    /// Begins to drain the instances that the list shows leaving.
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
        self.list
            .get(name)
            .is_some_and(|listed| listed.state == ListedState::Leaving)
    }

    /// Publishes a view when folded records changed what it shows.
    pub(super) fn publish_if_stale(&mut self) {
        if std::mem::take(&mut self.view_stale) {
            self.publish_view();
        }
    }

    /// Publishes the view that traffic routes from.
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
            let slots = placement.sure_slots(links.len());
            let gate = self.parts.shared.gate(service, settings, requests, slots);
            let route = ServiceRoute::new(service.clone(), settings.clone(), links, requests, gate);
            services.insert(service.clone(), Arc::new(route));
        }
        self.parts.shared.publish(View {
            settings_version: accepted.version,
            settings: Some(accepted.settings),
            own: self.parts.identity.incarnation,
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

    fn refresh_links(&mut self, settings: &Settings) {
        let placement = self.placement(settings);
        let mut links = BTreeMap::new();
        for (name, instance) in self.fleet.instances() {
            let Some(listed) = self.list.get(name) else {
                continue;
            };
            if !takes_work(instance, listed) {
                continue;
            }
            let target = LinkTarget {
                instance: name.clone(),
                version: instance.version,
                address: listed.address,
                boot: listed.boot,
                rack: placement.rack(name),
                near: placement.is_near(name),
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
                self.closing.push(link);
            }
        }
    }

    /// Closes all links, because this process is no longer a member.
    pub(super) fn drop_links(&mut self) {
        for link in std::mem::take(&mut self.links).into_values() {
            link.close();
            self.closing.push(link);
        }
    }

    /// Writes that nothing of this process is in flight at draining instances.
    pub(super) fn release_drained(&mut self) {
        self.closing.retain(|link| !link.is_released());
        let releases: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter_map(|(name, instance)| self.release_of(name, instance))
            .collect();
        for body in releases {
            if let RecordBody::DrainReleased { instance, drain } = &body {
                self.released.insert(instance.clone(), drain.get());
            }
            self.submit(body, None);
        }
    }

    fn release_of(&self, name: &InstanceName, instance: &Instance) -> Option<RecordBody> {
        let InstanceState::Draining {
            drain, awaiting, ..
        } = &instance.state
        else {
            return None;
        };
        let due = awaiting.contains(&self.parts.identity.incarnation)
            && self.released.get(name) != Some(&drain.get())
            && !self.links.contains_key(name)
            && !self.closing.iter().any(|link| link.instance() == name);
        due.then(|| RecordBody::DrainReleased {
            instance: name.clone(),
            drain: *drain,
        })
    }
}

fn takes_work(instance: &Instance, listed: &ListedInstance) -> bool {
    instance.state == InstanceState::Serving && listed.state == ListedState::Live
}
