use serde::{Deserialize, Serialize};

use crate::id;

/// A model at one version of its weights, with an adapter or without.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::Adapter>,
}

/// What a target is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "weights")]
pub enum Action {
    /// Load weights from the weight store.
    Load(Weights),
    /// Unload weights once no request uses them.
    Unload(Weights),
}
