use std::time::{Duration, Instant};

use super::{Settings, queue::Queue, token_bucket::TokenBucket};
use crate::{list::Limits, path::Class};

const SECS_PER_MINUTE: f64 = 60.0;

/// The running and waiting requests of one customer on this VM, and this VM's share of the
/// customer's limits.
#[derive(Clone, Debug)]
pub(super) struct CustomerState {
    limits: Limits,
    max_running: u32,
    max_running_batch: u32,
    running: u32,
    running_batch: u32,
    pub(super) token_bucket: TokenBucket,
    interactive_queue: Queue,
    batch_queue: Queue,
}

impl CustomerState {
    pub(super) fn new(limits: Limits, settings: &Settings, now: Instant) -> Self {
        let tokens_per_sec = tokens_per_sec(limits, settings.vm_count);
        let mut state = Self {
            limits,
            max_running: 0,
            max_running_batch: 0,
            running: 0,
            running_batch: 0,
            token_bucket: TokenBucket::new(tokens_per_sec, settings.burst, now),
            interactive_queue: Queue::default(),
            batch_queue: Queue::default(),
        };
        state.set_max_running(settings);
        state
    }

    /// Sets the limits for the whole region and computes this VM's share of them.
    pub(super) fn set_limits(&mut self, limits: Limits, settings: &Settings, now: Instant) {
        self.limits = limits;
        self.token_bucket.set_rate(tokens_per_sec(limits, settings.vm_count), settings.burst, now);
        self.set_max_running(settings);
    }

    pub(super) fn limits(&self) -> Limits {
        self.limits
    }

    fn set_max_running(&mut self, settings: &Settings) {
        self.max_running = self.limits.concurrency.div_ceil(settings.vm_count.max(1));
        let batch = f64::from(self.max_running) * settings.batch_share.clamp(0.0, 1.0);
        self.max_running_batch = (batch.round() as u32).max(self.max_running.min(1));
    }

    pub(super) fn queue(&self, class: Class) -> &Queue {
        match class {
            Class::Interactive => &self.interactive_queue,
            Class::Batch => &self.batch_queue,
        }
    }

    pub(super) fn queue_mut(&mut self, class: Class) -> &mut Queue {
        match class {
            Class::Interactive => &mut self.interactive_queue,
            Class::Batch => &mut self.batch_queue,
        }
    }

    /// The number of requests of each class that may wait on this VM.
    pub(super) fn max_waiting(&self, vm_count: u32) -> usize {
        usize::try_from(self.limits.queue.div_ceil(vm_count.max(1))).unwrap_or(usize::MAX)
    }

    /// Whether the limits permit any request at all.
    pub(super) fn permits_requests(&self) -> bool {
        self.limits.concurrency > 0 && self.limits.tokens_per_minute > 0
    }

    /// Whether another request of `class` fits into this VM's share of the concurrency.
    pub(super) fn has_free_slot(&self, class: Class) -> bool {
        let batch_full = class == Class::Batch && self.running_batch >= self.max_running_batch;
        self.running < self.max_running && !batch_full
    }

    /// The time until the token rate permits a request of `tokens`.
    pub(super) fn token_delay(&mut self, tokens: u32, now: Instant) -> Duration {
        self.token_bucket.delay(tokens, now).unwrap_or(Duration::MAX)
    }

    pub(super) fn record_started(&mut self, class: Class, tokens: u32, now: Instant) {
        self.running += 1;
        self.running_batch += u32::from(class == Class::Batch);
        self.token_bucket.take(tokens, now);
    }

    pub(super) fn record_stopped(&mut self, class: Class) {
        self.running = self.running.saturating_sub(1);
        let batch = u32::from(class == Class::Batch);
        self.running_batch = self.running_batch.saturating_sub(batch);
    }

    /// Whether the state can be dropped: no requests and a full token bucket.
    pub(super) fn is_idle(&mut self, now: Instant) -> bool {
        self.running == 0
            && self.interactive_queue.is_empty()
            && self.batch_queue.is_empty()
            && self.token_bucket.is_full(now)
    }
}

/// This VM's share of the customer's token rate.
fn tokens_per_sec(limits: Limits, vm_count: u32) -> f64 {
    f64::from(limits.tokens_per_minute) / SECS_PER_MINUTE / f64::from(vm_count.max(1))
}
