use std::time::Duration;

/// The settings of membership.
///
/// ```
/// use pomelogate::member::Settings;
///
/// let settings = Settings { fanout: 3, ..Settings::default() };
/// assert!(settings.suspicion < settings.eviction);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two heartbeats.
    pub interval: Duration,
    /// The VMs of the region that each heartbeat goes to.
    pub fanout: usize,
    /// Heartbeats between two exchanges of summaries between regions.
    pub summary_every: u64,
    /// The VMs of a region that carry its summaries.
    pub relays: usize,
    /// The members of a region that other regions are told of.
    pub summary_members: usize,
    /// The time without a new heartbeat after which a VM of the region is suspect.
    pub suspicion: Duration,
    /// The time without a new heartbeat after which a VM of the region is gone.
    pub eviction: Duration,
    /// How much longer both times are for VMs of other regions.
    pub elsewhere_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            summary_every: 5,
            relays: 2,
            summary_members: 4,
            suspicion: Duration::from_secs(4),
            eviction: Duration::from_secs(20),
            elsewhere_factor: 6,
        }
    }
}
