use std::time::{Duration, Instant};

/// The number of ranges into which the numbers of requests up to the slots of a target are divided.
const RANGES_PER_SLOTS: u32 = 16;
/// Samples lose their weight with this time constant, so that the estimate follows changes.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// The weight of samples from which on the mean of a range is used.
const MIN_WEIGHT: f64 = 8.0;
/// A larger number of requests is borne if throughput grows by at least this part of the growth in
/// requests. An engine whose steps take twice as long when full as when almost idle, which is usual,
/// still gains half.
const MIN_THROUGHPUT_GAIN: f64 = 0.15;
/// Numbers of requests are compared only where they differ by this factor, as noise decides between
/// close ones. With 1.25, limits at half of the slots were not found under load.
const MIN_GROWTH: f64 = 1.1;
/// A sample has its full weight if the one before it in its range is as old as this. All streams of
/// a target are delayed by the same step, so that samples at about the same time are one.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The quantile of the times in a range that counts. It is low because reading a prompt, which has
/// little to do with the number of requests, delays a part of the events.
const QUANTILE: f64 = 0.25;
/// The least step of the estimate of the quantile.
const MIN_QUANTILE_STEP: f64 = 0.03;
/// The interval at which the estimate is computed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// A limit that no recent sample confirms is raised by one range after this time, to learn whether
/// the target bears more by now.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// An estimate of the number of requests in flight up to which a target becomes no slower than its
/// batch explains.
///
/// Its inputs are times that the target took for a fixed amount of work, such as the pause between
/// two events, each with the number of requests in flight. Throughput is the number of requests
/// divided by that time. Above the limit, throughput grows hardly or not at all.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::gateway::CapacityEstimate;
///
/// let mut estimate = CapacityEstimate::default();
/// let mut now = Instant::now();
/// for round in 0..400 {
///     let requests = 1 + round % 32;
///     // Work takes in proportion to the requests above 16, so that more than 16 gain nothing.
///     let secs = 0.03 * f64::from(requests.max(16)) / 16.0;
///     estimate.record(requests, secs, 32, now);
///     now += Duration::from_millis(10);
/// }
/// assert!((15..=18).contains(&estimate.limit().unwrap()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimate {
    slots: u32,
    ranges: Vec<Range>,
    limit: Option<u32>,
    updated_at: Option<Instant>,
    /// When the limit was last confirmed by samples above it, or raised.
    limit_set_at: Option<Instant>,
}

/// The samples at similar numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Range {
    weight: f64,
    /// The estimated quantile of the times.
    quantile_secs: f64,
    mean_requests: f64,
    sampled_at: Option<Instant>,
}

impl Range {
    fn record(&mut self, requests: u32, secs: f64, now: Instant) {
        let since = self.sampled_at.map(|at| now.saturating_duration_since(at));
        let sample_weight = since.map_or(1.0, |it| it.div_duration_f64(SAMPLE_INTERVAL).min(1.0));
        self.weight = self.weight_at(now) + sample_weight;
        self.sampled_at = Some(now);
        if since.is_none() {
            (self.quantile_secs, self.mean_requests) = (secs, f64::from(requests));
            return;
        }
        let part = sample_weight / self.weight;
        self.mean_requests += (f64::from(requests) - self.mean_requests) * part;
        let step = (0.5 / self.weight).max(MIN_QUANTILE_STEP) * sample_weight;
        let direction = if secs < self.quantile_secs { QUANTILE - 1.0 } else { QUANTILE };
        self.quantile_secs *= 1.0 + step * direction;
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = self.sampled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.weight * (-age.as_secs_f64() / SAMPLE_LIFETIME.as_secs_f64()).exp()
    }
}

impl CapacityEstimate {
    /// Records that work took `secs` with `requests` in flight at a target with `slots`.
    pub fn record(&mut self, requests: u32, secs: f64, slots: u32, now: Instant) {
        if requests == 0 || slots == 0 || secs <= 0.0 {
            return;
        }
        if self.slots != slots {
            let ranges = vec![Range::default(); 2 * RANGES_PER_SLOTS as usize];
            *self = Self { slots, ranges, ..Self::default() };
        }
        let index = usize::try_from((requests - 1) / self.range_width()).unwrap_or(usize::MAX);
        let index = index.min(self.ranges.len() - 1);
        self.ranges[index].record(requests, secs, now);
        let since_update = self.updated_at.map(|at| now.saturating_duration_since(at));
        if since_update.is_none_or(|since| since >= UPDATE_INTERVAL) {
            self.updated_at = Some(now);
            self.update(now);
        }
    }

    /// The number of requests that the target bears; `None` if it bears all that were tried.
    pub fn limit(&self) -> Option<u32> {
        self.limit
    }

    fn update(&mut self, now: Instant) {
        if let Some(knee) = self.knee(now) {
            self.limit = Some(knee.max(1));
            self.limit_set_at = Some(now);
            return;
        }
        let (Some(limit), Some(set_at)) = (self.limit, self.limit_set_at) else { return };
        if now.saturating_duration_since(set_at) >= PROBE_INTERVAL {
            let raised = limit + self.range_width();
            self.limit = (raised < self.slots).then_some(raised);
            self.limit_set_at = Some(now);
        }
    }

    /// The number of requests above which throughput does not grow, if there are samples of more.
    fn knee(&self, now: Instant) -> Option<u32> {
        let mut best: Option<(f64, f64)> = None;
        let mut has_samples_above = false;
        for range in self.ranges.iter().filter(|range| range.weight_at(now) >= MIN_WEIGHT) {
            let throughput = range.mean_requests / range.quantile_secs;
            let grows = best.is_none_or(|(requests, least)| {
                let growth = range.mean_requests / requests - 1.0;
                throughput >= least * (1.0 + MIN_THROUGHPUT_GAIN * growth)
            });
            if grows {
                best = Some((range.mean_requests, throughput));
                has_samples_above = false;
            } else if best.is_some_and(|(it, _)| range.mean_requests >= it * MIN_GROWTH) {
                has_samples_above = true;
            }
        }
        best.filter(|_| has_samples_above).map(|(requests, _)| requests.round() as u32)
    }

    fn range_width(&self) -> u32 {
        (self.slots / RANGES_PER_SLOTS).max(1)
    }
}
