use std::time::Duration;

/// Settings of the links between VMs.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::link::Settings;
///
/// let settings = Settings { connect_timeout: Duration::from_millis(500), ..Settings::default() };
/// assert!(settings.max_frame_bytes > 1024);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for opening a connection, including the hello of the other VM.
    pub connect_timeout: Duration,
    /// The size of the largest frame.
    pub max_frame_bytes: usize,
    /// Capacity of each of the two send queues of a connection.
    pub max_queued_frames: usize,
    /// An end with open exchanges sends a heartbeat after this time without sending.
    pub heartbeat_interval: Duration,
    /// An end with open exchanges drops the connection after this time without receiving. An idle
    /// connection that received nothing for this time is probed before an exchange is opened.
    pub silence_timeout: Duration,
    /// Like `heartbeat_interval`, while no exchange is open.
    pub idle_heartbeat_interval: Duration,
    /// The connection is dropped after this time without receiving while no exchange is open.
    pub idle_silence_timeout: Duration,
    /// The dialer closes a connection that carried only heartbeats for this time.
    pub idle_close_timeout: Duration,
    /// Timeout for the answer to a probe.
    pub probe_timeout: Duration,
    /// The delay before dialling again after the first failure.
    pub initial_backoff: Duration,
    /// The longest delay before dialling again.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            max_frame_bytes: 16 * 1024 * 1024,
            max_queued_frames: 256,
            heartbeat_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(3),
            idle_heartbeat_interval: Duration::from_secs(5),
            idle_silence_timeout: Duration::from_secs(15),
            idle_close_timeout: Duration::from_secs(60),
            probe_timeout: Duration::from_millis(600),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}
