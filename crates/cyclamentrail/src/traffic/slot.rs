//! One slot of a link, held by a request until its answer has passed.

use std::sync::Arc;

use cyclamentrail_core::{HealthChange, RequestClass, TryResult, may_eject};

use super::journal::Event;
use super::link::{Link, Sender};
use crate::clock;
use crate::view::ServiceRoute;

/// A taken slot with its connection; dropping it frees the slot and closes the connection.
///
/// Exactly one of [`Slot::finish`] and [`Slot::fail`] tells how the try went; a slot that is
/// dropped without either belonged to a caller who went away.
#[derive(Debug)]
pub(crate) struct Slot {
    link: Arc<Link>,
    route: Arc<ServiceRoute>,
    class: RequestClass,
    taken_us: u64,
    sender: Option<Sender>,
}

impl Slot {
    /// Takes a slot of a link.
    pub(crate) fn take(
        link: &Arc<Link>,
        route: &Arc<ServiceRoute>,
        class: RequestClass,
        idempotent: bool,
    ) -> Option<Self> {
        link.take(class, idempotent)
            .then(|| Self::passed_on(link, route, class))
    }

    /// Creates a slot that is taken already.
    pub(crate) fn passed_on(
        link: &Arc<Link>,
        route: &Arc<ServiceRoute>,
        class: RequestClass,
    ) -> Self {
        Self {
            link: Arc::clone(link),
            route: Arc::clone(route),
            class,
            taken_us: clock::now_us(),
            sender: None,
        }
    }

    /// Returns the link of the slot.
    pub(crate) const fn link(&self) -> &Arc<Link> {
        &self.link
    }

    /// Returns the time in microseconds since the slot was taken.
    pub(crate) fn age_us(&self) -> u64 {
        clock::now_us().saturating_sub(self.taken_us)
    }

    /// Holds the connection that the request is on.
    pub(crate) fn hold(&mut self, sender: Sender) {
        self.sender = Some(sender);
    }

    /// Ends the try with a whole answer and keeps the connection.
    pub(crate) fn finish(mut self) {
        let took_us = self.age_us();
        let pace = self.route.gate.note_time(self.class, took_us);
        let result = self.link.note_time(self.class, took_us, &pace);
        self.note(result);
        self.keep();
    }

    /// Ends the try without a whole answer from a working server.
    pub(crate) fn fail(mut self, result: TryResult) {
        self.note(result);
        if matches!(result, TryResult::Refused | TryResult::ServerError) {
            self.keep();
        }
    }

    fn keep(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.link.keep(sender);
        }
    }

    fn note(&self, result: TryResult) {
        let spare = result == TryResult::Served || self.may_be_spared();
        let Some(change) = self.link.note(result, spare) else {
            return;
        };
        let instance = self.link.instance().clone();
        log::info!(instance:% = instance, result:? = result, change:? = change; "health_changed");
        if matches!(change, HealthChange::Ejected { .. }) {
            self.link.drop_idle();
        }
        self.route.gate.journal().note(
            None,
            Event::Health {
                instance,
                result,
                change,
            },
        );
    }

    fn may_be_spared(&self) -> bool {
        let links = &self.route.links;
        let others = links.iter().filter(|link| !Arc::ptr_eq(link, &self.link));
        let ejected = others.filter(|link| link.is_ejected()).count();
        let promised = self.route.settings.contract.promised_instances;
        may_eject(links.len(), ejected, promised)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.sender = None;
        let gate = Arc::clone(&self.route.gate);
        gate.free(&self.link, &self.route, self.class);
    }
}
