use std::time::{Duration, Instant};

/// Decides when a VM that could not be reached may be dialled again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    wait: Duration,
    until: Option<Instant>,
}

impl Backoff {
    /// Waits `first` after a failure, twice as long after each further one, up to `limit`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::link::Backoff;
    ///
    /// let (second, start) = (Duration::from_secs(1), Instant::now());
    /// let mut backoff = Backoff::new(second, 8 * second);
    /// assert!(backoff.permits(start));
    /// backoff.failed(start);
    /// assert!(!backoff.permits(start));
    /// assert!(backoff.permits(start + second));
    /// ```
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self { first, limit, wait: first, until: None }
    }

    /// Whether a dial may be tried at `now`.
    pub fn permits(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// A dial failed at `now`.
    pub fn failed(&mut self, now: Instant) {
        self.until = Some(now + self.wait);
        self.wait = (self.wait * 2).min(self.limit);
    }

    /// A dial succeeded.
    pub fn succeeded(&mut self) {
        self.wait = self.first;
        self.until = None;
    }
}
