use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Algorithm, CacheEvent, Candidate, Cause, Choice, Decision, Prompt, Query, Settings,
    cost_estimate::CostEstimate, hand_over_log::HandOverLog, target_state::TargetState,
};
use crate::id;

/// How long the state of a target is kept after the target was last a candidate.
const TARGET_RETENTION: Duration = Duration::from_secs(120);
/// The weight of one finished request in the moving average of service times.
const SERVICE_TIME_SAMPLE_RATIO: f64 = 0.05;

/// Decides on one VM where each request goes.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    rng: StdRng,
    targets: HashMap<id::Target, TargetState>,
    hand_overs: HandOverLog,
    /// The moving average of the time that a target works on a request.
    service_time: Duration,
    round_robin_turn: usize,
    first_decision_at: Option<Instant>,
    last_sweep_at: Option<Instant>,
}

impl Policy {
    /// Creates a policy without state of any target.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            targets: HashMap::new(),
            hand_overs: HandOverLog::default(),
            service_time: settings.initial_service_time,
            round_robin_turn: 0,
            first_decision_at: None,
            last_sweep_at: None,
        }
    }

    /// Sets the number of live VMs of this region.
    pub fn set_vm_count(&mut self, vm_count: u32) {
        self.settings.vm_count = vm_count.max(1);
    }

    /// Decides where a request goes. The request counts as sent only after a call to
    /// [`record_sent`](Self::record_sent) or [`record_handed_over`](Self::record_handed_over).
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::{
    ///     placement::{Candidate, Choice, Policy, Prompt, Query, Settings},
    ///     target::Load,
    /// };
    ///
    /// let mut policy = Policy::new(Settings::default(), 1);
    /// let (target, region) = ("engine-1".into(), "jakarta".into());
    /// let load = Load { slots: 16, ..Load::default() };
    /// let report_age = Duration::from_millis(200);
    /// let candidates = [Candidate {
    ///     target: &target,
    ///     region: &region,
    ///     incarnation: 1,
    ///     load,
    ///     report_age,
    ///     one_way_delay: report_age / 100,
    /// }];
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
        let eligible: Vec<&Candidate<'_>> = query
            .candidates
            .iter()
            .filter(|candidate| query.allowed_regions.contains(candidate.region))
            .filter(|candidate| !query.tried_targets.contains(candidate.target))
            .collect();
        self.update_targets(now, &eligible);
        if eligible.is_empty() {
            return self.choose_region(now, query);
        }
        match self.settings.algorithm {
            Algorithm::LeastCost => self.least_cost(now, query, &eligible),
            _ => target_decision(self.choose_baseline_target(&eligible), Cause::Baseline),
        }
    }

    /// Records that a request was sent to a target.
    pub fn record_sent(&mut self, now: Instant, target: &id::Target, prompt: &Prompt) {
        let max_blocks = self.max_blocks_per_target();
        if let Some(state) = self.targets.get_mut(target) {
            let cached_blocks = state.cache.matched_prefix_len(prompt.blocks());
            state.record_sent(now, prompt.uncached_tokens(cached_blocks));
            state.cache.store(prompt.blocks(), max_blocks);
        }
    }

    /// Records that a request was handed over to another region.
    pub fn record_handed_over(&mut self, now: Instant, region: &id::Region) {
        self.hand_overs.record(region, now);
    }

    /// Records that a request at a target ended. `service_time` is the time that the target worked
    /// on it, or `None` if the target did not answer it completely.
    pub fn record_finished(
        &mut self,
        now: Instant,
        target: &id::Target,
        service_time: Option<Duration>,
    ) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_finished(now);
        }
        if let Some(service_time) = service_time {
            let average = self.service_time.as_secs_f64() * (1.0 - SERVICE_TIME_SAMPLE_RATIO);
            self.service_time = Duration::from_secs_f64(
                average + service_time.as_secs_f64() * SERVICE_TIME_SAMPLE_RATIO,
            );
        }
    }

    /// Applies a cache event of a target.
    pub fn apply_cache_event(&mut self, target: &id::Target, event: &CacheEvent) {
        let max_blocks = self.max_blocks_per_target();
        if let Some(state) = self.targets.get_mut(target) {
            state.cache.apply(event, max_blocks);
        }
    }

    /// The number of block hashes kept for all targets together.
    pub fn block_count(&self) -> usize {
        self.targets.values().map(|state| state.cache.len()).sum()
    }

    /// Splits [`Settings::max_blocks`] evenly over the known targets.
    fn max_blocks_per_target(&self) -> usize {
        self.settings.max_blocks / self.targets.len().max(1)
    }

    /// Adds new targets, resets the state of restarted ones and removes those that were not
    /// candidates for [`TARGET_RETENTION`].
    fn update_targets(&mut self, now: Instant, eligible: &[&Candidate<'_>]) {
        let first_decision_at = *self.first_decision_at.get_or_insert(now);
        for candidate in eligible {
            let Candidate { target, incarnation, .. } = **candidate;
            if let Some(state) = self.targets.get_mut(target) {
                if state.incarnation < incarnation {
                    *state = TargetState::new(incarnation, now);
                }
                state.last_seen_at = now;
                continue;
            }
            let mut state = TargetState::new(incarnation, now);
            if now == first_decision_at {
                // At its first decision the VM is new, not the targets, so there is no slow start.
                state.slow_start_at = now.checked_sub(self.settings.slow_start).unwrap_or(now);
            }
            self.targets.insert(target.clone(), state);
        }
        if self.last_sweep_at.is_none_or(|at| now.duration_since(at) > TARGET_RETENTION / 4) {
            self.last_sweep_at = Some(now);
            self.targets
                .retain(|_, state| now.duration_since(state.last_seen_at) < TARGET_RETENTION);
        }
    }

    /// Chooses a target by one of the algorithms that [`Algorithm::LeastCost`] is compared with.
    fn choose_baseline_target<'a>(&mut self, eligible: &[&Candidate<'a>]) -> &'a id::Target {
        let index = match self.settings.algorithm {
            Algorithm::RoundRobin => {
                self.round_robin_turn = self.round_robin_turn.wrapping_add(1);
                self.round_robin_turn % eligible.len()
            }
            Algorithm::LeastLoad => {
                let load =
                    |index: &usize| eligible[*index].load.running + eligible[*index].load.waiting;
                (0..eligible.len()).min_by_key(load).unwrap_or_default()
            }
            Algorithm::Random | Algorithm::LeastCost => self.rng.random_range(0..eligible.len()),
        };
        eligible[index].target
    }

    /// Compares a few random candidates and the cheapest one that has part of the prompt cached,
    /// and spills to another region if that is cheaper than every candidate.
    fn least_cost(
        &mut self,
        now: Instant,
        query: Query<'_>,
        eligible: &[&Candidate<'_>],
    ) -> Decision {
        let estimates: Vec<CostEstimate> =
            eligible.iter().map(|candidate| self.estimate(now, query.prompt, candidate)).collect();
        let best_cached = (0..eligible.len())
            .filter(|index| estimates[*index].cached_blocks > 0)
            .min_by(|a, b| estimates[*a].cost_secs.total_cmp(&estimates[*b].cost_secs));
        let sampled = (0..self.settings.sampled_targets.max(1))
            .map(|_| self.rng.random_range(0..eligible.len()));
        let compared: Vec<usize> = sampled.chain(best_cached).collect();
        let cheapest = |indices: &[usize]| {
            indices
                .iter()
                .copied()
                .min_by(|a, b| estimates[*a].cost_secs.total_cmp(&estimates[*b].cost_secs))
        };
        let chosen = cheapest(&compared).unwrap_or_default();
        let all: Vec<usize> = (0..eligible.len()).collect();
        let local_cost_secs = cheapest(&all).map_or(f64::MAX, |index| estimates[index].cost_secs);
        if let Some(region) = self.cheaper_region(now, query, local_cost_secs) {
            return Decision { choice: Choice::Region(region), cause: Cause::Spill };
        }
        let cause = if best_cached == Some(chosen) { Cause::Affinity } else { Cause::Cost };
        target_decision(eligible[chosen].target, cause)
    }

    fn estimate(&self, now: Instant, prompt: &Prompt, candidate: &Candidate<'_>) -> CostEstimate {
        let Some(state) = self.targets.get(candidate.target) else {
            return CostEstimate { cost_secs: f64::MAX, cached_blocks: 0 };
        };
        CostEstimate::new(&self.settings, self.service_time, prompt, candidate, state, now)
    }

    /// The permitted region with the cheapest hand-over, if that and the spill margin together
    /// cost less than `local_cost_secs`.
    fn cheaper_region(
        &self,
        now: Instant,
        query: Query<'_>,
        local_cost_secs: f64,
    ) -> Option<id::Region> {
        let margin_secs = self.settings.spill_margin.as_secs_f64();
        let permitted = query
            .region_summaries
            .iter()
            .filter(|summary| query.allowed_regions.contains(summary.region));
        permitted
            .filter_map(|summary| {
                let cost_secs = self.hand_overs.cost_secs(
                    &self.settings,
                    self.service_time,
                    query.prompt,
                    summary,
                    now,
                )?;
                Some((cost_secs, summary.region))
            })
            .filter(|(cost_secs, _)| cost_secs + margin_secs < local_cost_secs)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, region)| region.clone())
    }

    /// Chooses a region when no candidate is eligible: the one with the cheapest hand-over, or the
    /// nearest one if all regions are too full for a hand-over.
    fn choose_region(&self, now: Instant, query: Query<'_>) -> Decision {
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
            .cheaper_region(now, query, f64::MAX)
            .or_else(|| nearest.map(|summary| summary.region.clone()));
        match region {
            Some(region) => {
                Decision { choice: Choice::Region(region), cause: Cause::NoLocalTarget }
            }
            None => Decision { choice: Choice::None, cause: Cause::NoTarget },
        }
    }
}

fn target_decision(target: &id::Target, cause: Cause) -> Decision {
    Decision { choice: Choice::Target(target.clone()), cause }
}
