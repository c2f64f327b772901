use std::{fmt, path::Path};

use crate::admin::Problem;

/// Why a command failed; each kind has an exit code.
#[derive(Debug)]
pub enum Error {
    /// The VM, or a check, refused.
    Refused(String),
    /// The command line is wrong.
    Usage(String),
    /// No VM could be reached.
    Unreachable(String),
}

impl Error {
    /// The exit code.
    ///
    /// ```
    /// assert_eq!(pomelogate::tool::Error::Usage(String::new()).code(), 2);
    /// ```
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }

    pub(super) fn file(path: &Path, cause: &dyn fmt::Display) -> Self {
        Self::Refused(format!("{}: {cause}; correct the file or its path", path.display()))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) | Self::Usage(text) | Self::Unreachable(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        Self::Refused(format!("refused ({}): {problem}", problem.kind))
    }
}

impl From<lexopt::Error> for Error {
    fn from(cause: lexopt::Error) -> Self {
        Self::Usage(format!("{cause}; see `pomelogate --help`"))
    }
}
