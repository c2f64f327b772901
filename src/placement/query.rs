use super::{Candidate, Prompt, RegionSummary};
use crate::id;

/// The input of one placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The request's prompt.
    pub prompt: &'a Prompt,
    /// The regions that the customer's plan permits.
    pub allowed_regions: &'a [id::Region],
    /// The targets of this region that serve what the request needs and accept new requests.
    pub candidates: &'a [Candidate<'a>],
    /// The other regions that serve what the request needs; empty if the request must not be
    /// handed over to another region.
    pub region_summaries: &'a [RegionSummary<'a>],
    /// The targets that this request was already sent to.
    pub tried_targets: &'a [id::Target],
}
