use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    crash::{
        self, BlockedParts, BlockedRequest, CrashTracker, Digest, PartSettings, PartTracker,
        RecordSet, Verdict,
    },
    id,
};

/// The most records sent to a replica at once; the newest are sent.
const MAX_SENT_RECORDS: usize = 256;
/// A broken exchange is linked to a crash that is detected within this time. A crash is detected
/// when the target announces a new incarnation some seconds later, or misses three announcements.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_secs(15);
const MAX_BROKEN_EXCHANGES: usize = 1024;
/// The shortest time between two reports that requests with a suspected part finish.
const FINISHED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests and parts of prompts that may crash targets: those that this VM had in flight at targets
/// that crashed, and those that the replicas block on all VMs.
///
/// A broken exchange alone is no evidence, as connections break for many reasons. A request becomes
/// a suspect if the incarnation of the target then ends without having announced its departure.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::{crash::Digest, gateway::CrashSuspects};
///
/// let (now, digest) = (Instant::now(), Digest::of(&[b"/plan/7", b"{}"]));
/// let mut suspects = CrashSuspects::default();
/// for target in ["one", "two", "three"] {
///     assert!(suspects.refused_for(|| digest, &[], now).is_none());
///     suspects.record_broken_exchange(&target.into(), 1, digest, &[], now);
///     suspects.record_incarnation_end(&target.into(), 1, now);
/// }
/// assert!(suspects.refused_for(|| digest, &[], now).is_some());
/// ```
#[derive(Debug)]
pub struct CrashSuspects {
    crash_tracker: CrashTracker,
    part_tracker: PartTracker,
    broken_exchanges: VecDeque<BrokenExchange>,
    /// When the block of each request ends.
    blocked_until: HashMap<Digest, Instant>,
    /// The parts that the replicas block. This VM's own records don't suffice, as the request that
    /// caused a death may be another VM's.
    blocked_parts: Vec<PartBlock>,
    blocked_digest: u64,
    /// The parts that the replicas ask about, with the last finished request that was reported.
    suspect_parts: Vec<(u64, Option<Instant>)>,
    has_unsent_records: bool,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashBlock {
    /// How long requests like it are still refused.
    pub time_left: Duration,
    /// The keys of the parts of its prompt that crash targets; none if the request itself does.
    pub parts: Vec<u64>,
}

/// Parts that a prompt must not hold together.
#[derive(Debug)]
struct PartBlock {
    parts: Vec<u64>,
    until: Instant,
}

impl PartBlock {
    fn new(blocked: &BlockedParts, now: Instant) -> Self {
        let until = now + Duration::from_millis(blocked.remaining_ms);
        Self { parts: blocked.parts.clone(), until }
    }
}

/// An exchange that ended without a complete response.
#[derive(Debug)]
struct BrokenExchange {
    target: id::Target,
    incarnation: u64,
    digest: Digest,
    parts: Vec<u64>,
    broken_at: Instant,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        Self {
            crash_tracker: CrashTracker::new(crash::Settings::for_routes()),
            part_tracker: PartTracker::new(PartSettings::default()),
            broken_exchanges: VecDeque::new(),
            blocked_until: HashMap::new(),
            blocked_parts: Vec::new(),
            blocked_digest: 0,
            suspect_parts: Vec::new(),
            has_unsent_records: false,
        }
    }
}

impl CrashSuspects {
    /// Whether the request with the shared `parts` in its prompt is refused, and for how long. Its
    /// digest is computed only if there are any suspects.
    pub fn refused_for(
        &self,
        digest: impl FnOnce() -> Digest,
        parts: &[u64],
        now: Instant,
    ) -> Option<CrashBlock> {
        let is_blocked = |block: &&PartBlock| {
            block.until > now
                && !block.parts.is_empty()
                && block.parts.iter().all(|part| parts.contains(part))
        };
        if let Some(block) = self.blocked_parts.iter().find(is_blocked) {
            return Some(CrashBlock { time_left: block.until - now, parts: block.parts.clone() });
        }
        if self.crash_tracker.is_empty() && self.blocked_until.is_empty() {
            return None;
        }
        let digest = digest();
        if let Some(until) = self.blocked_until.get(&digest).filter(|until| **until > now) {
            return Some(CrashBlock { time_left: *until - now, parts: Vec::new() });
        }
        match self.crash_tracker.check(now, digest) {
            Verdict::Refuse(refusal) => {
                Some(CrashBlock { time_left: refusal.retry_after?, parts: Vec::new() })
            }
            Verdict::Allow | Verdict::Isolate => None,
        }
    }

    /// Records that an exchange with a target broke off, for a request with the shared `parts` in its
    /// prompt.
    pub fn record_broken_exchange(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        digest: Digest,
        parts: &[u64],
        now: Instant,
    ) {
        self.broken_exchanges.push_back(BrokenExchange {
            target: target.clone(),
            incarnation,
            digest,
            parts: parts.to_vec(),
            broken_at: now,
        });
        let is_old = |exchange: &BrokenExchange| {
            now.saturating_duration_since(exchange.broken_at) > CRASH_DETECTION_WINDOW
        };
        while self.broken_exchanges.len() > MAX_BROKEN_EXCHANGES
            || self.broken_exchanges.front().is_some_and(is_old)
        {
            self.broken_exchanges.pop_front();
        }
    }

    /// Records that an incarnation of a target ended or fell silent without having announced its
    /// departure. Returns the number of requests suspected of having crashed it.
    pub fn record_incarnation_end(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        now: Instant,
    ) -> usize {
        let same = |exchange: &&BrokenExchange| {
            exchange.target == *target && exchange.incarnation == incarnation
        };
        let is_recent = |exchange: &&BrokenExchange| {
            now.saturating_duration_since(exchange.broken_at) <= CRASH_DETECTION_WINDOW
        };
        let in_flight: Vec<&BrokenExchange> =
            self.broken_exchanges.iter().filter(same).filter(is_recent).collect();
        let suspects: BTreeSet<Digest> = in_flight.iter().map(|exchange| exchange.digest).collect();
        let parts: BTreeSet<u64> =
            in_flight.iter().flat_map(|exchange| exchange.parts.iter().copied()).collect();
        if !parts.is_empty() {
            let broken_at = in_flight.iter().map(|exchange| exchange.broken_at).max();
            let died_at = broken_at.unwrap_or(now);
            self.part_tracker.remove_expired(now);
            self.part_tracker.record_target_death(died_at, target, incarnation, parts);
        }
        self.broken_exchanges.retain(|exchange| !same(&exchange));
        if !suspects.is_empty() {
            let suspects: Vec<Digest> = suspects.into_iter().collect();
            self.crash_tracker.remove_expired(now);
            self.crash_tracker.record_target_death(now, target, incarnation, &suspects);
            self.has_unsent_records = true;
            return suspects.len();
        }
        0
    }

    /// Records that a target completed a request, which clears the request and the shared `parts` of
    /// its prompt of earlier crashes.
    pub fn record_success(
        &mut self,
        target: &id::Target,
        digest: impl FnOnce() -> Digest,
        parts: &[u64],
        now: Instant,
    ) {
        self.part_tracker.record_finished(now, parts.iter().copied());
        let is_due = |(part, reported_at): &(u64, Option<Instant>)| {
            parts.contains(part) && reported_at.is_none_or(|at| now - at > FINISHED_REPORT_INTERVAL)
        };
        self.has_unsent_records |= self.suspect_parts.iter().any(is_due);
        if !self.crash_tracker.is_empty() {
            let digest = digest();
            self.has_unsent_records |= self.crash_tracker.contains(digest);
            self.crash_tracker.record_finished(target, digest);
        }
    }

    /// The records to send to a replica, if any changed since the last call.
    pub fn take_unsent_records(&mut self, now: Instant) -> Option<RecordSet> {
        if !std::mem::take(&mut self.has_unsent_records) {
            return None;
        }
        for (part, reported_at) in &mut self.suspect_parts {
            *reported_at = self.part_tracker.finished_at(*part).or(*reported_at);
        }
        let asked: Vec<u64> = self.suspect_parts.iter().map(|(part, _)| *part).collect();
        let parts = Some(self.part_tracker.export(now, &asked));
        Some(RecordSet { parts, ..self.crash_tracker.export_newest(now, MAX_SENT_RECORDS) })
    }

    /// Records that the replica did not receive the records, so that they are sent again.
    pub fn mark_records_unsent(&mut self) {
        self.has_unsent_records = true;
    }

    /// The digest of the set of requests that the replicas block, as the replicas computed it.
    pub fn blocked_digest(&self) -> u64 {
        self.blocked_digest
    }

    /// Sets the parts that the replicas block, and those that they ask about as suspects. Returns
    /// whether other parts are blocked than before.
    pub fn set_blocked_parts(
        &mut self,
        blocked: &[BlockedParts],
        suspect_parts: &[u64],
        now: Instant,
    ) -> bool {
        let known_parts = self.blocked_parts.iter().map(|block| &block.parts);
        let has_changed = !known_parts.eq(blocked.iter().map(|blocked| &blocked.parts));
        self.blocked_parts = blocked.iter().map(|blocked| PartBlock::new(blocked, now)).collect();
        let reported: HashMap<u64, Option<Instant>> = self.suspect_parts.drain(..).collect();
        let suspects =
            suspect_parts.iter().map(|part| (*part, reported.get(part).copied().flatten()));
        self.suspect_parts = suspects.collect();
        let is_unreported = |(part, reported_at): &(u64, Option<Instant>)| {
            reported_at.is_none() && self.part_tracker.finished_at(*part).is_some()
        };
        self.has_unsent_records |= self.suspect_parts.iter().any(is_unreported);
        has_changed
    }

    /// Sets the requests that the replicas block. Returns whether they are others than before.
    pub fn set_blocked_requests(
        &mut self,
        digest: u64,
        blocked: &[BlockedRequest],
        now: Instant,
    ) -> bool {
        self.blocked_digest = digest;
        let entry = |blocked: &BlockedRequest| {
            let time_left = Duration::from_millis(blocked.remaining_ms);
            Some((Digest::from_bytes(&blocked.digest)?, now + time_left))
        };
        let blocked_until: HashMap<Digest, Instant> = blocked.iter().filter_map(entry).collect();
        let is_known = |digest: &Digest| self.blocked_until.contains_key(digest);
        let has_changed =
            blocked_until.len() != self.blocked_until.len() || !blocked_until.keys().all(is_known);
        self.blocked_until = blocked_until;
        has_changed
    }
}
