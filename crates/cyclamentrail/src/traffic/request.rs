//! A request to a backend server, which can be sent more than once if its body is buffered.

use std::pin::Pin;
use std::task::{Context, Poll};

use axum::BoxError;
use axum::body::Body;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{Full, Limited};
use hyper::http::request::Parts;
use hyper::{Method, Request};

/// A request to a backend server.
///
/// A request with a buffered body can be sent repeatedly, one with a streamed body only once.
#[derive(Debug)]
pub(crate) struct BackendRequest {
    parts: Parts,
    body: BackendRequestBody,
}

#[derive(Debug)]
enum BackendRequestBody {
    Buffered(Bytes),
    Streamed(Option<Limited<Body>>),
}

/// Body of one attempt.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A body that was received completely before dispatch.
    Buffered(Full<Bytes>),
    /// A body that is forwarded while it is received.
    Streamed(Limited<Body>),
}

impl BackendRequest {
    /// Creates a request with a completely received body.
    pub(crate) const fn buffered(parts: Parts, body: Bytes) -> Self {
        Self {
            parts,
            body: BackendRequestBody::Buffered(body),
        }
    }

    /// Creates a request whose body is forwarded while it is received, up to `max_bytes`.
    pub(crate) fn streamed(parts: Parts, body: Body, max_bytes: usize) -> Self {
        let body = Limited::new(body, max_bytes);
        Self {
            parts,
            body: BackendRequestBody::Streamed(Some(body)),
        }
    }

    /// Returns the request for one attempt; `None` when an earlier one consumed a streamed body.
    pub(crate) fn attempt(&mut self) -> Option<Request<RequestBody>> {
        let body = match &mut self.body {
            BackendRequestBody::Buffered(bytes) => RequestBody::Buffered(Full::new(bytes.clone())),
            BackendRequestBody::Streamed(body) => RequestBody::Streamed(body.take()?),
        };
        Some(Request::from_parts(self.parts.clone(), body))
    }

    /// Returns whether the request can be sent more than once.
    pub(crate) const fn is_repeatable(&self) -> bool {
        matches!(self.body, BackendRequestBody::Buffered(_))
    }

    /// Returns whether the method is idempotent (RFC 9110, section 9.2.2).
    pub(crate) fn is_idempotent(&self) -> bool {
        let method = &self.parts.method;
        method.is_safe() || matches!(*method, Method::PUT | Method::DELETE)
    }

    /// Returns the method, path and headers.
    pub(crate) const fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Returns the body if it is buffered.
    pub(crate) const fn body(&self) -> Option<&Bytes> {
        match &self.body {
            BackendRequestBody::Buffered(bytes) => Some(bytes),
            BackendRequestBody::Streamed(_) => None,
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(BoxError::from),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
