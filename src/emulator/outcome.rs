use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Job, Traffic};
use crate::path::Class;

const DIGITS: u8 = 3;

/// What a run measured; times are in microseconds.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The time to the first token of interactive requests.
    pub first_token: Histogram<u64>,
    /// The same for each customer.
    pub customers: Vec<Histogram<u64>>,
    /// The time to the end of batch requests.
    pub batch: Histogram<u64>,
    /// The time between tokens.
    pub between: Histogram<u64>,
    /// The time to the answer of plain services.
    pub service: Histogram<u64>,
    /// The time that engines spent in steps.
    pub busy: Duration,
    /// Prompt tokens that engines read because their caches lacked them.
    pub missed: u64,
    /// Requests handed to another region.
    pub spilled: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
}

impl Outcome {
    pub(super) fn new() -> Self {
        let empty = || {
            let mut histogram = Histogram::new_with_bounds(1, 3_600_000_000, DIGITS)
                .unwrap_or_else(|_| unreachable!("the bounds are valid"));
            histogram.auto(true);
            histogram
        };
        Self {
            first_token: empty(),
            customers: (0..Traffic::CUSTOMERS).map(|_| empty()).collect(),
            batch: empty(),
            between: empty(),
            service: empty(),
            busy: Duration::ZERO,
            missed: 0,
            spilled: 0,
            arrived: 0,
            answered: 0,
        }
    }

    pub(super) fn first(&mut self, job: &Job, time: Duration) {
        let histogram = match (job.service, job.class) {
            (true, _) => &mut self.service,
            (false, Class::Batch) => return,
            (false, Class::Interactive) => &mut self.first_token,
        };
        histogram.saturating_record(micros(time));
        if !job.service {
            self.customers[job.customer].saturating_record(micros(time));
        }
    }

    pub(super) fn next(&mut self, time: Duration) {
        self.between.saturating_record(micros(time));
    }

    pub(super) fn end(&mut self, job: &Job, time: Duration) {
        self.answered += 1;
        if job.class == Class::Batch {
            self.batch.saturating_record(micros(time));
        }
    }

    /// The 99th percentile of the time to the first token.
    pub fn p99(&self) -> Duration {
        Duration::from_micros(self.first_token.value_at_quantile(0.99))
    }

    /// The same of the customer for whom it is worst.
    pub fn worst_customer(&self) -> Duration {
        let worst = self.customers.iter().map(|customer| customer.value_at_quantile(0.99)).max();
        Duration::from_micros(worst.unwrap_or_default())
    }

    /// The part of requests handed to another region.
    pub fn spill_share(&self) -> f64 {
        self.spilled as f64 / self.arrived.max(1) as f64
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
