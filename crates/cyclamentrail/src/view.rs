//! The immutable view that control publishes and traffic routes from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cyclamentrail_core::{
    AdmitLimits, Incarnation, RequestSettings, ServiceName, ServiceSettings, Settings, Version,
};

use crate::change_journal::ChangeJournal;
use crate::clock;
use crate::traffic::{Gate, Journal, Link};

/// What traffic threads need to know, as of one moment.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Version of the settings in force.
    pub(crate) settings_version: Version,
    /// Settings in force; `None` before the first.
    pub(crate) settings: Option<Arc<Settings>>,
    /// This process, as the other entries know it.
    pub(crate) own: Incarnation,
    /// Addresses of the members' listeners for peers.
    pub(crate) members: BTreeMap<Incarnation, SocketAddr>,
    /// Routes of the services.
    pub(crate) services: BTreeMap<ServiceName, Arc<ServiceRoute>>,
}

/// Where requests of one service may go.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRoute {
    /// The service.
    pub(crate) name: ServiceName,
    /// Limits of the service.
    pub(crate) settings: ServiceSettings,
    /// Instances that take new work; those of the entry's own zone come first.
    pub(crate) links: Vec<Arc<Link>>,
    /// Instances in the entry's own zone.
    pub(crate) near: usize,
    /// Time limit for a connection to a backend server.
    pub(crate) connect_timeout: Duration,
    /// Queues of the service.
    pub(crate) gate: Arc<Gate>,
}

impl ServiceRoute {
    /// Creates a route with the service's instances in any order.
    pub(crate) fn new(
        name: ServiceName,
        settings: ServiceSettings,
        mut links: Vec<Arc<Link>>,
        requests: &RequestSettings,
        gate: Arc<Gate>,
    ) -> Self {
        links.sort_by_key(|link| !link.target().near);
        Self {
            name,
            settings,
            near: links.iter().filter(|link| link.target().near).count(),
            links,
            connect_timeout: requests.connect_timeout_ms,
            gate,
        }
    }

    /// Returns the time in microseconds until some instance takes work; 0 when one does now.
    pub(crate) fn closed_us(&self) -> u64 {
        let now_us = clock::now_us();
        let until_us = self
            .links
            .iter()
            .map(|link| link.state().health().closed_until_us())
            .min();
        until_us.map_or(0, |until_us| until_us.saturating_sub(now_us))
    }
}

/// The view with the permission to dispatch, shared with traffic threads.
#[derive(Debug, Default)]
pub(crate) struct SharedView {
    view: ArcSwap<View>,
    permitted_until_ms: AtomicU64,
    changes: ChangeJournal,
    gates: Mutex<BTreeMap<ServiceName, Arc<Gate>>>,
    journal: Arc<Journal>,
    stopping: AtomicBool,
}

impl SharedView {
    /// Returns the journal of settings changes.
    pub(crate) const fn changes(&self) -> &ChangeJournal {
        &self.changes
    }

    /// Returns the newest view.
    pub(crate) fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes a view.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Returns the journal of decisions about requests.
    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the queues of a service, with the limits that are in force.
    pub(crate) fn gate(
        &self,
        name: &ServiceName,
        service: &ServiceSettings,
        requests: &RequestSettings,
        slots: usize,
    ) -> Arc<Gate> {
        let limits = AdmitLimits {
            max_waiting: requests.max_waiting,
            start_interval_us: start_interval_us(service, slots),
        };
        let ratio = requests.retry_budget_ratio;
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(name.clone())
            .or_insert_with(|| Arc::new(Gate::new(limits, ratio, Arc::clone(&self.journal))));
        gate.set_limits(limits, ratio);
        Arc::clone(gate)
    }

    /// Permits dispatch until a moment of this process's clock.
    pub(crate) fn permit_until(&self, until_ms: u64) {
        self.permitted_until_ms.store(until_ms, Ordering::SeqCst);
    }

    /// Returns whether this process may give out new work now.
    pub(crate) fn may_dispatch(&self) -> bool {
        clock::now_ms() < self.permitted_until_ms.load(Ordering::SeqCst)
    }

    /// Turns the process unready; it still serves the requests that come.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether the balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        self.may_dispatch() && !self.is_stopping()
    }
}

/// Returns the time between two starts when all slots work at the mean that was declared.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "declared work is positive and below a year"
)]
fn start_interval_us(service: &ServiceSettings, slots: usize) -> u64 {
    (service.mean_work_ms * 1_000.0 / slots.max(1) as f64) as u64
}
