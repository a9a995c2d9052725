//! The immutable view that control publishes and traffic routes from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use cyclamentrail_core::{ServiceName, ServiceSettings, Settings, Version};

use crate::change_journal::ChangeJournal;
use crate::clock;
use crate::traffic::Link;

/// What traffic threads need to know, as of one moment.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Version of the settings in force.
    pub(crate) settings_version: Version,
    /// Settings in force; `None` before the first.
    pub(crate) settings: Option<Arc<Settings>>,
    /// Routes of the services.
    pub(crate) services: BTreeMap<ServiceName, ServiceRoute>,
}

/// Where requests of one service may go.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRoute {
    /// Limits of the service.
    pub(crate) settings: ServiceSettings,
    /// Instances that take new work.
    pub(crate) links: Vec<Arc<Link>>,
}

/// The view with the permission to dispatch, shared with traffic threads.
#[derive(Debug, Default)]
pub(crate) struct SharedView {
    view: ArcSwap<View>,
    permitted_until_ms: AtomicU64,
    changes: ChangeJournal,
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

    /// Permits dispatch until a moment of this process's clock.
    pub(crate) fn permit_until(&self, until_ms: u64) {
        self.permitted_until_ms.store(until_ms, Ordering::SeqCst);
    }

    /// Returns whether this process may give out new work now.
    pub(crate) fn may_dispatch(&self) -> bool {
        clock::now_ms() < self.permitted_until_ms.load(Ordering::SeqCst)
    }
}
