use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The name of a naming scheme.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Scheme(Arc<str>);

impl Scheme {
    /// The scheme's name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Scheme {
    fn from(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for Scheme {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
