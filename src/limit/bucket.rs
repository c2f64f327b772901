use std::time::{Duration, Instant};

/// A token bucket whose level may fall below zero, when work cost more than was estimated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Instant,
}

impl Bucket {
    /// A full bucket that gains `rate` tokens a second and holds what `burst` brings.
    pub(super) fn new(rate: f64, burst: Duration, now: Instant) -> Self {
        let burst = rate * burst.as_secs_f64();
        Self { rate, burst, level: burst, updated: now }
    }

    /// Sets another rate; what was saved up or owed stays.
    pub(super) fn set_rate(&mut self, rate: f64, burst: Duration, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate * burst.as_secs_f64();
        self.level = self.level.min(self.burst);
    }

    /// How long until `tokens` may be taken; none where they never may.
    ///
    /// Work that is larger than the bucket waits for a full bucket and leaves a debt.
    pub(super) fn delay(&mut self, tokens: u32, now: Instant) -> Option<Duration> {
        self.refill(now);
        if self.rate <= 0.0 {
            return None;
        }
        let missing = f64::from(tokens).min(self.burst) - self.level;
        // A remainder below a thousandth of a token is a rounding error, not a shortage.
        let missing = if missing < 1e-3 { 0.0 } else { missing };
        Some(Duration::from_secs_f64(missing / self.rate))
    }

    pub(super) fn take(&mut self, tokens: u32, now: Instant) {
        self.refill(now);
        self.level -= f64::from(tokens);
    }

    /// Corrects an estimate by what was really used.
    pub(super) fn correct(&mut self, estimate: u32, used: u32, now: Instant) {
        self.refill(now);
        self.level = (self.level + f64::from(estimate) - f64::from(used)).min(self.burst);
    }

    pub(super) fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.level >= self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.burst);
        self.updated = self.updated.max(now);
    }
}
