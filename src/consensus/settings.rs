use std::time::Duration;

/// The timeouts and limits of a [`Raft`](super::Raft).
#[derive(Clone, Debug)]
pub struct Settings {
    /// The time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// How long a replica hears no leader before it requests votes. Random jitter of up to the same
    /// duration is added.
    pub election_timeout: Duration,
    /// How much shorter a leader's lease is than `election_timeout`, to allow for clock drift.
    pub clock_drift_margin: Duration,
    /// The most entries in one message.
    pub max_batch_entries: usize,
    /// The most payload bytes in one message, unless its first entry alone is larger.
    pub max_batch_bytes: usize,
    /// How many entries that a snapshot covers stay in memory, for followers that are slightly
    /// behind.
    pub trailing_entries: usize,
    /// Whether the initial voters may form a group if all of them are empty.
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
