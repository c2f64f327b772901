use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{CapacityEstimate, PrefixCache, Prompt, PromptPart};

/// Older load reports of a target are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);
/// Older load messages of other VMs are ignored. The limit is about five messages.
const MAX_PEER_LOAD_AGE: Duration = Duration::from_millis(600);
/// The first backoff after a failure, doubled with each consecutive failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// An unreachable target may have restarted, with a cold cache, this long before it announces it.
const RESTART_DETECTION_DELAY: Duration = Duration::from_millis(1500);
/// The weight of a new response in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.15;
/// The weight of a new first event in the moving average of the slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.12;
/// The age at which a reported work time says nothing any more. The work times of targets are
/// redrawn about every 600 ms, so a report of age `t` still holds with the probability
/// `1 - t / 600 ms`.
const MAX_WORK_TIME_AGE: Duration = Duration::from_millis(600);
/// What is learnt of the capacity of a target needs a report that is newer than this: one in four
/// such reports is out of date at most.
const MAX_CERTAIN_WORK_TIME_AGE: Duration = Duration::from_millis(150);
/// Reported work times outside of this range of percents are ignored as absurd.
const WORK_TIME_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 10..=1000;
/// Samples are clamped to this range, as no engine is twice as fast as a typical one or ten times
/// slower.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.5..=10.0;
/// The window of the limit on requests to cold targets: a second and some slack for the time that
/// requests take to arrive.
const COLD_LIMIT_WINDOW: Duration = Duration::from_millis(1100);
/// The prefill speed of a typical engine. The real speed of an engine is learned as its slowdown.
pub(super) const PREFILL_TOKENS_PER_SEC: f64 = 40_000.0;
/// The weight of a new gap in the moving average of stream gaps.
const STREAM_GAP_SMOOTHING: f64 = 0.1;
/// The average of stream gaps is reported only while the last gap is younger than this.
const MAX_STREAM_GAP_AGE: Duration = Duration::from_millis(1500);
/// A target with requests counts as unresponsive when it has sent nothing for this long. Streams
/// pause for some hundred milliseconds while the target reads long prompts.
const UNRESPONSIVE_AFTER_SECS: f64 = 1.2;
/// The time until the first event of a request without prompt tokens to read.
const MIN_FIRST_EVENT_SECS: f64 = 0.012;

/// The load that a target reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// The number of requests that it can process at once.
    pub slots: u32,
    /// How long work takes at this moment, as a percentage of what is usual for this target; `None`
    /// from targets that do not report it.
    pub work_time_percent: Option<u32>,
}

impl LoadReport {
    /// Parses `RUNNING,WAITING,SLOTS[,PERCENT]`. Fields after the fourth are ignored, and so is a
    /// fourth that is no number or is outside of 10 to 1,000.
    ///
    /// ```
    /// use pomelogate::gateway::LoadReport;
    ///
    /// let report = LoadReport::parse("3,0,64,250").unwrap();
    /// assert_eq!((report.running, report.slots), (3, 64));
    /// assert_eq!(report.work_time_percent, Some(250));
    /// assert_eq!(LoadReport::parse("3,0,64,slow").unwrap().work_time_percent, None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(str::trim);
        let mut next = || fields.next()?.parse().ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let work_time_percent = fields
            .next()
            .and_then(|percent| percent.parse::<f64>().ok())
            .map(|percent| percent.round() as u32)
            .filter(|percent| WORK_TIME_PERCENT_RANGE.contains(percent));
        Some(Self { running, waiting, slots, work_time_percent })
    }
}

/// What a target last reported of the time that work takes there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTime {
    /// The time as a percentage of what is usual for the target.
    pub percent: u32,
    /// When the target reported it.
    pub reported_at: Instant,
}

/// The requests that a VM has in flight at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// The number of requests.
    pub requests: u32,
    /// Prompt tokens that the target has not read yet, as far as the VM knows.
    pub unread_tokens: f64,
    /// The moving average of the seconds between two chunks of a stream.
    pub stream_gap_secs: f64,
    /// Prompt and output tokens for which the target needs memory, at most.
    pub held_tokens: f64,
}

/// A request that was sent to a target, and what was expected of it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub(super) sent_at: Instant,
    /// Prompt tokens that the target has to read.
    unread_tokens: f64,
    /// The expected seconds until the first event at a typical engine.
    typical_first_event_secs: f64,
    /// Prompt and output tokens for which the target needs memory, at most.
    held_tokens: f64,
}

/// What a VM knows about one incarnation of a target.
#[derive(Clone, Debug)]
pub(super) struct TargetTracker {
    pub(super) incarnation: u64,
    /// Requests that the target processes at once; zero if they are unknown.
    slots: u32,
    own: InFlight,
    /// What the other VMs of the region reported, by VM.
    peers: HashMap<String, (InFlight, Instant)>,
    report: Option<(LoadReport, Instant)>,
    /// The newest work time that the target reported to any VM of the region.
    work_time: Option<WorkTime>,
    /// A work time that the other VMs of the region have not been told of.
    unshared_work_time: Option<WorkTime>,
    /// What the pauses between events tell of the number of requests that the target bears.
    stream_capacity: CapacityEstimate,
    /// What the times of first events tell, for a target without streams.
    answer_capacity: CapacityEstimate,
    cache: PrefixCache,
    failures: u32,
    backoff_until: Option<Instant>,
    /// Until when the target is treated as cold because it was unreachable.
    possible_restart_until: Option<Instant>,
    /// Whether the target refused a connection and has not responded since.
    has_ended: bool,
    /// Until when a target that responds again may be another process than before, which has not
    /// announced itself yet.
    restarted_until: Option<Instant>,
    /// The moving average of failed responses, from 0 to 1.
    failure_ratio: f64,
    /// The time until the first event as a multiple of that of a typical engine.
    slowdown: f64,
    /// When the requests within the window of the cold limit were sent.
    recent_sends: Vec<Instant>,
    last_stream_gap_at: Option<Instant>,
    /// When the target was last heard from, or got a request while it had none.
    silent_since: Instant,
}

impl TargetTracker {
    pub(super) fn new(incarnation: u64, slots: u32, slowdown: f64, now: Instant) -> Self {
        Self {
            incarnation,
            slots,
            own: InFlight::default(),
            peers: HashMap::new(),
            report: None,
            work_time: None,
            unshared_work_time: None,
            stream_capacity: CapacityEstimate::default(),
            answer_capacity: CapacityEstimate::default(),
            cache: PrefixCache::default(),
            failures: 0,
            backoff_until: None,
            possible_restart_until: None,
            has_ended: false,
            restarted_until: None,
            failure_ratio: 0.0,
            slowdown,
            recent_sends: Vec::new(),
            last_stream_gap_at: None,
            silent_since: now,
        }
    }

    pub(super) fn record_sent(
        &mut self,
        prompt: &Prompt,
        has_prefix: bool,
        now: Instant,
    ) -> SentRequest {
        let (_, typical_first_event_secs) = self.first_event_secs(prompt, has_prefix, now);
        let unread_tokens = self.unread_tokens(prompt, has_prefix);
        if self.own.requests == 0 {
            self.silent_since = now;
        }
        self.own.requests += 1;
        self.own.unread_tokens += unread_tokens;
        let held_tokens = held_tokens(prompt);
        self.own.held_tokens += held_tokens;
        self.cache.store(&prompt.parts);
        self.recent_sends.push(now);
        self.recent_sends.retain(|at| now.saturating_duration_since(*at) < COLD_LIMIT_WINDOW);
        SentRequest { sent_at: now, unread_tokens, typical_first_event_secs, held_tokens }
    }

    pub(super) fn set_cache_capacity(&mut self, tokens: u64) {
        self.cache.set_capacity(tokens);
    }

    /// Records the parts of a prompt that another VM sent.
    pub(super) fn record_peer_prompt(&mut self, parts: &[PromptPart]) {
        self.cache.store(parts);
    }

    /// Records that bytes of a response arrived.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.silent_since = now;
    }

    /// Whether the target has been silent for much longer than its backlog explains.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let silent_secs = now.saturating_duration_since(self.silent_since).as_secs_f64();
        self.own.requests > 0
            && silent_secs > UNRESPONSIVE_AFTER_SECS + 2.0 * self.backlog_secs(now)
    }

    /// Records that the request's prompt has been read, or never will be.
    pub(super) fn record_prompt_read(&mut self, sent: SentRequest) {
        self.own.unread_tokens = (self.own.unread_tokens - sent.unread_tokens).max(0.0);
    }

    /// Records the first event of a response, and returns the slowdown of that response. What the
    /// target reports of its present work time is taken out of it, so that the average is that of
    /// the usual speed.
    pub(super) fn record_first_event(&mut self, sent: SentRequest, now: Instant) -> f64 {
        let first_event_secs = now.saturating_duration_since(sent.sent_at).as_secs_f64();
        let usual_secs = first_event_secs / self.work_time_factor(now);
        let slowdown = (usual_secs / sent.typical_first_event_secs)
            .clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
        if self.is_work_time_certain(now) {
            self.answer_capacity.record(self.in_flight(now).requests, slowdown, self.slots, now);
        }
        self.slowdown += SLOWDOWN_SMOOTHING * (slowdown - self.slowdown);
        slowdown
    }

    pub(super) fn has_own_requests(&self) -> bool {
        self.own.requests > 0
    }

    pub(super) fn record_end(&mut self) {
        self.own.requests = self.own.requests.saturating_sub(1);
    }

    /// Records that the target needs no more memory for the request.
    pub(super) fn record_memory_released(&mut self, sent: SentRequest) {
        self.own.held_tokens = (self.own.held_tokens - sent.held_tokens).max(0.0);
    }

    /// Whether the target reports the time that work takes.
    pub(super) fn reports_work_time(&self) -> bool {
        self.work_time.is_some()
    }

    /// The number of requests in flight that the target bears before it slows; `None` if it bears
    /// all that were tried.
    pub(super) fn request_limit(&self) -> Option<u32> {
        if self.last_stream_gap_at.is_some() {
            self.stream_capacity.limit()
        } else {
            self.answer_capacity.limit()
        }
    }

    /// How many requests like that of `prompt` the target bears beside those in flight, by its
    /// memory of `capacity_tokens` and, if `is_limited`, by its learnt limit; infinity if neither is
    /// known.
    pub(super) fn room(
        &self,
        prompt: &Prompt,
        capacity_tokens: u64,
        is_limited: bool,
        now: Instant,
    ) -> f64 {
        let in_flight = self.in_flight(now);
        let by_limit = self
            .request_limit()
            .filter(|_| is_limited)
            .map_or(f64::INFINITY, |limit| f64::from(limit) - f64::from(in_flight.requests));
        let by_memory = if capacity_tokens == 0 {
            f64::INFINITY
        } else {
            (capacity_tokens as f64 - in_flight.held_tokens) / held_tokens(prompt).max(1.0)
        };
        by_limit.min(by_memory).max(0.0)
    }

    pub(super) fn record_load_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
        if let Some(percent) = report.work_time_percent {
            let work_time = WorkTime { percent, reported_at: now };
            self.record_work_time(work_time);
            self.unshared_work_time = Some(work_time);
        }
    }

    /// Records a work time that the target reported to this VM or another one.
    pub(super) fn record_work_time(&mut self, work_time: WorkTime) {
        let is_newer = |known: WorkTime| known.reported_at < work_time.reported_at;
        if self.work_time.is_none_or(is_newer) {
            self.work_time = Some(work_time);
        }
    }

    /// Takes the work time to tell the other VMs of, if it is still of use to them.
    pub(super) fn take_unshared_work_time(&mut self, now: Instant) -> Option<WorkTime> {
        let is_fresh =
            |it: &WorkTime| now.saturating_duration_since(it.reported_at) < MAX_WORK_TIME_AGE;
        self.unshared_work_time.take().filter(is_fresh)
    }

    /// The expected ratio of the present work time to the usual one: what the target reported, which
    /// approaches 1 with the age of the report.
    fn work_time_factor(&self, now: Instant) -> f64 {
        let Some(WorkTime { percent, reported_at }) = self.work_time else { return 1.0 };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        let validity = (1.0 - age / MAX_WORK_TIME_AGE.as_secs_f64()).max(0.0);
        1.0 + validity * (f64::from(percent) / 100.0 - 1.0)
    }

    /// Whether the present work time is known, or the target never reports it. A target that is slow
    /// at present gathers requests, so unnoticed slow times would look like the cost of many
    /// requests.
    fn is_work_time_certain(&self, now: Instant) -> bool {
        self.work_time.is_none_or(|it| {
            now.saturating_duration_since(it.reported_at) < MAX_CERTAIN_WORK_TIME_AGE
        })
    }

    /// The expected time that work takes now, as a multiple of that of a typical engine.
    fn present_slowdown(&self, now: Instant) -> f64 {
        self.slowdown * self.work_time_factor(now)
    }

    pub(super) fn record_peer_in_flight(&mut self, vm: &str, in_flight: InFlight, now: Instant) {
        self.peers.insert(vm.to_owned(), (in_flight, now));
    }

    /// Records the time between two chunks of a stream. The average is that of the usual work time.
    pub(super) fn record_stream_gap(&mut self, gap_secs: f64, now: Instant) {
        let gap_secs = gap_secs / self.work_time_factor(now);
        if self.is_work_time_certain(now) {
            let requests = self.in_flight(now).requests;
            self.stream_capacity.record(requests, gap_secs, self.slots, now);
        }
        let average_secs =
            if self.has_recent_stream_gap(now) { self.own.stream_gap_secs } else { gap_secs };
        self.own.stream_gap_secs = average_secs + STREAM_GAP_SMOOTHING * (gap_secs - average_secs);
        self.last_stream_gap_at = Some(now);
    }

    fn has_recent_stream_gap(&self, now: Instant) -> bool {
        self.last_stream_gap_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_STREAM_GAP_AGE)
    }

    pub(super) fn own_in_flight(&self, now: Instant) -> InFlight {
        let stream_gap_secs =
            if self.has_recent_stream_gap(now) { self.own.stream_gap_secs } else { 0.0 };
        InFlight { stream_gap_secs, ..self.own }
    }

    pub(super) fn record_response(&mut self, failed: bool, now: Instant) {
        if std::mem::take(&mut self.has_ended) {
            self.restarted_until = Some(now + RESTART_DETECTION_DELAY);
        }
        self.failures = 0;
        self.backoff_until = None;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_ratio += FAILURE_SMOOTHING * (sample - self.failure_ratio);
    }

    /// Records that the target was unreachable or broke off a response.
    pub(super) fn record_failure(&mut self, now: Instant) {
        if self.backoff_until.is_none_or(|until| until <= now) {
            let backoff = MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
            self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
            self.failures += 1;
        }
        self.possible_restart_until = Some(now + MAX_BACKOFF + RESTART_DETECTION_DELAY);
        self.cache.clear();
    }

    /// Records that no process listened at the target's address.
    pub(super) fn record_refused_connection(&mut self, now: Instant) {
        self.has_ended = true;
        self.record_failure(now);
    }

    pub(super) fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Whether the target may have restarted since it was last reachable.
    pub(super) fn may_have_restarted(&self, now: Instant) -> bool {
        let is_unreachable = self.failures > 0 || self.has_ended;
        is_unreachable && self.possible_restart_until.is_some_and(|until| until > now)
            || self.restarted_until.is_some_and(|until| until > now)
    }

    pub(super) fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// The number of requests sent by this VM within the window of the cold limit.
    pub(super) fn recent_send_count(&self, now: Instant) -> usize {
        self.recent_sends
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < COLD_LIMIT_WINDOW)
            .count()
    }

    /// The requests that all VMs of the region have in flight at the target.
    pub(super) fn in_flight(&self, now: Instant) -> InFlight {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_PEER_LOAD_AGE;
        let peers =
            self.peers.values().filter(|(_, at)| is_recent(at)).map(|(in_flight, _)| in_flight);
        let mut sum = peers.fold(self.own_in_flight(now), |sum, peer| InFlight {
            requests: sum.requests + peer.requests,
            unread_tokens: sum.unread_tokens + peer.unread_tokens,
            stream_gap_secs: sum.stream_gap_secs.max(peer.stream_gap_secs),
            held_tokens: sum.held_tokens + peer.held_tokens,
        });
        if let Some((report, at)) = self.report
            && now.saturating_duration_since(at) < MAX_REPORT_AGE
        {
            sum.requests = sum.requests.max(report.running + report.waiting);
        }
        sum
    }

    /// The tokens of `prompt` that the target has to read. With `has_prefix` it is assumed to have
    /// the shared prefix, whether or not this VM has sent it there.
    pub(super) fn unread_tokens(&self, prompt: &Prompt, has_prefix: bool) -> f64 {
        let shared_parts = if has_prefix { prompt.parts.len().saturating_sub(1) } else { 0 };
        f64::from(prompt.uncached_tokens(self.cache.held_parts(&prompt.parts).max(shared_parts)))
    }

    /// Whether the target is believed to have the whole shared prefix of `prompt` in its cache.
    pub(super) fn caches_prefix(&self, prompt: &Prompt) -> bool {
        self.cache.held_parts(&prompt.parts) + 1 >= prompt.parts.len()
    }

    /// The expected seconds until the first event of `prompt`, at this target and at a typical
    /// engine with the same backlog.
    pub(super) fn first_event_secs(
        &self,
        prompt: &Prompt,
        has_prefix: bool,
        now: Instant,
    ) -> (f64, f64) {
        let tokens = self.in_flight(now).unread_tokens + self.unread_tokens(prompt, has_prefix);
        let typical_secs = MIN_FIRST_EVENT_SECS + tokens / PREFILL_TOKENS_PER_SEC;
        (typical_secs * self.present_slowdown(now), typical_secs)
    }

    /// The expected seconds between two chunks of a stream at present.
    pub(super) fn stream_gap_secs(&self, now: Instant) -> f64 {
        self.in_flight(now).stream_gap_secs * self.work_time_factor(now)
    }

    /// Seconds until the target has read all prompts sent to it.
    pub(super) fn backlog_secs(&self, now: Instant) -> f64 {
        self.in_flight(now).unread_tokens / PREFILL_TOKENS_PER_SEC * self.present_slowdown(now)
    }
}

/// Prompt and output tokens of a request, for which a target needs memory.
fn held_tokens(prompt: &Prompt) -> f64 {
    f64::from(prompt.tokens) + f64::from(prompt.max_output_tokens)
}
