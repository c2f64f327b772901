use serde::{Deserialize, Serialize};

use crate::id;

/// One thing that a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Offer {
    /// A model, at one version, with the adapters loaded.
    Model {
        /// The model.
        model: id::Model,
        /// The version of its weights.
        version: id::Version,
        /// The adapters loaded.
        #[serde(default)]
        adapters: Vec<id::Adapter>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: id::Service,
    },
}
