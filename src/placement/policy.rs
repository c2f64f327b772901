use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Algorithm, CacheEvent, Candidate, Cause, Choice, Decision, Prompt, Query, Settings,
    estimate::Estimate, spill::Spill, track::Track,
};
use crate::id;

/// A target that was not seen for this long is forgotten.
const FORGET: Duration = Duration::from_secs(120);
/// The weight of one finished request in the learned time that requests hold their places.
const HOLD_GAIN: f64 = 0.05;

/// Decides on one VM where requests go.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    random: StdRng,
    tracks: HashMap<id::Target, Track>,
    spill: Spill,
    hold: Duration,
    turn: usize,
    started: Option<Instant>,
    swept: Option<Instant>,
}

impl Policy {
    /// Creates a policy that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            random: StdRng::seed_from_u64(seed),
            tracks: HashMap::new(),
            spill: Spill::default(),
            hold: settings.initial_service_time,
            turn: 0,
            started: None,
            swept: None,
        }
    }

    /// Takes the number of live VMs of this region.
    pub fn set_vms(&mut self, vms: u32) {
        self.settings.vms = vms.max(1);
    }

    /// Decides where a request goes. Nothing is counted until [`record_sent`](Self::record_sent) or
    /// [`record_handed_over`](Self::record_handed_over) says that it went.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::{placement::{Candidate, Choice, Policy, Prompt, Query, Settings}, target::Load};
    ///
    /// let mut policy = Policy::new(Settings::default(), 1);
    /// let (target, region) = ("engine-1".into(), "jakarta".into());
    /// let load = Load { slots: 16, ..Load::default() };
    /// let report_age = Duration::from_millis(200);
    /// let candidates =
    ///     [Candidate { target: &target, region: &region, incarnation: 1, load, report_age, one_way_delay: report_age / 100 }];
    /// let query = Query {
    ///     prompt: &Prompt::new("assistant", b"hello"),
    ///     allowed_regions: &[region.clone()],
    ///     candidates: &candidates,
    ///     region_summaries: &[],
    ///     tried_targets: &[],
    /// };
    /// let decision = policy.decide(Instant::now(), query);
    /// assert_eq!(decision.choice, Choice::Target(target.clone()));
    /// ```
    pub fn decide(&mut self, now: Instant, query: Query<'_>) -> Decision {
        let open: Vec<&Candidate<'_>> = query
            .candidates
            .iter()
            .filter(|candidate| query.allowed_regions.contains(candidate.region))
            .filter(|candidate| !query.tried_targets.contains(candidate.target))
            .collect();
        self.observe(now, &open);
        if open.is_empty() {
            return self.elsewhere(now, query);
        }
        match self.settings.algorithm {
            Algorithm::LeastCost => self.least_cost(now, query, &open),
            _ => to(self.baseline(&open), Cause::Baseline),
        }
    }

    /// Counts a request that was sent to a target.
    pub fn record_sent(&mut self, now: Instant, target: &id::Target, prompt: &Prompt) {
        let limit = self.limit();
        if let Some(track) = self.tracks.get_mut(target) {
            let cached = track.cache.matched_prefix_len(prompt.blocks());
            track.send(now, prompt.uncached(cached));
            track.cache.store(prompt.blocks(), limit);
        }
    }

    /// Counts a request that was handed to another region.
    pub fn record_handed_over(&mut self, now: Instant, region: &id::Region) {
        self.spill.send(region, now);
    }

    /// Counts the end of a request that a target held for `held`, or that failed there.
    pub fn record_finished(&mut self, now: Instant, target: &id::Target, held: Option<Duration>) {
        if let Some(track) = self.tracks.get_mut(target) {
            track.finish(now);
        }
        if let Some(held) = held {
            let learned = self.hold.as_secs_f64() * (1.0 - HOLD_GAIN);
            self.hold = Duration::from_secs_f64(learned + held.as_secs_f64() * HOLD_GAIN);
        }
    }

    /// Takes a cache event of a target.
    pub fn apply_cache_event(&mut self, target: &id::Target, update: &CacheEvent) {
        let limit = self.limit();
        if let Some(track) = self.tracks.get_mut(target) {
            track.cache.apply(update, limit);
        }
    }

    /// Hashes of blocks remembered over all targets.
    pub fn block_count(&self) -> usize {
        self.tracks.values().map(|track| track.cache.len()).sum()
    }

    /// The bound on blocks of one target, so that the sum stays within the settings.
    fn limit(&self) -> usize {
        self.settings.max_blocks / self.tracks.len().max(1)
    }

    /// Notes which targets exist, which started anew and which have gone.
    fn observe(&mut self, now: Instant, open: &[&Candidate<'_>]) {
        let started = *self.started.get_or_insert(now);
        for candidate in open {
            let Candidate { target, incarnation, .. } = **candidate;
            if let Some(track) = self.tracks.get_mut(target) {
                if track.incarnation < incarnation {
                    *track = Track::new(incarnation, now);
                }
                track.seen = now;
                continue;
            }
            let mut track = Track::new(incarnation, now);
            if now == started {
                // This VM is new, not the target.
                track.since = now.checked_sub(self.settings.slow_start).unwrap_or(now);
            }
            self.tracks.insert(target.clone(), track);
        }
        if self.swept.is_none_or(|swept| now.duration_since(swept) > FORGET / 4) {
            self.swept = Some(now);
            self.tracks.retain(|_, track| now.duration_since(track.seen) < FORGET);
        }
    }

    fn baseline<'a>(&mut self, open: &[&Candidate<'a>]) -> &'a id::Target {
        let place = match self.settings.algorithm {
            Algorithm::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                self.turn % open.len()
            }
            Algorithm::LeastLoad => {
                let load = |place: &usize| open[*place].load.running + open[*place].load.waiting;
                (0..open.len()).min_by_key(load).unwrap_or_default()
            }
            Algorithm::Random | Algorithm::LeastCost => self.random.random_range(0..open.len()),
        };
        open[place].target
    }

    fn least_cost(&mut self, now: Instant, query: Query<'_>, open: &[&Candidate<'_>]) -> Decision {
        let estimates: Vec<Estimate> =
            open.iter().map(|candidate| self.estimate(now, query.prompt, candidate)).collect();
        let near = (0..open.len())
            .filter(|place| estimates[*place].cached > 0)
            .min_by(|a, b| estimates[*a].cost.total_cmp(&estimates[*b].cost));
        let drawn = (0..self.settings.sampled_targets.max(1))
            .map(|_| self.random.random_range(0..open.len()));
        let drawn: Vec<usize> = drawn.chain(near).collect();
        let least = |places: &[usize]| {
            places.iter().copied().min_by(|a, b| estimates[*a].cost.total_cmp(&estimates[*b].cost))
        };
        let place = least(&drawn).unwrap_or_default();
        let everywhere: Vec<usize> = (0..open.len()).collect();
        let here = least(&everywhere).map_or(f64::MAX, |place| estimates[place].cost);
        if let Some(region) = self.cheaper(now, query, here) {
            return Decision { choice: Choice::Region(region), cause: Cause::Spill };
        }
        let cause = if near == Some(place) { Cause::Affinity } else { Cause::Cost };
        to(open[place].target, cause)
    }

    fn estimate(&self, now: Instant, prompt: &Prompt, candidate: &Candidate<'_>) -> Estimate {
        let Some(track) = self.tracks.get(candidate.target) else {
            return Estimate { cost: f64::MAX, cached: 0 };
        };
        Estimate::new(&self.settings, self.hold, prompt, candidate, track, now)
    }

    /// The region to which a hand-over costs least, where that is less than `here`.
    fn cheaper(&self, now: Instant, query: Query<'_>, here: f64) -> Option<id::Region> {
        let margin = self.settings.spill_margin.as_secs_f64();
        let permitted = query
            .region_summaries
            .iter()
            .filter(|summary| query.allowed_regions.contains(summary.region));
        permitted
            .filter_map(|summary| {
                let cost =
                    self.spill.cost(&self.settings, self.hold, query.prompt, summary, now)?;
                Some((cost, summary.region))
            })
            .filter(|(cost, _)| cost + margin < here)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, region)| region.clone())
    }

    /// No target here can take the request: the cheapest region, else the nearest.
    fn elsewhere(&self, now: Instant, query: Query<'_>) -> Decision {
        let permitted = || {
            query
                .region_summaries
                .iter()
                .filter(|summary| query.allowed_regions.contains(summary.region))
        };
        let nearest = permitted()
            .filter(|summary| summary.slots > 0)
            .min_by_key(|summary| summary.one_way_delay);
        let region = self
            .cheaper(now, query, f64::MAX)
            .or_else(|| nearest.map(|summary| summary.region.clone()));
        match region {
            Some(region) => {
                Decision { choice: Choice::Region(region), cause: Cause::NoLocalTarget }
            }
            None => Decision { choice: Choice::None, cause: Cause::NoTarget },
        }
    }
}

fn to(target: &id::Target, cause: Cause) -> Decision {
    Decision { choice: Choice::Target(target.clone()), cause }
}
