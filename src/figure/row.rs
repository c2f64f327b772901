use std::time::Duration;

use hdrhistogram::{CreationError, Histogram};

use super::{Outcome, Quantiles, Sample, Summary};
use crate::{id, path::Class};

const LONGEST_MS: u64 = 600_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const COUNTER_BYTES: usize = size_of::<u32>();

/// The counters and histograms of one customer and class.
#[derive(Clone, Debug)]
pub(super) struct Row {
    answered: u64,
    refused: u64,
    unknown: u64,
    elsewhere: u64,
    engine: Duration,
    first_byte: Histogram<u32>,
    total: Histogram<u32>,
    queue: Histogram<u32>,
    between: Histogram<u32>,
}

impl Row {
    pub(super) fn new() -> Result<Self, CreationError> {
        let histogram = || Histogram::new_with_max(LONGEST_MS, SIGNIFICANT_DIGITS);
        Ok(Self {
            answered: 0,
            refused: 0,
            unknown: 0,
            elsewhere: 0,
            engine: Duration::ZERO,
            first_byte: histogram()?,
            total: histogram()?,
            queue: histogram()?,
            between: histogram()?,
        })
    }

    pub(super) fn record(&mut self, sample: &Sample<'_>) {
        match sample.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        self.elsewhere += u64::from(sample.elsewhere);
        self.engine += sample.engine;
        add(&mut self.total, sample.total);
        sample.first_byte.into_iter().for_each(|time| add(&mut self.first_byte, time));
        sample.queue.into_iter().for_each(|time| add(&mut self.queue, time));
        sample.between.iter().for_each(|time| add(&mut self.between, *time));
    }

    pub(super) fn summary(&self, customer: Option<id::Customer>, class: Class) -> Summary {
        Summary {
            customer,
            class,
            answered: self.answered,
            refused: self.refused,
            unknown: self.unknown,
            elsewhere: self.elsewhere,
            engine_seconds: self.engine.as_secs_f64(),
            first_byte: quantiles(&self.first_byte),
            total: quantiles(&self.total),
            queue: quantiles(&self.queue),
            between: quantiles(&self.between),
        }
    }

    /// The bytes that the histograms' counters take.
    pub(super) fn bytes(&self) -> usize {
        [&self.first_byte, &self.total, &self.queue, &self.between]
            .map(|histogram| histogram.distinct_values() * COUNTER_BYTES)
            .iter()
            .sum()
    }
}

fn add(histogram: &mut Histogram<u32>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(LONGEST_MS));
}

fn quantiles(histogram: &Histogram<u32>) -> Quantiles {
    Quantiles {
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.50),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
