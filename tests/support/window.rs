//! Requests that reach a target in a sliding window.

use std::time::{Duration, Instant};

/// The window of the bound on requests to a target that names a limit.
pub const WINDOW: Duration = Duration::from_secs(4);
/// The bound holds from this long after the target first named its limit.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);

/// The most requests that may reach a target in a window.
pub fn bound(limit_per_sec: f64) -> usize {
    (1.5 * limit_per_sec * WINDOW.as_secs_f64() + 5.0) as usize
}

/// The most of `times`, which are in order, in one window that ends at `since` or later.
pub fn most_in_window(times: &[Instant], since: Instant) -> usize {
    assert!(times.is_sorted());
    let counted: Vec<Instant> = times.iter().copied().filter(|at| *at + WINDOW >= since).collect();
    let in_window = |(index, first): (usize, &Instant)| {
        counted.partition_point(|at| *at < *first + WINDOW) - index
    };
    counted.iter().enumerate().map(in_window).max().unwrap_or(0)
}
