use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    BlockedRequest, Death, Digest, Record, RecordSet, Settings, Verdict,
    suspect::{DeathId, DeathState, Suspect},
};
use crate::{
    id,
    outcome::{Reason, Refusal},
};

const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// What one VM knows of the requests that were in flight when targets died.
///
/// A request that was in flight at a death is a suspect. Suspects run on separate targets, so that
/// a second death has only one suspect. A suspect that finishes is cleared.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    settings: Settings,
    suspects: BTreeMap<Digest, Suspect>,
    /// The requests in flight at each target, each with the number of its copies.
    in_flight: BTreeMap<id::Target, BTreeMap<Digest, u32>>,
}

impl CrashTracker {
    /// Creates a tracker without records.
    pub fn new(settings: Settings) -> Self {
        Self { settings, suspects: BTreeMap::new(), in_flight: BTreeMap::new() }
    }

    /// Decides how a request may run; to be called before its placement.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pomelogate::{crash::{Digest, CrashTracker, Settings, Verdict}, id, target::Need};
    ///
    /// let now = Instant::now();
    /// let need = Need::Service { service: id::Service::from("jobs") };
    /// let digest = Digest::new(&"crew".into(), &need, b"{}");
    /// let mut tracker = CrashTracker::new(Settings::default());
    /// tracker.record_target_death(now, &"one".into(), 1, &[digest]);
    /// assert_eq!(tracker.check(now, digest), Verdict::Isolate);
    /// tracker.record_target_death(now, &"two".into(), 1, &[digest]);
    /// assert!(matches!(tracker.check(now, digest), Verdict::Refuse(_)));
    /// ```
    pub fn check(&self, now: Instant, digest: Digest) -> Verdict {
        let Some(suspect) = self.suspects.get(&digest) else { return Verdict::Allow };
        match suspect.death_count(now) {
            0 => Verdict::Allow,
            deaths if deaths >= self.settings.max_deaths => {
                let remaining = suspect.expires_at().map(|at| at.saturating_duration_since(now));
                Verdict::Refuse(refusal(deaths, remaining.unwrap_or_default()))
            }
            _ => Verdict::Isolate,
        }
    }

    /// The targets where this VM has a suspect in flight; an isolated request must not be sent
    /// there.
    pub fn targets_running_suspects(&self, now: Instant) -> BTreeSet<&id::Target> {
        let is_suspect = |digest: &Digest| self.check(now, *digest) != Verdict::Allow;
        let occupied = self.in_flight.iter().filter(|(_, digests)| digests.keys().any(is_suspect));
        occupied.map(|(target, _)| target).collect()
    }

    /// Records that a request is sent to a target.
    pub fn record_started(&mut self, target: &id::Target, digest: Digest) {
        let in_flight = self.in_flight.entry(target.clone()).or_default();
        *in_flight.entry(digest).or_default() += 1;
    }

    /// Records that a target answered a request completely, which clears the request of all deaths
    /// so far.
    pub fn record_finished(&mut self, target: &id::Target, digest: Digest) {
        self.record_stopped(target, digest);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.clear();
        }
    }

    /// Records that a request ended at a target without a complete answer, for example because it
    /// was cancelled. This neither clears the request nor counts against it.
    pub fn record_stopped(&mut self, target: &id::Target, digest: Digest) {
        let Some(in_flight) = self.in_flight.get_mut(target) else { return };
        if let Some(count) = in_flight.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&digest);
            }
        }
        if in_flight.is_empty() {
            self.in_flight.remove(target);
        }
    }

    /// The requests that this VM has in flight at a target.
    pub fn in_flight(&self, target: &id::Target) -> Vec<Digest> {
        let in_flight = self.in_flight.get(target);
        in_flight.map(|digests| digests.keys().copied().collect()).unwrap_or_default()
    }

    /// Records that a target died with the requests `in_flight`; returns the new verdict on each.
    ///
    /// The death of an incarnation counts once, even if several VMs report it. If suspects were in
    /// flight, the death counts only against them, otherwise against all requests.
    pub fn record_target_death(
        &mut self,
        now: Instant,
        target: &id::Target,
        incarnation: u64,
        in_flight: &[Digest],
    ) -> Vec<(Digest, Verdict)> {
        self.in_flight.remove(target);
        let is_suspect = |digest: &&Digest| self.check(now, **digest) != Verdict::Allow;
        let mut suspects: Vec<Digest> = in_flight.iter().filter(is_suspect).copied().collect();
        if suspects.is_empty() {
            suspects = in_flight.to_vec();
        }
        let state = DeathState { expires_at: now + self.settings.death_retention, cleared: false };
        for digest in suspects {
            let id = DeathId { target: target.clone(), incarnation };
            self.suspects.entry(digest).or_default().add(id, state);
        }
        self.enforce_max_records();
        in_flight.iter().map(|digest| (*digest, self.check(now, *digest))).collect()
    }

    /// Removes expired deaths, and the requests without any.
    pub fn remove_expired(&mut self, now: Instant) {
        for suspect in self.suspects.values_mut() {
            suspect.remove_expired(now);
        }
        self.suspects.retain(|_, suspect| suspect.deaths().next().is_some());
    }

    /// The records to send to the other VMs of the region.
    pub fn export(&self, now: Instant) -> RecordSet {
        let records = self.suspects.iter().map(|(digest, suspect)| Record {
            digest: digest.as_bytes().to_vec(),
            deaths: suspect
                .deaths()
                .filter(|(_, state)| state.expires_at > now)
                .map(|(id, state)| Death {
                    target: id.target.to_string(),
                    incarnation: id.incarnation,
                    remaining_ms: millis(state.expires_at - now),
                    cleared: state.cleared,
                })
                .collect(),
        });
        RecordSet { records: records.collect(), parts: None }
    }

    /// Like [`export`](Self::export), but at most `limit` records: those with the latest deaths.
    pub fn export_newest(&self, now: Instant, limit: usize) -> RecordSet {
        let mut record_set = self.export(now);
        let remaining_ms =
            |record: &Record| record.deaths.iter().map(|death| death.remaining_ms).max();
        record_set.records.sort_by_key(|record| std::cmp::Reverse(remaining_ms(record)));
        record_set.records.truncate(limit);
        record_set
    }

    /// Merges the records of another VM. Merging is commutative and idempotent; a record with a
    /// malformed digest is skipped.
    pub fn merge(&mut self, now: Instant, record_set: &RecordSet) {
        for record in &record_set.records {
            let Some(digest) = Digest::from_bytes(&record.digest) else { continue };
            let suspect = self.suspects.entry(digest).or_default();
            for death in &record.deaths {
                let target = id::Target::from(death.target.as_str());
                let remaining =
                    Duration::from_millis(death.remaining_ms).min(self.settings.death_retention);
                let id = DeathId { target, incarnation: death.incarnation };
                suspect.add(id, DeathState { expires_at: now + remaining, cleared: death.cleared });
            }
        }
        self.enforce_max_records();
    }

    /// The requests that are refused.
    pub fn blocked_requests(&self, now: Instant) -> Vec<BlockedRequest> {
        let blocked = |(digest, suspect): (&Digest, &Suspect)| {
            let remaining = suspect.expires_at()?.checked_duration_since(now)?;
            let is_blocked = suspect.death_count(now) >= self.settings.max_deaths;
            is_blocked.then(|| BlockedRequest {
                digest: digest.as_bytes().to_vec(),
                remaining_ms: millis(remaining),
            })
        };
        self.suspects.iter().filter_map(blocked).collect()
    }

    /// Whether there is a record of a request.
    pub fn contains(&self, digest: Digest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// The number of requests with a record.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops the records that expire first until at most [`Settings::max_records`] remain.
    fn enforce_max_records(&mut self) {
        while self.suspects.len() > self.settings.max_records {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.expires_at());
            let Some(digest) = oldest.map(|(digest, _)| *digest) else { return };
            self.suspects.remove(&digest);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn refusal(deaths: usize, remaining: Duration) -> Refusal {
    Refusal::new(
        Reason::CrashesTargets,
        format!("{deaths} targets died while they ran this same request"),
        "do not send it again unchanged; tell the operator which request it is",
    )
    .retry_after(remaining.min(MAX_RETRY_AFTER))
}
