use std::time::Duration;

/// The timings and bounds of a [`Raft`](super::Raft).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Least time without a leader before a replica asks for votes; it waits up to twice that.
    pub election: Duration,
    /// By how much the lease of a leader is shorter than `election`, for clocks that drift.
    pub drift: Duration,
    /// Most entries in one message.
    pub batch: usize,
    /// Bytes of commands in one message, unless a single one is larger.
    pub batch_bytes: usize,
    /// Entries kept in memory below a snapshot, for followers that are a little behind.
    pub trailing: usize,
    /// Whether a group may be formed by replicas that are all empty.
    pub bootstrap: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(150),
            election: Duration::from_millis(1000),
            drift: Duration::from_millis(100),
            batch: 1024,
            batch_bytes: 256 * 1024,
            trailing: 256,
            bootstrap: true,
        }
    }
}
