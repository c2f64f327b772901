use serde::{Deserialize, Serialize};

use super::{Alias, Kind, Scheme};
use crate::id;

/// The catalogue of names as it is written in a JSON file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The regions.
    pub regions: Vec<id::Region>,
    /// The models.
    pub models: Vec<ModelEntry>,
    /// The plain services.
    pub services: Vec<id::Service>,
    /// The naming schemes.
    pub schemes: Vec<SchemeAliases>,
}

/// A model with the versions and adapters that a request may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The model.
    pub model: id::Model,
    /// The versions of the model's weights.
    #[serde(default)]
    pub versions: Vec<id::Version>,
    /// The adapters of the model.
    #[serde(default)]
    pub adapters: Vec<id::Adapter>,
}

/// The aliases of one naming scheme.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchemeAliases {
    /// The scheme.
    pub scheme: Scheme,
    /// The aliases of regions.
    #[serde(default)]
    pub regions: Vec<Alias>,
    /// The aliases of models.
    #[serde(default)]
    pub models: Vec<Alias>,
    /// The aliases of plain services.
    #[serde(default)]
    pub services: Vec<Alias>,
}

impl Document {
    pub(super) fn canonical_names(&self, kind: Kind) -> Vec<&str> {
        match kind {
            Kind::Region => self.regions.iter().map(id::Region::as_str).collect(),
            Kind::Model => self.models.iter().map(|entry| entry.model.as_str()).collect(),
            Kind::Service => self.services.iter().map(id::Service::as_str).collect(),
        }
    }
}

impl SchemeAliases {
    pub(super) fn aliases(&self, kind: Kind) -> &[Alias] {
        match kind {
            Kind::Region => &self.regions,
            Kind::Model => &self.models,
            Kind::Service => &self.services,
        }
    }
}
