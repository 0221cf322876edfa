//! Decides how many requests may start at an endpoint that names a rate limit in its answers. Slots bound how many
//! requests run, not how many start: short requests, and those that the endpoint declines, free their slots at once.
//!
//! Each start takes a token from a bucket. In any window of `t` seconds at most `rate * t` requests plus the bucket's
//! size start, and one more for each restart of the guard within the window.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Tokens of a guard that has just learnt the limit, perhaps after a restart: how many its former process had left is
/// unknown.
const INITIAL_TOKENS: f64 = 1.0;
/// Seconds at the limit that the bucket holds beyond one token, so that requests which come together need not wait.
const BURST_SECONDS: f64 = 0.5;
/// The longest delay that is worth telling apart.
const MAX_DELAY: Duration = Duration::from_secs(3_600);
/// At a lower limit, so few requests start that their answers tell too late when the limit ends.
const MIN_OBSERVABLE_RATE: RequestRate = RequestRate(0.2);
/// How often the endpoint's health is checked at such a limit.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Rounding of token counts.
const EPSILON: f64 = 1e-6;

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

impl RequestRate {
    /// Whether it allows no request at all.
    pub fn is_zero(self) -> bool {
        self.0 == 0.0
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

/// What is stated about an endpoint's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum LimitStatement {
    /// Nothing, or nothing that can be parsed.
    #[default]
    Unknown,
    /// The endpoint has no limit.
    None,
    /// The endpoint takes this many requests a second from all proxies together.
    Limit(RequestRate),
}

/// Enforces the rate limit of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimit {
    /// `None` while no limit is in force.
    bucket: Option<TokenBucket>,
    /// When the last answer that named a limit arrived.
    named_at: Option<Instant>,
    /// Whether an answer of the endpoint stated its limit, or that it has none. Reports of other proxies no longer
    /// count then.
    confirmed: bool,
}

impl EndpointLimit {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.bucket.as_ref().map(|it| it.rate)
    }

    /// What the endpoint's answers state, as far as this process has seen any.
    pub fn statement(&self) -> LimitStatement {
        match (self.confirmed, self.rate()) {
            (false, _) => LimitStatement::Unknown,
            (true, None) => LimitStatement::None,
            (true, Some(it)) => LimitStatement::Limit(it),
        }
    }

    /// Records the statement of an answer to a request that was sent at `request_sent`.
    pub fn record_answer(&mut self, statement: LimitStatement, request_sent: Instant, now: Instant) {
        // Answers on different connections may be read in another order than they were written: only an answer to a
        // request that was sent after a limit was named can end or raise it.
        let is_newer = self.named_at.is_none_or(|it| request_sent >= it);
        match statement {
            LimitStatement::Limit(rate) => {
                if is_newer || self.rate().is_none_or(|it| rate < it) {
                    self.set_rate(rate, now);
                }
                self.named_at = Some(now);
                self.confirmed = true;
            }
            LimitStatement::None if is_newer => {
                self.bucket = None;
                self.confirmed = true;
            }
            LimitStatement::None | LimitStatement::Unknown => (),
        }
    }

    /// Records a limit that another proxy has passed on in an answer. It counts until the endpoint has answered this
    /// process.
    pub fn record_report(&mut self, rate: RequestRate, now: Instant) {
        if !self.confirmed && self.rate().is_none_or(|it| rate < it) {
            self.set_rate(rate, now);
        }
    }

    /// Records the statement of the answer to a health check that was sent at `sent`.
    pub fn record_health_check(&mut self, statement: LimitStatement, sent: Instant, now: Instant) {
        match statement {
            LimitStatement::Limit(_) => self.record_answer(statement, sent, now),
            // Health checks may be answered without the limit, so one request finds out.
            LimitStatement::None if self.needs_health_check() => {
                if let Some(it) = &mut self.bucket {
                    it.add((1.0 - it.available(now)).max(0.0), now);
                }
            }
            LimitStatement::None | LimitStatement::Unknown => (),
        }
    }

    /// Whether the limit is so low that only health checks tell in time when it ends.
    pub fn needs_health_check(&self) -> bool {
        self.rate().is_some_and(|it| it < MIN_OBSERVABLE_RATE)
    }

    /// Whether a request may start now.
    pub fn allows(&self, now: Instant) -> bool {
        self.delay(1, now).is_zero()
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(it) = &mut self.bucket {
            it.add(-1.0, now);
        }
    }

    /// Reverts [`record_start`](Self::record_start) for a request that was not sent.
    pub fn undo_start(&mut self, now: Instant) {
        if let Some(it) = &mut self.bucket {
            it.add(1.0, now);
        }
    }

    /// The time until the last of `starts` requests may start.
    pub fn delay(&self, starts: usize, now: Instant) -> Duration {
        self.bucket.as_ref().map_or(Duration::ZERO, |it| it.delay(starts, now))
    }

    fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        let available = self.bucket.as_ref().map_or(INITIAL_TOKENS, |it| it.available(now));
        let tokens = if rate.is_zero() { 0.0 } else { available.min(capacity(rate)) };
        self.bucket = Some(TokenBucket { rate, tokens, updated_at: now });
    }
}

/// The bucket's size at a limit of `rate`; at a limit of zero it holds the token of a request that finds out whether
/// the limit has ended.
fn capacity(rate: RequestRate) -> f64 {
    1.0 + rate.0 * BURST_SECONDS
}

#[derive(Debug, Clone)]
struct TokenBucket {
    rate: RequestRate,
    /// Tokens at `updated_at`, at most `capacity(rate)`.
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    fn available(&self, now: Instant) -> f64 {
        let added = self.rate.0 * now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + added).min(capacity(self.rate))
    }

    fn add(&mut self, tokens: f64, now: Instant) {
        self.tokens = (self.available(now) + tokens).min(capacity(self.rate));
        self.updated_at = self.updated_at.max(now);
    }

    fn delay(&self, starts: usize, now: Instant) -> Duration {
        let missing = starts as f64 - self.available(now);
        if missing <= EPSILON {
            Duration::ZERO
        } else if self.rate.is_zero() {
            HEALTH_CHECK_INTERVAL
        } else {
            Duration::try_from_secs_f64(missing / self.rate.0).map_or(MAX_DELAY, |it| it.min(MAX_DELAY))
        }
    }
}
