//! One slot of a link, held by a request until its response has been forwarded.

use std::sync::Arc;

use cyclamentrail_core::{AttemptResult, HealthChange, RequestClass, may_eject};

use super::link::{Link, RequestSender};
use super::request_log::Event;
use crate::clock;
use crate::view::ServiceRoute;

/// A taken slot with its connection; dropping it frees the slot and closes the connection.
///
/// [`Slot::finish`] and [`Slot::fail`] record the result of the attempt. A slot that is dropped
/// without either records none, as after a caller's disconnect.
#[derive(Debug)]
pub(crate) struct Slot {
    link: Arc<Link>,
    route: Arc<ServiceRoute>,
    class: RequestClass,
    taken_us: u64,
    sender: Option<RequestSender>,
}

impl Slot {
    /// Takes a free slot of a link; `None` when there is none.
    pub(crate) fn take(
        link: &Arc<Link>,
        route: &Arc<ServiceRoute>,
        class: RequestClass,
        idempotent: bool,
    ) -> Option<Self> {
        link.take(class, idempotent)
            .then(|| Self::from_taken(link, route, class))
    }

    /// Wraps a slot that the link has already counted as taken.
    pub(crate) fn from_taken(
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

    /// Stores the connection that carries the request.
    pub(crate) fn attach(&mut self, sender: RequestSender) {
        self.sender = Some(sender);
    }

    /// Records a complete response and returns the connection for reuse.
    pub(crate) fn finish(mut self) {
        let took_us = self.age_us();
        let response_time = self.route.admission.record_duration(self.class, took_us);
        let result = self
            .link
            .record_duration(self.class, took_us, &response_time);
        self.record(result);
        self.return_connection();
    }

    /// Records a failed attempt.
    ///
    /// The connection is kept for reuse after a refusal or a server error, and closed otherwise.
    pub(crate) fn fail(mut self, result: AttemptResult) {
        self.record(result);
        if matches!(result, AttemptResult::Refused | AttemptResult::ServerError) {
            self.return_connection();
        }
    }

    fn return_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.link.return_connection(sender);
        }
    }

    fn record(&self, result: AttemptResult) {
        let may_be_ejected = result == AttemptResult::Served || self.may_be_ejected();
        let Some(change) = self.link.record_result(result, may_be_ejected) else {
            return;
        };
        let instance = self.link.instance().clone();
        log::info!(instance:% = instance, result:? = result, change:? = change; "health_changed");
        if matches!(change, HealthChange::Ejected { .. }) {
            self.link.close_idle();
        }
        self.route.admission.request_log().record(
            None,
            Event::Health {
                instance,
                result,
                change,
            },
        );
    }

    /// Returns whether the instances left in routing would still meet the service's contract.
    fn may_be_ejected(&self) -> bool {
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
        let admission = Arc::clone(&self.route.admission);
        admission.release_slot(&self.link, &self.route, self.class);
    }
}
