use std::time::{Duration, Instant};

/// Lets ordinary lines pass at a bounded rate, and counts those that it leaves out; lines on what is
/// unusual do not ask it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::event::Sampler;
///
/// let now = Instant::now();
/// let mut sampler = Sampler::new(2, now);
/// assert!(sampler.passes(now) && sampler.passes(now) && !sampler.passes(now));
/// assert!(sampler.passes(now + Duration::from_secs(1)));
/// assert_eq!(sampler.take_left_out(), 1);
/// ```
#[derive(Debug)]
pub struct Sampler {
    rate: u32,
    left: f64,
    at: Instant,
    left_out: u64,
}

impl Sampler {
    /// Lets `rate` lines a second pass, and as many at once.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self { rate, left: f64::from(rate), at: now, left_out: 0 }
    }

    /// Whether a line may be written at `now`.
    pub fn passes(&mut self, now: Instant) -> bool {
        let passed: Duration = now.saturating_duration_since(self.at);
        let rate = f64::from(self.rate);
        self.left = (self.left + passed.as_secs_f64() * rate).min(rate);
        self.at = self.at.max(now);
        if self.left < 1.0 {
            self.left_out += 1;
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// The lines that were left out since this was last asked.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
