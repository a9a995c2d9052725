//! A minimal reverse proxy, as a baseline for the cost of a proxy built on the same libraries.

use std::net::SocketAddr;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::serve::Served;

/// A running reverse proxy that forwards every request to one backend server.
#[derive(Debug)]
pub struct PassThrough {
    served: Served,
}

/// The backend server and the client that calls it.
#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    client: Client<HttpConnector, Body>,
}

impl PassThrough {
    /// Starts a proxy to `backend` on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, backend: SocketAddr) -> std::io::Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let target = Target {
            address: backend,
            client: Client::builder(TokioExecutor::new()).build(connector),
        };
        let router = Router::new().fallback(forward).with_state(target);
        let served = Served::start(address, router).await?;
        Ok(Self { served })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }
}

async fn forward(State(target): State<Target>, mut request: Request) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let Ok(uri) = format!("http://{}{path}", target.address).parse() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    *request.uri_mut() = uri;
    match target.client.request(request).await {
        Ok(response) => response.map(Body::new),
        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}
