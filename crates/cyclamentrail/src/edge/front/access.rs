//! Keys of calls, and the responses to calls that aren't served because of their key.

use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use cyclamentrail_adapter::{API_KEY_HEADER, ApiKeys, KeyDigest};
use cyclamentrail_jobs::{CallRefusal, PresentedKey};

use super::unavailable;
use crate::edge::process_state::ProcessState;
use crate::metrics;

/// Time after which a caller may retry at a process whose configuration isn't confirmed, in
/// milliseconds.
const UNCONFIRMED_RETRY_MS: u64 = 1_000;
/// Scheme that a response with the status 401 names.
const KEY_SCHEME: HeaderValue = HeaderValue::from_static("ApiKey");
/// Reason in the metrics for a request about a job of another team.
const OTHER_TEAM: &str = "other_team";

/// Looks the key of a call up.
pub(super) fn presented_key(headers: &HeaderMap, api_keys: &ApiKeys) -> PresentedKey {
    let Some(digest) = key_digest(headers) else {
        return PresentedKey::Missing;
    };
    api_keys
        .team_of(digest)
        .map_or(PresentedKey::Unknown, |team| {
            PresentedKey::Team(team.clone())
        })
}

/// Counts a call that isn't served, logs it within the budget of lines, and returns the response.
/// A call at a process whose configuration isn't confirmed has no line: that state is logged once.
pub(super) fn refuse(
    process: &ProcessState,
    refusal: CallRefusal,
    route: &str,
    headers: &HeaderMap,
) -> Response {
    metrics::count_caller_refusal(refusal.as_str());
    match refusal {
        CallRefusal::Unconfirmed => unavailable(UNCONFIRMED_RETRY_MS),
        CallRefusal::NoKey | CallRefusal::UnknownKey => {
            if process.refusal_lines.take_line() {
                let key = key_digest(headers).map_or_else(String::new, |digest| digest.to_string());
                let reason = refusal.as_str();
                log::info!(reason = reason, route = route, key = key.as_str(); "call_refused");
            }
            (
                StatusCode::UNAUTHORIZED,
                [(header::WWW_AUTHENTICATE, KEY_SCHEME)],
            )
                .into_response()
        }
    }
}

/// Counts a request about a job of another team, and returns the response.
pub(super) fn refuse_other_team() -> Response {
    metrics::count_caller_refusal(OTHER_TEAM);
    StatusCode::FORBIDDEN.into_response()
}

/// Returns the digest of the key that a call carries, if any.
fn key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    headers
        .get(API_KEY_HEADER)
        .map(HeaderValue::as_bytes)
        .filter(|key| !key.is_empty())
        .map(KeyDigest::of)
}
