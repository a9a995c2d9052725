//! Routes by which callers hand in long jobs, follow, cancel and collect them.

use std::sync::Arc;

use axum::Router;

use super::Traffic;

/// Returns the routes of long jobs.
pub(crate) fn router() -> Router<Arc<Traffic>> {
    Router::new()
}
