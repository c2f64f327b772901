use serde::{Deserialize, Serialize};

use super::{Grant, Limits};
use crate::id;

/// The regions, models, services and limits of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// The plan.
    pub plan: id::Plan,
    /// The regions in which the plan's requests may be processed and their data stored.
    pub regions: Vec<id::Region>,
    /// The models that the plan may use.
    #[serde(default)]
    pub models: Vec<Grant>,
    /// The plain services that the plan may use.
    #[serde(default)]
    pub services: Vec<id::Service>,
    /// The limits of each customer on the plan.
    #[serde(default)]
    pub limits: Limits,
}
