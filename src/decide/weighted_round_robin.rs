//! The shares of a route's services, kept exactly over any run of its requests.

use rand::{Rng, RngExt as _};

/// Deals a route's requests to its services in proportion to their weights.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedRoundRobin {
    /// Relative to each other; the sum is above zero unless all are zero.
    weights: Vec<f64>,
    /// What each service is owed, in requests; the sum stays what it was.
    owed: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Begins at a random point of the round, so that proxies don't all begin with the same service.
    pub fn new(weights: Vec<f64>, rng: &mut impl Rng) -> Self {
        let owed = weights.iter().map(|_| rng.random_range(0.0..1.0)).collect();
        Self { weights, owed }
    }

    /// The weights dealt by.
    pub fn weights(&self) -> &[f64] {
        &self.weights
    }

    /// The service of the next request, by place in the list; the first if all weights are zero.
    pub fn pick(&mut self) -> usize {
        let sum: f64 = self.weights.iter().sum();
        if sum <= 0.0 {
            return 0;
        }
        for (owed, weight) in self.owed.iter_mut().zip(&self.weights) {
            *owed += weight / sum;
        }
        let entitled = (0..self.owed.len()).filter(|it| self.weights[*it] > 0.0);
        let next = entitled.max_by(|a, b| self.owed[*a].total_cmp(&self.owed[*b])).unwrap_or(0);
        self.owed[next] -= 1.0;
        next
    }
}
