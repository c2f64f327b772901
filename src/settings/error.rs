use std::{fmt, io, path::Path};

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl Error {
    pub(super) fn read(path: &Path, cause: &io::Error) -> Self {
        Self(format!("cannot read {}: {cause}; name a settings file", path.display()))
    }

    pub(super) fn parse(path: &Path, cause: &serde_json::Error) -> Self {
        Self(format!("{} is not valid: {cause}; correct the file", path.display()))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}
