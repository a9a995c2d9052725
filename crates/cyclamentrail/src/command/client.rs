//! HTTP client of the commands: calls the listener for operators of a running entry, or an edge
//! process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use getopts::{Matches, Options};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use thiserror::Error;

use super::{UsageError, parse_flag};

/// Default time limit of one call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "CYCLAMENTRAIL_TOKEN";

/// Response of the called process with an HTTP status other than 2xx.
#[derive(Debug, Error)]
#[error("{text} (HTTP {status})")]
pub(crate) struct CallRefused {
    /// HTTP status code of the response.
    pub(crate) status: u16,
    /// Trimmed body of the response: why the call was refused, with the remedy.
    pub(crate) text: String,
}

/// Client of one entry, or of one edge process with an empty token; opens a connection per call.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    address: SocketAddr,
    token: String,
    timeout: Duration,
}

impl OperatorClient {
    /// Adds the required option `--entry`, which names the entry to call.
    pub(crate) fn add_entry_option(options: &mut Options) {
        options.reqopt("", "entry", "operators' address of any entry", "IP:PORT");
    }

    /// Adds the options `--entry` and `--edge`, of which the command needs one: the entry, or the
    /// edge process on the users' platform, to call.
    pub(crate) fn add_entry_or_edge_options(options: &mut Options) {
        options.optopt("", "entry", "operators' address of any entry", "IP:PORT");
        options.optopt("", "edge", "metrics address of any edge process", "IP:PORT");
    }

    /// Creates a client of the edge process that `--edge` names, or returns `None` without that
    /// option.
    ///
    /// # Errors
    ///
    /// Returns a usage error when the address can't be parsed.
    pub(crate) fn edge_from_matches(matches: &Matches) -> Result<Option<Self>> {
        let address = parse_flag(matches, "edge", "an address such as 127.0.0.1:7061")?;
        // These listeners require no token, since they can be reached only from the platform's network.
        Ok(address.map(|address| Self::new(address, String::new())))
    }

    /// Creates a client of the entry that `--entry` names, with the token from the environment.
    ///
    /// # Errors
    ///
    /// Returns an error when `--entry` is missing or can't be parsed, or when the environment
    /// variable with the token isn't set.
    pub(crate) fn from_matches(matches: &Matches) -> Result<Self> {
        let address = parse_flag(matches, "entry", "an address such as 127.0.0.1:8201")?
            .ok_or_else(|| UsageError::new("--entry is missing"))?;
        let token = std::env::var(TOKEN_VARIABLE)
            .with_context(|| format!("set {TOKEN_VARIABLE} to the operators' token"))?;
        Ok(Self::new(address, token))
    }

    /// Sets the time limit of one call.
    #[must_use]
    pub(crate) const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Creates a client of the process at an address, with the default time limit.
    pub(crate) const fn new(address: SocketAddr, token: String) -> Self {
        Self {
            address,
            token,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Returns a client of the entry at another address, with the same token and time limit.
    pub(crate) fn with_address(&self, address: SocketAddr) -> Self {
        Self {
            address,
            token: self.token.clone(),
            timeout: self.timeout,
        }
    }

    /// Returns the address of the process that this client calls.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets a JSON document and blocks until the response is complete.
    ///
    /// # Errors
    ///
    /// Returns [`CallRefused`] when the process refuses the call, or another error when it can't be
    /// reached or doesn't respond in time.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        block_on(self.send("GET", path, None))
    }

    /// Posts a JSON document, blocks until the response is complete, and returns its JSON body,
    /// `null` when the body is empty.
    ///
    /// # Errors
    ///
    /// As for [`OperatorClient::get`].
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Value> {
        block_on(self.send("POST", path, Some(body)))
    }

    /// Sends one request and returns the JSON body of the response, `null` when the body is empty.
    ///
    /// # Errors
    ///
    /// As for [`OperatorClient::get`].
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value> {
        let bytes = body
            .map(serde_json::to_vec)
            .transpose()?
            .unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(bytes)))?;
        tokio::time::timeout(self.timeout, request_json(request))
            .await
            .with_context(|| {
                format!(
                    "{} gave no answer in {:?}; ask another entry",
                    self.address, self.timeout
                )
            })?
    }
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

async fn request_json(request: Request<Full<Bytes>>) -> Result<Value> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .context("the entry can't be reached; check --entry or try another entry")?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    if !status.is_success() {
        let refused = CallRefused {
            status: status.as_u16(),
            text: String::from_utf8_lossy(&bytes).trim().to_owned(),
        };
        return Err(refused.into());
    }
    if bytes.is_empty() {
        return Ok(Value::Null);
    }
    Ok(serde_json::from_slice(&bytes)?)
}
