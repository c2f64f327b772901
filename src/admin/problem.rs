use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request of an operator was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind, such as `conflict`.
    pub kind: String,
    /// What was found.
    pub detail: String,
    /// What to do about it.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem.
    pub fn new(kind: &str, detail: impl Into<String>, remedy: &str) -> Self {
        Self { kind: kind.to_owned(), detail: detail.into(), remedy: remedy.to_owned() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.detail, self.remedy)
    }
}

impl std::error::Error for Problem {}
