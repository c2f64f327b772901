use std::time::Duration;

/// The settings of links.
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
    /// How long opening a connection may take, the other VM's hello included.
    pub connect_timeout: Duration,
    /// The largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// The frames that may wait to be written on one connection, in each of its two queues.
    pub max_queued_frames: usize,
    /// The longest time without writing while exchanges are open: a heartbeat is written then.
    pub heartbeat_interval: Duration,
    /// The longest time without hearing while exchanges are open: the connection is dropped then.
    /// A connection that has been quiet for as long is tried before an exchange opens on it.
    pub silence_timeout: Duration,
    /// The longest time without writing while no exchange is open.
    pub idle_heartbeat_interval: Duration,
    /// The longest time without hearing while no exchange is open.
    pub idle_silence_timeout: Duration,
    /// The time after which the VM that dialled closes a connection that carried but heartbeats.
    pub idle_close_timeout: Duration,
    /// How long a quiet connection may take to answer when it is tried.
    pub probe_timeout: Duration,
    /// The wait before dialling again after a first failure.
    pub initial_backoff: Duration,
    /// The longest wait before dialling again.
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
