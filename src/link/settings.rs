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
    /// The longest time without writing: a heartbeat is written then.
    pub heartbeat: Duration,
    /// The longest time without hearing: the connection is dropped then.
    pub silence: Duration,
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
            first_backoff: Duration::from_millis(100),
            backoff_limit: Duration::from_secs(2),
        }
    }
}
