use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Limit, Tracker};
use crate::id;

/// The longest time that a caller is told to wait.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Callers come back from this part of the spread on, when the first VMs have.
const EARLIEST_TURN: f64 = 0.25;
/// Successive multiples of the golden ratio spread evenly over the unit interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

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
    /// The number of callers that were told to come back after a pause.
    after_pauses: u32,
}

impl Returns {
    /// The time after which the next refused caller of `service` may return, by the pauses that all of
    /// `targets` asked for, or else by the limits that some of them name; `None` if there are neither.
    /// Each target comes with its incarnation; `vm_count` VMs refuse callers.
    pub fn next_return<'a>(
        &mut self,
        tracker: &Tracker,
        service: &id::Service,
        targets: impl Iterator<Item = (&'a id::Target, u64)>,
        vm_count: u32,
        now: Instant,
    ) -> Option<Duration> {
        let targets: Vec<_> = targets.collect();
        let rest = |(target, incarnation): &(&id::Target, u64)| {
            tracker.pause_rest(target, *incarnation, now)
        };
        if let Some(first) = targets.iter().map(rest).min().flatten() {
            self.after_pauses = self.after_pauses.wrapping_add(1);
            let turn = (f64::from(self.after_pauses) * GOLDEN_RATIO).fract();
            return Some(first.left + first.spread.mul_f64(EARLIEST_TURN + turn));
        }
        let limit =
            |(target, incarnation): &(&id::Target, u64)| tracker.limit(target, *incarnation);
        let per_sec: f64 = targets.iter().filter_map(limit).map(Limit::per_sec).sum();
        (per_sec > 0.0).then(|| self.next_delay(service, per_sec / f64::from(vm_count.max(1)), now))
    }

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
