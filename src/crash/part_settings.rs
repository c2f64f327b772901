use std::time::Duration;

/// Settings of a [`PartTracker`](super::PartTracker).
///
/// ```
/// use pomelogate::crash::PartSettings;
///
/// let settings = PartSettings { max_deaths: 2, ..PartSettings::default() };
/// assert_eq!(settings.max_parts, 512);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSettings {
    /// The number of target deaths at which a part is refused that no request ever finished with.
    pub max_deaths: usize,
    /// The same for a part that requests finished with before the deaths, as only its content at
    /// the targets can have changed.
    pub max_deaths_after_finish: usize,
    /// The time from the record of a part's first death that counts until it may be refused, in
    /// which other VMs report whether requests with it finished.
    pub report_timeout: Duration,
    /// The same for a part that requests finished with before the deaths, which they may again.
    pub finish_timeout: Duration,
    /// How long a death counts, and so how long a part is refused after the last death.
    pub death_retention: Duration,
    /// The most deaths that are kept; the oldest are dropped first.
    pub max_deaths_kept: usize,
    /// The most parts that are kept of one death.
    pub max_parts: usize,
    /// The most parts that are remembered as finished; twice as many are kept for a while.
    pub max_finished: usize,
}

impl Default for PartSettings {
    fn default() -> Self {
        Self {
            max_deaths: 3,
            max_deaths_after_finish: 5,
            report_timeout: Duration::from_millis(500),
            finish_timeout: Duration::from_secs(3),
            death_retention: Duration::from_secs(120),
            max_deaths_kept: 64,
            max_parts: 512,
            max_finished: 8192,
        }
    }
}
