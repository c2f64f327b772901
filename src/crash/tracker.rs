use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    BlockedRequest, Death, Digest, Record, RecordSet, Settings, Verdict,
    suspect::{Mark, Site, Suspect},
};
use crate::{
    id,
    outcome::{Reason, Refusal},
};

const MOST_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// What one VM knows of the requests that were in flight where targets died.
///
/// Being in flight at one death makes a request a suspect, no more. A suspect runs where no other
/// suspect runs, so that a second death names one culprit; the innocent clear themselves when they
/// finish.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    settings: Settings,
    suspects: BTreeMap<Digest, Suspect>,
    running: BTreeMap<id::Target, BTreeMap<Digest, u32>>,
}

impl CrashTracker {
    /// Creates an empty ledger.
    pub fn new(settings: Settings) -> Self {
        Self { settings, suspects: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// What is to be done with a request before it is placed.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pomelogate::{crash::{Digest, CrashTracker, Settings, Verdict}, id, target::Need};
    ///
    /// let now = Instant::now();
    /// let need = Need::Service { service: id::Service::from("jobs") };
    /// let digest = Digest::new(&"crew".into(), &need, b"{}");
    /// let mut ledger = CrashTracker::new(Settings::default());
    /// ledger.record_target_death(now, &"one".into(), 1, &[digest]);
    /// assert_eq!(ledger.check(now, digest), Verdict::Isolate);
    /// ledger.record_target_death(now, &"two".into(), 1, &[digest]);
    /// assert!(matches!(ledger.check(now, digest), Verdict::Refuse(_)));
    /// ```
    pub fn check(&self, now: Instant, digest: Digest) -> Verdict {
        let Some(suspect) = self.suspects.get(&digest) else { return Verdict::Allow };
        match suspect.count(now) {
            0 => Verdict::Allow,
            count if count >= self.settings.max_deaths => {
                let left = suspect.until().map(|until| until.saturating_duration_since(now));
                Verdict::Refuse(refusal(count, left.unwrap_or_default()))
            }
            _ => Verdict::Isolate,
        }
    }

    /// The targets on which this VM runs a suspect: an isolated request goes elsewhere, or waits.
    pub fn targets_running_suspects(&self, now: Instant) -> BTreeSet<&id::Target> {
        let suspected = |digest: &Digest| self.check(now, *digest) != Verdict::Allow;
        let occupied = self.running.iter().filter(|(_, digests)| digests.keys().any(suspected));
        occupied.map(|(target, _)| target).collect()
    }

    /// Counts a request that is sent to a target.
    pub fn record_started(&mut self, target: &id::Target, digest: Digest) {
        let running = self.running.entry(target.clone()).or_default();
        *running.entry(digest).or_default() += 1;
    }

    /// Counts a request that a target answered whole: it caused no death so far.
    pub fn record_finished(&mut self, target: &id::Target, digest: Digest) {
        self.record_stopped(target, digest);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.clear();
        }
    }

    /// Counts a request that left a target without an answer, such as a cancelled one; that
    /// neither clears nor accuses it.
    pub fn record_stopped(&mut self, target: &id::Target, digest: Digest) {
        let Some(running) = self.running.get_mut(target) else { return };
        if let Some(count) = running.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                running.remove(&digest);
            }
        }
        if running.is_empty() {
            self.running.remove(target);
        }
    }

    /// The requests that this VM has in flight at a target.
    pub fn in_flight(&self, target: &id::Target) -> Vec<Digest> {
        let running = self.running.get(target);
        running.map(|running| running.keys().copied().collect()).unwrap_or_default()
    }

    /// Notes that a target died with `in_flight`, and gives the verdict on each.
    ///
    /// A target that dies counts once for each incarnation, whoever reports it. A request that
    /// ran isolated among others that were not suspects is the one that the death is counted
    /// against: where a suspect was in flight, those that were not stay unblamed.
    pub fn record_target_death(
        &mut self,
        now: Instant,
        target: &id::Target,
        incarnation: u64,
        in_flight: &[Digest],
    ) -> Vec<(Digest, Verdict)> {
        self.running.remove(target);
        let suspected = |digest: &&Digest| self.check(now, **digest) != Verdict::Allow;
        let mut blamed: Vec<Digest> = in_flight.iter().filter(suspected).copied().collect();
        if blamed.is_empty() {
            blamed = in_flight.to_vec();
        }
        let mark = Mark { until: now + self.settings.death_retention, cleared: false };
        for digest in blamed {
            let site = Site { target: target.clone(), incarnation };
            self.suspects.entry(digest).or_default().add(site, mark);
        }
        self.bound();
        in_flight.iter().map(|digest| (*digest, self.check(now, *digest))).collect()
    }

    /// Forgets what has passed.
    pub fn remove_expired(&mut self, now: Instant) {
        for suspect in self.suspects.values_mut() {
            suspect.sweep(now);
        }
        self.suspects.retain(|_, suspect| suspect.deaths().next().is_some());
    }

    /// The records, for the other VMs of the region.
    pub fn export(&self, now: Instant) -> RecordSet {
        let records = self.suspects.iter().map(|(digest, suspect)| Record {
            digest: digest.as_bytes().to_vec(),
            deaths: suspect
                .deaths()
                .filter(|(_, mark)| mark.until > now)
                .map(|(site, mark)| Death {
                    target: site.target.to_string(),
                    incarnation: site.incarnation,
                    remaining_ms: millis(mark.until - now),
                    cleared: mark.cleared,
                })
                .collect(),
        });
        RecordSet { records: records.collect() }
    }

    /// The records whose last death is the newest, at most `limit`.
    pub fn export_newest(&self, now: Instant, limit: usize) -> RecordSet {
        let mut notice = self.export(now);
        let left = |record: &Record| record.deaths.iter().map(|death| death.remaining_ms).max();
        notice.records.sort_by_key(|record| std::cmp::Reverse(left(record)));
        notice.records.truncate(limit);
        notice
    }

    /// Takes the records of another VM. The order of merges, and a merge made twice, change
    /// nothing; a record that is not well formed is passed over.
    pub fn merge(&mut self, now: Instant, notice: &RecordSet) {
        for record in &notice.records {
            let Some(digest) = Digest::from_bytes(&record.digest) else { continue };
            let suspect = self.suspects.entry(digest).or_default();
            for death in &record.deaths {
                let target = id::Target::from(death.target.as_str());
                let left =
                    Duration::from_millis(death.remaining_ms).min(self.settings.death_retention);
                let site = Site { target, incarnation: death.incarnation };
                suspect.add(site, Mark { until: now + left, cleared: death.cleared });
            }
        }
        self.bound();
    }

    /// The requests that are refused.
    pub fn blocked_requests(&self, now: Instant) -> Vec<BlockedRequest> {
        let refused = |(digest, suspect): (&Digest, &Suspect)| {
            let left = suspect.until()?.checked_duration_since(now)?;
            let refused = suspect.count(now) >= self.settings.max_deaths;
            refused.then(|| BlockedRequest {
                digest: digest.as_bytes().to_vec(),
                remaining_ms: millis(left),
            })
        };
        self.suspects.iter().filter_map(refused).collect()
    }

    /// Whether anything is remembered of a request.
    pub fn contains(&self, digest: Digest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// The number of requests remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn bound(&mut self) {
        while self.suspects.len() > self.settings.max_records {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.until());
            let Some(digest) = oldest.map(|(digest, _)| *digest) else { return };
            self.suspects.remove(&digest);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn refusal(deaths: usize, left: Duration) -> Refusal {
    Refusal::new(
        Reason::Crashing,
        format!("{deaths} targets died while they ran this same request"),
        "do not send it again unchanged; tell the operator which request it is",
    )
    .retry_after(left.min(MOST_RETRY_AFTER))
}
