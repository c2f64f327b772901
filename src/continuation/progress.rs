use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Longest horizon for which a replica remembers its progress. Nothing is proven beyond it.
pub const MAX_HORIZON: Duration = Duration::from_secs(3600);

/// Shortest time between two samples that are kept.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// When this replica had applied which index of the log, by its own clock since its start.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    samples: VecDeque<(Instant, u64)>,
}

impl Progress {
    /// Creates the progress of a replica that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the replica has applied the log up to `applied_index`; to be called at least
    /// once a second.
    pub fn record(&mut self, applied_index: u64, now: Instant) {
        if let Some((last, _)) = self.samples.back()
            && now < *last + SAMPLE_INTERVAL
        {
            return;
        }
        self.samples.push_back((now, applied_index));
        // One sample older than the horizon stays, so that the whole horizon is covered.
        while let Some((second, _)) = self.samples.get(1)
            && now.saturating_duration_since(*second) >= MAX_HORIZON
        {
            self.samples.pop_front();
        }
    }

    /// An index that the replica had applied at `at`; `None` if it had not started or no longer
    /// remembers.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::continuation::Progress;
    ///
    /// let start = Instant::now();
    /// let mut progress = Progress::new();
    /// progress.record(5, start);
    /// progress.record(9, start + Duration::from_secs(2));
    /// assert_eq!(progress.index_at_or_before(start + Duration::from_secs(1)), Some(5));
    /// assert_eq!(progress.index_at_or_before(start + Duration::from_secs(2)), Some(9));
    /// assert_eq!(Progress::new().index_at_or_before(start), None);
    /// ```
    pub fn index_at_or_before(&self, at: Instant) -> Option<u64> {
        let later = self.samples.partition_point(|(sampled_at, _)| *sampled_at <= at);
        let sample = later.checked_sub(1).and_then(|sample| self.samples.get(sample));
        sample.map(|(_, index)| *index)
    }
}
