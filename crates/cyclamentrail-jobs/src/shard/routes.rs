//! Configuration of the shard's routes, and of former ones that its jobs still use.
//!
//! A job stays with the shard that accepted it. When the configuration drops a route or gives it
//! another service, its last configuration is kept until no job uses it. The shard stores the
//! configuration of a route with the first job that it accepts by it, so that a later owner knows it,
//! too.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use cyclamentrail_core::{RouteName, ServiceName};

use super::{Now, Shard};
use crate::RouteConfig;
use crate::record::{KeyedRecord, ROUTE_PREFIX, RecordError, decode, encode};

/// Time between two checks for former routes that no job uses any more, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Failed runs of one task after which a job fails whose route has no known configuration.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Routes by which jobs are accepted, and routes by which earlier jobs go on.
#[derive(Debug, Default)]
pub(super) struct Routes {
    configured: HashMap<RouteName, Arc<RouteConfig>>,
    /// Last configuration of the routes that are no longer configured and that jobs use.
    former: HashMap<RouteName, Arc<RouteConfig>>,
    /// Configurations that the shard's records hold.
    stored: HashMap<RouteName, Arc<RouteConfig>>,
    /// Routes whose record the next commit writes or deletes.
    unstored: BTreeSet<RouteName>,
    /// Time of the last check for unused routes, as in [`Now::boot_ms`].
    checked_ms: u64,
}

impl Routes {
    /// Returns the configuration by which a route's jobs are served.
    pub(super) fn get(&self, name: &RouteName) -> Option<&Arc<RouteConfig>> {
        self.configured.get(name).or_else(|| self.former.get(name))
    }

    /// Returns the configuration of a route by which jobs are accepted.
    pub(super) fn configured(&self, name: &RouteName) -> Option<&Arc<RouteConfig>> {
        self.configured.get(name)
    }

    /// Returns the configurations by which jobs are served.
    pub(super) fn values(&self) -> impl Iterator<Item = &Arc<RouteConfig>> {
        self.configured.values().chain(self.former.values())
    }

    /// Returns whether there are records to write or to delete.
    pub(super) fn needs_commit(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Plans the record of a route by which a job was accepted, unless it is stored already.
    pub(super) fn store_accepting(&mut self, name: &RouteName) {
        if self.stored.get(name) != self.configured.get(name) {
            self.unstored.insert(name.clone());
        }
    }

    /// Takes the records that are due.
    pub(super) fn take_records(&mut self) -> Vec<KeyedRecord> {
        let mut records = Vec::new();
        for name in std::mem::take(&mut self.unstored) {
            let config = self.get(&name).map(Arc::clone);
            let value = config.as_deref().map(encode).unwrap_or_default();
            records.push(KeyedRecord {
                key: format!("{ROUTE_PREFIX}{name}"),
                value,
            });
            match config {
                Some(config) => self.stored.insert(name, config),
                None => self.stored.remove(&name),
            };
        }
        records
    }

    /// Replaces the configured routes; keeps those of the earlier ones that are in use.
    fn configure(
        &mut self,
        routes: impl IntoIterator<Item = RouteConfig>,
        used: &HashSet<RouteName>,
    ) {
        let configured = routes
            .into_iter()
            .map(|route| (route.name.clone(), Arc::new(route)))
            .collect();
        let earlier = std::mem::replace(&mut self.configured, configured);
        self.former.extend(earlier);
        self.former
            .retain(|name, _| !self.configured.contains_key(name));
        self.drop_unused(used);
        let former = self.former.iter();
        let changed = former.filter(|(name, config)| self.stored.get(*name) != Some(config));
        self.unstored.extend(changed.map(|(name, _)| name.clone()));
    }

    /// Drops the former routes that aren't in use, with their records.
    fn drop_unused(&mut self, used: &HashSet<RouteName>) {
        self.former.retain(|name, _| used.contains(name));
        let (configured, former) = (&self.configured, &self.former);
        let is_needless =
            |name: &&RouteName| !configured.contains_key(*name) && !former.contains_key(*name);
        let needless = self.stored.keys().filter(is_needless);
        self.unstored.extend(needless.cloned());
    }
}

impl Shard {
    /// Replaces the configuration of all routes. A route that is no longer configured is kept for the
    /// jobs that it has.
    pub fn set_routes(&mut self, routes: impl IntoIterator<Item = RouteConfig>) {
        let used = self.used_routes();
        self.routes.configure(routes, &used);
        let routes = &self.routes;
        self.learned
            .keep_routes(|name| routes.configured(name).is_some());
    }

    /// Returns the routes that are no longer configured and that jobs of the shard use.
    pub fn former_routes(&self) -> impl Iterator<Item = &RouteName> {
        self.routes.former.keys()
    }

    /// Returns whether any job, final or not, was accepted by a route.
    #[must_use]
    pub fn has_jobs_of(&self, route: &RouteName) -> bool {
        self.jobs.values().any(|job| job.route == *route)
    }

    /// Restores the configuration of a route from its record.
    pub(super) fn restore_route(&mut self, name: &str, value: &[u8]) -> Result<(), RecordError> {
        if value.is_empty() {
            return Ok(());
        }
        let name = RouteName::from(name);
        let config: Arc<RouteConfig> = Arc::new(decode(value)?);
        if self.routes.configured(&name).is_none() {
            self.routes.former.insert(name.clone(), Arc::clone(&config));
        }
        self.routes.stored.insert(name, config);
        Ok(())
    }

    /// Gives the restored jobs without a known route a default one, and drops the unused ones.
    pub(super) fn finish_routes(&mut self) {
        let used = self.used_routes();
        for name in &used {
            if self.routes.get(name).is_none() {
                let config = Arc::new(default_route(name.clone()));
                self.routes.former.insert(name.clone(), config);
                self.routes.unstored.insert(name.clone());
            }
        }
        self.routes.drop_unused(&used);
    }

    /// Drops former routes whose last job was dropped.
    pub(super) fn drop_unused_routes(&mut self, now: Now) {
        let is_due = now.boot_ms >= self.routes.checked_ms + CHECK_INTERVAL_MS;
        if self.routes.former.is_empty() || !is_due {
            return;
        }
        self.routes.checked_ms = now.boot_ms;
        let used = self.used_routes();
        self.routes.drop_unused(&used);
    }

    fn used_routes(&self) -> HashSet<RouteName> {
        self.jobs.values().map(|job| job.route.clone()).collect()
    }
}

/// Returns the configuration of a route of which only jobs are known.
fn default_route(name: RouteName) -> RouteConfig {
    RouteConfig {
        name,
        service: ServiceName::from(""),
        priority: 0,
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        stretch: 1.0,
        target_latency_ms: 0,
        advice: None,
    }
}
