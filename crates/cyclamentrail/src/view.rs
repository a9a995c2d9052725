//! The immutable routing view that the control thread publishes for the traffic threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cyclamentrail_core::{
    AdmissionLimits, Incarnation, RequestSettings, ServiceName, ServiceSettings, Settings, Version,
};

use crate::change_history::ChangeHistory;
use crate::clock;
use crate::traffic::{AdmissionControl, Link, RequestLog};

/// Settings, members and routes at one moment.
#[derive(Debug, Default)]
pub(crate) struct RoutingView {
    /// Version of the settings in force.
    pub(crate) settings_version: Version,
    /// Settings in force; `None` until the first are known.
    pub(crate) settings: Option<Arc<Settings>>,
    /// Incarnation of this process.
    pub(crate) own_incarnation: Incarnation,
    /// Peer addresses of the members.
    pub(crate) members: BTreeMap<Incarnation, SocketAddr>,
    /// Routes by service.
    pub(crate) services: BTreeMap<ServiceName, Arc<ServiceRoute>>,
}

/// Backend servers, limits and queues of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRoute {
    /// Name of the service.
    pub(crate) name: ServiceName,
    /// Settings of the service.
    pub(crate) settings: ServiceSettings,
    /// Links to the instances that take new requests, those in the entry's own availability zone
    /// first.
    pub(crate) links: Vec<Arc<Link>>,
    /// Number of leading links whose instances are in the entry's own availability zone.
    pub(crate) same_zone_count: usize,
    /// Time limit for opening a connection to a backend server.
    pub(crate) connect_timeout: Duration,
    /// Queues and retry budget of the service.
    pub(crate) admission: Arc<AdmissionControl>,
}

impl ServiceRoute {
    /// Creates a route; `links` may be in any order.
    pub(crate) fn new(
        name: ServiceName,
        settings: ServiceSettings,
        mut links: Vec<Arc<Link>>,
        requests: &RequestSettings,
        admission: Arc<AdmissionControl>,
    ) -> Self {
        links.sort_by_key(|link| !link.target().in_own_zone);
        Self {
            name,
            settings,
            same_zone_count: links
                .iter()
                .filter(|link| link.target().in_own_zone)
                .count(),
            links,
            connect_timeout: requests.connect_timeout_ms,
            admission,
        }
    }

    /// Returns the time in microseconds until the first instance accepts requests; 0 when one
    /// accepts them now or there is no instance.
    pub(crate) fn time_until_open_us(&self) -> u64 {
        let now_us = clock::now_us();
        let open_at_us = self
            .links
            .iter()
            .map(|link| link.state().health().closed_until_us())
            .min();
        open_at_us.map_or(0, |open_at_us| open_at_us.saturating_sub(now_us))
    }
}

/// State that the control thread shares with the traffic threads: the current view and the
/// permission to dispatch.
#[derive(Debug, Default)]
pub(crate) struct SharedView {
    view: ArcSwap<RoutingView>,
    dispatch_until_ms: AtomicU64,
    change_history: ChangeHistory,
    admissions: Mutex<BTreeMap<ServiceName, Arc<AdmissionControl>>>,
    request_log: Arc<RequestLog>,
    stopping: AtomicBool,
}

impl SharedView {
    /// Returns the history of settings changes.
    pub(crate) const fn change_history(&self) -> &ChangeHistory {
        &self.change_history
    }

    /// Returns the current view.
    pub(crate) fn load(&self) -> Arc<RoutingView> {
        self.view.load_full()
    }

    /// Replaces the current view.
    pub(crate) fn publish(&self, view: RoutingView) {
        self.view.store(Arc::new(view));
    }

    /// Returns the log of decisions about requests.
    pub(crate) fn request_log(&self) -> &RequestLog {
        &self.request_log
    }

    /// Returns the admission control of a service with its limits brought up to date.
    ///
    /// `slots` is the number of slots that are guaranteed to this entry.
    pub(crate) fn admission(
        &self,
        name: &ServiceName,
        service: &ServiceSettings,
        requests: &RequestSettings,
        slots: usize,
    ) -> Arc<AdmissionControl> {
        let limits = AdmissionLimits {
            max_waiting: requests.max_waiting,
            initial_start_interval_us: initial_start_interval_us(service, slots),
        };
        let ratio = requests.retry_budget_ratio;
        let mut admissions = self
            .admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admission = admissions.entry(name.clone()).or_insert_with(|| {
            Arc::new(AdmissionControl::new(
                limits,
                ratio,
                Arc::clone(&self.request_log),
            ))
        });
        admission.set_limits(limits, ratio);
        Arc::clone(admission)
    }

    /// Permits dispatch until `until_ms` of the process's clock.
    pub(crate) fn permit_dispatch_until(&self, until_ms: u64) {
        self.dispatch_until_ms.store(until_ms, Ordering::SeqCst);
    }

    /// Returns whether this process may send new requests to backend servers now.
    pub(crate) fn may_dispatch(&self) -> bool {
        clock::now_ms() < self.dispatch_until_ms.load(Ordering::SeqCst)
    }

    /// Begins a planned stop: the process reports itself unready and still serves requests.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether the load balancer may send requests to this process.
    pub(crate) fn is_ready(&self) -> bool {
        self.may_dispatch() && !self.is_stopping()
    }
}

/// Returns the time in microseconds between two starts when all slots are busy with requests of the
/// declared mean duration.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "declared work is positive and below a year"
)]
fn initial_start_interval_us(service: &ServiceSettings, slots: usize) -> u64 {
    (service.mean_work_ms * 1_000.0 / slots.max(1) as f64) as u64
}
