//! Routes of maintenance waves.

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

use super::{Operator, refusal};

/// Asks for a wave.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaveRequest {
    /// Name of the wave.
    pub(crate) wave: WaveName,
    /// Pools whose instances are maintained; all pools when empty.
    #[serde(default)]
    pub(crate) pools: BTreeSet<PoolName>,
    /// Operator who asks.
    pub(crate) operator: String,
    /// Version of the waves that the operator saw; the one in force when left out.
    pub(crate) presumes: Option<Version>,
}

/// Asks that a wave is paused, resumed or cancelled.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControlRequest {
    /// What is to happen.
    pub(crate) control: WaveControl,
    /// Operator who asks.
    pub(crate) operator: String,
    /// Version of the wave that the operator saw; the one in force when left out.
    pub(crate) presumes: Option<Version>,
}

/// All waves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WaveList {
    /// Version that a new wave presumes.
    pub(crate) version: Version,
    /// The waves that are remembered.
    pub(crate) waves: BTreeMap<WaveName, WaveExplanation>,
}

/// Returns the routes; the token is checked before they are reached.
pub(crate) fn router() -> Router<Operator> {
    Router::new()
        .route("/v1/waves", get(list).post(create))
        .route("/v1/waves/{wave}", get(show))
        .route("/v1/waves/{wave}/control", post(control))
        .route("/v1/explain/waves/{wave}", get(show))
        .route("/v1/explain/instances/{instance}", get(show_instance))
}

async fn list(State(operator): State<Operator>) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => Json(wave_list(&fleet)).into_response(),
        Err(error) => refusal(&operator, &error),
    }
}

async fn show(State(operator): State<Operator>, Path(wave): Path<WaveName>) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => found(explain_wave(&fleet, &wave), "wave"),
        Err(error) => refusal(&operator, &error),
    }
}

async fn show_instance(
    State(operator): State<Operator>,
    Path(instance): Path<InstanceName>,
) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => found(explain_instance(&fleet, &instance), "instance"),
        Err(error) => refusal(&operator, &error),
    }
}

async fn create(State(operator): State<Operator>, Json(request): Json<WaveRequest>) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return refusal(&operator, &error),
    };
    let record = WaveRecord::Created {
        presumes: request.presumes.unwrap_or_else(|| fleet.waves().version()),
        wave: request.wave,
        instances: instances_of(&fleet, &request.pools),
        operator: request.operator,
    };
    submit(&operator, record).await
}

async fn control(
    State(operator): State<Operator>,
    Path(wave): Path<WaveName>,
    Json(request): Json<ControlRequest>,
) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return refusal(&operator, &error),
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

/// Submits a record and answers when it was folded.
pub(super) async fn submit(operator: &Operator, record: WaveRecord) -> Response {
    match operator.control.submit(RecordBody::Wave(record)).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => refusal(operator, &error),
    }
}

/// Answers with a document, or that nothing has this name.
pub(super) fn found<T: Serialize>(document: Option<T>, what: &str) -> Response {
    document.map_or_else(
        || {
            let problem = format!("no such {what}; `wave show` and `pool show` list the names\n");
            (StatusCode::NOT_FOUND, problem).into_response()
        },
        |document| Json(document).into_response(),
    )
}

fn instances_of(fleet: &Fleet, pools: &BTreeSet<PoolName>) -> BTreeSet<InstanceName> {
    let in_pools = fleet
        .instances()
        .filter(|(_, instance)| pools.is_empty() || pools.contains(&instance.pool));
    in_pools.map(|(name, _)| name.clone()).collect()
}

fn wave_list(fleet: &Fleet) -> WaveList {
    let waves = fleet.waves();
    let explanations = waves
        .waves()
        .filter_map(|(name, _)| Some((name.clone(), explain_wave(fleet, name)?)));
    WaveList {
        version: waves.version(),
        waves: explanations.collect(),
    }
}
