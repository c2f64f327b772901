use std::time::Duration;

use crate::organisation::Quota;

/// The bound on what organisations may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The span in which requests are counted.
    pub window: Duration,
    /// The part of a quota that may be exceeded.
    pub excess_ratio: f64,
    /// The units that may be exceeded on top.
    pub slack: f64,
}

/// How long after it asked a VM may spend what it was granted.
pub(super) const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// How long a request may wait for a target after it was paid for.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// The part of the slack that is used, as clocks differ a little.
const SLACK_RATIO: f64 = 0.9;
/// A request of up to this many units is granted from any level above zero, so that large requests are
/// not refused more often than small ones.
const MAX_OVERDRAFT: f64 = 60_000.0;

impl Default for Settings {
    fn default() -> Self {
        Self { window: Duration::from_secs(8), excess_ratio: 0.0, slack: 0.0 }
    }
}

impl Settings {
    /// The units that a ledger may have in stock and in grants that have not ended, overdraft included.
    ///
    /// Within one window, VMs spend what was in stock or granted at its beginning, and the refill of the
    /// window. Requests reach their targets somewhat later than they were paid for.
    pub(super) fn stock(&self, quota: Quota) -> f64 {
        let bound = (quota.per_sec * self.window.as_secs_f64() + quota.burst)
            * (1.0 + self.excess_ratio)
            + self.slack * SLACK_RATIO;
        let refilled_for = self.window + MAX_DELAY;
        (bound - quota.per_sec * refilled_for.as_secs_f64()).max(0.0)
    }

    /// The part of the stock that is overdraft.
    pub(super) fn overdraft(&self, quota: Quota) -> f64 {
        (self.stock(quota) / 2.0).min(MAX_OVERDRAFT)
    }
}
