//! Routes of maintenance waves and of the explanation of an instance.

use std::collections::{BTreeMap, BTreeSet};

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::{
    Fleet, InstanceName, PoolName, RecordBody, Version, WaveControl, WaveExplanation, WaveName,
    WaveRecord, explain_instance, explain_wave,
};
use serde::{Deserialize, Serialize};

use super::{OperatorContext, error_response};

/// Request body of a new wave.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaveRequest {
    /// Name of the wave.
    pub(crate) wave: WaveName,
    /// Pools whose instances are maintained; all pools when empty.
    #[serde(default)]
    pub(crate) pools: BTreeSet<PoolName>,
    /// Name of the operator who creates the wave.
    pub(crate) operator: String,
    /// Version of the waves that the request was made on; the current one when omitted.
    pub(crate) presumes: Option<Version>,
}

/// Request body that pauses, resumes or cancels a wave.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaveControlRequest {
    /// Whether to pause, resume or cancel the wave.
    pub(crate) control: WaveControl,
    /// Name of the operator who controls the wave.
    pub(crate) operator: String,
    /// Version of the wave that the request was made on; the current one when omitted.
    pub(crate) presumes: Option<Version>,
}

/// Response document with all waves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WaveList {
    /// Version of the waves, which a new wave presumes.
    pub(crate) version: Version,
    /// Explanation of each wave that the agreed state keeps.
    pub(crate) waves: BTreeMap<WaveName, WaveExplanation>,
}

/// Returns the routes; the caller adds the check of the token.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new()
        .route("/v1/waves", get(list_waves).post(create_wave))
        .route("/v1/waves/{wave}", get(show_wave))
        .route("/v1/waves/{wave}/control", post(control_wave))
        .route("/v1/explain/waves/{wave}", get(show_wave))
        .route("/v1/explain/instances/{instance}", get(show_instance))
}

async fn list_waves(State(operator): State<OperatorContext>) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => Json(explain_waves(&fleet)).into_response(),
        Err(error) => error_response(&operator, &error),
    }
}

async fn show_wave(
    State(operator): State<OperatorContext>,
    Path(wave): Path<WaveName>,
) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => document_or_not_found(explain_wave(&fleet, &wave), "wave"),
        Err(error) => error_response(&operator, &error),
    }
}

async fn show_instance(
    State(operator): State<OperatorContext>,
    Path(instance): Path<InstanceName>,
) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => document_or_not_found(explain_instance(&fleet, &instance), "instance"),
        Err(error) => error_response(&operator, &error),
    }
}

async fn create_wave(
    State(operator): State<OperatorContext>,
    Json(request): Json<WaveRequest>,
) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return error_response(&operator, &error),
    };
    let record = WaveRecord::Created {
        presumes: request.presumes.unwrap_or_else(|| fleet.waves().version()),
        wave: request.wave,
        instances: instances_in_pools(&fleet, &request.pools),
        operator: request.operator,
    };
    submit(&operator, record).await
}

async fn control_wave(
    State(operator): State<OperatorContext>,
    Path(wave): Path<WaveName>,
    Json(request): Json<WaveControlRequest>,
) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return error_response(&operator, &error),
    };
    let current = fleet.waves().wave(&wave).map(|wave| wave.version);
    let record = WaveRecord::Controlled {
        presumes: request.presumes.or(current).unwrap_or_default(),
        wave,
        control: request.control,
        operator: request.operator,
    };
    submit(&operator, record).await
}

/// Submits a record and responds once it is folded.
pub(super) async fn submit(operator: &OperatorContext, record: WaveRecord) -> Response {
    match operator.control.submit(RecordBody::Wave(record)).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => error_response(operator, &error),
    }
}

/// Returns a response with the document, or with status 404 when there is none; `what` is the kind
/// of the named thing.
pub(super) fn document_or_not_found<T: Serialize>(document: Option<T>, what: &str) -> Response {
    document.map_or_else(
        || {
            let problem = format!("no such {what}; `wave show` and `pool show` list the names\n");
            (StatusCode::NOT_FOUND, problem).into_response()
        },
        |document| Json(document).into_response(),
    )
}

fn instances_in_pools(fleet: &Fleet, pools: &BTreeSet<PoolName>) -> BTreeSet<InstanceName> {
    let in_pools = fleet
        .instances()
        .filter(|(_, instance)| pools.is_empty() || pools.contains(&instance.pool));
    in_pools.map(|(name, _)| name.clone()).collect()
}

fn explain_waves(fleet: &Fleet) -> WaveList {
    let waves = fleet.waves();
    let explanations = waves
        .waves()
        .filter_map(|(name, _)| Some((name.clone(), explain_wave(fleet, name)?)));
    WaveList {
        version: waves.version(),
        waves: explanations.collect(),
    }
}
