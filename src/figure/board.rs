use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{Refusals, Sample, Snapshot, Statsd, row::Row};
use crate::{id, outcome::Reason, path::Class};

/// Customers and classes with histograms of their own; others share one for each class.
const ROWS_LIMIT: usize = 512;

/// The figures of one VM.
///
/// ```
/// use pomelogate::figure::{Board, Sample};
///
/// let board = Board::default();
/// let customer = "crew-leads".into();
/// board.record(&Sample { customer: Some(&customer), ..Sample::default() });
/// assert_eq!(board.snapshot().summaries[0].answered, 1);
/// ```
#[derive(Debug, Default)]
pub struct Board {
    state: Mutex<State>,
    statsd: Option<Statsd>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(Option<id::Customer>, Class), Row>,
    refusals: BTreeMap<Reason, u64>,
}

impl Board {
    /// Creates a board that also sends each sample to statsd.
    pub fn with(statsd: Option<Statsd>) -> Self {
        Self { statsd, ..Self::default() }
    }

    /// Takes what one request showed.
    pub fn record(&self, sample: &Sample<'_>) {
        self.state().record(sample);
        if let Some(statsd) = &self.statsd {
            statsd.send(sample);
        }
    }

    /// The figures so far.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.state();
        let summary =
            |(key, row): (&(Option<id::Customer>, Class), &Row)| row.summary(key.0.clone(), key.1);
        let refusal =
            |(reason, count): (&Reason, &u64)| Refusals { reason: *reason, count: *count };
        Snapshot {
            summaries: state.rows.iter().map(summary).collect(),
            refusals: state.refusals.iter().map(refusal).collect(),
        }
    }

    /// The bytes that the histograms' counters take at present.
    pub fn bytes(&self) -> usize {
        self.state().rows.values().map(Row::bytes).sum()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(&mut self, sample: &Sample<'_>) {
        if let Some(reason) = sample.reason {
            *self.refusals.entry(reason).or_default() += 1;
        }
        let mut key = (sample.customer.cloned(), sample.class);
        if !self.rows.contains_key(&key) && self.rows.len() >= ROWS_LIMIT {
            key.0 = None;
        }
        if let Some(row) = self.rows.get_mut(&key) {
            row.record(sample);
        } else if let Ok(mut row) = Row::new() {
            row.record(sample);
            self.rows.insert(key, row);
        }
    }
}
