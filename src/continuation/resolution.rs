use std::fmt;

use crate::id;

/// At which version a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The stream began at this version.
    Version(id::SoftwareVersion),
    /// The version is not known, so the stream must not go on.
    Unknown(Cause),
}

/// Why the version of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No replica that answered has a record or could prove that there is only one version.
    NoRecord,
    /// Records of the same key name different versions.
    Conflicting,
    /// No replica answered.
    Unconfirmed,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRecord => "no record of the stream",
            Self::Conflicting => "conflicting records of the stream",
            Self::Unconfirmed => "no replica answered",
        })
    }
}
