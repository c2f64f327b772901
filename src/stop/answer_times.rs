use std::time::{Duration, Instant};

/// The time after which an answer counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Weight below which answers are forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// Buckets for each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// The first bucket holds 1 ms and less, the last one about 17 minutes and more.
const BUCKET_COUNT: usize = 81;

/// How long answers took lately: a histogram whose entries decay.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::stop::AnswerTimes;
///
/// let now = Instant::now();
/// let mut times = AnswerTimes::default();
/// assert_eq!(times.quantile(0.9, now), None);
/// for _ in 0..20 {
///     times.record(Duration::from_secs(1), now);
/// }
/// times.record(Duration::from_secs(6), now);
/// assert!(times.quantile(0.9, now).unwrap() < Duration::from_millis(1200));
/// assert!(times.quantile(1.0, now).unwrap() >= Duration::from_secs(6));
/// assert_eq!(times.quantile(0.9, now + Duration::from_secs(3600)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// The decayed number of answers in each bucket, at `updated_at`.
    weights: Vec<f64>,
    updated_at: Option<Instant>,
}

impl AnswerTimes {
    /// Records an answer that ended at `now`.
    pub fn record(&mut self, time: Duration, now: Instant) {
        let decay = self.decay(now);
        self.weights.resize(BUCKET_COUNT, 0.0);
        for weight in &mut self.weights {
            *weight *= decay;
        }
        self.weights[bucket(time)] += 1.0;
        self.updated_at = Some(now);
    }

    /// The time within which this share of the recent answers came, rounded up by at most a fifth;
    /// `None` without recent answers.
    pub fn quantile(&self, share: f64, now: Instant) -> Option<Duration> {
        let decay = self.decay(now);
        let weights = self.weights.iter().map(|weight| weight * decay).enumerate();
        let recent: Vec<(usize, f64)> =
            weights.filter(|(_, weight)| *weight >= MIN_WEIGHT).collect();
        let total: f64 = recent.iter().map(|(_, weight)| weight).sum();
        let mut sum = 0.0;
        let reaches_share = |(_, weight): &&(usize, f64)| {
            sum += weight;
            sum >= share * total
        };
        // Rounding may keep the sum of all weights below the total.
        let (bucket, _) = recent.iter().find(reaches_share).or(recent.last())?;
        Some(upper_bound(*bucket))
    }

    /// What is left at `now` of a weight of 1.
    fn decay(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(updated_at);
        0.5_f64.powf(age.div_duration_f64(HALF_LIFE))
    }
}

fn bucket(time: Duration) -> usize {
    let doublings = (time.as_secs_f64() * 1000.0).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64((bucket as f64 / BUCKETS_PER_DOUBLING).exp2() / 1000.0)
}
