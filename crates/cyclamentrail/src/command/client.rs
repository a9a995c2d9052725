//! Client of a running entry's listener for operators.

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

use super::{UsageError, flag};

/// Time limit of one call, unless the command sets another.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "CYCLAMENTRAIL_TOKEN";

/// An entry refused a call.
#[derive(Debug, Error)]
#[error("{text} (HTTP {status})")]
pub(crate) struct Refused {
    /// HTTP status code.
    pub(crate) status: u16,
    /// The entry's reason, with the remedy.
    pub(crate) text: String,
}

/// Calls one entry; blocks until it has answered.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    address: SocketAddr,
    token: String,
    timeout: Duration,
}

impl OperatorClient {
    /// Adds the options that say which entry to call.
    pub(crate) fn add_options(options: &mut Options) {
        options.reqopt("", "entry", "operators' address of any entry", "IP:PORT");
    }

    /// Adds the options that say which entry, or which process on the users' platform, to call.
    pub(crate) fn add_either_options(options: &mut Options) {
        options.optopt("", "entry", "operators' address of any entry", "IP:PORT");
        options.optopt("", "edge", "metrics address of any edge process", "IP:PORT");
    }

    /// Creates a client of an edge process, if the command line names one.
    ///
    /// # Errors
    ///
    /// Returns that the address can't be read.
    pub(crate) fn of_edge(matches: &Matches) -> Result<Option<Self>> {
        let address = flag(matches, "edge", "an address such as 127.0.0.1:7061")?;
        // Only the platform's own network reaches these listeners; they ask for no token.
        Ok(address.map(|address| Self::new(address, String::new())))
    }

    /// Creates a client from parsed options and the environment.
    ///
    /// # Errors
    ///
    /// Returns what is missing.
    pub(crate) fn from_matches(matches: &Matches) -> Result<Self> {
        let address = flag(matches, "entry", "an address such as 127.0.0.1:8201")?
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

    /// Creates a client of the entry at an address.
    pub(crate) const fn new(address: SocketAddr, token: String) -> Self {
        Self {
            address,
            token,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Returns a client of another entry with the same token.
    pub(crate) fn at(&self, address: SocketAddr) -> Self {
        Self {
            address,
            token: self.token.clone(),
            timeout: self.timeout,
        }
    }

    /// Returns the address of the entry that is called.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or that it can't be reached.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        block_on(self.send("GET", path, None))
    }

    /// Posts a JSON document and returns the answer, `null` when it is empty.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or that it can't be reached.
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Value> {
        block_on(self.send("POST", path, Some(body)))
    }

    /// Sends one request and returns the JSON answer, `null` when it is empty.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or that it can't be reached.
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
        tokio::time::timeout(self.timeout, exchange(request))
            .await
            .with_context(|| {
                format!(
                    "{} gave no answer in {:?}; ask another entry",
                    self.address, self.timeout
                )
            })?
    }
}

fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(work)
}

async fn exchange(request: Request<Full<Bytes>>) -> Result<Value> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .context("the entry can't be reached; check --entry or ask another one")?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    if !status.is_success() {
        let refused = Refused {
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
