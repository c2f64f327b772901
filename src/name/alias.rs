use serde::{Deserialize, Serialize};

/// One alias in a naming scheme.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Alias {
    /// The name that callers of the scheme use.
    pub alias: String,
    /// The canonical name.
    pub name: String,
}
