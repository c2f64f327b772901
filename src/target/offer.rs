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

impl Offer {
    /// The adapters loaded; none for a plain service.
    ///
    /// ```
    /// use pomelogate::{id, target::Offer};
    ///
    /// let offer = Offer::Service { service: id::Service::from("jobs") };
    /// assert!(offer.adapters().is_empty());
    /// ```
    pub fn adapters(&self) -> &[id::Adapter] {
        match self {
            Self::Model { adapters, .. } => adapters,
            Self::Service { .. } => &[],
        }
    }

    /// The names in the offer.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let own = match self {
            Self::Model { model, version, .. } => [Some(model.as_str()), Some(version.as_str())],
            Self::Service { service } => [Some(service.as_str()), None],
        };
        own.into_iter().flatten().chain(self.adapters().iter().map(id::Adapter::as_str))
    }
}
