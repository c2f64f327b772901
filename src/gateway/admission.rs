use std::{
    collections::{HashMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use super::{balancer::CROWD, target_tracker::PREFILL};
use crate::{id, route::Route};

/// The part of the objective within which the first event must be expected, for the most urgent
/// rank. Work that is taken beyond it would be late, and make what comes after it late too.
const ON_TIME: f64 = 0.85;
/// The part less for each rank that is less urgent.
const LESS_URGENT: f64 = 0.15;
/// No rank is left with less than this part.
const LEAST_PART: f64 = 0.4;
/// The part of a caller's time within which the first event must be expected in any case.
const WORTH_TRYING: f64 = 0.6;
/// Seconds by which another region must be better: what its VMs told is up to two seconds old.
const MARGIN: f64 = 0.05;
/// Seconds that a request and the first event of its answer take to another region and back.
const WAY: f64 = 0.115;
/// A region that refused a hand-over is charged for it for this long: by then others have ended
/// there.
const CLOSED: Duration = Duration::from_millis(300);
/// Seconds charged for that, against other places for the same request.
const REFUSED: f64 = 0.15;
/// Seconds charged to a request that may go anywhere for a place that others may not leave and are
/// refused at.
const SCARCE: f64 = 0.25;
/// A region counts as scarce for this long after such a refusal.
const SCARCE_FOR: Duration = Duration::from_millis(1500);
/// A VM that cannot be reached gets nothing for this long, twice as long with each time in a row: an
/// attempt to reach it holds a request for most of a second.
const FIRST_CUT: Duration = Duration::from_secs(1);
const LONGEST_CUT: Duration = Duration::from_secs(4);
/// What a region told of itself is not taken for longer.
const OLDEST: Duration = Duration::from_secs(4);
/// Hand-overs that are remembered, to be counted on top of what a region told before them.
const MOST_PASSED: usize = 1024;
/// The wait of a refused caller beyond what the targets need, so that callers come back spread out.
const SPREAD: std::ops::Range<f64> = 0.2..0.8;
/// The longest wait that callers are told.
const LONGEST: f64 = 3.0;

/// How busy another region is.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteLoad {
    /// The region.
    pub region: id::Region,
    /// Seconds until its least busy target has read what was sent to it.
    pub min_backlog_secs: f64,
    /// Requests there for each place.
    pub requests_per_slot: f64,
    /// Its targets of the service.
    pub target_count: u32,
    /// Whether requests that must not leave their homes were refused there lately.
    pub capacity_scarce: bool,
    /// When that was learned.
    pub received_at: Instant,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To the target that was chosen in this region.
    Local,
    /// To another region.
    Remote(id::Region),
    /// Nowhere: it would be late.
    Refuse(ObjectiveMiss),
    /// Nowhere, as no target takes it now.
    NoTarget,
}

/// Why a request would be late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveMiss {
    /// Seconds after which its caller may come back.
    pub retry_after_secs: f64,
    /// Seconds until the first event at a target of this region, if one takes it.
    pub local_secs: Option<f64>,
    /// Seconds until the first event in the best other region, if there is one.
    pub remote_secs: Option<f64>,
    /// Seconds within which it must be expected.
    pub limit_secs: f64,
}

impl fmt::Display for ObjectiveMiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds =
            |time: Option<f64>| time.map_or("none".to_owned(), |time| format!("{time:.2} s"));
        let (here, there) = (seconds(self.local_secs), seconds(self.remote_secs));
        write!(f, "expected here {here}, elsewhere {there}, at most {:.2} s", self.limit_secs)
    }
}

/// A request as its admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// Its rule.
    pub route: &'a Route,
    /// Its service.
    pub service: &'a id::Service,
    /// How long its caller will wait.
    pub time_left: Duration,
    /// The tokens that another region would have to read for it.
    pub unshared_tokens: u32,
    /// Whether it has run in part or in vain: what was spent on it is lost unless it is gone on
    /// with, however late.
    pub has_started: bool,
    /// A number from 0 to 1 that spreads callers who come back.
    pub retry_jitter: f64,
}

/// Decides whether a request is worth taking, here or in another region.
///
/// A request is taken where its first event is expected within the objective; what cannot be had
/// in time anywhere is refused at once, so that queues stay short enough for those that are taken.
#[derive(Debug, Default)]
pub struct Admission {
    passed: VecDeque<Passed>,
    closed: Vec<Closed>,
    /// VMs that cannot be reached.
    cuts: HashMap<String, Cut>,
    /// When a request of a service that must not leave its homes was last refused here.
    scarce: HashMap<id::Service, Instant>,
}

#[derive(Debug)]
struct Cut {
    until: Instant,
    times: u32,
}

#[derive(Debug)]
struct Closed {
    region: id::Region,
    service: id::Service,
    until: Instant,
}

#[derive(Debug)]
struct Passed {
    region: id::Region,
    service: id::Service,
    at: Instant,
    tokens: u32,
}

impl Admission {
    /// Decides, given the seconds until the first event `here`, if a target takes it here, and how
    /// busy the other regions are that may get it. `vms` send as this one does.
    pub fn decide(
        &mut self,
        applicant: AdmissionQuery<'_>,
        local_secs: Option<f64>,
        remote_loads: &[RemoteLoad],
        vms: u32,
        now: Instant,
    ) -> Decision {
        let free = applicant.route.allowed_regions.is_empty();
        let scarce =
            if free && self.is_capacity_scarce(applicant.service, now) { SCARCE } else { 0.0 };
        let best = remote_loads
            .iter()
            .map(|there| (self.delay(there, applicant, vms, now), there))
            .min_by(|one, other| {
                let cost = |(delay, there): &(f64, &RemoteLoad)| {
                    delay + self.surcharge(applicant, there, now)
                };
                cost(one).total_cmp(&cost(other))
            });
        // What a request has waited so far is no reason to refuse it where targets are free: late
        // is better than not at all. The limit keeps queues short.
        let left = applicant.time_left.as_secs_f64() * WORTH_TRYING;
        let limit_secs = limit(applicant.route).min(left);
        let (decision, delay) = match (local_secs, best) {
            (Some(here), Some((delay, there)))
                if delay + self.surcharge(applicant, there, now) + MARGIN < here + scarce =>
            {
                (Decision::Remote(there.region.clone()), delay)
            }
            (Some(here), _) => (Decision::Local, here),
            (None, Some((delay, there))) => (Decision::Remote(there.region.clone()), delay),
            (None, None) => return Decision::NoTarget,
        };
        if delay <= limit_secs || applicant.has_started {
            return decision;
        }
        if !free {
            self.scarce.insert(applicant.service.clone(), now);
        }
        let spread = SPREAD.start + applicant.retry_jitter * (SPREAD.end - SPREAD.start);
        let retry_after_secs = (delay - limit_secs + spread).min(LONGEST);
        Decision::Refuse(ObjectiveMiss {
            retry_after_secs,
            local_secs,
            remote_secs: best.map(|(delay, _)| delay),
            limit_secs,
        })
    }

    /// Seconds charged for a place in another region beyond its delay.
    fn surcharge(&self, applicant: AdmissionQuery<'_>, there: &RemoteLoad, now: Instant) -> f64 {
        let scarce = applicant.route.allowed_regions.is_empty() && there.capacity_scarce;
        let refused = self.is_closed(&there.region, applicant.service, now);
        f64::from(u8::from(scarce)) * SCARCE + f64::from(u8::from(refused)) * REFUSED
    }

    /// Whether requests of `service` that must not leave their homes were refused here lately.
    pub fn is_capacity_scarce(&self, service: &id::Service, now: Instant) -> bool {
        let refused = self.scarce.get(service);
        refused.is_some_and(|at| now.saturating_duration_since(*at) < SCARCE_FOR)
    }

    /// Counts a request that is handed to a region.
    pub fn record_handover(
        &mut self,
        region: &id::Region,
        service: &id::Service,
        tokens: u32,
        now: Instant,
    ) {
        let (region, service) = (region.clone(), service.clone());
        self.passed.push_back(Passed { region, service, at: now, tokens });
        while self.passed.len() > MOST_PASSED
            || self.passed.front().is_some_and(|first| now - first.at > OLDEST)
        {
            self.passed.pop_front();
        }
    }

    /// A region refused a request that was handed to it.
    pub fn record_refused_handover(
        &mut self,
        region: &id::Region,
        service: &id::Service,
        now: Instant,
    ) {
        self.closed.retain(|closed| closed.until > now);
        let (region, service) = (region.clone(), service.clone());
        self.closed.push(Closed { region, service, until: now + CLOSED });
    }

    /// A VM could not be reached, or its link broke.
    pub fn record_unreachable(&mut self, vm: &str, now: Instant) {
        self.cuts.retain(|_, cut| now.saturating_duration_since(cut.until) < LONGEST_CUT);
        let cut = self.cuts.entry(vm.to_owned()).or_insert(Cut { until: now, times: 0 });
        // Requests that were on their way together count once.
        if cut.until <= now {
            let lasts = FIRST_CUT * 2u32.saturating_pow(cut.times.min(8));
            *cut = Cut { until: now + lasts.min(LONGEST_CUT), times: cut.times + 1 };
        }
    }

    /// A VM answered.
    pub fn record_reachable(&mut self, vm: &str) {
        self.cuts.remove(vm);
    }

    /// Whether a VM could not be reached a moment ago.
    pub fn is_in_backoff(&self, vm: &str, now: Instant) -> bool {
        self.cuts.get(vm).is_some_and(|cut| cut.until > now)
    }

    fn is_closed(&self, region: &id::Region, service: &id::Service, now: Instant) -> bool {
        let same = |closed: &&Closed| closed.region == *region && closed.service == *service;
        self.closed.iter().filter(same).any(|closed| closed.until > now)
    }

    fn delay(
        &self,
        there: &RemoteLoad,
        applicant: AdmissionQuery<'_>,
        vms: u32,
        now: Instant,
    ) -> f64 {
        if now.saturating_duration_since(there.received_at) > OLDEST {
            return WAY + MARGIN;
        }
        // What was told was written up to a second before it was learned.
        let since =
            there.received_at.checked_sub(Duration::from_secs(1)).unwrap_or(there.received_at);
        let passed = self.passed.iter().filter(|passed| {
            passed.region == there.region
                && passed.service == *applicant.service
                && passed.at > since
        });
        let sent: f64 = passed.map(|passed| f64::from(passed.tokens)).sum();
        // Targets go on reading meanwhile.
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let targets = f64::from(there.target_count.max(1));
        let added = (sent * f64::from(vms.max(1)) / PREFILL / targets - elapsed).max(0.0);
        let read = f64::from(applicant.unshared_tokens) / PREFILL;
        WAY + there.min_backlog_secs + CROWD * there.requests_per_slot.min(1.0) + added + read
    }
}

/// Seconds within which the first event must be expected.
fn limit(rule: &Route) -> f64 {
    let part = ON_TIME - LESS_URGENT * f64::from(rule.priority);
    rule.latency_objective.as_secs_f64() * part.max(LEAST_PART)
}
