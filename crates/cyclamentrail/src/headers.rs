//! Names of the HTTP headers that the entry reads and writes.

/// Caller's deadline for the whole answer, in milliseconds from now.
pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";
/// How the request ended: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-outcome";
/// The entry's id of the request; never used again.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// A backend server's word that it refused the request and ran nothing of it.
pub(crate) const REFUSED: &str = "x-refused";
/// Class of the request: `quick` or `long`.
pub(crate) const CLASS: &str = "x-request-class";
/// Team that the caller belongs to.
pub(crate) const TEAM: &str = "x-team";
