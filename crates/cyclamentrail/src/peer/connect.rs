//! HTTP client for queries and forwarded requests to other entries.

use bytes::Bytes;
use http_body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::claims::CALL_TIMEOUT;

/// Returns a client that gives up connecting after [`CALL_TIMEOUT`].
pub(crate) fn http_client<B>() -> Client<HttpConnector, B>
where
    B: Body<Data = Bytes> + Send,
{
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CALL_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}
