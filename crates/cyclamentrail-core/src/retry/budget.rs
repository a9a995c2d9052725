//! Budget of retries.

/// Maximum balance, in retries.
const MAX_BALANCE: f64 = 50.0;

/// Budget to which each request adds a fraction of a retry, and from which each retry takes one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries added with each request.
    ratio: f64,
    /// Retries that may be withdrawn.
    balance: f64,
}

impl RetryBudget {
    /// Creates an empty budget to which each request adds `ratio` retries.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            balance: 0.0,
        }
    }

    /// Sets the retries that each request adds from now on.
    pub const fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the fraction of one request, up to the maximum balance.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance, if it holds one; returns whether it did.
    pub fn try_withdraw(&mut self) -> bool {
        // The tolerance covers rounding, so that ten requests at a ratio of 0.1 add up to a retry.
        let has_retry = self.balance >= 1.0 - f64::EPSILON * MAX_BALANCE;
        if has_retry {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        has_retry
    }
}
