//! A budget of requests or changes that refills steadily.

use std::time::Duration;

use tokio::time::Instant;

/// Most seconds of its rate that a bucket can be in debt. What users wait for takes without waiting, and what
/// has to wait then, such as an election, must not wait for all of that.
pub(super) const MAX_DEBT_S: f64 = 1.5;

/// A token bucket that may go into debt, so that what cannot wait is counted all the same.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Most tokens that it holds.
    burst: f64,
    /// Tokens at `refilled_at`; below 0 in debt.
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens, at least one, that gets `rate` tokens a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst: burst.max(1.0), level: burst.max(1.0), refilled_at: now }
    }
    /// Refills at another rate from now on, and holds the tokens of a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(0.1);
        self.burst = self.rate.max(1.0);
    }
    /// Takes tokens, going into debt if need be, and says how long to wait until the debt is paid. A caller
    /// that cannot wait ignores that; those after it wait the longer.
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
