//! Takes a slot of the instance that routing chooses.

use std::sync::Arc;

use cyclamentrail_core::{Pool, RequestClass, choose};

use super::slot::Slot;
use crate::view::ServiceRoute;

/// Choices that may be lost to other threads before none counts as free.
const MAX_RACES: usize = 3;

/// Takes a slot for a request; `avoid` is the rack of its last failed try.
pub(crate) fn pick(
    route: &Arc<ServiceRoute>,
    class: RequestClass,
    idempotent: bool,
    avoid: Option<u32>,
) -> Option<Slot> {
    let pool = Pool {
        near: route.near,
        count: route.links.len(),
        avoid,
    };
    for _ in 0..MAX_RACES {
        let choice = choose(
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
