use std::collections::BTreeSet;

use crate::id;

/// The canonical names that lists may use, as the catalogue of names gives them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The regions.
    pub regions: BTreeSet<id::Region>,
    /// The models.
    pub models: BTreeSet<id::Model>,
    /// The plain services.
    pub services: BTreeSet<id::Service>,
    /// The naming schemes.
    pub schemes: BTreeSet<String>,
}
