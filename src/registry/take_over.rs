use std::time::Instant;

use super::{ContestTracker, HeartbeatTable, TakeOver, TargetRecord};

impl TakeOver {
    /// The command for an announcement that `blocking` records keep out of the registry; `None` while
    /// one of them may be right, and for good if the target has been withdrawn.
    ///
    /// The sender has to be alive, and the records silent. The end of the sender itself, after which
    /// it announced this, need not be: the sender is the one who renews it.
    pub fn received(
        record: &TargetRecord,
        blocking: &[TargetRecord],
        contests: &mut ContestTracker,
        heartbeats: &HeartbeatTable,
        now: Instant,
    ) -> Option<Self> {
        let withdrawn = |known: &TargetRecord| {
            known.target == record.target && known.is_withdrawn(record.incarnation)
        };
        if blocking.is_empty() || blocking.iter().any(withdrawn) {
            return None;
        }
        let gives_way = |known: &TargetRecord| {
            record.is_after_displacement(known) || heartbeats.is_silent(known, now)
        };
        let is_alive = contests.record(record, now);
        (is_alive && blocking.iter().all(gives_way)).then(|| Self {
            record: record.clone(),
            displaced: blocking.iter().map(TargetRecord::version).collect(),
        })
    }
}
