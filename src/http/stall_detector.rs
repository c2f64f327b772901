use std::time::Duration;

use super::EventProgress;

/// A wait that ends later than it could by this much shows that the process was paused.
const PAUSE_TOLERANCE: Duration = Duration::from_secs(1);

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

    /// Whether the stream has stalled.
    pub fn has_stalled(&self) -> bool {
        self.time_left().is_zero()
    }

    /// Whether the last bytes of the stream are an incomplete event.
    pub fn is_inside_event(&self) -> bool {
        self.progress.is_inside_event()
    }

    /// Records that the reader waited for bytes, for at most [`Self::time_left`]. A longer wait
    /// does not count, as this process was paused and the target may have sent all along.
    pub fn record_wait(&mut self, waited: Duration) {
        if waited <= self.time_left() + PAUSE_TOLERANCE {
            self.waited += waited;
        }
    }

    /// Records bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.progress.push(bytes) {
            self.waited = Duration::ZERO;
        }
    }
}
