use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    crash::{self, BlockedRequest, CrashTracker, Digest, RecordSet, Verdict},
    id,
};

/// Records that a VM tells at once, the newest.
const TOLD: usize = 256;
/// A target that crashed is missed, or begins a new lifetime, within this time after its
/// connections broke: some seconds, and three announcements that do not come.
const LINK: Duration = Duration::from_secs(15);
/// Broken exchanges that are remembered.
const MOST_BROKEN: usize = 1024;

/// Requests that were in flight where targets crashed, as one VM knows them, and those that the
/// replicas say are to be refused on all VMs.
///
/// That an exchange broke off tells nothing yet, as connections break for many reasons. A request
/// is suspected where the target's lifetime then ended without its having left.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::{crash::Digest, gateway::CrashSuspects};
///
/// let (now, digest) = (Instant::now(), Digest::of(&[b"/plan/7", b"{}"]));
/// let mut suspects = CrashSuspects::default();
/// for target in ["one", "two", "three"] {
///     assert!(suspects.refused_for(|| digest, now).is_none());
///     suspects.record_broken_exchange(&target.into(), 1, digest, now);
///     suspects.record_incarnation_end(&target.into(), 1, now);
/// }
/// assert!(suspects.refused_for(|| digest, now).is_some());
/// ```
#[derive(Debug)]
pub struct CrashSuspects {
    ledger: CrashTracker,
    broken: VecDeque<Broken>,
    convicts: HashMap<Digest, Instant>,
    convicts_digest: u64,
    changed: bool,
}

/// An exchange that ended without a whole answer.
#[derive(Debug)]
struct Broken {
    target: id::Target,
    born: u64,
    digest: Digest,
    at: Instant,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        Self {
            ledger: CrashTracker::new(crash::Settings::for_routes()),
            broken: VecDeque::new(),
            convicts: HashMap::new(),
            convicts_digest: 0,
            changed: false,
        }
    }
}

impl CrashSuspects {
    /// How long a request is still refused, if it is; its digest is asked for only where anything
    /// is suspected.
    pub fn refused_for(&self, digest: impl FnOnce() -> Digest, now: Instant) -> Option<Duration> {
        if self.ledger.is_empty() && self.convicts.is_empty() {
            return None;
        }
        let digest = digest();
        if let Some(until) = self.convicts.get(&digest).filter(|until| **until > now) {
            return Some(*until - now);
        }
        match self.ledger.check(now, digest) {
            Verdict::Refuse(refusal) => refusal.retry_after,
            Verdict::Allow | Verdict::Isolate => None,
        }
    }

    /// An exchange with a target broke off.
    pub fn record_broken_exchange(
        &mut self,
        target: &id::Target,
        born: u64,
        digest: Digest,
        now: Instant,
    ) {
        self.broken.push_back(Broken { target: target.clone(), born, digest, at: now });
        let old = |broken: &Broken| now.saturating_duration_since(broken.at) > LINK;
        while self.broken.len() > MOST_BROKEN || self.broken.front().is_some_and(old) {
            self.broken.pop_front();
        }
    }

    /// A lifetime of a target ended, or nothing is heard of it any more, though it did not leave;
    /// the number of requests that are suspected of it.
    pub fn record_incarnation_end(
        &mut self,
        target: &id::Target,
        born: u64,
        now: Instant,
    ) -> usize {
        let same = |broken: &&Broken| broken.target == *target && broken.born == born;
        let young = |broken: &&Broken| now.saturating_duration_since(broken.at) <= LINK;
        let blamed = self.broken.iter().filter(same).filter(young).map(|broken| broken.digest);
        let blamed: BTreeSet<Digest> = blamed.collect();
        self.broken.retain(|broken| !same(&broken));
        if !blamed.is_empty() {
            let blamed: Vec<Digest> = blamed.into_iter().collect();
            self.ledger.remove_expired(now);
            self.ledger.record_target_death(now, target, born, &blamed);
            self.changed = true;
            return blamed.len();
        }
        0
    }

    /// A target answered a request whole: it caused no crash so far.
    pub fn record_success(&mut self, target: &id::Target, digest: impl FnOnce() -> Digest) {
        if !self.ledger.is_empty() {
            let digest = digest();
            self.changed |= self.ledger.contains(digest);
            self.ledger.record_finished(target, digest);
        }
    }

    /// What replicas are to be told, where anything changed since they last were.
    pub fn take_unsent_records(&mut self, now: Instant) -> Option<RecordSet> {
        std::mem::take(&mut self.changed).then(|| self.ledger.export_newest(now, TOLD))
    }

    /// The notice did not arrive.
    pub fn mark_records_unsent(&mut self) {
        self.changed = true;
    }

    /// The digest of what the replicas said is to be refused.
    pub fn blocked_digest(&self) -> u64 {
        self.convicts_digest
    }

    /// Takes what the replicas say is to be refused.
    pub fn set_blocked_requests(&mut self, digest: u64, convicts: &[BlockedRequest], now: Instant) {
        self.convicts_digest = digest;
        let until = |convict: &BlockedRequest| {
            let left = Duration::from_millis(convict.remaining_ms);
            Some((Digest::from_bytes(&convict.digest)?, now + left))
        };
        self.convicts = convicts.iter().filter_map(until).collect();
    }
}
