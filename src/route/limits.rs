use std::time::Duration;

/// Limits on callers' connections and requests, for all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head.
    pub head_bytes: usize,
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// The maximum time to receive a request head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
