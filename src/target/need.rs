use std::fmt;

use serde::{Deserialize, Serialize};

use super::Offer;
use crate::id;

/// What a request needs of a target, in canonical names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Need {
    /// A model.
    Model {
        /// The model.
        model: id::Model,
        /// The version, where the request asks for one.
        version: Option<id::Version>,
        /// The adapter, where the request asks for one.
        adapter: Option<id::Adapter>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: id::Service,
    },
}

impl Need {
    /// Whether `offer` meets the need.
    ///
    /// ```
    /// use pomelogate::{id, target::{Need, Offer}};
    ///
    /// let need = Need::Service { service: id::Service::from("jobs") };
    /// assert!(need.met_by(&Offer::Service { service: id::Service::from("jobs") }));
    /// ```
    pub fn met_by(&self, offer: &Offer) -> bool {
        match (self, offer) {
            (Self::Service { service }, Offer::Service { service: offered }) => service == offered,
            (
                Self::Model { model, version, adapter },
                Offer::Model { model: offered, version: at, adapters },
            ) => {
                model == offered
                    && version.as_ref().is_none_or(|version| version == at)
                    && adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
            }
            _ => false,
        }
    }
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model { model, version, adapter } => {
                write!(f, "model `{model}`")?;
                if let Some(version) = version {
                    write!(f, " version `{version}`")?;
                }
                if let Some(adapter) = adapter {
                    write!(f, " adapter `{adapter}`")?;
                }
                Ok(())
            }
            Self::Service { service } => write!(f, "service `{service}`"),
        }
    }
}
