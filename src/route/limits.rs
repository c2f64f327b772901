use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long the head of a request may take.
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
