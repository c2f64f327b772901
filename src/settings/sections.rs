use std::ops::RangeInclusive;

use super::{Problem, Settings};

const DISTANCE_MS: RangeInclusive<f64> = 0.0..=10_000.0;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
const SLOW_START_MS: RangeInclusive<f64> = 0.0..=600_000.0;
const REQUESTS: RangeInclusive<f64> = 1.0..=1_000_000.0;
const WEIGHT: RangeInclusive<f64> = 1.0..=1_000.0;
const WAIT_MS: RangeInclusive<f64> = 1.0..=3_600_000.0;
const DEATHS: RangeInclusive<f64> = 2.0..=100.0;
const MEMORY_MS: RangeInclusive<f64> = 1_000.0..=86_400_000.0;

/// One number with the range that it must lie in.
struct Check {
    field: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    unit: &'static str,
}

/// The problems of the numbers in the sections on placement, limits and crashing requests.
pub(super) fn ranges(settings: &Settings) -> Vec<Problem> {
    let checks = placement(settings).into_iter().chain(limits(settings)).chain(crashes(settings));
    checks
        .filter(|check| !check.range.contains(&check.value))
        .map(|check| check.problem())
        .collect()
}

fn placement(settings: &Settings) -> Vec<Check> {
    let placement = &settings.placement;
    vec![
        Check::new("placement.region_ms", placement.region_ms as f64, DISTANCE_MS, "milliseconds"),
        Check::new("placement.zone_ms", placement.zone_ms as f64, DISTANCE_MS, "milliseconds"),
        Check::new("placement.reserve", placement.reserve, SHARE, "as a part of one"),
        Check::new(
            "placement.slow_start_ms",
            placement.slow_start_ms as f64,
            SLOW_START_MS,
            "milliseconds",
        ),
    ]
}

fn limits(settings: &Settings) -> Vec<Check> {
    let limits = &settings.limits;
    let burst = limits.burst.as_millis() as f64;
    let retry_after = limits.retry_after.as_millis() as f64;
    vec![
        Check::new("limits.concurrency", f64::from(limits.concurrency), REQUESTS, "requests"),
        Check::new(
            "limits.interactive_weight",
            f64::from(limits.interactive_weight),
            WEIGHT,
            "requests",
        ),
        Check::new("limits.batch_share", limits.batch_share, SHARE, "as a part of one"),
        Check::new("limits.burst_ms", burst, WAIT_MS, "milliseconds"),
        Check::new("limits.retry_after_ms", retry_after, WAIT_MS, "milliseconds"),
    ]
}

fn crashes(settings: &Settings) -> Vec<Check> {
    let crashes = &settings.crashes;
    let memory = crashes.death_retention.as_millis() as f64;
    vec![
        Check::new("crashes.deaths", crashes.max_deaths as f64, DEATHS, "targets"),
        Check::new("crashes.memory_ms", memory, MEMORY_MS, "milliseconds"),
        Check::new("crashes.records", crashes.max_records as f64, REQUESTS, "requests"),
    ]
}

impl Check {
    fn new(
        field: &'static str,
        value: f64,
        range: RangeInclusive<f64>,
        unit: &'static str,
    ) -> Self {
        Self { field, value, range, unit }
    }

    fn problem(&self) -> Problem {
        let detail = format!("{} is out of range", self.value);
        let remedy = format!("use {} to {} {}", self.range.start(), self.range.end(), self.unit);
        Problem::error(self.field, detail, &remedy)
    }
}
