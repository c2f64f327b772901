use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{id, throttle::PeerMemory};

/// The fraction of its share that a VM spends. The windows of the VMs are not aligned, and with the
/// rest in reserve the VMs together stay within the budget.
const SPENDABLE_RATIO: f64 = 0.7;
const BUCKETS_PER_WINDOW: u32 = 10;

/// Limits the retries that this VM sends to each service, so that all VMs together stay within one
/// budget without coordination.
///
/// The first attempt of a request is free. The number of retries in a window is limited to a
/// fraction (`ratio`) of the requests that this VM received for the service in that window, plus
/// this VM's share of a constant (`slack`).
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
    vms: PeerMemory,
    vm_count: u32,
    services: HashMap<id::Service, SlidingWindow>,
}

#[derive(Debug, Default)]
struct SlidingWindow {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// A budget for all VMs together: in each `window`, `ratio` retries per request and `slack`
    /// retries on top.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            vms: PeerMemory::default(),
            vm_count: 1,
            services: HashMap::new(),
        }
    }

    /// Sets the VMs that share the budget: those that are ready at `now`, and those that were so
    /// lately, as they may still send retries.
    pub fn update_vms<'a>(&mut self, ready: impl Iterator<Item = &'a str>, now: Instant) {
        self.vms.update(ready, now);
        self.set_vm_count(self.vms.vm_count());
    }

    /// Sets the number of VMs that share the budget.
    pub fn set_vm_count(&mut self, vm_count: u32) {
        self.vm_count = vm_count.max(1);
    }

    /// Records a request of a caller for a service.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Whether the budget allows another retry. Records the retry if it does.
    pub fn spend_retry(&mut self, service: &id::Service, now: Instant) -> bool {
        let slack_share = SPENDABLE_RATIO * self.slack / f64::from(self.vm_count);
        let ratio = SPENDABLE_RATIO * self.ratio;
        self.current_bucket(service, now);
        let Some(sliding_window) = self.services.get(service) else { return false };
        let sum = |of: fn(&Bucket) -> u32| sliding_window.buckets.iter().map(of).sum::<u32>();
        let requests = f64::from(sum(|bucket| bucket.requests));
        let retries = f64::from(sum(|bucket| bucket.retries));
        let allowed = retries + 1.0 <= ratio * requests + slack_share;
        if allowed {
            self.current_bucket(service, now).retries += 1;
        }
        allowed
    }

    fn current_bucket(&mut self, service: &id::Service, now: Instant) -> &mut Bucket {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), SlidingWindow::default());
        }
        let window = self.window;
        let buckets = &mut self.services.entry(service.clone()).or_default().buckets;
        while buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.started_at) >= window)
        {
            buckets.pop_front();
        }
        let bucket_span = window / BUCKETS_PER_WINDOW;
        let needs_bucket = buckets
            .back()
            .is_none_or(|bucket| now.saturating_duration_since(bucket.started_at) >= bucket_span);
        if needs_bucket {
            buckets.push_back(Bucket { started_at: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
