use std::{fmt::Debug, time::Instant};

use hyper::{HeaderMap, StatusCode};

use crate::throttle::Permission;

/// Follows the exchanges of one request with a target.
///
/// A stream that broke off is resumed by further requests to the target, which count as well.
pub trait TargetWatch: Debug + Send + Sync {
    /// Records the head of the target's response to a request that was sent at `sent_at`.
    fn record_response(&self, status: StatusCode, headers: &HeaderMap, sent_at: Instant);

    /// Whether the target has asked this VM for a pause that has not ended.
    fn is_paused(&self) -> bool;

    /// Whether another request may be sent to the target now.
    fn permission(&self) -> Permission;

    /// Counts a request to the target beyond the first.
    fn record_sent(&self);
}
