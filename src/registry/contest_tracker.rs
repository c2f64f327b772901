use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{MAX_LATENESS, TargetRecord};

/// Number of announcements that count after which a target is alive.
const MIN_ANNOUNCEMENTS: u32 = 4;
/// An announcement counts if it is newer than the last one that counted, and arrived this much
/// later. Announcements that were held up together arrive in a burst.
const MIN_SPACING: Duration = Duration::from_millis(900);
/// Maximum number of targets that are tracked; the tracker ignores more.
const MAX_RUNS: usize = 4096;

/// Tells a live target that a record keeps out of the registry from the late announcements of one
/// that has ended.
///
/// Late announcements arrive for a limited time. A target whose announcements go on for longer, each
/// with a higher number, is alive.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::{ContestTracker, TargetRecord};
///
/// let mut tracker = ContestTracker::default();
/// let start = Instant::now();
/// let mut is_alive = |second| {
///     let record = TargetRecord { sequence: second, ..TargetRecord::default() };
///     tracker.record(&record, start + Duration::from_secs(second))
/// };
/// assert!(!(0..10).any(&mut is_alive) && is_alive(10));
/// ```
#[derive(Debug, Default)]
pub struct ContestTracker {
    runs: HashMap<String, Run>,
}

/// Announcements of one incarnation that followed each other without a long pause.
#[derive(Debug)]
struct Run {
    incarnation: u64,
    sequence: u64,
    announcements: u32,
    started_at: Instant,
    last_at: Instant,
}

impl ContestTracker {
    /// Records an announcement that changes nothing because of newer records. Returns whether its
    /// sender is alive.
    pub fn record(&mut self, record: &TargetRecord, now: Instant) -> bool {
        let has_ended = |run: &Run| now.saturating_duration_since(run.last_at) >= MAX_LATENESS;
        if self.runs.len() >= MAX_RUNS {
            self.runs.retain(|_, run| !has_ended(run));
            if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(&record.target) {
                return false;
            }
        }
        let new = Run {
            incarnation: record.incarnation,
            sequence: record.sequence,
            announcements: 1,
            started_at: now,
            last_at: now,
        };
        match self.runs.get_mut(&record.target) {
            Some(run) if run.incarnation == record.incarnation && !has_ended(run) => {
                let is_spaced = now.saturating_duration_since(run.last_at) >= MIN_SPACING;
                let counts = is_spaced && record.sequence > run.sequence;
                if counts {
                    run.sequence = record.sequence;
                    run.announcements = run.announcements.saturating_add(1);
                    run.last_at = now;
                }
                counts
                    && run.announcements >= MIN_ANNOUNCEMENTS
                    && now.saturating_duration_since(run.started_at) >= MAX_LATENESS
            }
            _ => {
                self.runs.insert(record.target.clone(), new);
                false
            }
        }
    }

    /// Forgets the announcements of a target.
    pub fn forget(&mut self, target: &str) {
        self.runs.remove(target);
    }
}
