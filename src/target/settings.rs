use std::time::Duration;

/// The settings of a view of targets.
///
/// ```
/// use pomelogate::target::Settings;
///
/// let settings = Settings { offers: 8, ..Settings::default() };
/// assert!(settings.lease < settings.memory);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an announcement holds, counted from when a VM took it from the target.
    pub lease: Duration,
    /// How long a target that leaves is remembered, so that a late renewal does not revive it.
    pub memory: Duration,
    /// How long another region's summary holds.
    pub summary: Duration,
    /// The offers that a target may make.
    pub offers: usize,
    /// The adapters that an offer may name.
    pub adapters: usize,
    /// The longest name, in bytes.
    pub name: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            memory: Duration::from_secs(600),
            summary: Duration::from_secs(30),
            offers: 64,
            adapters: 256,
            name: 128,
        }
    }
}
