use std::time::Duration;

use super::EventProgress;

/// Detects that a stream has stalled: that its reader has waited for `timeout` since the last
/// complete event. Time in which nobody reads the stream does not count.
///
/// ```
/// use std::time::Duration;
///
/// use pomelogate::http::StallDetector;
///
/// let mut stall = StallDetector::new(Duration::from_secs(5));
/// stall.record_wait(Duration::from_secs(4));
/// stall.push(b": still here\n\n");
/// assert_eq!(stall.time_left(), Duration::from_secs(1));
/// stall.push(b"data: hello\n\n");
/// assert_eq!(stall.time_left(), Duration::from_secs(5));
/// ```
#[derive(Clone, Debug)]
pub struct StallDetector {
    timeout: Duration,
    waited: Duration,
    progress: EventProgress,
}

impl StallDetector {
    /// A detector for a stream that begins now.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, waited: Duration::ZERO, progress: EventProgress::default() }
    }

    /// The time that the reader may still wait until the stream counts as stalled.
    pub fn time_left(&self) -> Duration {
        self.timeout.saturating_sub(self.waited)
    }

    /// Records that the reader waited for bytes.
    pub fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
    }

    /// Records bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.progress.push(bytes) {
            self.waited = Duration::ZERO;
        }
    }
}
