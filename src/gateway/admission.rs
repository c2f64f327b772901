use std::{
    collections::{HashMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use super::{
    balancer::FULL_BATCH_DELAY_SECS, explain::millis_of, target_tracker::PREFILL_TOKENS_PER_SEC,
};
use crate::{
    explain,
    fairness::{Demand, Ledger, Standing},
    id,
    route::Route,
};

/// The share of a route's objective within which the first event must be expected, for the most
/// urgent priority. A request admitted beyond it would be late and delay those queued behind it.
const TOP_PRIORITY_LIMIT_RATIO: f64 = 0.85;
/// Subtracted from the ratio for each less urgent priority.
const LIMIT_RATIO_STEP: f64 = 0.15;
/// The lower bound of the ratio.
const MIN_LIMIT_RATIO: f64 = 0.4;
/// The share of the caller's remaining time within which the first event must be expected.
const MAX_TIME_LEFT_RATIO: f64 = 0.6;
/// The part of the lowest limit of more urgent requests that is left to less urgent ones. Shorter queues
/// for them keep the queues of the more urgent ones below their own limit.
const LESS_URGENT_RATIO: f64 = 0.8;
/// The part of that limit while more urgent requests are refused: the prompts of less urgent ones are long
/// and fill the same queues.
const SCARCE_RATIO: f64 = 0.5;
/// The part of its limit that a request keeps where another kind accepts only shorter queues. A longer queue
/// serves no more requests, and makes those of the other kind late.
const SHORTEST_QUEUE_RATIO: f64 = 0.75;
/// The factor on the limit of a request that was refused before. A second refusal loses it.
const RETURN_FACTOR: f64 = 1.25;
/// Another region must be faster by this much, as its load reports are up to two seconds old.
const REMOTE_MARGIN_SECS: f64 = 0.05;
/// The time for a request to reach another region and for its first event to come back.
const REGION_ROUND_TRIP_SECS: f64 = 0.115;
/// How long a region is penalized after it refused a handover. By then, other requests there have
/// usually ended.
const REFUSAL_PENALTY_PERIOD: Duration = Duration::from_millis(300);
/// Added to the cost of a region that recently refused a handover.
const REFUSAL_PENALTY_SECS: f64 = 0.15;
/// Added to the cost of a region with scarce capacity, for requests that may run in any region. It
/// leaves the capacity to region-restricted requests, whose routes list the allowed regions.
const SCARCE_CAPACITY_PENALTY_SECS: f64 = 0.25;
/// How long capacity counts as scarce after a region-restricted request was refused.
const SCARCE_CAPACITY_PERIOD: Duration = Duration::from_millis(1500);
/// The first backoff for an unreachable VM, doubled with each consecutive failure. Each attempt to
/// reach such a VM holds up a request for most of a second.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Older load reports are ignored, and the region is assumed to be idle.
const MAX_LOAD_AGE: Duration = Duration::from_secs(4);
/// The number of recent handovers that are kept to correct older load reports.
const MAX_HANDOVERS: usize = 1024;
/// The number of stopping VMs that are remembered.
const MAX_STOPPING_VMS: usize = 1024;
/// Random delay added to the retry time of a refused caller, so that callers do not retry together.
const RETRY_JITTER_SECS: std::ops::Range<f64> = 0.2..0.8;
/// The longest retry time that callers are given.
const MAX_RETRY_AFTER_SECS: f64 = 3.0;

/// The load of another region, as it last reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteLoad {
    /// The region.
    pub region: id::Region,
    /// Seconds until its least loaded target has read all prompts queued there.
    pub min_backlog_secs: f64,
    /// Requests in flight there per slot.
    pub requests_per_slot: f64,
    /// The number of its targets that serve the service.
    pub target_count: u32,
    /// Whether it recently refused region-restricted requests.
    pub capacity_scarce: bool,
    /// When this VM received the report.
    pub received_at: Instant,
}

/// Where to send a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To the target chosen in this region.
    Local,
    /// To another region.
    Remote(id::Region),
    /// It would miss its objective everywhere.
    Refuse(ObjectiveMiss),
    /// No target can take it now.
    NoTarget,
}

/// Why a request would miss its objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveMiss {
    /// Seconds after which the caller may retry.
    pub retry_after_secs: f64,
    /// Seconds until the first event in this region, if a target can take the request.
    pub local_first_event_secs: Option<f64>,
    /// Seconds until the first event in the best other region, if any.
    pub remote_first_event_secs: Option<f64>,
    /// The longest expected time at which the request would have been admitted.
    pub limit_secs: f64,
    /// What its organisation was lately admitted, as a multiple of its fair share; 0 where no shares apply.
    pub excess: f64,
}

impl fmt::Display for ObjectiveMiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds =
            |time: Option<f64>| time.map_or("none".to_owned(), |time| format!("{time:.2} s"));
        let (local, remote) =
            (seconds(self.local_first_event_secs), seconds(self.remote_first_event_secs));
        write!(f, "expected here {local}, elsewhere {remote}, at most {:.2} s", self.limit_secs)?;
        if self.excess > 1.0 {
            write!(f, ", its organisation got {:.1} times its share", self.excess)?;
        }
        Ok(())
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// The route that it matched.
    pub route: &'a Route,
    /// The service that it is for.
    pub service: &'a id::Service,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether it may only run in some regions.
    pub is_region_restricted: bool,
    /// The time until its caller gives up.
    pub time_left: Duration,
    /// Prompt tokens that another region has to read for it.
    pub unshared_tokens: u32,
    /// Whether a target has already worked on it. Such a request is admitted even if it is late, as
    /// that work would be lost otherwise.
    pub has_started: bool,
    /// A random number from 0 to 1, which spreads the retries of refused callers.
    pub retry_jitter: f64,
    /// How it stands among the requests that compete for capacity; `None` where no shares apply.
    pub standing: Option<Standing>,
    /// Whether less than half of the slots of the target chosen in this region are used.
    pub has_free_slots: bool,
}

/// Decides whether to admit a request, and whether to this region or to another one.
///
/// A request is admitted where its first event is expected within the objective of its route. A
/// request that would be late everywhere is refused at once, which keeps queues short.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    recent_handovers: VecDeque<Handover>,
    refused_handovers: Vec<RefusedHandover>,
    /// Unreachable VMs by name.
    backoffs: HashMap<String, Backoff>,
    /// The incarnations of VMs that refused a request because they stop, by name.
    stopping_vms: HashMap<String, u64>,
    /// When a region-restricted request for each service was last refused in this region.
    last_restricted_refusals: HashMap<id::Service, Instant>,
    /// What was lately admitted for each service; empty where no shares apply.
    ledgers: HashMap<id::Service, Ledger>,
}

#[derive(Clone, Debug)]
struct Backoff {
    until: Instant,
    failures: u32,
}

#[derive(Clone, Debug)]
struct RefusedHandover {
    region: id::Region,
    service: id::Service,
    penalty_until: Instant,
}

#[derive(Clone, Debug)]
struct Handover {
    region: id::Region,
    service: id::Service,
    sent_at: Instant,
    tokens: u32,
}

impl Admission {
    /// Decides where to send a request.
    ///
    /// `local_first_event_secs` is the expected time until the first event in this region, if a
    /// target can take the request. `remote_loads` holds the other regions that may run it.
    /// `vm_count` VMs of this region are assumed to hand over as many requests as this one.
    pub fn decide(
        &mut self,
        query: AdmissionQuery<'_>,
        local_first_event_secs: Option<f64>,
        remote_loads: &[RemoteLoad],
        vm_count: u32,
        now: Instant,
    ) -> Decision {
        let is_unrestricted = !query.is_region_restricted;
        let local_penalty_secs = if is_unrestricted && self.is_capacity_scarce(query.service, now) {
            SCARCE_CAPACITY_PENALTY_SECS
        } else {
            0.0
        };
        let best = remote_loads
            .iter()
            .map(|load| (self.remote_first_event_secs(load, query, vm_count, now), load))
            .min_by(|one, other| {
                let cost =
                    |(secs, load): &(f64, &RemoteLoad)| secs + self.penalty_secs(query, load, now);
                cost(one).total_cmp(&cost(other))
            });
        // The time that the request has waited so far does not lower the limit, as a late answer is
        // better than none when targets are free. The limit only serves to keep queues short.
        let max_wait_secs = query.time_left.as_secs_f64() * MAX_TIME_LEFT_RATIO;
        let limit_secs = limit_secs(query).min(max_wait_secs);
        let (decision, expected_secs) = match (local_first_event_secs, best) {
            (Some(local_first_event_secs), Some((remote_first_event_secs, load)))
                if remote_first_event_secs
                    + self.penalty_secs(query, load, now)
                    + REMOTE_MARGIN_SECS
                    < local_first_event_secs + local_penalty_secs =>
            {
                (Decision::Remote(load.region.clone()), remote_first_event_secs)
            }
            (Some(local_first_event_secs), _) => (Decision::Local, local_first_event_secs),
            (None, Some((remote_first_event_secs, load))) => {
                (Decision::Remote(load.region.clone()), remote_first_event_secs)
            }
            (None, None) => return Decision::NoTarget,
        };
        if expected_secs <= limit_secs || query.has_started {
            return decision;
        }
        if !is_unrestricted {
            self.last_restricted_refusals.insert(query.service.clone(), now);
        }
        let jitter_secs = RETRY_JITTER_SECS.start
            + query.retry_jitter * (RETRY_JITTER_SECS.end - RETRY_JITTER_SECS.start);
        let excess_secs = query.standing.map_or(0.0, |standing| standing.excess_secs);
        let delay_secs = (expected_secs - limit_secs).max(excess_secs);
        let retry_after_secs = (delay_secs + jitter_secs).min(MAX_RETRY_AFTER_SECS);
        Decision::Refuse(ObjectiveMiss {
            retry_after_secs,
            local_first_event_secs,
            remote_first_event_secs: best.map(|(secs, _)| secs),
            limit_secs,
            excess: query.standing.map_or(0.0, |standing| standing.excess),
        })
    }

    /// How a request with this ID stands among those for `service`.
    pub fn standing(
        &self,
        service: &id::Service,
        demand: &Demand<'_>,
        request: u64,
        now: Instant,
    ) -> Standing {
        let ledger = self.ledgers.get(service);
        ledger.map_or_else(Standing::default, |ledger| ledger.standing(demand, request, now))
    }

    /// Records whether a request with this ID was admitted.
    pub fn record_admission(
        &mut self,
        service: &id::Service,
        demand: &Demand<'_>,
        request: u64,
        is_admitted: bool,
        now: Instant,
    ) {
        if !self.ledgers.contains_key(service) {
            self.ledgers.insert(service.clone(), Ledger::default());
        }
        if let Some(ledger) = self.ledgers.get_mut(service) {
            ledger.record(demand, request, is_admitted, now);
        }
    }

    /// Records that a request that was admitted did not run.
    pub fn record_late_refusal(
        &mut self,
        service: &id::Service,
        demand: &Demand<'_>,
        request: u64,
        now: Instant,
    ) {
        if let Some(ledger) = self.ledgers.get_mut(service) {
            ledger.record_late_refusal(demand, request, now);
        }
    }

    /// What is expected of each region in `loads`, as [`decide`](Self::decide) compares them.
    pub(super) fn compare_regions(
        &self,
        query: AdmissionQuery<'_>,
        loads: &[RemoteLoad],
        vm_count: u32,
        now: Instant,
    ) -> Vec<explain::Region> {
        let compare = |load: &RemoteLoad| explain::Region {
            region: load.region.to_string(),
            first_event_ms: millis_of(self.remote_first_event_secs(load, query, vm_count, now)),
            penalty_ms: millis_of(self.penalty_secs(query, load, now)),
            targets: load.target_count,
            report_age_ms: millis_of(now.saturating_duration_since(load.received_at).as_secs_f64()),
        };
        loads.iter().map(compare).collect()
    }

    /// Seconds added to the expected time when regions are compared.
    fn penalty_secs(&self, query: AdmissionQuery<'_>, load: &RemoteLoad, now: Instant) -> f64 {
        let uses_scarce = !query.is_region_restricted && load.capacity_scarce;
        let refused = self.recently_refused_handover(&load.region, query.service, now);
        f64::from(u8::from(uses_scarce)) * SCARCE_CAPACITY_PENALTY_SECS
            + f64::from(u8::from(refused)) * REFUSAL_PENALTY_SECS
    }

    /// Whether this region recently refused region-restricted requests for `service`.
    pub fn is_capacity_scarce(&self, service: &id::Service, now: Instant) -> bool {
        let refused = self.last_restricted_refusals.get(service);
        refused.is_some_and(|at| now.saturating_duration_since(*at) < SCARCE_CAPACITY_PERIOD)
    }

    /// Records a request that is handed over to a region.
    pub fn record_handover(
        &mut self,
        region: &id::Region,
        service: &id::Service,
        tokens: u32,
        now: Instant,
    ) {
        let (region, service) = (region.clone(), service.clone());
        self.recent_handovers.push_back(Handover { region, service, sent_at: now, tokens });
        while self.recent_handovers.len() > MAX_HANDOVERS
            || self
                .recent_handovers
                .front()
                .is_some_and(|oldest| now - oldest.sent_at > MAX_LOAD_AGE)
        {
            self.recent_handovers.pop_front();
        }
    }

    /// Records that a region refused a request handed over to it.
    pub fn record_refused_handover(
        &mut self,
        region: &id::Region,
        service: &id::Service,
        now: Instant,
    ) {
        self.refused_handovers.retain(|refused| refused.penalty_until > now);
        let (region, service) = (region.clone(), service.clone());
        self.refused_handovers.push(RefusedHandover {
            region,
            service,
            penalty_until: now + REFUSAL_PENALTY_PERIOD,
        });
    }

    /// Records that a VM could not be reached or that its link broke.
    pub fn record_unreachable(&mut self, vm: &str, now: Instant) {
        self.backoffs
            .retain(|_, backoff| now.saturating_duration_since(backoff.until) < MAX_BACKOFF);
        let backoff =
            self.backoffs.entry(vm.to_owned()).or_insert(Backoff { until: now, failures: 0 });
        // Failures of concurrent requests count once.
        if backoff.until <= now {
            let duration = MIN_BACKOFF * 2u32.saturating_pow(backoff.failures.min(8));
            *backoff =
                Backoff { until: now + duration.min(MAX_BACKOFF), failures: backoff.failures + 1 };
        }
    }

    /// Records that a VM answered.
    pub fn record_reachable(&mut self, vm: &str) {
        self.backoffs.remove(vm);
    }

    /// Whether a VM gets no requests for now because it was unreachable.
    pub fn is_in_backoff(&self, vm: &str, now: Instant) -> bool {
        self.backoffs.get(vm).is_some_and(|backoff| backoff.until > now)
    }

    /// Records that a VM refused a request because it stops. Its next incarnation gets requests again.
    ///
    /// ```
    /// use pomelogate::gateway::Admission;
    ///
    /// let mut admission = Admission::default();
    /// admission.record_stopping("jakarta-1", 7);
    /// assert!(admission.is_stopping("jakarta-1", 7));
    /// assert!(!admission.is_stopping("jakarta-1", 8));
    /// ```
    pub fn record_stopping(&mut self, vm: &str, incarnation: u64) {
        // Bounds the memory, as VMs come and go.
        if self.stopping_vms.len() >= MAX_STOPPING_VMS {
            self.stopping_vms.clear();
        }
        self.stopping_vms.insert(vm.to_owned(), incarnation);
    }

    /// Whether this incarnation of a VM refused a request because it stops.
    pub fn is_stopping(&self, vm: &str, incarnation: u64) -> bool {
        self.stopping_vms.get(vm).is_some_and(|stopping| *stopping == incarnation)
    }

    fn recently_refused_handover(
        &self,
        region: &id::Region,
        service: &id::Service,
        now: Instant,
    ) -> bool {
        let same =
            |refused: &&RefusedHandover| refused.region == *region && refused.service == *service;
        self.refused_handovers.iter().filter(same).any(|refused| refused.penalty_until > now)
    }

    /// Expected seconds until the first event if the request is handed over to a region.
    fn remote_first_event_secs(
        &self,
        load: &RemoteLoad,
        query: AdmissionQuery<'_>,
        vm_count: u32,
        now: Instant,
    ) -> f64 {
        if now.saturating_duration_since(load.received_at) > MAX_LOAD_AGE {
            return REGION_ROUND_TRIP_SECS + REMOTE_MARGIN_SECS;
        }
        // A report is up to a second old when it is received.
        let reported_at =
            load.received_at.checked_sub(Duration::from_secs(1)).unwrap_or(load.received_at);
        let unreported = self.recent_handovers.iter().filter(|handover| {
            handover.region == load.region
                && handover.service == *query.service
                && handover.sent_at > reported_at
        });
        let unreported_tokens: f64 = unreported.map(|handover| f64::from(handover.tokens)).sum();
        // Targets have read prompts since the report.
        let elapsed_secs = now.saturating_duration_since(reported_at).as_secs_f64();
        let target_count = f64::from(load.target_count.max(1));
        let unreported_secs = (unreported_tokens * f64::from(vm_count.max(1))
            / PREFILL_TOKENS_PER_SEC
            / target_count
            - elapsed_secs)
            .max(0.0);
        let read_secs = f64::from(query.unshared_tokens) / PREFILL_TOKENS_PER_SEC;
        REGION_ROUND_TRIP_SECS
            + load.min_backlog_secs
            + FULL_BATCH_DELAY_SECS * load.requests_per_slot.min(1.0)
            + unreported_secs
            + read_secs
    }
}

/// Seconds within which the first event must be expected under the objective of a route and a priority.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::gateway::priority_limit_secs;
///
/// let objective = Duration::from_secs(1);
/// assert!(priority_limit_secs(objective, 0) > priority_limit_secs(objective, 1));
/// ```
pub fn priority_limit_secs(objective: Duration, priority: u32) -> f64 {
    let ratio = TOP_PRIORITY_LIMIT_RATIO - LIMIT_RATIO_STEP * f64::from(priority);
    objective.as_secs_f64() * ratio.max(MIN_LIMIT_RATIO)
}

/// Seconds within which the first event must be expected, without regard to the time left.
fn limit_secs(query: AdmissionQuery<'_>) -> f64 {
    let objective = query.route.latency_objective;
    let own_secs = priority_limit_secs(objective, query.priority);
    let Some(standing) = query.standing else { return own_secs };
    let top_secs = priority_limit_secs(objective, 0);
    let least_secs = standing.least_limit_secs.unwrap_or(own_secs);
    let queue_secs = |secs: f64| secs.min(least_secs.max(secs * SHORTEST_QUEUE_RATIO));
    if standing.is_starved {
        // The time to read a long prompt cannot be waited for, and must not keep it out for good. The
        // queue is no longer than that of the most urgent requests, which would be refused otherwise.
        let read_secs = f64::from(query.unshared_tokens) / PREFILL_TOKENS_PER_SEC;
        return queue_secs(standing.top_limit_secs.unwrap_or(top_secs)) + read_secs;
    }
    let way_secs = if standing.is_handed_over { REGION_ROUND_TRIP_SECS } else { 0.0 };
    // Free slots do not help more urgent requests whose prompts wait behind long ones.
    if query.has_free_slots && !standing.is_urgent_refused {
        return top_secs - way_secs;
    }
    let urgent_secs = standing.urgent_limit_secs.unwrap_or(f64::MAX);
    let urgent_secs = if standing.is_urgent_refused {
        // Only the queue counts against the limit of the more urgent kind, so that large requests are not
        // refused more often than small ones.
        let read_secs = f64::from(query.unshared_tokens) / PREFILL_TOKENS_PER_SEC;
        urgent_secs * SCARCE_RATIO + read_secs
    } else {
        urgent_secs * LESS_URGENT_RATIO
    };
    let shared_secs = queue_secs(own_secs).min(urgent_secs) * standing.factor();
    let factor = if standing.is_return { RETURN_FACTOR } else { 1.0 };
    shared_secs * factor - way_secs
}
