use std::time::{Duration, Instant};

use super::{Settings, bucket::Bucket, queue::Queue};
use crate::{list::Limits, path::Class};

const SECONDS_A_MINUTE: f64 = 60.0;

/// What one customer runs and has waiting on this VM.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limits: Limits,
    concurrency: u32,
    batch: u32,
    running: u32,
    running_batch: u32,
    pub(super) bucket: Bucket,
    interactive_queue: Queue,
    batch_queue: Queue,
}

impl Account {
    pub(super) fn new(limits: Limits, settings: &Settings, now: Instant) -> Self {
        let rate = rate(limits, settings.vms);
        let mut account = Self {
            limits,
            concurrency: 0,
            batch: 0,
            running: 0,
            running_batch: 0,
            bucket: Bucket::new(rate, settings.burst, now),
            interactive_queue: Queue::default(),
            batch_queue: Queue::default(),
        };
        account.share(settings);
        account
    }

    /// Takes the limits of the newest list and this VM's share of them.
    pub(super) fn set_limits(&mut self, limits: Limits, settings: &Settings, now: Instant) {
        self.limits = limits;
        self.bucket.set_rate(rate(limits, settings.vms), settings.burst, now);
        self.share(settings);
    }

    pub(super) fn limits(&self) -> Limits {
        self.limits
    }

    fn share(&mut self, settings: &Settings) {
        self.concurrency = self.limits.concurrency.div_ceil(settings.vms.max(1));
        let batch = f64::from(self.concurrency) * settings.batch_share.clamp(0.0, 1.0);
        self.batch = (batch.round() as u32).max(self.concurrency.min(1));
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

    /// Requests of one class that may wait on this VM.
    pub(super) fn queue_limit(&self, vms: u32) -> usize {
        usize::try_from(self.limits.queue.div_ceil(vms.max(1))).unwrap_or(usize::MAX)
    }

    /// Whether the limits permit any request at all.
    pub(super) fn is_open(&self) -> bool {
        self.limits.concurrency > 0 && self.limits.tokens_per_minute > 0
    }

    pub(super) fn has_place(&self, class: Class) -> bool {
        let batch = class == Class::Batch && self.running_batch >= self.batch;
        self.running < self.concurrency && !batch
    }

    /// How long until a request of `tokens` may run, as far as the rate of tokens decides.
    pub(super) fn token_delay(&mut self, tokens: u32, now: Instant) -> Duration {
        self.bucket.delay(tokens, now).unwrap_or(Duration::MAX)
    }

    pub(super) fn start(&mut self, class: Class, tokens: u32, now: Instant) {
        self.running += 1;
        self.running_batch += u32::from(class == Class::Batch);
        self.bucket.take(tokens, now);
    }

    pub(super) fn stop(&mut self, class: Class) {
        self.running = self.running.saturating_sub(1);
        let batch = u32::from(class == Class::Batch);
        self.running_batch = self.running_batch.saturating_sub(batch);
    }

    pub(super) fn is_idle(&mut self, now: Instant) -> bool {
        self.running == 0
            && self.interactive_queue.is_empty()
            && self.batch_queue.is_empty()
            && self.bucket.is_full(now)
    }
}

fn rate(limits: Limits, vms: u32) -> f64 {
    f64::from(limits.tokens_per_minute) / SECONDS_A_MINUTE / f64::from(vms.max(1))
}
