use std::fmt;

use serde::{Deserialize, Serialize};

/// The scheduling class of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The caller is waiting for the response.
    #[default]
    Interactive,
    /// The response may be delayed, but must not be lost.
    Batch,
}

impl Class {
    /// The class as in the header `pomelogate-class`.
    ///
    /// ```
    /// assert_eq!(pomelogate::path::Class::Batch.as_str(), "batch");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }

    /// Parses a class; `None` if `text` names no class.
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Interactive, Self::Batch].into_iter().find(|class| class.as_str() == text)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
