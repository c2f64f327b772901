use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A stand-in of a weight store that serves a few loads in each window and takes its time.
#[derive(Debug)]
pub struct Store {
    loads: usize,
    window: Duration,
    time: Duration,
    recent: Mutex<VecDeque<Instant>>,
}

impl Store {
    /// A store that begins `loads` loads within `window` at most; each takes `time`.
    pub fn new(loads: usize, window: Duration, time: Duration) -> Self {
        Self { loads, window, time, recent: Mutex::default() }
    }

    /// Begins a load at `now`, and gives the time that it takes; nothing beyond the rate.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use pomelogate::standin::Store;
    ///
    /// let store = Store::new(1, Duration::from_secs(1), Duration::ZERO);
    /// let now = Instant::now();
    /// assert!(store.begin(now).is_some());
    /// assert!(store.begin(now).is_none());
    /// ```
    pub fn begin(&self, now: Instant) -> Option<Duration> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|at| now.saturating_duration_since(*at) < self.window);
        if recent.len() >= self.loads {
            return None;
        }
        recent.push_back(now);
        Some(self.time)
    }
}
