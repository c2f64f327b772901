use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::Prompt;
use crate::placement::CacheIndex;

/// A target's word on its load is taken for this long.
const REPORT_AGE: Duration = Duration::from_millis(400);
/// What a VM near by said of the work that it has at a target is taken for this long: five of its
/// messages.
const SIBLING_AGE: Duration = Duration::from_millis(600);
/// The first time that a target which failed is left alone; doubled with each failure in a row.
const FIRST_REST: Duration = Duration::from_millis(300);
const LONGEST_REST: Duration = Duration::from_secs(5);
/// A target that was out of reach may have started anew, cold, before it says so.
const AFTER_FAILURE: Duration = Duration::from_millis(1500);
/// The weight of one answer in the part of answers that are failures.
const FAILURE_GAIN: f64 = 0.15;
/// The weight of one first event in the pace that is learned of a target.
const PACE_GAIN: f64 = 0.12;
/// The bounds of that pace: nothing is half as slow as a usual engine or ten times as slow.
const PACES: std::ops::RangeInclusive<f64> = 0.5..=10.0;
/// Part keys remembered for each target: a few for each of the sessions that its memory holds.
const MOST_PARTS: usize = 2048;
/// The time in which requests count against what a cold target bears, with room for their way.
const SECOND: Duration = Duration::from_millis(1100);
/// Prompt tokens that a usual engine reads in a second; what an engine really does is learned as
/// its pace.
pub(super) const PREFILL: f64 = 40_000.0;
/// The weight of one pause in those that are remembered.
const PAUSE_GAIN: f64 = 0.1;
/// Pauses are told of as long as the last one is not older.
const PAUSE_AGE: Duration = Duration::from_millis(1500);
/// Seconds without a sign of life after which a target with work counts as dark: beside long
/// prompts streams pause for some hundred milliseconds.
const DARK: f64 = 1.2;
/// Seconds from sending a request to its first event where nothing is to be read.
const LEAST: f64 = 0.012;

/// What one target reported of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// The work that a VM has at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens that are not known to have been read.
    pub unread_tokens: f64,
    /// Seconds between two pieces of the streams that it writes, lately.
    pub stream_gap_secs: f64,
}

/// A request that was sent, and what was expected of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    at: Instant,
    /// Prompt tokens that the target has to read for it.
    tokens: f64,
    /// Seconds until its first event, at the pace of a usual engine.
    expected: f64,
}

/// What a VM remembers of one lifetime of a target.
#[derive(Debug)]
pub(super) struct TargetTracker {
    pub(super) born: u64,
    own: InFlight,
    siblings: HashMap<String, (InFlight, Instant)>,
    report: Option<(LoadReport, Instant)>,
    cache: CacheIndex,
    failures: u32,
    rests_until: Option<Instant>,
    /// Until when the target counts as cold because it was out of reach.
    suspect_until: Option<Instant>,
    /// The part of its latest answers that were failures.
    failing: f64,
    /// How many times slower than a usual engine it is until the first event.
    pace: f64,
    /// When the latest requests were sent.
    sent: Vec<Instant>,
    paused: Option<Instant>,
    /// Since when the target has owed a sign of life: when it was last heard, or got work while it
    /// had none.
    owes_since: Instant,
}

impl TargetTracker {
    pub(super) fn new(born: u64, pace: f64, now: Instant) -> Self {
        Self {
            born,
            own: InFlight::default(),
            siblings: HashMap::new(),
            report: None,
            cache: CacheIndex::default(),
            failures: 0,
            rests_until: None,
            suspect_until: None,
            failing: 0.0,
            pace,
            sent: Vec::new(),
            paused: None,
            owes_since: now,
        }
    }

    pub(super) fn sent(&mut self, prompt: &Prompt, kept: bool, now: Instant) -> SentRequest {
        let (_, expected) = self.expected(prompt, kept, now);
        let tokens = self.unread(prompt, kept);
        if self.own.requests == 0 {
            self.owes_since = now;
        }
        self.own.requests += 1;
        self.own.unread_tokens += tokens;
        self.cache.store(&prompt.part_keys(), MOST_PARTS);
        self.sent.push(now);
        self.sent.retain(|at| now.saturating_duration_since(*at) < SECOND);
        SentRequest { at: now, tokens, expected }
    }

    /// Bytes of an answer came from the target.
    pub(super) fn heard(&mut self, now: Instant) {
        self.owes_since = now;
    }

    /// Whether the target has been silent for much longer than its work explains.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.owes_since).as_secs_f64();
        self.own.requests > 0 && silent > DARK + 2.0 * self.backlog(now)
    }

    /// The request's prompt has been read, or never will be.
    pub(super) fn read(&mut self, sent: SentRequest) {
        self.own.unread_tokens = (self.own.unread_tokens - sent.tokens).max(0.0);
    }

    /// The request's first event came: the pace is learned from the time that it took.
    pub(super) fn began(&mut self, sent: SentRequest, now: Instant) -> f64 {
        let took = now.saturating_duration_since(sent.at).as_secs_f64();
        let sample = (took / sent.expected).clamp(*PACES.start(), *PACES.end());
        self.pace += PACE_GAIN * (sample - self.pace);
        sample
    }

    pub(super) fn is_busy(&self) -> bool {
        self.own.requests > 0
    }

    pub(super) fn ended(&mut self) {
        self.own.requests = self.own.requests.saturating_sub(1);
    }

    pub(super) fn reported(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// A VM near by told the work that it has here.
    pub(super) fn shared(&mut self, vm: &str, work: InFlight, now: Instant) {
        self.siblings.insert(vm.to_owned(), (work, now));
    }

    /// A stream paused for so many seconds between two of its pieces.
    pub(super) fn paused(&mut self, pause: f64, now: Instant) {
        let former = if self.recently_paused(now) { self.own.stream_gap_secs } else { pause };
        self.own.stream_gap_secs = former + PAUSE_GAIN * (pause - former);
        self.paused = Some(now);
    }

    fn recently_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|at| now.saturating_duration_since(at) < PAUSE_AGE)
    }

    pub(super) fn own(&self, now: Instant) -> InFlight {
        let stream_gap_secs =
            if self.recently_paused(now) { self.own.stream_gap_secs } else { 0.0 };
        InFlight { stream_gap_secs, ..self.own }
    }

    pub(super) fn answered(&mut self, failed: bool) {
        self.failures = 0;
        self.rests_until = None;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += FAILURE_GAIN * (sample - self.failing);
    }

    /// The target was out of reach, or broke off.
    pub(super) fn failed(&mut self, now: Instant) {
        if self.rests_until.is_none_or(|until| until <= now) {
            let rest = FIRST_REST * 2u32.saturating_pow(self.failures.min(8));
            self.rests_until = Some(now + rest.min(LONGEST_REST));
            self.failures += 1;
        }
        self.suspect_until = Some(now + LONGEST_REST + AFTER_FAILURE);
        self.cache.clear();
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }

    /// Whether it may have started anew since it was last in reach.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.failures > 0 && self.suspect_until.is_some_and(|until| until > now)
    }

    pub(super) fn failing(&self) -> f64 {
        self.failing
    }

    /// Requests sent within the last second.
    pub(super) fn sent_lately(&self, now: Instant) -> usize {
        self.sent.iter().filter(|at| now.saturating_duration_since(**at) < SECOND).count()
    }

    /// The work of all VMs of the region there.
    pub(super) fn work(&self, now: Instant) -> InFlight {
        let young = |at: &Instant| now.saturating_duration_since(*at) < SIBLING_AGE;
        let others = self.siblings.values().filter(|(_, at)| young(at)).map(|(work, _)| work);
        let mut sum = others.fold(self.own(now), |sum, work| InFlight {
            requests: sum.requests + work.requests,
            unread_tokens: sum.unread_tokens + work.unread_tokens,
            stream_gap_secs: sum.stream_gap_secs.max(work.stream_gap_secs),
        });
        if let Some((report, at)) = self.report
            && now.saturating_duration_since(at) < REPORT_AGE
        {
            sum.requests = sum.requests.max(report.running + report.waiting);
        }
        sum
    }

    /// Prompt tokens that it has to read for `prompt`, where `kept` says that it gets the shared
    /// parts from wherever they are kept.
    pub(super) fn unread(&self, prompt: &Prompt, kept: bool) -> f64 {
        let keys = prompt.part_keys();
        let shared = if kept { keys.len().saturating_sub(1) } else { 0 };
        f64::from(prompt.uncached_tokens(self.cache.matched_prefix_len(&keys).max(shared)))
    }

    /// Whether it is believed to keep all shared parts of `prompt`.
    pub(super) fn keeps(&self, prompt: &Prompt) -> bool {
        let keys = prompt.part_keys();
        self.cache.matched_prefix_len(&keys) + 1 >= keys.len()
    }

    /// Seconds until the first event of `prompt`: as it is believed to be, and at the pace of a
    /// usual engine.
    pub(super) fn expected(&self, prompt: &Prompt, kept: bool, now: Instant) -> (f64, f64) {
        let tokens = self.work(now).unread_tokens + self.unread(prompt, kept);
        let usual = LEAST + tokens / PREFILL;
        (usual * self.pace, usual)
    }

    /// Seconds until what was sent there has been read.
    pub(super) fn backlog(&self, now: Instant) -> f64 {
        self.work(now).unread_tokens / PREFILL * self.pace
    }
}
