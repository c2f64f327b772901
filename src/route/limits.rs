use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// How long the head of a request may take.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
