use serde::{Deserialize, Serialize};

/// What a decision is based on, and how old that is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The VM.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// The version of the routes.
    pub routes_version: u64,
    /// The index up to which the VM knows the registry.
    pub registry_index: u64,
    /// The time since the last loads of regions, which come with each update of a replica; none if
    /// there was none.
    pub loads_age_ms: Option<u64>,
    /// The time since the keys of organisations were confirmed, if they must be.
    pub keys_age_ms: Option<u64>,
    /// Whether the VM was suspended and has not heard since which targets are cold.
    pub may_be_outdated: bool,
}
