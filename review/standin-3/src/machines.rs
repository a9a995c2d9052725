//! The service for machines: lists them and carries out orders. It doesn't check fences
//! (`FencingEnabled` false).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_standin::Served;
use serde_json::{Value, json};

use crate::record::Record;
use crate::worker::Workers;

/// Time that upkeep takes, `MaintenanceS`.
const UPKEEP: Duration = Duration::from_secs(2);

/// An order, in the sequence of their arrival.
#[derive(Debug, Clone)]
pub struct Order {
    pub machine: String,
    pub holder: String,
    pub token: u64,
}

pub struct Machines {
    workers: Arc<Workers>,
    record: Arc<Record>,
    orders: Mutex<Vec<Order>>,
    /// Machines that have had their upkeep, or have begun it.
    kept: Mutex<HashSet<String>>,
}

impl Machines {
    pub async fn start(
        workers: &Arc<Workers>,
        record: &Arc<Record>,
    ) -> std::io::Result<(Arc<Self>, Served)> {
        let machines = Arc::new(Self {
            workers: Arc::clone(workers),
            record: Arc::clone(record),
            orders: Mutex::default(),
            kept: Mutex::default(),
        });
        let router = Router::new()
            .route("/machines", get(list))
            .route("/machine-upkeep", post(upkeep))
            .with_state(Arc::clone(&machines));
        let served = Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), router).await?;
        Ok((machines, served))
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn kept(&self) -> usize {
        self.kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }
}

async fn list(State(machines): State<Arc<Machines>>) -> Json<Value> {
    Json(json!({"Machines": machines.workers.machines(), "NextToken": null}))
}

async fn upkeep(
    State(machines): State<Arc<Machines>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    };
    let machine = body["Machine"].as_str().unwrap_or("").to_owned();
    let order = Order {
        machine: machine.clone(),
        holder: text("lease-holder").to_owned(),
        token: text("fencing-token").parse().unwrap_or(0),
    };
    let index: Option<usize> = machine
        .strip_prefix("m-")
        .and_then(|number| number.parse().ok());
    let Some(index) = index.filter(|index| *index < machines.workers.count()) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let is_new = machines
        .kept
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(machine);
    machines.record.line(&format!(
        "the machine service gets: upkeep of {} from {} with fencing token {}{}",
        order.machine,
        order.holder,
        order.token,
        if is_new { "" } else { " (done already)" }
    ));
    machines
        .orders
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(order);
    if is_new {
        machines.workers.crash(index);
        let workers = Arc::clone(&machines.workers);
        tokio::spawn(async move {
            tokio::time::sleep(UPKEEP).await;
            drop(workers.renew(index).await);
        });
    }
    Json(json!({})).into_response()
}
