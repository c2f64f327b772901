use std::{fmt, path::Path};

use crate::{admin::Problem, list::Fault};

/// Why a command failed; each kind has an exit code.
#[derive(Debug)]
pub enum Error {
    /// The VM, or a check, refused.
    Refused(String),
    /// The VM refused, and says why.
    Problem(Problem),
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
            Self::Refused(_) | Self::Problem(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }

    /// The same error, its faults pointing at lines of the file that was sent.
    pub(super) fn within(self, path: &Path) -> Self {
        match self {
            Self::Problem(problem) if problem.kind == "invalid" => {
                Self::Problem(Problem { detail: at(path, problem.detail.lines()), ..problem })
            }
            other => other,
        }
    }

    pub(super) fn faults(path: &Path, faults: &[Fault]) -> Self {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Self::Refused(at(path, lines.iter().map(String::as_str)))
    }

    pub(super) fn file(path: &Path, cause: &dyn fmt::Display) -> Self {
        Self::Refused(format!("{}: {cause}; correct the file or its path", path.display()))
    }
}

/// Each fault on a line of its own, after the name of the file.
fn at<'a>(path: &Path, faults: impl Iterator<Item = &'a str>) -> String {
    let lines: Vec<String> = faults.map(|line| format!("{}: {line}", path.display())).collect();
    lines.join("\n")
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Problem(problem) => write!(f, "refused ({}): {problem}", problem.kind),
            Self::Refused(text) | Self::Usage(text) | Self::Unreachable(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

impl From<lexopt::Error> for Error {
    fn from(cause: lexopt::Error) -> Self {
        Self::Usage(format!("{cause}; see `pomelogate --help`"))
    }
}
