use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    crash::{CrashTracker, Digest, PartSettings, PartTracker, Verdict},
    id,
    limit::RetryBudget,
    outcome::{Reason, Refusal},
    path::{Admitted, Request},
    placement::{Candidate, Decision, Policy, Prompt, Query},
    settings::Settings,
    target::{Announcement, Need},
    throttle::{self, Notice, Peers, Permission, Returns},
};

/// How long a target that failed a request gets no requests while other targets can take them.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// How long a target that died gets no requests while other targets can take them. A restart of
/// the target ends this early.
const AVOID_AFTER_DEATH: Duration = Duration::from_secs(10);

/// The state by which one VM routes requests: the placement policies, the crash suspects, the
/// retry budgets of the customers and the targets to avoid.
#[derive(Debug)]
pub(super) struct RoutingState {
    model_policy: Policy,
    service_policy: Policy,
    pub(super) crash_tracker: CrashTracker,
    pub(super) part_tracker: PartTracker,
    /// The shared parts of the requests in flight.
    parts_in_flight: BTreeMap<(id::Target, Digest), Vec<u64>>,
    pub(super) retry_budget: RetryBudget,
    pub(super) throttle: throttle::Tracker,
    returns: Returns,
    /// The VMs of this region that may be alive.
    peers: Peers,
    avoided_targets: BTreeMap<id::Target, AvoidedTarget>,
    /// The last incarnation of each target for which this VM has counted a death.
    counted_deaths: BTreeMap<id::Target, CountedDeath>,
}

/// A target incarnation that gets no requests until `expires_at` if other targets can take them.
#[derive(Clone, Copy, Debug)]
struct AvoidedTarget {
    incarnation: u64,
    expires_at: Instant,
}

/// A target incarnation whose death has been counted.
#[derive(Clone, Copy, Debug)]
struct CountedDeath {
    incarnation: u64,
    expires_at: Instant,
}

/// What placement and the crash tracker need to know about one request.
#[derive(Clone, Debug)]
pub(super) struct PlacementInput {
    pub(super) need: Need,
    pub(super) prompt: Prompt,
    pub(super) digest: Digest,
    /// The keys of the messages before the last one, which other requests may share.
    pub(super) shared_parts: Vec<u64>,
}

/// The messages of a chat completion as the caller wrote them.
#[derive(Deserialize)]
struct Messages<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

impl PlacementInput {
    pub(super) fn new(request: &Request<Admitted>) -> Self {
        let resolved = &request.stage.resolved;
        let customer = &resolved.plan.customer;
        let prompt = match &resolved.need {
            Need::Model { .. } => {
                Prompt::new(&format!("{} {customer}", resolved.need), &resolved.body)
            }
            Need::Service { .. } => Prompt::default(),
        };
        let digest = Digest::new(customer, &resolved.need, &resolved.body);
        let shared_parts = match &resolved.need {
            Need::Model { .. } => shared_parts(&resolved.need, &resolved.body),
            Need::Service { .. } => Vec::new(),
        };
        Self { need: resolved.need.clone(), prompt, digest, shared_parts }
    }
}

fn shared_parts(need: &Need, body: &[u8]) -> Vec<u64> {
    let messages = serde_json::from_slice::<Messages<'_>>(body).map(|it| it.messages);
    let seed = xxh3_64(need.to_string().as_bytes());
    let messages = messages.unwrap_or_default();
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|message| xxh3_64_with_seed(message.get().as_bytes(), seed)).collect()
}

/// The time after which a caller may return that is refused for no known time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl RoutingState {
    pub(super) fn new(settings: &Settings, seed: u64) -> Self {
        let policy = settings.placement.policy();
        Self {
            model_policy: Policy::new(policy, seed),
            service_policy: Policy::new(policy, seed.wrapping_add(1)),
            crash_tracker: CrashTracker::new(settings.crashes),
            part_tracker: PartTracker::new(PartSettings {
                death_retention: settings.crashes.death_retention,
                // VMs report finished requests only with the next death.
                report_timeout: Duration::ZERO,
                ..PartSettings::default()
            }),
            parts_in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            throttle: throttle::Tracker::default(),
            returns: Returns::default(),
            peers: Peers::default(),
            avoided_targets: BTreeMap::new(),
            counted_deaths: BTreeMap::new(),
        }
    }

    fn policy_for(&mut self, need: &Need) -> &mut Policy {
        match need {
            Need::Model { .. } => &mut self.model_policy,
            Need::Service { .. } => &mut self.service_policy,
        }
    }

    /// Sets the VMs of this region that may be alive, and removes expired entries.
    pub(super) fn tick(&mut self, now: Instant, peers: Peers) {
        let vm_count = peers.vm_count();
        self.peers = peers;
        self.model_policy.set_vm_count(vm_count);
        self.service_policy.set_vm_count(vm_count);
        self.crash_tracker.remove_expired(now);
        self.part_tracker.remove_expired(now);
        self.avoided_targets.retain(|_, avoided| avoided.expires_at > now);
        self.counted_deaths.retain(|_, death| death.expires_at > now);
    }

    /// The refusal of a request that was in flight at too many target deaths, or whose prompt has a
    /// part that was.
    pub(super) fn crash_refusal(&self, now: Instant, input: &PlacementInput) -> Option<Refusal> {
        if let Verdict::Refuse(refusal) = self.crash_tracker.check(now, input.digest) {
            return Some(refusal);
        }
        if self.part_tracker.is_empty() || input.shared_parts.is_empty() {
            return None;
        }
        let mut blocked = self.part_tracker.blocked_parts(now).into_iter();
        let blocked =
            blocked.find(|it| it.parts.iter().all(|it| input.shared_parts.contains(it)))?;
        let refusal = Refusal::new(
            Reason::CrashesTargets,
            "targets died while they ran requests with one of its earlier messages",
            "leave that message out; tell the operator which request it is",
        );
        Some(refusal.retry_after(Duration::from_millis(blocked.remaining_ms)))
    }

    /// Whether the request was in flight when a target died, so that it may run only on targets
    /// that run no other such request.
    pub(super) fn is_crash_suspect(&self, now: Instant, digest: Digest) -> bool {
        self.crash_tracker.check(now, digest) != Verdict::Allow
    }

    /// Removes targets that failed or died recently, unless no other candidate is left.
    pub(super) fn exclude_avoided_targets<'a>(
        &self,
        now: Instant,
        candidates: &mut Vec<Candidate<'a>>,
    ) {
        let is_allowed = |candidate: &Candidate<'a>| {
            let avoided = self.avoided_targets.get(candidate.target);
            !avoided.is_some_and(|avoided| {
                avoided.expires_at > now && avoided.incarnation >= candidate.incarnation
            })
        };
        if candidates.iter().any(is_allowed) {
            candidates.retain(is_allowed);
        }
    }

    /// Whether what a target says that it takes permits this VM to send it a request.
    pub(super) fn permission(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        now: Instant,
    ) -> Permission {
        self.throttle.permission(target, incarnation, &self.peers, now)
    }

    /// Removes targets that take no more requests now, by their limits or the pauses that they asked
    /// for.
    pub(super) fn exclude_throttled_targets(
        &mut self,
        now: Instant,
        candidates: &mut Vec<Candidate<'_>>,
    ) {
        candidates.retain(|candidate| {
            self.permission(candidate.target, candidate.incarnation, now) == Permission::Granted
        });
        let is_last_resort = |candidate: &Candidate<'_>| {
            let (target, incarnation) = (candidate.target, candidate.incarnation);
            self.throttle.is_last_resort(target, incarnation, &self.peers, now)
        };
        if candidates.iter().any(|candidate| !is_last_resort(candidate)) {
            candidates.retain(|candidate| !is_last_resort(candidate));
        }
    }

    /// The refusal of a request that limits or pauses of `targets` keep from all of them.
    pub(super) fn throttle_refusal<'a>(
        &mut self,
        now: Instant,
        need: &Need,
        targets: impl Iterator<Item = &'a Announcement>,
    ) -> Refusal {
        let service = id::Service::from(need.to_string());
        let refusal = Refusal::new(
            Reason::Overloaded,
            format!("the targets of {need} take no more requests now"),
            "try again after the time in retry-after",
        );
        let targets = targets.map(|it| (&it.target, it.incarnation));
        let vm_count = self.peers.vm_count();
        let returns = self.returns.next_return(&self.throttle, &service, targets, vm_count, now);
        refusal.retry_after(returns.unwrap_or(RETRY_AFTER))
    }

    /// What this VM heard of the limits of targets, for the other VMs of the region.
    pub(super) fn limit_notices(&self, now: Instant) -> Vec<Notice> {
        self.throttle.notices(&self.peers, now)
    }

    /// Removes targets where this VM has a crash suspect in flight.
    pub(super) fn exclude_targets_running_suspects(
        &self,
        now: Instant,
        candidates: &mut Vec<Candidate<'_>>,
    ) {
        let occupied = self.crash_tracker.targets_running_suspects(now);
        candidates.retain(|candidate| !occupied.contains(candidate.target));
    }

    pub(super) fn decide(&mut self, now: Instant, need: &Need, query: Query<'_>) -> Decision {
        self.policy_for(need).decide(now, query)
    }

    pub(super) fn record_sent(
        &mut self,
        now: Instant,
        target: &id::Target,
        placement_input: &PlacementInput,
    ) {
        self.policy_for(&placement_input.need).record_sent(now, target, &placement_input.prompt);
        self.crash_tracker.record_started(target, placement_input.digest);
        if !placement_input.shared_parts.is_empty() {
            let key = (target.clone(), placement_input.digest);
            self.parts_in_flight.insert(key, placement_input.shared_parts.clone());
        }
    }

    pub(super) fn record_handover(&mut self, now: Instant, region: &id::Region, need: &Need) {
        self.policy_for(need).record_handed_over(now, region);
    }

    /// Records that a request at a target ended. `service_time` is `None` if the target did not
    /// answer it completely.
    pub(super) fn record_end(
        &mut self,
        now: Instant,
        target: &id::Target,
        placement_input: &PlacementInput,
        service_time: Option<Duration>,
    ) {
        self.policy_for(&placement_input.need).record_finished(now, target, service_time);
        self.parts_in_flight.remove(&(target.clone(), placement_input.digest));
        match service_time {
            Some(_) => self.crash_tracker.record_finished(target, placement_input.digest),
            None => self.crash_tracker.record_stopped(target, placement_input.digest),
        }
    }

    /// Records that a target failed a request, so that other targets are preferred for a while.
    pub(super) fn record_failure(&mut self, now: Instant, target: &id::Target, incarnation: u64) {
        self.avoid(target, AvoidedTarget { incarnation, expires_at: now + AVOID_AFTER_FAILURE });
    }

    /// Records the death of a target incarnation, once, against the requests that this VM has in
    /// flight there; returns the new verdict on each. The death is remembered for `retention`.
    pub(super) fn record_target_death(
        &mut self,
        now: Instant,
        target: &id::Target,
        incarnation: u64,
        retention: Duration,
    ) -> Vec<(Digest, Verdict)> {
        self.avoid(target, AvoidedTarget { incarnation, expires_at: now + AVOID_AFTER_DEATH });
        if self.counted_deaths.get(target).is_some_and(|death| death.incarnation >= incarnation) {
            return Vec::new();
        }
        self.counted_deaths
            .insert(target.clone(), CountedDeath { incarnation, expires_at: now + retention });
        let in_flight = self.crash_tracker.in_flight(target);
        let parts = in_flight.iter().filter_map(|digest| {
            self.parts_in_flight.get(&(target.clone(), *digest)).map(Vec::as_slice)
        });
        let parts: Vec<u64> = parts.flatten().copied().collect();
        if !parts.is_empty() {
            self.part_tracker.record_target_death(now, target, incarnation, parts);
        }
        self.crash_tracker.record_target_death(now, target, incarnation, &in_flight)
    }

    fn avoid(&mut self, target: &id::Target, avoided: AvoidedTarget) {
        let current = self.avoided_targets.entry(target.clone()).or_insert(avoided);
        if avoided.incarnation > current.incarnation || avoided.expires_at > current.expires_at {
            *current = avoided;
        }
    }
}
