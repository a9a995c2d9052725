//! Requests of callers that have no response yet.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of the callers' requests that are being served.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    count: AtomicU64,
}

impl OpenRequests {
    /// Counts a request until the returned guard is dropped.
    pub(crate) fn begin(&self) -> OpenRequest<'_> {
        self.count.fetch_add(1, Ordering::Relaxed);
        OpenRequest { requests: self }
    }

    /// Returns the number of requests without a response.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// One request that is being served.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a> {
    requests: &'a OpenRequests,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.requests.count.fetch_sub(1, Ordering::Relaxed);
    }
}
