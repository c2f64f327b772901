use std::time::{Duration, Instant};

/// A token bucket. Its level falls below zero when requests use more tokens than the bucket holds
/// or than was estimated.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens_per_sec: f64,
    capacity_tokens: f64,
    level_tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket whose capacity is the refill of the time `burst`.
    pub(super) fn new(tokens_per_sec: f64, burst: Duration, now: Instant) -> Self {
        let capacity_tokens = tokens_per_sec * burst.as_secs_f64();
        Self { tokens_per_sec, capacity_tokens, level_tokens: capacity_tokens, refilled_at: now }
    }

    /// Changes the rate and the capacity; the level stays unless it exceeds the new capacity.
    pub(super) fn set_rate(&mut self, tokens_per_sec: f64, burst: Duration, now: Instant) {
        self.refill(now);
        self.tokens_per_sec = tokens_per_sec;
        self.capacity_tokens = tokens_per_sec * burst.as_secs_f64();
        self.level_tokens = self.level_tokens.min(self.capacity_tokens);
    }

    /// The time until `tokens` may be taken; `None` if the bucket never refills.
    ///
    /// A request for more tokens than the capacity waits until the bucket is full, then takes the
    /// level below zero.
    pub(super) fn delay(&mut self, tokens: u32, now: Instant) -> Option<Duration> {
        self.refill(now);
        if self.tokens_per_sec <= 0.0 {
            return None;
        }
        let missing_tokens = f64::from(tokens).min(self.capacity_tokens) - self.level_tokens;
        // Less than a thousandth of a token is a rounding error.
        let missing_tokens = if missing_tokens < 1e-3 { 0.0 } else { missing_tokens };
        Some(Duration::from_secs_f64(missing_tokens / self.tokens_per_sec))
    }

    pub(super) fn take(&mut self, tokens: u32, now: Instant) {
        self.refill(now);
        self.level_tokens -= f64::from(tokens);
    }

    /// Replaces the tokens taken by an estimate with the tokens that were really used.
    pub(super) fn correct_estimate(&mut self, estimated: u32, used: u32, now: Instant) {
        self.refill(now);
        self.level_tokens =
            (self.level_tokens + f64::from(estimated) - f64::from(used)).min(self.capacity_tokens);
    }

    pub(super) fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.level_tokens >= self.capacity_tokens
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level_tokens = (self.level_tokens + self.tokens_per_sec * elapsed.as_secs_f64())
            .min(self.capacity_tokens);
        self.refilled_at = self.refilled_at.max(now);
    }
}
