//! Routes that explain changes of the settings.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use cyclamentrail_core::Version;
use serde::Serialize;

use super::{Operator, refusal};
use crate::change_journal::Change;
use crate::control::MemberSettingsStatus;

/// Explanation of one version of the settings.
#[derive(Debug, Serialize)]
struct ChangeExplanation {
    /// The version.
    version: Version,
    /// The change that brought it into force.
    change: Change,
    /// Changes that were made on the same version and came too late or were invalid.
    rivals: Vec<Change>,
    /// Where it is in force.
    members: Vec<MemberExplanation>,
}

#[derive(Debug, Serialize)]
struct MemberExplanation {
    /// Whether this version or a newer one is in force there.
    in_force: bool,
    #[serde(flatten)]
    member: MemberSettingsStatus,
}

/// Returns the routes; the token is checked before they are reached.
pub(crate) fn router() -> Router<Operator> {
    Router::new().route("/v1/explain/changes/{version}", get(explain))
}

async fn explain(State(operator): State<Operator>, Path(version): Path<Version>) -> Response {
    let journal = operator.shared.changes();
    let Some(change) = journal.in_force(version) else {
        return (
            StatusCode::NOT_FOUND,
            format!(
                "version {version} is not in this entry's journal; ask an entry that ran when it came into force\n"
            ),
        )
            .into_response();
    };
    let in_force = match operator.control.settings_status().await {
        Ok(in_force) => in_force,
        Err(error) => return refusal(&operator, &error),
    };
    let members = in_force
        .members
        .into_iter()
        .map(|member| MemberExplanation {
            in_force: member.settings_version >= version,
            member,
        })
        .collect();
    let rivals = journal.rejected_on(change.presumes);
    Json(ChangeExplanation {
        version,
        change,
        rivals,
        members,
    })
    .into_response()
}
