//! The budget of further tries.

/// Balance that is kept at most, in tries.
const MAX_BALANCE: f64 = 50.0;

/// Earns a share of a try with each request and spends one with each further try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates an empty budget that earns `ratio` tries with each request.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            balance: 0.0,
        }
    }

    /// Sets what is earned with each request from now on.
    pub const fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Earns the share of one request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Spends one try; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.balance >= 1.0 - f64::EPSILON * MAX_BALANCE;
        if affordable {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        affordable
    }
}
