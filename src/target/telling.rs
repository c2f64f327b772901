use std::time::{Duration, Instant};

use super::view::SAME_SUMMARY;

/// Decides when a region's summary is told to the other regions: at each interval, at once when it
/// changed, and once more when receivers no longer take it for the one before.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::target::Telling;
///
/// let start = Instant::now();
/// let mut telling = Telling::new(start);
/// let interval = Duration::from_secs(8);
/// assert!(telling.is_due(start, false, interval));
/// let change = start + Duration::from_millis(200);
/// assert!(telling.is_due(change, true, interval));
/// assert!(!telling.is_due(change + Duration::from_millis(200), false, interval));
/// assert!(telling.is_due(change + Duration::from_millis(400), false, interval));
/// ```
#[derive(Debug)]
pub struct Telling {
    next: Instant,
    again: Option<Instant>,
}

impl Telling {
    /// The first summary is due at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next: now, again: None }
    }

    /// Whether the summary is to be told at `now`, where it changed since it was last asked.
    pub fn is_due(&mut self, now: Instant, changed: bool, interval: Duration) -> bool {
        let again = self.again.is_some_and(|again| now >= again);
        let due = changed || again || now >= self.next;
        if changed {
            self.again = Some(now + SAME_SUMMARY + Duration::from_millis(1));
        } else if again {
            self.again = None;
        }
        if due {
            self.next = now + interval;
        }
        due
    }
}
