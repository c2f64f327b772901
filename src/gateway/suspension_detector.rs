use std::time::{Duration, Instant};

/// Without news for this long after a suspension, a VM goes on with what it knew before: no replica
/// may be reachable.
const MAX_DOUBT: Duration = Duration::from_secs(1);

/// Finds out from a clock that is read at regular intervals whether the process was suspended, so that
/// what it knows may be outdated.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::gateway::SuspensionDetector;
///
/// let (start, second) = (Instant::now(), Duration::from_secs(1));
/// let mut detector = SuspensionDetector::new(start);
/// assert_eq!(detector.observe(start + second, second), None);
/// let resumed_at = start + second * 5;
/// assert_eq!(detector.observe(resumed_at, second), Some(second * 4));
/// assert!(detector.is_in_doubt(resumed_at));
/// detector.record_news(resumed_at);
/// assert!(!detector.is_in_doubt(resumed_at));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    observed_at: Instant,
    /// When the process went on, if it has had no news since.
    resumed_at: Option<Instant>,
}

impl SuspensionDetector {
    /// A detector for a process that runs.
    pub fn new(now: Instant) -> Self {
        Self { observed_at: now, resumed_at: None }
    }

    /// Records that the process runs. Returns for how long it did not, if that is longer than `max_gap`.
    pub fn observe(&mut self, now: Instant, max_gap: Duration) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.observed_at);
        self.observed_at = now;
        if gap <= max_gap {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap)
    }

    /// Whether what the process knows may be from before a suspension.
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        self.resumed_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_DOUBT)
    }

    /// Records news that were asked for at `asked_at`.
    pub fn record_news(&mut self, asked_at: Instant) {
        self.resumed_at = self.resumed_at.filter(|resumed_at| asked_at < *resumed_at);
    }
}
