use std::{fmt, io, path::Path};

/// The faults that make a catalogue unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The faults. Those of the schemes come first, then those of regions, models and services.
    pub faults: Vec<Fault>,
}

/// One fault in a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The place in the file, such as `schemes[1].models[0].name`, or the path of an unreadable file.
    pub location: String,
    /// What is wrong there.
    pub detail: String,
    /// How to correct it.
    pub remedy: &'static str,
}

impl Error {
    pub(super) fn read(path: &Path, cause: &io::Error) -> Self {
        Self::single(
            path.display().to_string(),
            cause.to_string(),
            "name a readable catalogue file",
        )
    }

    pub(super) fn parse(cause: &serde_path_to_error::Error<serde_json::Error>) -> Self {
        let remedy = "correct the file; docs/design/names.md shows its form";
        Self::single(cause.path().to_string(), cause.inner().to_string(), remedy)
    }

    fn single(location: String, detail: String, remedy: &'static str) -> Self {
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
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
