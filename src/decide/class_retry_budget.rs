//! Retries as a share of a class's traffic, so that a stall of all endpoints starts no storm.

/// What each first attempt adds, in retries.
const SHARE: f64 = 0.1;
/// How many retries may be saved up.
const LIMIT: f64 = 10.0;

/// The retry budget of one class at one ingress.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRetryBudget {
    /// In retries; from zero to `LIMIT`.
    saved: f64,
}

impl Default for ClassRetryBudget {
    fn default() -> Self {
        Self { saved: LIMIT }
    }
}

impl ClassRetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + SHARE).min(LIMIT);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
