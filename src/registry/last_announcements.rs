use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{ColdTarget, MAX_LATENESS, TargetHeartbeat};

/// Ends of cold periods that differ by less are the same: network delays vary by as much.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(50);

/// The newest announcement of each target, by whichever VM heard it: a last-writer-wins register
/// that needs no agreement.
///
/// Targets number their announcements, so copies that hear of them in any order, from targets or
/// from each other, come to hold the same.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::{LastAnnouncement, LastAnnouncements};
///
/// let (mut announcements, now) = (LastAnnouncements::default(), Instant::now());
/// let second = Duration::from_secs(1);
/// let cold = LastAnnouncement::new((100, 7), second * 8, now);
/// assert!(announcements.record("engine", cold), "it has become cold");
/// let late = LastAnnouncement::new((100, 6), Duration::ZERO, now);
/// assert!(!announcements.record("engine", late));
/// assert_eq!(announcements.cold_until("engine", 100), Some(now + second * 8));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LastAnnouncements {
    targets: BTreeMap<String, LastAnnouncement>,
}

/// The newest announcement of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastAnnouncement {
    /// Time at which any announcement of the target was last received.
    pub received_at: Instant,
    /// Time at which the target stops being cold.
    pub cold_until: Instant,
    /// The latest time up to which an announcement of this incarnation said that the target is cold.
    pub latest_cold_until: Instant,
    /// Incarnation and sequence number of the announcement, in this order. Announcements that
    /// arrive late have a lower version.
    pub version: (u64, u64),
    /// Time at which an announcement of this version was last received.
    pub version_received_at: Instant,
}

impl LastAnnouncement {
    /// An announcement with the given version, received at `now`, of a target that is cold for
    /// `cold_remaining`.
    pub fn new(version: (u64, u64), cold_remaining: Duration, now: Instant) -> Self {
        let cold_until = now.checked_add(cold_remaining).unwrap_or(now);
        Self {
            received_at: now,
            cold_until,
            latest_cold_until: cold_until,
            version,
            version_received_at: now,
        }
    }
}

impl LastAnnouncements {
    /// Records an announcement. One that arrives late shows that the target is alive, but does not
    /// replace the content of a newer one. Returns whether the target is cold for longer or shorter
    /// than was known.
    pub fn record(&mut self, target: &str, received: LastAnnouncement) -> bool {
        let Some(known) = self.targets.get_mut(target) else {
            self.targets.insert(target.to_owned(), received);
            return received.cold_until > received.received_at;
        };
        // A late announcement is not that late: a version that is higher for longer is not of this
        // target.
        let since_known = received.received_at.saturating_duration_since(known.version_received_at);
        if known.version > received.version && since_known < MAX_LATENESS {
            known.received_at = known.received_at.max(received.received_at);
            return false;
        }
        let previous = *known;
        let is_same_version = previous.version == received.version;
        // Copies of an announcement that are delayed on their way name a later end.
        let cold_until = match is_same_version {
            true => previous.cold_until.min(received.cold_until),
            false => received.cold_until,
        };
        let is_same_incarnation = previous.version.0 == received.version.0;
        *known = LastAnnouncement {
            received_at: previous.received_at.max(received.received_at),
            version_received_at: if is_same_version {
                previous.version_received_at.max(received.version_received_at)
            } else {
                received.version_received_at
            },
            latest_cold_until: if is_same_incarnation {
                previous.latest_cold_until.max(cold_until)
            } else {
                cold_until
            },
            cold_until,
            ..received
        };
        let now = received.received_at;
        let known_until = if is_same_incarnation { previous.cold_until } else { now };
        let (known_until, until) = (known_until.max(now), cold_until.max(now));
        let difference = until.max(known_until) - until.min(known_until);
        difference > COLD_END_TOLERANCE
    }

    /// Records what another VM heard.
    pub fn merge_heartbeat(&mut self, heartbeat: &TargetHeartbeat, now: Instant) -> bool {
        let at = |age_ms| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let version = (heartbeat.incarnation, heartbeat.sequence);
        let cold_remaining = Duration::from_millis(heartbeat.cold_remaining_ms);
        let received = LastAnnouncement {
            received_at: at(heartbeat.age_ms),
            version_received_at: at(heartbeat.version_age_ms.unwrap_or(heartbeat.age_ms)),
            ..LastAnnouncement::new(version, cold_remaining, now)
        };
        self.record(&heartbeat.target, received)
    }

    /// Records what another VM heard of a cold target. Returns whether that changed what is known.
    pub fn merge_cold_target(&mut self, cold: &ColdTarget, now: Instant) -> bool {
        let Some(age_ms) = cold.age_ms else { return false };
        let heard_at = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let cold_remaining = Duration::from_millis(cold.remaining_ms);
        let received = LastAnnouncement {
            received_at: heard_at,
            version_received_at: heard_at,
            ..LastAnnouncement::new((cold.incarnation, cold.sequence), cold_remaining, now)
        };
        self.record(&cold.target, received)
    }

    /// The newest announcement of a target.
    pub fn get(&self, target: &str) -> Option<&LastAnnouncement> {
        self.targets.get(target)
    }

    /// The end of the cold period of an incarnation of a target, which may have passed; `None` if
    /// nothing was heard of that incarnation or a later one.
    pub fn cold_until(&self, target: &str, incarnation: u64) -> Option<Instant> {
        let known = self.targets.get(target).filter(|known| known.version.0 >= incarnation);
        known.map(|known| known.cold_until)
    }

    /// What other VMs must know of a target: nothing if it has never said that it would be cold now.
    pub fn cold_target(&self, target: &str, now: Instant) -> Option<ColdTarget> {
        let known = self.targets.get(target).filter(|known| known.latest_cold_until > now)?;
        let (incarnation, sequence) = known.version;
        Some(ColdTarget {
            target: target.to_owned(),
            remaining_ms: elapsed_ms(now, known.cold_until),
            incarnation,
            sequence,
            age_ms: Some(elapsed_ms(known.version_received_at, now)),
        })
    }

    /// What other VMs must know of the cold targets whose newest announcement was first received at
    /// `since` or later.
    pub fn cold_targets_since(&self, since: Instant, now: Instant) -> Vec<ColdTarget> {
        let recent = self.targets.iter().filter(|(_, known)| known.version_received_at >= since);
        recent.filter_map(|(target, _)| self.cold_target(target, now)).collect()
    }

    /// Forgets targets that have been silent for `retention` and are not cold.
    pub fn sweep(&mut self, retention: Duration, now: Instant) {
        self.targets.retain(|_, known| {
            now.saturating_duration_since(known.received_at) < retention
                || known.latest_cold_until > now
        });
    }
}

/// Milliseconds from `start` to `end`; 0 if `end` is earlier.
pub(super) fn elapsed_ms(start: Instant, end: Instant) -> u64 {
    u64::try_from(end.saturating_duration_since(start).as_millis()).unwrap_or(u64::MAX)
}
