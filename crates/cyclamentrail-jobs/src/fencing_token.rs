//! Fencing tokens of the calls to workers.

use serde::{Deserialize, Serialize};

/// Number of bits for the number of an incarnation, below those for its owner.
const INCARNATION_BITS: u32 = 20;

/// Fencing token of the calls to one incarnation of a worker; the incarnation rejects lower ones.
///
/// It rises with each incarnation that an owner deals with, whatever the id of its worker: an
/// incarnation that has seen its token rejects the calls that were sent to an earlier one. All tokens of
/// an owner are above those of the owners before it.
///
/// ```
/// use cyclamentrail_jobs::FencingToken;
///
/// let owner = FencingToken::of_owner(7);
/// assert!(owner < owner.next());
/// assert!(owner.next().next() < FencingToken::of_owner(8));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Returns the lowest token of the owner whose claim has the number `claim`.
    #[must_use]
    pub const fn of_owner(claim: u64) -> Self {
        Self(claim << INCARNATION_BITS)
    }

    /// Returns the token of the next incarnation; the same one after the last of the owner.
    #[must_use]
    pub const fn next(self) -> Self {
        let next = self.0 + 1;
        if next >> INCARNATION_BITS == self.0 >> INCARNATION_BITS {
            Self(next)
        } else {
            self
        }
    }

    /// Returns the token as calls carry it.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}
