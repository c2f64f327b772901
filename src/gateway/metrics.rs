use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::figure::Page;

/// Rules with figures of their own; the others share one row.
const MOST_RULES: usize = 128;
/// The longest time that a histogram holds, in milliseconds.
const LONGEST_MS: u64 = 120_000;

/// Counters and histograms of a VM that takes callers.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    rules: BTreeMap<String, Row>,
    refusals: BTreeMap<&'static str, u64>,
    tries: BTreeMap<&'static str, u64>,
    handed_over: u64,
    taken_over: u64,
    repeats: u64,
}

#[derive(Debug)]
struct Row {
    outcomes: BTreeMap<&'static str, u64>,
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        Self { outcomes: BTreeMap::new(), first: histogram(), whole: histogram() }
    }
}

/// Two digits of milliseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, 2).unwrap_or_else(|_| {
        Histogram::new(2).unwrap_or_else(|_| unreachable!("two digits are a valid precision"))
    })
}

impl Metrics {
    /// Counts the end of a request of a rule.
    pub(super) fn record_end(&mut self, rule: &str, outcome: &'static str, took: Duration) {
        let row = self.row(rule);
        *row.outcomes.entry(outcome).or_default() += 1;
        row.whole.saturating_record(millis(took));
    }

    /// Counts the head of an answer, or the first event of a stream.
    pub(super) fn record_first_event(&mut self, rule: &str, took: Duration) {
        self.row(rule).first.saturating_record(millis(took));
    }

    /// Counts a request that did not run.
    pub(super) fn record_refusal(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts what a try at a target came to.
    pub(super) fn record_attempt(&mut self, outcome: &'static str) {
        *self.tries.entry(outcome).or_default() += 1;
    }

    /// Counts an arrival beyond the first of a request.
    pub(super) fn record_retry(&mut self) {
        self.repeats += 1;
    }

    /// Counts a request that was handed to another region.
    pub(super) fn record_handover(&mut self) {
        self.handed_over += 1;
    }

    /// Counts a request that another region handed over.
    pub(super) fn record_received_handover(&mut self) {
        self.taken_over += 1;
    }

    /// Writes everything to a page.
    pub(super) fn write_to(&self, page: &mut Page) {
        for (rule, row) in &self.rules {
            for (outcome, count) in &row.outcomes {
                page.counter("requests_total", &[("rule", rule), ("outcome", outcome)], *count);
            }
            page.histogram("first_event_ms", &[("rule", rule)], &row.first);
            page.histogram("request_ms", &[("rule", rule)], &row.whole);
        }
        for (reason, count) in &self.refusals {
            page.counter("refusals_total", &[("reason", reason)], *count);
        }
        for (outcome, count) in &self.tries {
            page.counter("tries_total", &[("outcome", outcome)], *count);
        }
        page.counter("repeats_total", &[], self.repeats);
        page.counter("handed_over_total", &[], self.handed_over);
        page.counter("taken_over_total", &[], self.taken_over);
    }

    fn row(&mut self, rule: &str) -> &mut Row {
        let known = self.rules.contains_key(rule);
        let name = if known || self.rules.len() < MOST_RULES { rule } else { "other" };
        self.rules.entry(name.to_owned()).or_default()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
