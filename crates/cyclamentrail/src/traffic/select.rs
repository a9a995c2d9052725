//! Chooses an instance by load and takes a slot of it.

use std::sync::Arc;

use cyclamentrail_core::{CandidatePool, RequestClass, choose_instance};

use super::slot::Slot;
use crate::view::ServiceRoute;

/// Attempts to take a slot of the chosen instance. Another thread may take the last slot between
/// choice and take; after this many lost races the request waits instead.
const MAX_CHOICES: usize = 3;

/// Takes a free slot of a lightly loaded instance; `None` when none is found.
///
/// `avoided_rack` is the rack of the request's last failed attempt, which is chosen only when no
/// other instance has room.
pub(crate) fn select_slot(
    route: &Arc<ServiceRoute>,
    class: RequestClass,
    idempotent: bool,
    avoided_rack: Option<u32>,
) -> Option<Slot> {
    let pool = CandidatePool {
        same_zone_count: route.same_zone_count,
        count: route.links.len(),
        avoided_rack,
    };
    for _ in 0..MAX_CHOICES {
        let choice = choose_instance(
            pool,
            |index| route.links[index].candidate(class, idempotent),
            &mut rand::rng(),
        );
        let index = choice.index?;
        let slot = Slot::take(&route.links[index], route, class, idempotent);
        if slot.is_some() {
            return slot;
        }
    }
    None
}
