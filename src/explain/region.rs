use serde::{Deserialize, Serialize};

/// Another region that may serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region.
    pub region: String,
    /// The expected milliseconds until the first event.
    pub first_event_ms: u64,
    /// The milliseconds that are added when regions are compared, for scarce capacity or a refusal.
    pub penalty_ms: u64,
    /// The targets there.
    pub targets: u32,
    /// The age of its load report.
    pub report_age_ms: u64,
}
