//! Outcome of the run of an idempotency key's request, with the stored response.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::outcome::UnknownReason;

/// Outcome of the run of a key's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The backend server answered; retries get this response.
    Answered(StoredResponse),
    /// The request may have run, and no whole response is known.
    Unknown(UnknownReason),
}

/// Response to a key's request, stored for retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are sent again with the body.
    pub headers: Vec<StoredHeader>,
    /// The body, or where it is stored.
    pub body: StoredBody,
}

/// One header of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Header name in lower case.
    pub name: String,
    /// Header value as text.
    pub value: String,
}

/// Body of a stored response.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The bytes of a small body, in the replicated state.
    #[serde(rename = "here")]
    Inline(#[serde_as(as = "Bytes")] Vec<u8>),
    /// The body is in the memory of the entry process that ran the request, which drops it when
    /// the memory for such bodies is full.
    AtOwner {
        /// Length of the body in bytes.
        length_bytes: u64,
    },
}

impl ClaimOutcome {
    /// Returns the size in bytes of the body and headers if the body is stored in the replicated
    /// state, and 0 otherwise.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Answered(response) => response.stored_bytes(),
            Self::Unknown(_) => 0,
        }
    }

    /// Returns the outcome without the body; of the headers, only `content-type` remains.
    #[must_use]
    pub fn without_body(self) -> Self {
        match self {
            Self::Answered(response) => Self::Answered(response.without_body()),
            Self::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl StoredResponse {
    fn stored_bytes(&self) -> usize {
        let body_bytes = match &self.body {
            StoredBody::Inline(bytes) => bytes.len(),
            StoredBody::AtOwner { .. } => return 0,
        };
        let header_bytes: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        body_bytes + header_bytes
    }

    fn without_body(mut self) -> Self {
        if let StoredBody::Inline(bytes) = &self.body {
            let length_bytes = bytes.len() as u64;
            self.body = StoredBody::AtOwner { length_bytes };
        }
        self.headers.retain(|header| header.name == "content-type");
        self
    }
}
