//! Names of the HTTP headers of the entry's protocol with callers and backend servers.

/// Request: time limit for the complete response, in milliseconds from the request's arrival.
pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";
/// Response: outcome of the request, `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-outcome";
/// Response: reason of an outcome other than `answered`.
pub(crate) const OUTCOME_REASON: &str = "x-outcome-reason";
/// Request and response: id that the entry gave the request; ids are never reused.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Response of a backend server: the server refused the request and ran nothing of it.
pub(crate) const REFUSED: &str = "x-refused";
/// Request: class, `quick` or `long`.
pub(crate) const CLASS: &str = "x-request-class";
/// Request: team that the request counts for.
pub(crate) const TEAM: &str = "x-team";
/// Request: idempotency key; of all requests with one key at most one runs.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response: `true` when the response is that of an earlier request with the same key.
pub(crate) const REPLAYED: &str = "idempotency-replayed";
