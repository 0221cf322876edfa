//! The rate limit that an endpoint names in its answers.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// A number of requests a second, finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// A rate is never NaN, so it equals itself.
impl Eq for RequestRate {}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    /// # Errors
    ///
    /// Fails if `per_second` is negative, infinite or NaN.
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err("a rate is a finite number of requests a second, 0 or more")
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl RequestRate {
    /// Whether it allows no request at all.
    pub fn is_zero(self) -> bool {
        self.0 == 0.0
    }
}

/// What an answer states about its endpoint's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStatement {
    /// The endpoint takes this many requests a second from all proxies together.
    Limit(RequestRate),
    /// The endpoint has no limit.
    None,
    /// The limit can't be parsed; the answer states nothing.
    Malformed,
}

/// The limit of one endpoint, as stated in its answers.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimit {
    rate: Option<RequestRate>,
    /// When the last answer that named a limit arrived.
    named_at: Option<Instant>,
}

impl EndpointLimit {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records the statement of an answer to a request that was sent at `request_sent`.
    pub fn record_answer(&mut self, statement: LimitStatement, request_sent: Instant, now: Instant) {
        // Answers on different connections may be read in another order than they were written.
        let is_newer = self.named_at.is_none_or(|it| request_sent >= it);
        match statement {
            LimitStatement::Limit(rate) => {
                if is_newer || self.rate.is_none_or(|it| rate < it) {
                    self.rate = Some(rate);
                }
                self.named_at = Some(now);
            }
            LimitStatement::None if is_newer => self.rate = None,
            LimitStatement::None | LimitStatement::Malformed => (),
        }
    }
}
