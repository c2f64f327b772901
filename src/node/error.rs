use std::{fmt, io, net::SocketAddr, path::PathBuf};

use crate::replica;

/// Reason why a VM cannot start.
#[derive(Debug)]
pub enum Error {
    /// The settings file cannot be read.
    Read(PathBuf, io::Error),
    /// The settings file is not valid JSON of the expected form.
    Parse(PathBuf, String),
    /// The settings are inconsistent. Holds every problem.
    Settings(Vec<String>),
    /// An address cannot be bound.
    Listen(SocketAddr, io::Error),
    /// The replica cannot start.
    Replica(replica::Error),
    /// Signal handlers cannot be installed.
    Signals(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, cause) => {
                write!(f, "cannot read {}: {cause}; name an existing file", path.display())
            }
            Self::Parse(path, cause) => {
                write!(f, "{} is not valid: {cause}; correct the file", path.display())
            }
            Self::Settings(problems) => {
                write!(f, "the settings are inconsistent: {}", problems.join("; "))
            }
            Self::Listen(address, cause) => {
                write!(f, "cannot listen on {address}: {cause}; set a free address of this VM")
            }
            Self::Replica(cause) => cause.fmt(f),
            Self::Signals(cause) => {
                write!(f, "cannot install signal handlers: {cause}; check the operating system")
            }
        }
    }
}

impl std::error::Error for Error {}
