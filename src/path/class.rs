use std::fmt;

use serde::{Deserialize, Serialize};

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// The answer may take its time, but must not be lost.
    Batch,
}

impl Class {
    /// The class as text.
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

    /// The class that `text` names.
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Interactive, Self::Batch].into_iter().find(|class| class.as_str() == text)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
