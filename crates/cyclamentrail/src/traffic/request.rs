//! A request on its way to a backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use axum::BoxError;
use axum::body::Body;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{Full, Limited};
use hyper::http::request::Parts;
use hyper::{Method, Request};

/// A request that can be sent again as long as its body is at hand.
#[derive(Debug)]
pub(crate) struct Outgoing {
    parts: Parts,
    body: OutgoingBody,
}

#[derive(Debug)]
enum OutgoingBody {
    Whole(Bytes),
    Stream(Option<Limited<Body>>),
}

/// The body of one try.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A body that was received as a whole.
    Whole(Full<Bytes>),
    /// A body that is passed on as it comes.
    Stream(Limited<Body>),
}

impl Outgoing {
    /// Creates a request whose body was received as a whole.
    pub(crate) const fn whole(parts: Parts, body: Bytes) -> Self {
        Self {
            parts,
            body: OutgoingBody::Whole(body),
        }
    }

    /// Creates a request whose body is passed on as it comes, up to a limit.
    pub(crate) fn stream(parts: Parts, body: Body, max_bytes: usize) -> Self {
        let body = Limited::new(body, max_bytes);
        Self {
            parts,
            body: OutgoingBody::Stream(Some(body)),
        }
    }

    /// Returns the request for one try; `None` when its body was passed on in an earlier one.
    pub(crate) fn attempt(&mut self) -> Option<Request<RequestBody>> {
        let body = match &mut self.body {
            OutgoingBody::Whole(bytes) => RequestBody::Whole(Full::new(bytes.clone())),
            OutgoingBody::Stream(body) => RequestBody::Stream(body.take()?),
        };
        Some(Request::from_parts(self.parts.clone(), body))
    }

    /// Returns whether the request can be sent again.
    pub(crate) const fn is_repeatable(&self) -> bool {
        matches!(self.body, OutgoingBody::Whole(_))
    }

    /// Returns whether running the request twice has the effect of running it once.
    pub(crate) fn is_idempotent(&self) -> bool {
        let method = &self.parts.method;
        method.is_safe() || matches!(*method, Method::PUT | Method::DELETE)
    }

    /// Returns the method, path and headers.
    pub(crate) const fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Returns the body if it was received as a whole.
    pub(crate) const fn body(&self) -> Option<&Bytes> {
        match &self.body {
            OutgoingBody::Whole(bytes) => Some(bytes),
            OutgoingBody::Stream(_) => None,
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
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(BoxError::from),
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}
