//! Splits a route's requests among its services by weight. Unlike a random choice, it keeps the split exact to within
//! one request over any sequence of requests.

use rand::{Rng, RngExt as _};

/// Smooth weighted round robin over the services of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedRoundRobin {
    /// Relative weights, zero or above.
    weights: Vec<f64>,
    /// Requests that each service is owed; their sum is constant.
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Starts with random credits, so that proxies don't all pick the same service first.
    pub fn new(weights: Vec<f64>, rng: &mut impl Rng) -> Self {
        let credits = weights.iter().map(|_| rng.random_range(0.0..1.0)).collect();
        Self { weights, credits }
    }

    /// The weights given to [`new`](Self::new), in the order of the services.
    pub fn weights(&self) -> &[f64] {
        &self.weights
    }

    /// The index of the service for the next request; 0 if all weights are zero.
    pub fn pick(&mut self) -> usize {
        let sum: f64 = self.weights.iter().sum();
        if sum <= 0.0 {
            return 0;
        }
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight / sum;
        }
        let weighted = (0..self.credits.len()).filter(|it| self.weights[*it] > 0.0);
        let next = weighted.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b])).unwrap_or(0);
        self.credits[next] -= 1.0;
        next
    }
}
