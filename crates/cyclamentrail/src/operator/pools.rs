//! Routes of pools and moves between them.

use std::collections::BTreeMap;

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::{
    FinishedMove, Fleet, InstanceName, MoveOrder, MoveReason, PoolExplanation, PoolName, Version,
    WaveRecord, explain_pools,
};
use serde::{Deserialize, Serialize};

use super::{OperatorContext, error_response, waves};

/// Request body of a move of an instance to another pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MoveRequest {
    /// Name of the instance to move.
    pub(crate) instance: InstanceName,
    /// Pool that the instance moves to.
    pub(crate) to: PoolName,
    /// Name of the operator who orders the move.
    pub(crate) operator: String,
    /// Version of the waves that the order was made on; the current one when omitted.
    pub(crate) presumes: Option<Version>,
}

/// Response document with all pools and moves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PoolList {
    /// Explanation of each pool.
    pub(crate) pools: BTreeMap<PoolName, PoolExplanation>,
    /// Unfinished moves by instance.
    pub(crate) moving: BTreeMap<InstanceName, MoveOrder>,
    /// The latest finished moves, oldest first.
    pub(crate) moved: Vec<FinishedMove>,
}

/// Returns the routes; the caller adds the check of the token.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new()
        .route("/v1/pools", get(list_pools))
        .route("/v1/moves", post(order_move))
}

async fn list_pools(State(operator): State<OperatorContext>) -> Response {
    match operator.control.fleet().await {
        Ok(fleet) => Json(pools_and_moves(&fleet)).into_response(),
        Err(error) => error_response(&operator, &error),
    }
}

async fn order_move(
    State(operator): State<OperatorContext>,
    Json(request): Json<MoveRequest>,
) -> Response {
    let fleet = match operator.control.fleet().await {
        Ok(fleet) => fleet,
        Err(error) => return error_response(&operator, &error),
    };
    if fleet.instance(&request.instance).is_none() {
        return waves::document_or_not_found(None::<MoveRequest>, "instance");
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

fn pools_and_moves(fleet: &Fleet) -> PoolList {
    let waves = fleet.waves();
    PoolList {
        pools: explain_pools(fleet),
        moving: waves.moves().clone(),
        moved: waves.finished_moves().iter().cloned().collect(),
    }
}
