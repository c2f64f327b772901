use serde::{Deserialize, Serialize};

/// An operator's word that calls made before a disk was lost may run a second time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Risk {
    /// The words that name the risk: [`RISK_ACCEPTED`](crate::claim::RISK_ACCEPTED).
    pub words: String,
    /// The operator, for the record.
    pub operator: String,
}
