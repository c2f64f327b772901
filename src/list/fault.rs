use std::fmt;

use serde::{Deserialize, Serialize};

use super::Position;

/// An error in a draft of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The position in the text, if the error has one.
    pub position: Option<Position>,
    /// The path in the list, such as `entries[3].home`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What the operator can do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(f, "{position}: ")?;
        }
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

impl std::error::Error for Fault {}
