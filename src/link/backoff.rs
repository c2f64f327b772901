use std::time::{Duration, Instant};

/// Exponential backoff between attempts to dial a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next_delay: Duration,
    blocked_until: Option<Instant>,
}

impl Backoff {
    /// Delays the next attempt by `initial` after the first failure, and doubles the delay with each
    /// further failure up to `max`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::link::Backoff;
    ///
    /// let (second, start) = (Duration::from_secs(1), Instant::now());
    /// let mut backoff = Backoff::new(second, 8 * second);
    /// assert!(backoff.permits_attempt(start));
    /// backoff.record_failure(start);
    /// assert!(!backoff.permits_attempt(start));
    /// assert!(backoff.permits_attempt(start + second));
    /// ```
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, next_delay: initial, blocked_until: None }
    }

    /// Whether a dial may be attempted at `now`.
    pub fn permits_attempt(&self, now: Instant) -> bool {
        self.blocked_until.is_none_or(|blocked_until| now >= blocked_until)
    }

    /// Records that a dial failed at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.blocked_until = Some(now + self.next_delay);
        self.next_delay = (self.next_delay * 2).min(self.max);
    }

    /// Permits an attempt at once and restarts with the initial delay.
    pub fn reset(&mut self) {
        self.next_delay = self.initial;
        self.blocked_until = None;
    }
}
