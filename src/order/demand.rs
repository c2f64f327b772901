use super::Weights;
use crate::id;

/// How much of some weights a region needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The region.
    pub region: id::Region,
    /// The weights, which a plan allows in that region.
    pub weights: Weights,
    /// The work at present, in targets kept wholly busy.
    pub busy: f64,
    /// The targets to keep even without work.
    pub minimum: usize,
}
