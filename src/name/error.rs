use std::{fmt, io, path::Path};

/// Why a catalogue cannot be used: every fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The faults, in the order of the file.
    pub faults: Vec<Fault>,
}

/// One fault of a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where in the file, such as `schemes[1].models[0].name`.
    pub location: String,
    /// What is wrong there.
    pub detail: String,
    /// What to do about it.
    pub remedy: &'static str,
}

impl Error {
    pub(super) fn read(path: &Path, cause: &io::Error) -> Self {
        Self::one(path.display().to_string(), cause.to_string(), "name a readable catalogue file")
    }

    pub(super) fn parse(cause: &serde_path_to_error::Error<serde_json::Error>) -> Self {
        let remedy = "correct the file; docs/design/names.md shows its form";
        Self::one(cause.path().to_string(), cause.inner().to_string(), remedy)
    }

    fn one(location: String, detail: String, remedy: &'static str) -> Self {
        Self { faults: vec![Fault { location, detail, remedy }] }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.location, self.detail, self.remedy)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (count, fault) in self.faults.iter().enumerate() {
            let separator = if count == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
