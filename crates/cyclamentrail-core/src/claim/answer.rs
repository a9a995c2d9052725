//! How the run of an idempotency key ended, with its answer while that is kept.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::outcome::UnknownReason;

/// How the run of a key's request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The backend server answered.
    Answered(KeptAnswer),
    /// It may have run.
    Unknown(UnknownReason),
}

/// The answer of a key's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that describe the body.
    pub headers: Vec<KeptHeader>,
    /// The body, when it is small.
    pub body: KeptBody,
}

/// One header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Where the body of an answer is.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptBody {
    /// Here.
    Here(#[serde_as(as = "Bytes")] Vec<u8>),
    /// With the entry that ran the request, for as long as it has room.
    AtOwner {
        /// Length in bytes.
        length_bytes: u64,
    },
}

impl ClaimOutcome {
    /// Returns the bytes that are kept in the agreed state.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.kept_bytes(),
            Self::Unknown(_) => 0,
        }
    }

    /// Returns the outcome without a body and with the one header that says what it was.
    #[must_use]
    pub fn without_body(self) -> Self {
        match self {
            Self::Answered(answer) => Self::Answered(answer.without_body()),
            Self::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl KeptAnswer {
    fn kept_bytes(&self) -> usize {
        let body_bytes = match &self.body {
            KeptBody::Here(bytes) => bytes.len(),
            KeptBody::AtOwner { .. } => return 0,
        };
        let header_bytes: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        body_bytes + header_bytes
    }

    fn without_body(mut self) -> Self {
        if let KeptBody::Here(bytes) = &self.body {
            let length_bytes = bytes.len() as u64;
            self.body = KeptBody::AtOwner { length_bytes };
        }
        self.headers.retain(|header| header.name == "content-type");
        self
    }
}
