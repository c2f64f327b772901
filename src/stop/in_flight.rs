use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// When the requests in flight on each route began.
///
/// Answers that have ended do not tell that targets have become slow; those that have not ended do.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::stop::InFlight;
///
/// let start = Instant::now();
/// let after = |secs| start + Duration::from_secs(secs);
/// let mut in_flight = InFlight::default();
/// for secs in [0, 2, 3] {
///     in_flight.begin("chat", after(secs));
/// }
/// assert_eq!(in_flight.median_age("chat", after(4)), Some(Duration::from_secs(2)));
/// in_flight.end("chat", after(2));
/// assert_eq!(in_flight.median_age("chat", after(4)), Some(Duration::from_secs(4)));
/// in_flight.end("chat", start);
/// assert_eq!(in_flight.median_age("chat", after(4)), Some(Duration::from_secs(1)));
/// assert_eq!(in_flight.median_age("other", after(4)), None);
/// assert_eq!(in_flight.count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    /// The number of requests by start, by route.
    starts: HashMap<String, BTreeMap<Instant, usize>>,
}

impl InFlight {
    /// Records a request on `route` that began at `start`.
    pub fn begin(&mut self, route: &str, start: Instant) {
        let starts = match self.starts.get_mut(route) {
            Some(starts) => starts,
            None => self.starts.entry(route.to_owned()).or_default(),
        };
        *starts.entry(start).or_default() += 1;
    }

    /// Records the end of a request that began at `start`.
    pub fn end(&mut self, route: &str, start: Instant) {
        let Some(starts) = self.starts.get_mut(route) else { return };
        if let Some(count) = starts.get_mut(&start) {
            *count -= 1;
            if *count == 0 {
                starts.remove(&start);
            }
        }
        if starts.is_empty() {
            self.starts.remove(route);
        }
    }

    /// The number of requests in flight, on all routes.
    pub fn count(&self) -> usize {
        self.starts.values().flat_map(BTreeMap::values).sum()
    }

    /// The age that half of the requests in flight on `route` have reached.
    pub fn median_age(&self, route: &str, now: Instant) -> Option<Duration> {
        let starts = self.starts.get(route)?;
        let half = starts.values().sum::<usize>().div_ceil(2);
        let mut count = 0;
        let median = starts.iter().find(|(_, requests)| {
            count += **requests;
            count >= half
        });
        median.map(|(start, _)| now.saturating_duration_since(*start))
    }
}
