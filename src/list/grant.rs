use serde::{Deserialize, Serialize};

use crate::id;

/// A model that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The model.
    pub model: id::Model,
    /// The adapters permitted besides the model without an adapter.
    #[serde(default)]
    pub adapters: Vec<id::Adapter>,
    /// The versions permitted; empty permits every version.
    #[serde(default)]
    pub versions: Vec<id::Version>,
}
