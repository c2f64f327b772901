use std::collections::BTreeSet;

use crate::{
    id,
    name::{Catalogue, Kind},
};

/// The canonical names that lists may use, from the catalogue of names.
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
        let names_of = |kind| catalogue.names(kind);
        Self {
            regions: names_of(Kind::Region).map(id::Region::from).collect(),
            models: names_of(Kind::Model).map(id::Model::from).collect(),
            services: names_of(Kind::Service).map(id::Service::from).collect(),
            schemes: catalogue.schemes().map(ToString::to_string).collect(),
        }
    }
}
