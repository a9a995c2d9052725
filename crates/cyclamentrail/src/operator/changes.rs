//! Route that explains a change of the settings.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use cyclamentrail_core::Version;
use serde::Serialize;

use super::{OperatorContext, error_response};
use crate::change_history::Change;
use crate::control::MemberSettingsStatus;

/// Response document that explains one version of the settings.
#[derive(Debug, Serialize)]
struct ChangeExplanation {
    version: Version,
    /// Change that brought the version into force.
    change: Change,
    /// Rejected changes that were made on the same version.
    rivals: Vec<Change>,
    /// All members, and whether the version is in force on them.
    members: Vec<MemberExplanation>,
}

#[derive(Debug, Serialize)]
struct MemberExplanation {
    /// Whether the version or a newer one is in force on the member.
    in_force: bool,
    #[serde(flatten)]
    member: MemberSettingsStatus,
}

/// Returns the route; the caller adds the check of the token.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new().route("/v1/explain/changes/{version}", get(explain_change))
}

async fn explain_change(
    State(operator): State<OperatorContext>,
    Path(version): Path<Version>,
) -> Response {
    let history = operator.shared.change_history();
    let Some(change) = history.in_force(version) else {
        return (
            StatusCode::NOT_FOUND,
            format!(
                "version {version} is not in this entry's history; ask an entry that ran when it came into force\n"
            ),
        )
            .into_response();
    };
    let in_force = match operator.control.settings_status().await {
        Ok(in_force) => in_force,
        Err(error) => return error_response(&operator, &error),
    };
    let members = in_force
        .members
        .into_iter()
        .map(|member| MemberExplanation {
            in_force: member.settings_version >= version,
            member,
        })
        .collect();
    let rivals = history.rejected_on(change.presumes);
    Json(ChangeExplanation {
        version,
        change,
        rivals,
        members,
    })
    .into_response()
}
