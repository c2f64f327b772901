use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::id;

/// The longest time that a caller is told to wait.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Spreads the return of refused callers over the rate at which they can be served.
///
/// Callers return to any VM, so each VM takes the same part of the rate.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::throttle::Returns;
///
/// let (mut returns, now) = (Returns::default(), Instant::now());
/// let delays = [(); 3].map(|()| returns.next_delay(&"jobs".into(), 2.0, now).as_millis());
/// assert_eq!(delays, [500, 1000, 1500]);
/// ```
#[derive(Debug, Default)]
pub struct Returns {
    last_returns: HashMap<id::Service, Instant>,
}

impl Returns {
    /// The time after which the next refused caller of `service` may return; `per_sec` is the rate
    /// at which callers that this VM refused can be served.
    pub fn next_delay(&mut self, service: &id::Service, per_sec: f64, now: Instant) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / per_sec).unwrap_or(MAX_DELAY);
        self.last_returns.retain(|_, last_return| *last_return > now);
        let last_return = self.last_returns.get(service).copied().unwrap_or(now);
        let delay = last_return.saturating_duration_since(now) + interval;
        let delay = delay.min(MAX_DELAY);
        self.last_returns.insert(service.clone(), now + delay);
        delay
    }
}
