//! Routes of pools and moves between them.

use std::collections::BTreeMap;

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::{
    Fleet, InstanceName, MoveOrder, MoveReason, Moved, PoolExplanation, PoolName, Version,
    WaveRecord, explain_pools,
};
use serde::{Deserialize, Serialize};

use super::{Operator, refusal, waves};

/// Asks that an instance moves to another pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MoveRequest {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// The pool that it is to belong to.
    pub(crate) to: PoolName,
    /// Operator who asks.
    pub(crate) operator: String,
    /// Version of the waves that the operator saw; the one in force when left out.
    pub(crate) presumes: Option<Version>,
}

/// All pools and moves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PoolList {
    /// The pools.
    pub(crate) pools: BTreeMap<PoolName, PoolExplanation>,
    /// Moves that are under way.
    pub(crate) moving: BTreeMap<InstanceName, MoveOrder>,
    /// The latest finished moves, oldest first.
    pub(crate) moved: Vec<Moved>,
}

/// Returns the routes; the token is checked before they are reached.
pub(crate) fn router() -> Router<Operator> {
    Router::new()
        .route("/v1/pools", get(list))
        .route("/v1/moves", post(order))
}

async fn list(State(operator): State<Operator>) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => Json(pool_list(&fleet)).into_response(),
        Err(error) => refusal(&operator, &error),
    }
}

async fn order(State(operator): State<Operator>, Json(request): Json<MoveRequest>) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return refusal(&operator, &error),
    };
    if fleet.instance(&request.instance).is_none() {
        return waves::found(None::<MoveRequest>, "instance");
    }
    let record = WaveRecord::MoveOrdered {
        presumes: request.presumes.unwrap_or_else(|| fleet.waves().version()),
        instance: request.instance,
        to: request.to,
        reason: MoveReason::Operator {
            operator: request.operator,
        },
    };
    waves::submit(&operator, record).await
}

fn pool_list(fleet: &Fleet) -> PoolList {
    let waves = fleet.waves();
    PoolList {
        pools: explain_pools(fleet),
        moving: waves.moves().clone(),
        moved: waves.moved().iter().cloned().collect(),
    }
}
