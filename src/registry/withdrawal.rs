use std::time::Instant;

use super::{HeartbeatTable, TargetRecord, Withdraw};
use crate::id;

/// Milliseconds by which the clocks of a target and of the replicas may differ. A target that
/// withdraws goes on serving for longer, so that its next incarnation starts later.
const START_TOLERANCE_MS: u64 = 500;

impl Withdraw {
    /// The command for a withdrawal that arrives at `now`, when the clocks of the replicas show
    /// `unix_ms`; `None` if it repeats an earlier one.
    ///
    /// A withdrawal names no incarnation. It is that of the known one if that was heard recently.
    /// Otherwise it withdraws every incarnation that has started by now, as its announcements may
    /// still be on their way; an incarnation that starts later is not affected.
    pub fn received(
        target: &id::Target,
        known: Option<&TargetRecord>,
        heartbeats: &HeartbeatTable,
        unix_ms: u64,
        now: Instant,
    ) -> Option<Self> {
        let incarnation = known.map_or(0, |known| known.incarnation);
        let is_silent = known.is_none_or(|known| heartbeats.is_silent(known, now));
        let started_by_ms = if is_silent { unix_ms.saturating_add(START_TOLERANCE_MS) } else { 0 };
        let is_repeated = known.is_some_and(|known| known.is_withdrawn(incarnation));
        (is_silent || !is_repeated).then(|| Self {
            target: target.to_string(),
            incarnation,
            started_by_ms,
        })
    }
}
