use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::figure::Page;

/// The number of routes with metrics of their own. The other routes are counted together.
const MAX_ROUTES: usize = 128;
/// Longer times are counted as this one.
const MAX_HISTOGRAM_MS: u64 = 120_000;

/// Counters and histograms of a VM that accepts callers.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    routes: BTreeMap<String, RouteMetrics>,
    refusals: BTreeMap<&'static str, u64>,
    /// Decisions about requests that compete for capacity, by standing and decision.
    admissions: BTreeMap<(&'static str, &'static str), u64>,
    attempts: BTreeMap<&'static str, u64>,
    handovers: u64,
    received_handovers: u64,
    retries: u64,
}

#[derive(Debug)]
struct RouteMetrics {
    outcomes: BTreeMap<&'static str, u64>,
    first_event: Histogram<u64>,
    total: Histogram<u64>,
}

impl Default for RouteMetrics {
    fn default() -> Self {
        Self { outcomes: BTreeMap::new(), first_event: histogram(), total: histogram() }
    }
}

/// A histogram of milliseconds with two significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_HISTOGRAM_MS, 2).unwrap_or_else(|_| {
        Histogram::new(2).unwrap_or_else(|_| unreachable!("two digits are a valid precision"))
    })
}

impl Metrics {
    /// Records the end of a request on a route.
    pub(super) fn record_end(&mut self, route: &str, outcome: &'static str, elapsed: Duration) {
        let route_metrics = self.metrics_of(route);
        *route_metrics.outcomes.entry(outcome).or_default() += 1;
        route_metrics.total.saturating_record(millis(elapsed));
    }

    /// Records the time until the first event of a stream, or until the first bytes of a large
    /// response.
    pub(super) fn record_first_event(&mut self, route: &str, elapsed: Duration) {
        self.metrics_of(route).first_event.saturating_record(millis(elapsed));
    }

    /// Counts a refused request.
    pub(super) fn record_refusal(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts a decision about a request that competes for capacity.
    pub(super) fn record_admission(&mut self, standing: &'static str, is_admitted: bool) {
        let decision = if is_admitted { "admitted" } else { "refused" };
        *self.admissions.entry((standing, decision)).or_default() += 1;
    }

    /// Counts an attempt at a target by its outcome.
    pub(super) fn record_attempt(&mut self, outcome: &'static str) {
        *self.attempts.entry(outcome).or_default() += 1;
    }

    /// Counts an attempt beyond the first of a request.
    pub(super) fn record_retry(&mut self) {
        self.retries += 1;
    }

    /// Counts a request handed over to another region.
    pub(super) fn record_handover(&mut self) {
        self.handovers += 1;
    }

    /// Counts a request that another region handed over to this one.
    pub(super) fn record_received_handover(&mut self) {
        self.received_handovers += 1;
    }

    /// Writes all metrics to a page.
    pub(super) fn write_to(&self, page: &mut Page) {
        for (route, route_metrics) in &self.routes {
            for (outcome, count) in &route_metrics.outcomes {
                page.counter("requests_total", &[("rule", route), ("outcome", outcome)], *count);
            }
            page.histogram("first_event_ms", &[("rule", route)], &route_metrics.first_event);
            page.histogram("request_ms", &[("rule", route)], &route_metrics.total);
        }
        for (reason, count) in &self.refusals {
            page.counter("refusals_total", &[("reason", reason)], *count);
        }
        for ((standing, decision), count) in &self.admissions {
            page.counter(
                "admissions_total",
                &[("standing", standing), ("decision", decision)],
                *count,
            );
        }
        for (outcome, count) in &self.attempts {
            page.counter("tries_total", &[("outcome", outcome)], *count);
        }
        page.counter("repeats_total", &[], self.retries);
        page.counter("handed_over_total", &[], self.handovers);
        page.counter("taken_over_total", &[], self.received_handovers);
    }

    fn metrics_of(&mut self, route: &str) -> &mut RouteMetrics {
        let is_listed = self.routes.contains_key(route);
        let name = if is_listed || self.routes.len() < MAX_ROUTES { route } else { "other" };
        self.routes.entry(name.to_owned()).or_default()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
