//! Routes of maintenance waves and pools.

use axum::Router;

use super::Operator;

/// Returns the routes; the token is checked before they are reached.
pub(crate) fn router() -> Router<Operator> {
    Router::new()
}
