use std::time::Duration;

/// The settings of links.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::link::Settings;
///
/// let settings = Settings { connect: Duration::from_millis(500), ..Settings::default() };
/// assert!(settings.frame_limit > 1024);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long opening a connection may take, the other VM's hello included.
    pub connect: Duration,
    /// The largest frame, in bytes.
    pub frame_limit: usize,
    /// The frames that may wait to be written on one connection, in each of its two queues.
    pub queue: usize,
    /// The longest time without writing while exchanges are open: a heartbeat is written then.
    pub heartbeat: Duration,
    /// The longest time without hearing while exchanges are open: the connection is dropped then.
    /// A connection that has been quiet for as long is tried before an exchange opens on it.
    pub silence: Duration,
    /// The longest time without writing while no exchange is open.
    pub idle_heartbeat: Duration,
    /// The longest time without hearing while no exchange is open.
    pub idle_silence: Duration,
    /// The time after which the VM that dialled closes a connection that carried but heartbeats.
    pub idle_close: Duration,
    /// How long a quiet connection may take to answer when it is tried.
    pub trial: Duration,
    /// The wait before dialling again after a first failure.
    pub first_backoff: Duration,
    /// The longest wait before dialling again.
    pub backoff_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            frame_limit: 16 * 1024 * 1024,
            queue: 256,
            heartbeat: Duration::from_millis(500),
            silence: Duration::from_secs(3),
            idle_heartbeat: Duration::from_secs(5),
            idle_silence: Duration::from_secs(15),
            idle_close: Duration::from_secs(60),
            trial: Duration::from_millis(600),
            first_backoff: Duration::from_millis(100),
            backoff_limit: Duration::from_secs(2),
        }
    }
}
