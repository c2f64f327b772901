use serde::{Deserialize, Serialize};

/// One alias of a scheme.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Alias {
    /// The name that clients of the scheme use.
    pub alias: String,
    /// The canonical name that it stands for.
    pub name: String,
}
