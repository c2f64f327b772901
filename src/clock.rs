//! The clock interface, which lets tests and simulations control the time.

pub mod millis;
pub mod seconds;

use std::{
    fmt::Debug,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use futures_util::future::{Either, select};
use smol::Timer;

/// A source of time.
pub trait Clock: Debug + Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Instant;

    /// The wall time, for display and for retention on disk. It may jump, so it must not be used for
    /// ordering.
    fn wall(&self) -> SystemTime;

    /// The time since the machine started. Unlike [`Clock::now`] it counts suspensions of the machine, and
    /// unlike the wall time it does not jump, so it is the clock for rights that expire.
    fn since_boot(&self) -> Duration;
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

    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }
}

/// Waits for `work`; `None` if it does not complete within `timeout`.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::clock::within;
///
/// let done = smol::block_on(within(Duration::from_secs(1), async { 7 }));
/// assert_eq!(done, Some(7));
/// ```
pub async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    match select(pin!(work), Timer::after(timeout)).await {
        Either::Left((done, _)) => Some(done),
        Either::Right(_) => None,
    }
}

/// A clock that moves only when [`Manual::advance`] is called.
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
    suspended: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    /// Suspends the machine for `time`, which the monotonic clock does not count.
    pub fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }

    fn suspended(&self) -> Duration {
        *self.suspended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self {
            start: (Instant::now(), SystemTime::UNIX_EPOCH),
            elapsed: Arc::default(),
            suspended: Arc::default(),
        }
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start.0 + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start.1 + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed() + self.suspended()
    }
}
