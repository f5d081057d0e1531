//! Token bucket for the rate limits of requests and changes.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum debt of a bucket, in seconds of its rate. Requests that users wait for are charged
/// without waiting; the limit bounds the wait of the requests after them, such as an election.
pub(super) const MAX_DEBT_S: f64 = 1.5;

/// Token bucket that may go into debt, so that requests that cannot wait are charged as well.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Number of tokens at `refilled_at`; negative while in debt.
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens, at least one, that is refilled with `rate` tokens
    /// per second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst: burst.max(1.0), level: burst.max(1.0), refilled_at: now }
    }

    /// Sets the refill rate, and the capacity to the tokens of one second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(0.1);
        self.burst = self.rate.max(1.0);
    }

    /// Takes tokens, going into debt if necessary, and returns the time until the debt is paid. A
    /// caller that cannot wait ignores this time; later callers wait longer instead.
    pub fn take(&mut self, tokens: f64, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
        self.level = (self.level - tokens).max(-self.rate * MAX_DEBT_S);
        if self.level >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.level / self.rate)
        }
    }
}
