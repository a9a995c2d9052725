//! Digests of idempotency keys and requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a digest in bytes: the first half of a SHA-256 hash.
const DIGEST_BYTES: usize = 16;

/// Error for a text that isn't a digest in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("\"{0}\" is not a digest; give 32 hexadecimal digits")]
pub struct ParseDigestError(String);

macro_rules! digest_types {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// Returns the digest of a list of parts.
            ///
            /// The length of each part is hashed too, so that moving a byte from one part to
            /// the next gives another digest.
            #[must_use]
            pub fn of<T: AsRef<[u8]>>(parts: &[T]) -> Self {
                Self(digest(parts))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, formatter)
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseDigestError;

            fn try_from(text: String) -> Result<Self, ParseDigestError> {
                parse_hex(&text).map(Self).ok_or(ParseDigestError(text))
            }
        }
    )+};
}

digest_types! {
    /// Digest of an idempotency key with its team and service.
    KeyDigest,
    /// Digest of a request's method, path and body.
    RequestDigest,
}

fn digest<T: AsRef<[u8]>>(parts: &[T]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    for part in parts {
        let part = part.as_ref();
        hash.update(part.len().to_le_bytes());
        hash.update(part);
    }
    let mut truncated = [0; DIGEST_BYTES];
    truncated.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
    truncated
}

fn parse_hex(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
