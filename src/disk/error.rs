use std::{error, fmt, io, path::PathBuf};

/// Why a folder of replicated state cannot be used; the process has to stop using it.
#[derive(Debug)]
pub enum Error {
    /// Another process holds the folder.
    Locked(PathBuf),
    /// A file cannot be read, written or synced.
    Io(PathBuf, io::Error),
    /// A file is damaged before its end, at this byte.
    Damaged(PathBuf, u64),
    /// The folder holds state, but not the identity that it got when it was created.
    NoIdentity(PathBuf),
    /// An earlier write or sync failed, so that nothing more may be promised.
    Failed(PathBuf),
}

const REPLACE: &str = "stop the VM, move the folder away and readmit the replica";

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked(path) => {
                write!(f, "{}: another process holds it; stop that one first", path.display())
            }
            Self::Io(path, source) => write!(
                f,
                "{}: {source}; check the disk, its space and the rights, then start the VM again",
                path.display()
            ),
            Self::Damaged(path, byte) => {
                write!(f, "{}: damaged at byte {byte}; {REPLACE}", path.display())
            }
            Self::NoIdentity(path) => {
                write!(f, "{}: the identity file is missing; {REPLACE}", path.display())
            }
            Self::Failed(path) => write!(
                f,
                "{}: an earlier write failed; check the disk, then start the VM again",
                path.display()
            ),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Io(_, source) => Some(source),
            _ => None,
        }
    }
}
