use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::id;

/// The part of its share that a VM uses, so that all VMs together stay within the bound though
/// they count at different moments.
const SAFETY: f64 = 0.7;
const BUCKETS: u32 = 10;

/// How often this VM may send requests once more, for each service: its share of a budget that all
/// VMs have together, without asking anybody.
///
/// A request's first arrival at a service is free. Arrivals beyond it may number a part of the
/// requests that this VM had for the service in the window, and this VM's share of a constant.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::gateway::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.2, 10.0, Duration::from_secs(10));
/// let (jobs, now) = ("jobs".into(), Instant::now());
/// budget.set_vm_count(10);
/// assert!(!budget.spend_retry(&jobs, now));
/// (0..10).for_each(|_| budget.record_request(&jobs, now));
/// assert!(budget.spend_retry(&jobs, now) && budget.spend_retry(&jobs, now));
/// assert!(!budget.spend_retry(&jobs, now));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    vms: u32,
    services: HashMap<id::Service, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    since: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests and `slack` arrivals over all VMs in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window, vms: 1, services: HashMap::new() }
    }

    /// Takes the number of VMs that share the budget.
    pub fn set_vm_count(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Whether one more arrival may be sent; counts it if so.
    pub fn spend_retry(&mut self, service: &id::Service, now: Instant) -> bool {
        let share = SAFETY * self.slack / f64::from(self.vms);
        let ratio = SAFETY * self.ratio;
        self.bucket(service, now);
        let Some(counts) = self.services.get(service) else { return false };
        let sum = |of: fn(&Bucket) -> u32| counts.buckets.iter().map(of).sum::<u32>();
        let requests = f64::from(sum(|bucket| bucket.requests));
        let repeats = f64::from(sum(|bucket| bucket.repeats));
        let allowed = repeats + 1.0 <= ratio * requests + share;
        if allowed {
            self.bucket(service, now).repeats += 1;
        }
        allowed
    }

    fn bucket(&mut self, service: &id::Service, now: Instant) -> &mut Bucket {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let window = self.window;
        let buckets = &mut self.services.entry(service.clone()).or_default().buckets;
        while buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.since) >= window)
        {
            buckets.pop_front();
        }
        let span = window / BUCKETS;
        let fresh =
            buckets.back().is_none_or(|bucket| now.saturating_duration_since(bucket.since) >= span);
        if fresh {
            buckets.push_back(Bucket { since: now, requests: 0, repeats: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
