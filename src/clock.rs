//! The clock, passed in as an interface so that decisions can be driven by a bench.

pub mod millis;

use std::{
    fmt::Debug,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// A source of time.
pub trait Clock: Debug + Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Instant;

    /// The wall time, for people and for retention on disk; never for ordering.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::clock::{Clock, Manual};
///
/// let clock = Manual::default();
/// let before = clock.now();
/// clock.advance(Duration::from_secs(3));
/// assert_eq!(clock.now() - before, Duration::from_secs(3));
/// ```
#[derive(Clone, Debug)]
pub struct Manual {
    start: (Instant, SystemTime),
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self { start: (Instant::now(), SystemTime::UNIX_EPOCH), elapsed: Arc::default() }
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start.0 + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start.1 + self.elapsed()
    }
}
