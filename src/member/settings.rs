use std::time::Duration;

/// Settings of membership.
///
/// ```
/// use pomelogate::member::Settings;
///
/// let settings = Settings { fanout: 3, ..Settings::default() };
/// assert!(settings.suspect_timeout < settings.gone_timeout);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// The number of VMs of the region to which each heartbeat is sent.
    pub fanout: usize,
    /// Relays send summaries to other regions once per this many heartbeats.
    pub heartbeats_per_summary: u64,
    /// The number of VMs of a region that send its summaries.
    pub relays_per_region: usize,
    /// The limit of members of one region in a report to other regions.
    pub members_per_summary: usize,
    /// The time without a new heartbeat after which a VM of the region is suspect.
    pub suspect_timeout: Duration,
    /// The time without a new heartbeat after which a VM of the region is gone.
    pub gone_timeout: Duration,
    /// The factor by which both timeouts are longer for VMs of other regions.
    pub other_region_timeout_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            fanout: 2,
            heartbeats_per_summary: 5,
            relays_per_region: 2,
            members_per_summary: 4,
            suspect_timeout: Duration::from_secs(4),
            gone_timeout: Duration::from_secs(20),
            other_region_timeout_factor: 6,
        }
    }
}
