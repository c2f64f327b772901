use super::{Candidate, Prompt, RegionSummary};
use crate::id;

/// One decision that is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The request's prompt.
    pub prompt: &'a Prompt,
    /// The regions that the customer's plan permits.
    pub allowed_regions: &'a [id::Region],
    /// The targets of this region that meet the need and take new work.
    pub candidates: &'a [Candidate<'a>],
    /// The other regions that serve the need; empty where the request may not be handed over.
    pub region_summaries: &'a [RegionSummary<'a>],
    /// The targets that this request was sent to before.
    pub tried_targets: &'a [id::Target],
}
