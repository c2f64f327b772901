use std::{collections::HashMap, time::Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Peers, Prompt,
    decaying_rate::DecayingRate,
    load_sharing::share_interval,
    target_tracker::{InFlight, LoadReport, PREFILL, SentRequest, TargetTracker},
};
use crate::{id, registry::Target};

/// Targets that are remembered beyond those of the registry.
const MOST_TRACKS: usize = 4096;
/// Seconds that a full batch adds to the time until the first event.
pub(super) const CROWD: f64 = 0.1;
/// Seconds charged for each request that waits beyond the places of a target.
const QUEUED: f64 = 0.02;
/// The targets to choose from, were the other VMs of the region to send one request each between
/// two words of theirs; with more requests unseen, fewer.
const CHOICES: f64 = 4.0;
/// The fewest targets to choose from: the better of two is far better than one at random.
const FEWEST: usize = 2;
/// Seconds charged for a target that fails all requests, in proportion.
const FAILING: f64 = 1.0;
/// Seconds charged for a target that failed to announce itself.
const SILENT: f64 = 0.5;
/// Seconds drawn at random, so that VMs that know the same do not all choose the same target.
const JITTER: f64 = 0.002;
/// Seconds charged for each second by which a stream at the target is delayed: it has several times
/// as much to spare.
const SLOWS_OTHERS: f64 = 0.04;
/// Seconds charged for each second that the request's own stream is expected to take.
const SLOWED: f64 = 0.05;
/// Tokens in a piece of a stream.
const PIECE: f64 = 8.0;
/// Seconds charged for having the shared parts of a prompt copied from another target.
const FETCH: f64 = 0.01;
/// The places of a target that does not tell.
const SLOTS_UNTOLD: f64 = 8.0;
/// The weight of one first event in the pace that is taken for targets without any.
const PACE_GAIN: f64 = 0.02;

/// A request that looks for a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The targets of the service in this region that take work.
    pub targets: &'a [&'a Target],
    /// What it asks to read and write.
    pub prompt: &'a Prompt,
    /// Targets that it must not be sent to again.
    pub tried: &'a [id::Target],
    /// Requests a second that a cold target bears over all VMs; zero where there is no bound.
    pub cold_requests_per_sec: f64,
    /// The VMs of this region that take callers, this one included.
    pub peers: &'a Peers,
}

/// The target chosen, and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: Target,
    /// The target that is believed to keep the shared parts of the prompt, where the chosen one is
    /// not: it can get them from there.
    pub cache_source: Option<Target>,
    /// Whether the chosen one is where the shared parts are read first.
    pub owns_prefix: bool,
    /// Seconds until the first event.
    pub first_event_secs: f64,
    /// How many requests it is believed to hold.
    pub in_flight: u32,
}

/// How busy the targets of a service in a region are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Places at targets.
    pub slots: u32,
    /// Requests there.
    pub requests: u32,
    /// Seconds until what was sent has been read, at the least busy target.
    pub min_backlog_secs: f64,
}

/// What one VM knows of targets by the requests that it and the VMs near by sent there, and its
/// choice among them.
#[derive(Debug)]
pub struct Balancer {
    tracks: HashMap<id::Target, TargetTracker>,
    random: StdRng,
    pace: f64,
    rate: DecayingRate,
}

impl Balancer {
    /// A board that knows nothing yet.
    pub fn new(seed: u64) -> Self {
        Self {
            tracks: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            pace: 1.0,
            rate: DecayingRate::default(),
        }
    }

    /// Chooses a target; nothing where none may get the request now.
    pub fn choose(&mut self, query: TargetQuery<'_>, now: Instant) -> Option<Pick> {
        let tried = |target: &Target| query.tried.contains(&target.target);
        let open: Vec<&Target> =
            query.targets.iter().copied().filter(|target| !tried(target)).collect();
        let keeper = self.keeper(query, now);
        let kept = keeper.is_some_and(|keeper| self.track(keeper, now).keeps(query.prompt));
        let resting = open.iter().all(|target| self.is_out(target, now));
        let open = self.sample(open, keeper, query.peers, now);
        let mut best: Option<(f64, Pick)> = None;
        for target in open {
            if self.is_cold(target, now) && !self.may_warm(target, query, now) {
                continue;
            }
            if !resting && self.is_out(target, now) {
                continue;
            }
            // The keeper is taken to have the shared parts, as every VM sends them there first;
            // others get them from there once this VM knows that it has them.
            let owns_prefix = keeper.is_some_and(|keeper| keeper.target == target.target);
            let fetches = !owns_prefix && kept && !self.track(target, now).keeps(query.prompt);
            let (first_event_secs, in_flight) =
                self.delay(target, query.prompt, owns_prefix || fetches, now);
            let mut cost = first_event_secs + self.random.random_range(0.0..JITTER);
            cost += FAILING * self.track(target, now).failing();
            if target.silent {
                cost += SILENT;
            }
            cost += self.interference(target, query.prompt, owns_prefix || fetches, now);
            if fetches {
                cost += FETCH;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let cache_source = keeper.filter(|_| fetches).cloned();
                let pick = Pick {
                    target: target.clone(),
                    cache_source,
                    owns_prefix,
                    first_event_secs,
                    in_flight,
                };
                best = Some((cost, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// The targets to choose from: `keeper` and, where other VMs choose by the same stale word many
    /// times over, a few drawn at random, as all would choose the same best ones.
    fn sample<'a>(
        &mut self,
        mut open: Vec<&'a Target>,
        keeper: Option<&Target>,
        vms: &Peers,
        now: Instant,
    ) -> Vec<&'a Target> {
        let others = vms.vm_count() - 1;
        let unseen = f64::from(others) * self.rate.at(now) * share_interval(others).as_secs_f64();
        let most = (CHOICES * open.len() as f64 / unseen.max(1.0)).ceil() as usize;
        let most = most.max(FEWEST);
        if most >= open.len() {
            return open;
        }
        let (drawn, _) = open.partial_shuffle(&mut self.random, most);
        let mut drawn = drawn.to_vec();
        let keeps = |target: &&Target| keeper.is_some_and(|keeper| keeper.target == target.target);
        if !drawn.iter().any(keeps) {
            drawn.extend(open.iter().copied().find(|target| keeps(target)));
        }
        drawn
    }

    /// Counts a request that is sent as chosen.
    pub(crate) fn record_sent(
        &mut self,
        pick: &Pick,
        prompt: &Prompt,
        now: Instant,
    ) -> SentRequest {
        let kept = pick.owns_prefix || pick.cache_source.is_some();
        self.rate.count(now);
        self.track(&pick.target, now).sent(prompt, kept, now)
    }

    /// Counts a request that is sent as chosen and never heard of again.
    pub fn record_sent_untracked(&mut self, pick: &Pick, prompt: &Prompt, now: Instant) {
        self.record_sent(pick, prompt, now);
    }

    /// A request's prompt has been read, or never will be.
    pub(crate) fn record_prompt_read(&mut self, target: &Target, sent: SentRequest, now: Instant) {
        self.track(target, now).read(sent);
    }

    /// The first event of a request came.
    pub(crate) fn record_first_event(&mut self, target: &Target, sent: SentRequest, now: Instant) {
        let sample = self.track(target, now).began(sent, now);
        self.pace += PACE_GAIN * (sample - self.pace);
    }

    /// Bytes of an answer came from a target.
    pub fn record_activity(&mut self, target: &Target, now: Instant) {
        self.track(target, now).heard(now);
    }

    /// A stream paused for so many seconds between two of its pieces.
    pub fn record_stream_gap(&mut self, target: &Target, pause: f64, now: Instant) {
        self.track(target, now).paused(pause, now);
    }

    /// A request ended, however.
    pub fn record_end(&mut self, target: &Target, now: Instant) {
        self.track(target, now).ended();
    }

    /// A target told its load.
    pub fn record_load_report(&mut self, target: &Target, report: LoadReport, now: Instant) {
        self.track(target, now).reported(report, now);
    }

    /// A target answered, with a failure or not.
    pub fn record_response(&mut self, target: &Target, failed: bool, now: Instant) {
        self.track(target, now).answered(failed);
    }

    /// A target was out of reach or broke off.
    pub fn record_failure(&mut self, target: &Target, now: Instant) {
        self.track(target, now).failed(now);
    }

    /// A VM near by told the work that it has at a target.
    pub fn record_peer_in_flight(
        &mut self,
        vm: &str,
        target: &Target,
        work: InFlight,
        now: Instant,
    ) {
        self.track(target, now).shared(vm, work, now);
    }

    /// The work that this VM has at targets.
    pub fn own_in_flight(&self, now: Instant) -> impl Iterator<Item = (&id::Target, InFlight)> {
        let busy = |work: &InFlight| work.requests > 0;
        let work = self.tracks.iter().map(move |(target, track)| (target, track.own(now)));
        work.filter(move |(_, work)| busy(work))
    }

    /// How busy targets are.
    pub fn local_load(&mut self, targets: &[&Target], now: Instant) -> LocalLoad {
        let mut busy = LocalLoad { min_backlog_secs: f64::MAX, ..LocalLoad::default() };
        for target in targets {
            if self.is_out(target, now) {
                continue;
            }
            let track = self.track(target, now);
            busy.slots += target.slots;
            busy.requests += track.work(now).requests;
            busy.min_backlog_secs = busy.min_backlog_secs.min(track.backlog(now));
        }
        busy
    }

    /// Whether a target with work of this VM has been silent for longer than that explains.
    pub fn is_unresponsive(&mut self, target: &Target, now: Instant) -> bool {
        self.track(target, now).is_unresponsive(now)
    }

    /// Whether the target failed a moment ago or gives no sign of life.
    fn is_out(&mut self, target: &Target, now: Instant) -> bool {
        let track = self.track(target, now);
        track.rests(now) || track.is_unresponsive(now)
    }

    fn is_cold(&mut self, target: &Target, now: Instant) -> bool {
        target.cold_until > now || self.track(target, now).is_suspect(now)
    }

    /// Whether this VM's share of what a cold target bears allows one more request.
    fn may_warm(&mut self, target: &Target, query: TargetQuery<'_>, now: Instant) -> bool {
        if query.cold_requests_per_sec <= 0.0 {
            return true;
        }
        let share = query.peers.share_per_sec(&target.target, query.cold_requests_per_sec);
        self.track(target, now).sent_lately(now) < share as usize
    }

    /// The target where requests with the same shared parts are read first, the same on every VM;
    /// nothing where there is nothing to share, or where it is out of reach.
    fn keeper<'a>(&mut self, query: TargetQuery<'a>, now: Instant) -> Option<&'a Target> {
        let subject = query.prompt.shared_prefix_key()?;
        let sound = |board: &mut Self, target: &Target| {
            !board.is_out(target, now) && !board.is_cold(target, now) && !target.silent
        };
        let mut targets = query.targets.to_vec();
        targets.sort_by_key(|target| std::cmp::Reverse(rank(subject, target)));
        targets.into_iter().find(|target| sound(self, target))
    }

    /// Seconds charged for what the request and the streams at the target do to each other: while
    /// a prompt is read, streams get a token for each part of it only.
    fn interference(&mut self, target: &Target, prompt: &Prompt, kept: bool, now: Instant) -> f64 {
        let track = self.track(target, now);
        let work = track.work(now);
        let reading = track.unread(prompt, kept) / PREFILL;
        let slowed = f64::from(work.requests) * reading * SLOWS_OTHERS;
        let slow = f64::from(prompt.max_output_tokens) / PIECE * work.stream_gap_secs * SLOWED;
        slowed + slow
    }

    /// Seconds until the first event, and the requests that the target is believed to hold.
    fn delay(&mut self, target: &Target, prompt: &Prompt, kept: bool, now: Instant) -> (f64, u32) {
        let track = self.track(target, now);
        let work = track.work(now);
        let load = f64::from(work.requests);
        let slots = if target.slots == 0 { SLOTS_UNTOLD } else { f64::from(target.slots) };
        let (mut delay, _) = track.expected(prompt, kept, now);
        delay += CROWD * (load / slots).min(1.0);
        delay += QUEUED * (load + 1.0 - slots).max(0.0);
        (delay, work.requests)
    }

    fn track(&mut self, target: &Target, now: Instant) -> &mut TargetTracker {
        if self.tracks.len() > MOST_TRACKS {
            self.tracks.retain(|_, track| track.is_busy());
        }
        let pace = self.pace;
        let track = self
            .tracks
            .entry(target.target.clone())
            .or_insert_with(|| TargetTracker::new(target.incarnation, pace, now));
        if track.born < target.incarnation {
            *track = TargetTracker::new(target.incarnation, pace, now);
        }
        track
    }
}

fn rank(subject: u64, target: &Target) -> u64 {
    let mut bytes = subject.to_le_bytes().to_vec();
    bytes.extend_from_slice(target.target.as_str().as_bytes());
    xxh3_64(&bytes)
}
