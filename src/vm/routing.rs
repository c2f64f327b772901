use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    crash::{CrashTracker, Digest, Verdict},
    id,
    limit::RetryBudget,
    outcome::Refusal,
    path::{Admitted, Request},
    placement::{Candidate, Decision, Policy, Prompt, Query},
    settings::Settings,
    target::Need,
};

/// How long a target that failed a request is passed over while others can take it.
const AVOID_FAILED: Duration = Duration::from_secs(1);
/// How long a target that died is passed over, unless it comes back before.
const AVOID_DEAD: Duration = Duration::from_secs(10);

/// What one VM decides with: a policy for models and one for plain services, the ledger of
/// requests that crash targets, and the customers' retries.
#[derive(Debug)]
pub(super) struct Routing {
    models: Policy,
    services: Policy,
    pub(super) ledger: CrashTracker,
    pub(super) budget: RetryBudget,
    avoided: BTreeMap<id::Target, Avoided>,
    /// The last incarnation of each target whose death this VM has counted.
    dead: BTreeMap<id::Target, Death>,
}

/// A target that is passed over for a while.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    incarnation: u64,
    until: Instant,
}

/// A death that was counted.
#[derive(Clone, Copy, Debug)]
struct Death {
    incarnation: u64,
    until: Instant,
}

/// What placement needs to know of one request.
#[derive(Clone, Debug)]
pub(super) struct Route {
    pub(super) need: Need,
    pub(super) prompt: Prompt,
    pub(super) digest: Digest,
}

impl Route {
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
        Self { need: resolved.need.clone(), prompt, digest }
    }
}

impl Routing {
    pub(super) fn new(settings: &Settings, seed: u64) -> Self {
        let policy = settings.placement.policy();
        Self {
            models: Policy::new(policy, seed),
            services: Policy::new(policy, seed.wrapping_add(1)),
            ledger: CrashTracker::new(settings.crashes),
            budget: RetryBudget::default(),
            avoided: BTreeMap::new(),
            dead: BTreeMap::new(),
        }
    }

    fn policy(&mut self, need: &Need) -> &mut Policy {
        match need {
            Need::Model { .. } => &mut self.models,
            Need::Service { .. } => &mut self.services,
        }
    }

    /// Takes the number of live VMs of this region, and forgets what has passed.
    pub(super) fn tick(&mut self, now: Instant, vms: u32) {
        self.models.set_vms(vms);
        self.services.set_vms(vms);
        self.ledger.remove_expired(now);
        self.avoided.retain(|_, avoided| avoided.until > now);
        self.dead.retain(|_, death| death.until > now);
    }

    /// The refusal of a request that crashes targets.
    pub(super) fn refused(&self, now: Instant, digest: Digest) -> Option<Refusal> {
        match self.ledger.check(now, digest) {
            Verdict::Refuse(refusal) => Some(refusal),
            Verdict::Allow | Verdict::Isolate => None,
        }
    }

    /// Whether the request may run only where no other suspect does.
    pub(super) fn is_suspect(&self, now: Instant, digest: Digest) -> bool {
        self.ledger.check(now, digest) != Verdict::Allow
    }

    /// Leaves out targets that failed lately, while others are left.
    pub(super) fn pass_over<'a>(&self, now: Instant, open: &mut Vec<Candidate<'a>>) {
        let sound = |candidate: &Candidate<'a>| {
            let avoided = self.avoided.get(candidate.target);
            !avoided.is_some_and(|avoided| {
                avoided.until > now && avoided.incarnation >= candidate.incarnation
            })
        };
        if open.iter().any(sound) {
            open.retain(sound);
        }
    }

    /// Leaves out targets on which this VM runs a suspect.
    pub(super) fn keep_apart(&self, now: Instant, open: &mut Vec<Candidate<'_>>) {
        let occupied = self.ledger.targets_running_suspects(now);
        open.retain(|candidate| !occupied.contains(candidate.target));
    }

    pub(super) fn decide(&mut self, now: Instant, need: &Need, query: Query<'_>) -> Decision {
        self.policy(need).decide(now, query)
    }

    pub(super) fn started(&mut self, now: Instant, target: &id::Target, route: &Route) {
        self.policy(&route.need).record_sent(now, target, &route.prompt);
        self.ledger.record_started(target, route.digest);
    }

    pub(super) fn handed_over(&mut self, now: Instant, region: &id::Region, need: &Need) {
        self.policy(need).record_handed_over(now, region);
    }

    /// Counts the end of a request at a target; `held` where the answer was whole.
    pub(super) fn ended(
        &mut self,
        now: Instant,
        target: &id::Target,
        route: &Route,
        held: Option<Duration>,
    ) {
        self.policy(&route.need).record_finished(now, target, held);
        match held {
            Some(_) => self.ledger.record_finished(target, route.digest),
            None => self.ledger.record_stopped(target, route.digest),
        }
    }

    /// Notes that a target failed a request.
    pub(super) fn failed(&mut self, now: Instant, target: &id::Target, incarnation: u64) {
        self.avoid(target, Avoided { incarnation, until: now + AVOID_FAILED });
    }

    /// Counts the death of a target once, against the requests that this VM has in flight there;
    /// gives the verdict on each.
    pub(super) fn died(
        &mut self,
        now: Instant,
        target: &id::Target,
        incarnation: u64,
        memory: Duration,
    ) -> Vec<(Digest, Verdict)> {
        self.avoid(target, Avoided { incarnation, until: now + AVOID_DEAD });
        if self.dead.get(target).is_some_and(|death| death.incarnation >= incarnation) {
            return Vec::new();
        }
        self.dead.insert(target.clone(), Death { incarnation, until: now + memory });
        let in_flight = self.ledger.in_flight(target);
        self.ledger.record_target_death(now, target, incarnation, &in_flight)
    }

    fn avoid(&mut self, target: &id::Target, avoided: Avoided) {
        let known = self.avoided.entry(target.clone()).or_insert(avoided);
        if avoided.incarnation > known.incarnation || avoided.until > known.until {
            *known = avoided;
        }
    }
}
