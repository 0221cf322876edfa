//! Limits the retries of a class to a share of its first attempts, which prevents a retry storm when all
//! endpoints stall.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Retries that the budget holds at most.
const CAPACITY: f64 = 10.0;

/// The retry budget of one class at one ingress.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRetryBudget {
    /// Retries available, from zero to [`CAPACITY`].
    balance: f64,
}

impl Default for ClassRetryBudget {
    fn default() -> Self {
        Self { balance: CAPACITY }
    }
}

impl ClassRetryBudget {
    /// Adds the share that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(CAPACITY);
    }

    /// Spends one retry. Returns false, and spends nothing, if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}
