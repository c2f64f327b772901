use std::collections::BTreeSet;

use crate::{
    id,
    name::{Catalogue, Kind},
};

/// The canonical names that lists may use, as the catalogue of names gives them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// The regions.
    pub regions: BTreeSet<id::Region>,
    /// The models.
    pub models: BTreeSet<id::Model>,
    /// The plain services.
    pub services: BTreeSet<id::Service>,
    /// The naming schemes.
    pub schemes: BTreeSet<String>,
}

impl From<&Catalogue> for KnownNames {
    fn from(catalogue: &Catalogue) -> Self {
        let names = |kind| catalogue.names(kind);
        Self {
            regions: names(Kind::Region).map(id::Region::from).collect(),
            models: names(Kind::Model).map(id::Model::from).collect(),
            services: names(Kind::Service).map(id::Service::from).collect(),
            schemes: catalogue.schemes().map(ToString::to_string).collect(),
        }
    }
}
