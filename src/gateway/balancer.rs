use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Prompt, PromptPart,
    decaying_rate::DecayingRate,
    explain::millis_of,
    load_sharing::share_interval,
    target_tracker::{
        InFlight, LoadReport, PREFILL_TOKENS_PER_SEC, SentRequest, TargetTracker, WorkTime,
    },
};
use crate::{
    explain::Verdict,
    id,
    registry::Target,
    throttle::{self, Answer, Change, Notice, Pause, PauseNotice, Permission, Returns},
};

/// Above this number of trackers, those of targets without requests of this VM are dropped.
const MAX_TRACKERS: usize = 4096;
/// The time that a full batch adds to the time until the first event.
pub(super) const FULL_BATCH_DELAY_SECS: f64 = 0.1;
/// The time that each request queued beyond the slots of a target adds.
const QUEUED_REQUEST_DELAY_SECS: f64 = 0.02;
/// The sample size is this factor times the number of targets, divided by the number of requests
/// that the other VMs of the region are expected to send between two of their load messages.
const SAMPLE_SIZE_FACTOR: f64 = 4.0;
/// The better of two random targets is a far better choice than a single random one.
const MIN_SAMPLE_SIZE: usize = 2;
/// The targets with the prefix of a prompt that are added to a sample. One of them is likely to be
/// free, and requests that share a prefix stay on few targets.
const MAX_SAMPLED_HOLDERS: usize = 2;
/// Added to the cost of a target in proportion to the share of its responses that are failures.
const FAILURE_PENALTY_SECS: f64 = 1.0;
/// Added to the cost of a target that has stopped announcing itself.
const SILENT_TARGET_PENALTY_SECS: f64 = 0.5;
/// The upper bound of a random cost, so that VMs with the same data do not all choose the same
/// target.
const MAX_JITTER_SECS: f64 = 0.002;
/// The weight of each second by which other streams at the target are delayed. It is low because
/// streams have several times as much slack.
const OTHER_STREAMS_DELAY_WEIGHT: f64 = 0.04;
/// The weight of each second that the request's own stream is expected to take.
const OWN_STREAM_WEIGHT: f64 = 0.05;
/// The number of tokens in a chunk of a stream.
const TOKENS_PER_CHUNK: f64 = 8.0;
/// Added to the cost of a target that must copy the shared prefix of the prompt from another one.
const PREFIX_COPY_PENALTY_SECS: f64 = 0.01;
/// The number of slots assumed for a target that reports none.
const DEFAULT_SLOTS: f64 = 8.0;
/// The weight of a new sample in the moving average of the slowdown that is assumed for new
/// targets.
const DEFAULT_SLOWDOWN_SMOOTHING: f64 = 0.02;

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The targets of the service in this region that accept requests.
    pub targets: &'a [&'a Target],
    /// The prompt of the request.
    pub prompt: &'a Prompt,
    /// Targets that must not be chosen again.
    pub tried: &'a [id::Target],
    /// The requests a second that all VMs together may send to a cold target; zero for no limit.
    pub cold_requests_per_sec: f64,
    /// The VMs of this region that send requests to its targets, including this one.
    pub peers: &'a throttle::Peers,
    /// The prompt tokens that the memory of one target holds; zero if they are unknown.
    pub cache_capacity_tokens: u64,
    /// Whether any target may have become cold without this VM having heard of it.
    pub may_be_outdated: bool,
}

/// The parts of a prompt that a VM sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// The target.
    pub target: id::Target,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
}

/// The chosen target, and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: Target,
    /// The target to copy the shared prefix of the prompt from, if the chosen one lacks it.
    pub cache_source: Option<Target>,
    /// Whether the chosen target is the one that reads the shared prefix first.
    pub owns_prefix: bool,
    /// The expected seconds until the first event.
    pub first_event_secs: f64,
    /// The number of requests that the target is believed to have in flight.
    pub in_flight: u32,
}

/// The load of this region's targets of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// The sum of their slots.
    pub slots: u32,
    /// The sum of their requests in flight.
    pub requests: u32,
    /// Seconds until the least loaded target has read all prompts sent to it.
    pub min_backlog_secs: f64,
}

/// Chooses targets on one VM, by the requests that this VM and the others of its region have in
/// flight there.
#[derive(Debug)]
pub struct Balancer {
    trackers: HashMap<id::Target, TargetTracker>,
    random: StdRng,
    default_slowdown: f64,
    send_rate: DecayingRate,
    /// The prompts that the other VMs of the region have not been told of.
    unreported_prompts: Vec<SentPrompt>,
    throttle: throttle::Tracker,
    returns: Returns,
    /// Whether targets are kept below the numbers of requests at which they slow, and those that do
    /// not report their work time within their memory, too.
    learns_capacity: bool,
}

impl Balancer {
    /// A balancer without data on any target.
    pub fn new(seed: u64) -> Self {
        Self {
            trackers: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            default_slowdown: 1.0,
            send_rate: DecayingRate::default(),
            unreported_prompts: Vec::new(),
            throttle: throttle::Tracker::default(),
            returns: Returns::default(),
            learns_capacity: false,
        }
    }

    /// Sets whether the balancer goes by the learnt limits and the memory of all targets. It always
    /// goes by the memory of targets that report their work time.
    pub fn with_capacity_learning(self, learns_capacity: bool) -> Self {
        Self { learns_capacity, ..self }
    }

    /// Chooses the target with the lowest cost, or none if no target may take the request now.
    pub fn choose(&mut self, query: TargetQuery<'_>, now: Instant) -> Option<Pick> {
        self.choose_observed(query, now, &mut |_, _| {})
    }

    /// A copy that knows of `targets` only, to try a choice without any effect.
    pub(super) fn copy_for(&self, targets: &[Target], seed: u64) -> Self {
        let copy = |target: &Target| {
            let tracker = self.trackers.get(&target.target)?.clone();
            Some((target.target.clone(), tracker))
        };
        Self {
            trackers: targets.iter().filter_map(copy).collect(),
            default_slowdown: self.default_slowdown,
            send_rate: self.send_rate,
            throttle: self.throttle.clone(),
            ..Self::new(seed)
        }
    }

    /// Like [`choose`](Self::choose), and tells `observe` why each target is or is not chosen.
    pub(super) fn choose_observed(
        &mut self,
        query: TargetQuery<'_>,
        now: Instant,
        observe: &mut dyn FnMut(&Target, Verdict),
    ) -> Option<Pick> {
        let tried = |target: &Target| query.tried.contains(&target.target);
        let mut untried: Vec<&Target> =
            query.targets.iter().copied().filter(|target| !tried(target)).collect();
        for target in query.targets.iter().filter(|target| tried(target)) {
            observe(target, Verdict::Tried);
        }
        untried.retain(|target| {
            let Permission::After(delay) = self.permission(target, query, now) else { return true };
            let left_ms = millis_of(delay.as_secs_f64());
            let is_paused = self.is_paused(target, now);
            observe(
                target,
                if is_paused { Verdict::Paused { left_ms } } else { Verdict::Limited { left_ms } },
            );
            false
        });
        let is_last_resort = |target: &Target| {
            self.throttle.is_last_resort(&target.target, target.incarnation, query.peers, now)
        };
        if untried.iter().any(|target| !is_last_resort(target)) {
            untried.retain(|target| {
                let is_last_resort = is_last_resort(target);
                if is_last_resort {
                    observe(target, Verdict::PausedElsewhere);
                }
                !is_last_resort
            });
        }
        for target in query.targets {
            self.tracker(target, now).set_cache_capacity(query.cache_capacity_tokens);
        }
        self.leave_out_targets_without_room(&mut untried, query, now);
        let ranked = self.rank_by_prefix(query, now);
        let owner = ranked.first().copied();
        let holders: Vec<&Target> = ranked
            .into_iter()
            .filter(|target| self.tracker(target, now).caches_prefix(query.prompt))
            .collect();
        let all_unavailable = untried.iter().all(|target| self.is_unavailable(target, now));
        let preferred: Vec<&Target> = owner
            .into_iter()
            .chain(holders.iter().copied().take(MAX_SAMPLED_HOLDERS))
            .filter(|target| is_among(target, &untried))
            .collect();
        let all_untried = untried.clone();
        let sample = self.sample(untried, &preferred, query.peers, now);
        for target in all_untried.iter().filter(|target| !is_among(target, &sample)) {
            observe(target, Verdict::NotDrawn);
        }
        let mut best: Option<(f64, Pick)> = None;
        for target in sample {
            if self.may_be_cold(target, query, now) && !self.is_below_cold_limit(target, query, now)
            {
                observe(target, Verdict::ColdLimit);
                continue;
            }
            if !all_unavailable && self.is_unavailable(target, now) {
                let is_in_backoff = self.tracker(target, now).is_in_backoff(now);
                let verdict = if is_in_backoff { Verdict::Backoff } else { Verdict::Unresponsive };
                observe(target, verdict);
                continue;
            }
            // The owner is assumed to have the shared prefix, as every VM sends it there first.
            // Other targets copy it from a target that is known to have it.
            let owns_prefix = is_among(target, owner.as_slice());
            let copies_prefix = !holders.is_empty() && !is_among(target, &holders);
            let (first_event_secs, in_flight) =
                self.estimate(target, query.prompt, owns_prefix || copies_prefix, now);
            let mut cost_secs = first_event_secs + self.random.random_range(0.0..MAX_JITTER_SECS);
            cost_secs += FAILURE_PENALTY_SECS * self.tracker(target, now).failure_ratio();
            if target.silent {
                cost_secs += SILENT_TARGET_PENALTY_SECS;
            }
            cost_secs +=
                self.interference_secs(target, query.prompt, owns_prefix || copies_prefix, now);
            if copies_prefix {
                cost_secs += PREFIX_COPY_PENALTY_SECS;
            }
            observe(
                target,
                Verdict::Compared {
                    first_event_ms: millis_of(first_event_secs),
                    cost_ms: millis_of(cost_secs),
                    in_flight,
                },
            );
            if best.as_ref().is_none_or(|(least, _)| cost_secs < *least) {
                let cache_source =
                    holders.first().filter(|_| copies_prefix).map(|holder| (*holder).clone());
                let pick = Pick {
                    target: target.clone(),
                    cache_source,
                    owns_prefix,
                    first_event_secs,
                    in_flight,
                };
                best = Some((cost_secs, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// The targets to choose from: a random sample and the `preferred` ones, which are the prefix
    /// owner and targets that have the prefix.
    ///
    /// The other VMs choose by the same data. The more requests they send before their next load
    /// messages, the smaller the sample, as all VMs would choose the same best targets otherwise.
    fn sample<'a>(
        &mut self,
        mut targets: Vec<&'a Target>,
        preferred: &[&'a Target],
        peers: &throttle::Peers,
        now: Instant,
    ) -> Vec<&'a Target> {
        let unreported_requests = self.unreported_requests(peers, now);
        let size = (SAMPLE_SIZE_FACTOR * targets.len() as f64 / unreported_requests.max(1.0)).ceil()
            as usize;
        let size = size.max(MIN_SAMPLE_SIZE);
        if size >= targets.len() {
            return targets;
        }
        let (sample, _) = targets.partial_shuffle(&mut self.random, size);
        let mut sample = sample.to_vec();
        for target in preferred {
            if !is_among(target, &sample) {
                sample.push(target);
            }
        }
        sample
    }

    /// Records a request that is sent to the chosen target.
    pub fn record_sent(&mut self, pick: &Pick, prompt: &Prompt, now: Instant) -> SentRequest {
        let has_prefix = pick.owns_prefix || pick.cache_source.is_some();
        self.send_rate.record(now);
        self.throttle.record_sent(&pick.target.target, pick.target.incarnation);
        if !prompt.parts.is_empty() {
            let sent =
                SentPrompt { target: pick.target.target.clone(), parts: prompt.parts.clone() };
            self.unreported_prompts.push(sent);
        }
        self.tracker(&pick.target, now).record_sent(prompt, has_prefix, now)
    }

    /// Records a request that is sent to the chosen target and whose progress is never recorded.
    pub fn record_sent_untracked(&mut self, pick: &Pick, prompt: &Prompt, now: Instant) {
        let sent = self.record_sent(pick, prompt, now);
        self.tracker(&pick.target, now).record_memory_released(sent);
    }

    /// Records that a target has read a request's prompt, or never will.
    pub fn record_prompt_read(&mut self, target: &Target, sent: SentRequest, now: Instant) {
        self.tracker(target, now).record_prompt_read(sent);
    }

    /// Records the first event of a response.
    pub fn record_first_event(&mut self, target: &Target, sent: SentRequest, now: Instant) {
        let slowdown = self.tracker(target, now).record_first_event(sent, now);
        self.default_slowdown += DEFAULT_SLOWDOWN_SMOOTHING * (slowdown - self.default_slowdown);
    }

    /// Records that bytes of a response arrived from a target.
    pub fn record_activity(&mut self, target: &Target, now: Instant) {
        self.tracker(target, now).record_activity(now);
    }

    /// Records the time between two chunks of a stream.
    pub fn record_stream_gap(&mut self, target: &Target, gap_secs: f64, now: Instant) {
        self.tracker(target, now).record_stream_gap(gap_secs, now);
    }

    /// Records the end of a request whose progress was recorded, whatever its outcome.
    pub fn record_completed(&mut self, target: &Target, sent: SentRequest, now: Instant) {
        self.tracker(target, now).record_memory_released(sent);
        self.record_end(target, now);
    }

    /// Records the end of a request whose progress was not recorded, whatever its outcome.
    pub fn record_end(&mut self, target: &Target, now: Instant) {
        self.tracker(target, now).record_end();
    }

    /// Records what a target's answer tells of its limit. Returns what changed.
    pub fn record_limit(
        &mut self,
        target: &Target,
        answer: Answer,
        now: Instant,
    ) -> Option<Change> {
        self.throttle.record_answer(&target.target, target.incarnation, answer, now)
    }

    /// Records that a target asked this VM for a pause. Returns whether the pause has begun with that.
    pub fn record_pause(&mut self, target: &Target, pause: Pause, now: Instant) -> bool {
        self.throttle.record_pause(&target.target, target.incarnation, pause, now)
    }

    /// Records that a target asked another VM of the region for a pause.
    pub fn record_pause_notice(&mut self, notice: &PauseNotice, now: Instant) {
        self.throttle.record_pause_notice(notice, now);
    }

    /// What the other VMs of the region are to know of the pauses that targets asked this VM for.
    pub fn pause_notices(&self, now: Instant) -> Vec<PauseNotice> {
        self.throttle.pause_notices(now)
    }

    /// Whether a target has asked this VM for a pause that has not ended.
    pub fn is_paused(&self, target: &Target, now: Instant) -> bool {
        self.throttle.is_paused(&target.target, target.incarnation, now)
    }

    /// Records what another VM of the region says of a target's limit. Returns what changed.
    pub fn record_limit_notice(&mut self, notice: &Notice, now: Instant) -> Option<Change> {
        self.throttle.record_notice(notice, now)
    }

    /// What the other VMs of the region are to know of the limits of targets.
    pub fn limit_notices(&self, peers: &throttle::Peers, now: Instant) -> Vec<Notice> {
        self.throttle.notices(peers, now)
    }

    /// The time until a target may take the request, if the limits that targets name or the pauses
    /// that they ask for are what keeps it from all of them. Targets that were tried count if there
    /// are no others.
    pub fn throttle_delay(&mut self, query: TargetQuery<'_>, now: Instant) -> Option<Duration> {
        let is_tried = |target: &&&Target| query.tried.contains(&target.target);
        let all_tried = query.targets.iter().all(|target| is_tried(&target));
        let mut min_delay = None;
        for target in query.targets.iter().filter(|target| all_tried || !is_tried(target)) {
            let Permission::After(delay) = self.permission(target, query, now) else { return None };
            min_delay = min_delay.map_or(Some(delay), |least: Duration| Some(least.min(delay)));
        }
        min_delay
    }

    /// The time after which a caller of `service` may return that was refused because of the limits
    /// that `targets` name or the pauses that they ask for. `vm_count` VMs refuse callers.
    pub fn next_return(
        &mut self,
        service: &id::Service,
        targets: &[Target],
        vm_count: u32,
        now: Instant,
    ) -> Option<Duration> {
        let targets = targets.iter().map(|target| (&target.target, target.incarnation));
        self.returns.next_return(&self.throttle, service, targets, vm_count, now)
    }

    /// The number of targets that have asked this VM for a pause.
    pub fn paused_target_count(&self, now: Instant) -> usize {
        self.throttle.paused_targets(now).len()
    }

    /// The number of targets of which is learnt that they bear fewer requests than they have slots.
    pub fn slowing_target_count(&self) -> usize {
        let is_limited =
            |tracker: &&TargetTracker| self.learns_capacity && tracker.request_limit().is_some();
        self.trackers.values().filter(is_limited).count()
    }

    /// The number of targets with a limit.
    pub fn limited_target_count(&self) -> usize {
        self.throttle.limited_targets().len()
    }

    /// Records the load that a target reported.
    pub fn record_load_report(&mut self, target: &Target, report: LoadReport, now: Instant) {
        self.tracker(target, now).record_load_report(report, now);
    }

    /// Takes the work times that targets have reported to this VM since the last call, to tell the
    /// other VMs of them.
    pub fn take_unshared_work_times(&mut self, now: Instant) -> Vec<(id::Target, WorkTime)> {
        let take = |(target, tracker): (&id::Target, &mut TargetTracker)| {
            Some((target.clone(), tracker.take_unshared_work_time(now)?))
        };
        self.trackers.iter_mut().filter_map(take).collect()
    }

    /// Records the work time that a target reported to another VM of the region.
    pub fn record_peer_work_time(&mut self, target: &Target, work_time: WorkTime, now: Instant) {
        self.tracker(target, now).record_work_time(work_time);
    }

    /// Records that a target responded, with a server error or not.
    pub fn record_response(&mut self, target: &Target, failed: bool, now: Instant) {
        self.tracker(target, now).record_response(failed, now);
    }

    /// Records that no process listened at a target's address.
    pub fn record_refused_connection(&mut self, target: &Target, now: Instant) {
        self.tracker(target, now).record_refused_connection(now);
    }

    /// Records that a target was unreachable or broke off a response.
    pub fn record_failure(&mut self, target: &Target, now: Instant) {
        self.tracker(target, now).record_failure(now);
    }

    /// Records the requests that another VM of the region has in flight at a target.
    pub fn record_peer_in_flight(
        &mut self,
        vm: &str,
        target: &Target,
        in_flight: InFlight,
        now: Instant,
    ) {
        self.tracker(target, now).record_peer_in_flight(vm, in_flight, now);
    }

    /// Takes the prompts that were sent since the last call, to tell the other VMs of them.
    pub fn take_unreported_prompts(&mut self) -> Vec<SentPrompt> {
        std::mem::take(&mut self.unreported_prompts)
    }

    /// Records the parts of a prompt that another VM of the region sent to a target.
    pub fn record_peer_prompt(&mut self, target: &Target, parts: &[PromptPart], now: Instant) {
        self.tracker(target, now).record_peer_prompt(parts);
    }

    /// The requests that this VM has in flight at each target.
    pub fn own_in_flight(&self, now: Instant) -> impl Iterator<Item = (&id::Target, InFlight)> {
        let has_requests = |in_flight: &InFlight| in_flight.requests > 0;
        let in_flight =
            self.trackers.iter().map(move |(target, tracker)| (target, tracker.own_in_flight(now)));
        in_flight.filter(move |(_, in_flight)| has_requests(in_flight))
    }

    /// The load of the available ones of `targets`. Those that name a limit or ask for a pause have no
    /// free capacity, however few requests they get.
    pub fn local_load(&mut self, targets: &[&Target], now: Instant) -> LocalLoad {
        let mut load = LocalLoad { min_backlog_secs: f64::MAX, ..LocalLoad::default() };
        for target in targets {
            if self.is_unavailable(target, now) || self.is_throttled(target, now) {
                continue;
            }
            let tracker = self.tracker(target, now);
            load.slots = load.slots.saturating_add(target.slots);
            load.requests += tracker.in_flight(now).requests;
            load.min_backlog_secs = load.min_backlog_secs.min(tracker.backlog_secs(now));
        }
        load
    }

    /// Whether a target with requests of this VM has been silent for longer than its backlog
    /// explains.
    pub fn is_unresponsive(&mut self, target: &Target, now: Instant) -> bool {
        self.tracker(target, now).is_unresponsive(now)
    }

    /// Whether the target recently failed or is unresponsive.
    fn is_unavailable(&mut self, target: &Target, now: Instant) -> bool {
        let tracker = self.tracker(target, now);
        tracker.is_in_backoff(now) || tracker.is_unresponsive(now)
    }

    /// Removes the targets that do not bear the request beside those in flight, if others do.
    ///
    /// The other VMs go by the same data. Where they send more requests before their next load
    /// messages than there is room for, only a part of the requests goes to the targets with room,
    /// as those would have far too many otherwise.
    fn leave_out_targets_without_room(
        &mut self,
        targets: &mut Vec<&Target>,
        query: TargetQuery<'_>,
        now: Instant,
    ) {
        if !targets.iter().any(|target| self.is_learnt(target, now)) {
            return;
        }
        let room: Vec<f64> = targets.iter().map(|target| self.room(target, query, now)).collect();
        let has_room = |room: &f64| *room >= 1.0;
        if room.iter().all(has_room) || !room.iter().any(has_room) {
            return;
        }
        let total_room: f64 = room.iter().copied().filter(has_room).map(f64::floor).sum();
        let expected = 1.0 + self.unreported_requests(query.peers, now);
        if total_room >= expected || self.random.random_bool(total_room / expected) {
            let mut room = room.iter();
            targets.retain(|_| room.next().is_some_and(has_room));
        }
    }

    /// How many requests like this one the target bears beside those in flight, as far as that is
    /// learnt. Zero if it must not be chosen now.
    fn room(&mut self, target: &Target, query: TargetQuery<'_>, now: Instant) -> f64 {
        let is_withheld = self.is_unavailable(target, now)
            || self.may_be_cold(target, query, now)
                && !self.is_below_cold_limit(target, query, now);
        if is_withheld {
            return 0.0;
        }
        if !self.is_learnt(target, now) {
            return f64::INFINITY;
        }
        let is_limited = self.learns_capacity;
        let tracker = self.tracker(target, now);
        tracker.room(query.prompt, query.cache_capacity_tokens, is_limited, now)
    }

    /// Whether the balancer goes by what is known of the capacity of the target.
    fn is_learnt(&mut self, target: &Target, now: Instant) -> bool {
        self.learns_capacity || self.tracker(target, now).reports_work_time()
    }

    /// The number of requests that the other VMs of the region are expected to send before their
    /// next load messages.
    fn unreported_requests(&self, peers: &throttle::Peers, now: Instant) -> f64 {
        let other_vms = peers.vm_count() - 1;
        f64::from(other_vms) * self.send_rate.per_sec(now) * share_interval(other_vms).as_secs_f64()
    }

    /// Whether the target has a limit or asked for a pause.
    fn is_throttled(&self, target: &Target, now: Instant) -> bool {
        self.throttle.limit(&target.target, target.incarnation).is_some()
            || self.is_paused(target, now)
    }

    /// Whether what the target says that it takes permits this VM to send it a request.
    fn permission(&mut self, target: &Target, query: TargetQuery<'_>, now: Instant) -> Permission {
        self.throttle.permission(&target.target, target.incarnation, query.peers, now)
    }

    fn may_be_cold(&mut self, target: &Target, query: TargetQuery<'_>, now: Instant) -> bool {
        query.may_be_outdated
            || target.cold_until > now
            || self.tracker(target, now).may_have_restarted(now)
    }

    /// Whether this VM may send one more request to a cold target.
    fn is_below_cold_limit(
        &mut self,
        target: &Target,
        query: TargetQuery<'_>,
        now: Instant,
    ) -> bool {
        if query.cold_requests_per_sec <= 0.0 {
            return true;
        }
        let share_per_sec = query.peers.share_per_sec(&target.target, query.cold_requests_per_sec);
        self.tracker(target, now).recent_send_count(now) < share_per_sec as usize
    }

    /// The targets that may own the shared prefix of the prompt, in an order that is the same on
    /// every VM. The first one owns it: it reads the prefix first. Empty if the prompt has no
    /// shared prefix, or if every target is unavailable, limited, cold or silent.
    fn rank_by_prefix<'a>(&mut self, query: TargetQuery<'a>, now: Instant) -> Vec<&'a Target> {
        let Some(prefix_key) = query.prompt.shared_prefix_key() else { return Vec::new() };
        let is_suitable = |target: &&Target| {
            !self.is_unavailable(target, now)
                && !self.is_throttled(target, now)
                && !self.may_be_cold(target, query, now)
                && !target.silent
        };
        let mut targets: Vec<&Target> = query.targets.iter().copied().filter(is_suitable).collect();
        targets.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous_hash(prefix_key, target)));
        targets
    }

    /// The cost of the delays that the request and the streams at the target cause each other.
    /// While a target reads a prompt, its streams advance by one token for each batch of prompt
    /// tokens.
    fn interference_secs(
        &mut self,
        target: &Target,
        prompt: &Prompt,
        has_prefix: bool,
        now: Instant,
    ) -> f64 {
        let tracker = self.tracker(target, now);
        let in_flight = tracker.in_flight(now);
        let stream_gap_secs = tracker.stream_gap_secs(now);
        let read_secs = tracker.unread_tokens(prompt, has_prefix) / PREFILL_TOKENS_PER_SEC;
        let others_secs = f64::from(in_flight.requests) * read_secs * OTHER_STREAMS_DELAY_WEIGHT;
        let own_secs = f64::from(prompt.max_output_tokens) / TOKENS_PER_CHUNK
            * stream_gap_secs
            * OWN_STREAM_WEIGHT;
        others_secs + own_secs
    }

    /// The expected seconds until the first event, and the requests in flight at the target.
    fn estimate(
        &mut self,
        target: &Target,
        prompt: &Prompt,
        has_prefix: bool,
        now: Instant,
    ) -> (f64, u32) {
        let tracker = self.tracker(target, now);
        let in_flight = tracker.in_flight(now);
        let requests = f64::from(in_flight.requests);
        let slots = if target.slots == 0 { DEFAULT_SLOTS } else { f64::from(target.slots) };
        let (mut first_event_secs, _) = tracker.first_event_secs(prompt, has_prefix, now);
        first_event_secs += FULL_BATCH_DELAY_SECS * (requests / slots).min(1.0);
        first_event_secs += QUEUED_REQUEST_DELAY_SECS * (requests + 1.0 - slots).max(0.0);
        (first_event_secs, in_flight.requests)
    }

    fn tracker(&mut self, target: &Target, now: Instant) -> &mut TargetTracker {
        if self.trackers.len() > MAX_TRACKERS {
            self.trackers.retain(|_, tracker| tracker.has_own_requests());
        }
        let slowdown = self.default_slowdown;
        let tracker = self
            .trackers
            .entry(target.target.clone())
            .or_insert_with(|| TargetTracker::new(target.incarnation, target.slots, slowdown, now));
        if tracker.incarnation < target.incarnation {
            *tracker = TargetTracker::new(target.incarnation, target.slots, slowdown, now);
        }
        tracker
    }
}

fn is_among(target: &Target, targets: &[&Target]) -> bool {
    targets.iter().any(|other| other.target == target.target)
}

fn rendezvous_hash(key: u64, target: &Target) -> u64 {
    let mut bytes = key.to_le_bytes().to_vec();
    bytes.extend_from_slice(target.target.as_str().as_bytes());
    xxh3_64(&bytes)
}
