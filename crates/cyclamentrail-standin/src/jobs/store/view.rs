//! A further address of the store, for processes that can't read some of its topics.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};

use super::{JobStore, router};
use crate::Served;

/// A further address at which a store serves the same records.
#[derive(Debug)]
pub struct StoreView {
    unreadable: Arc<Mutex<HashSet<String>>>,
    served: Served,
}

impl JobStore {
    /// Serves the store at a further address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn view(&self) -> std::io::Result<StoreView> {
        let unreadable = Arc::default();
        let layer = middleware::from_fn_with_state(Arc::clone(&unreadable), refuse_unreadable);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let served = Served::start(address, router(&self.shared).layer(layer)).await?;
        Ok(StoreView { unreadable, served })
    }
}

impl StoreView {
    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Sets whether the reads of a topic are rejected here, also those under way.
    pub fn set_unreadable(&self, topic: &str, is_unreadable: bool) {
        let mut unreadable = lock(&self.unreadable);
        if is_unreadable {
            unreadable.insert(topic.to_owned());
        } else {
            unreadable.remove(topic);
        }
    }
}

async fn refuse_unreadable(
    State(unreadable): State<Arc<Mutex<HashSet<String>>>>,
    request: Request,
    next: Next,
) -> Response {
    let query = request.uri().query().unwrap_or("").to_owned();
    let names_topic = |topic: &String| {
        query
            .split('&')
            .any(|part| part == format!("Topic={topic}"))
    };
    let response = next.run(request).await;
    if lock(&unreadable).iter().any(names_topic) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    response
}

fn lock(topics: &Mutex<HashSet<String>>) -> MutexGuard<'_, HashSet<String>> {
    topics.lock().unwrap_or_else(PoisonError::into_inner)
}
