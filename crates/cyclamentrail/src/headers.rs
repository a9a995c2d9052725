//! Names of the HTTP headers that the entry reads and writes.

/// Caller's deadline for the whole answer, in milliseconds from now.
pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";
/// How the request ended: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-outcome";
/// Why it ended so; absent when it was answered.
pub(crate) const OUTCOME_REASON: &str = "x-outcome-reason";
/// The entry's id of the request; never used again.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// A backend server's word that it refused the request and ran nothing of it.
pub(crate) const REFUSED: &str = "x-refused";
/// Class of the request: `quick` or `long`.
pub(crate) const CLASS: &str = "x-request-class";
/// Team that the request belongs to.
pub(crate) const TEAM: &str = "x-team";
/// Caller's key: requests of one key run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Says that the answer is the one of an earlier request with the same key.
pub(crate) const REPLAYED: &str = "idempotency-replayed";
