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
    /// How long opening a connection may take.
    pub connect: Duration,
    /// The largest frame, in bytes.
    pub frame_limit: usize,
    /// The frames that may wait to be written on one connection.
    pub queue: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { connect: Duration::from_secs(2), frame_limit: 16 * 1024 * 1024, queue: 1024 }
    }
}
