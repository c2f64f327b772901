use std::time::Duration;

/// The timings and bounds of a [`Raft`](super::Raft).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Least time without a leader before a replica asks for votes; it waits up to twice that.
    pub election_timeout: Duration,
    /// By how much the lease of a leader is shorter than `election_timeout`, for clocks that drift.
    pub clock_drift_margin: Duration,
    /// Most entries in one message.
    pub max_batch_entries: usize,
    /// Bytes of commands in one message, unless a single one is larger.
    pub max_batch_bytes: usize,
    /// Entries kept in memory below a snapshot, for followers that are a little behind.
    pub trailing_entries: usize,
    /// Whether a group may be formed by replicas that are all empty.
    pub bootstrap: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout: Duration::from_millis(1000),
            clock_drift_margin: Duration::from_millis(100),
            max_batch_entries: 1024,
            max_batch_bytes: 256 * 1024,
            trailing_entries: 256,
            bootstrap: true,
        }
    }
}
