use std::{error, fmt, io, path::PathBuf};

/// Why the folder of a replica cannot be used; the replica has to stop.
#[derive(Debug)]
pub enum Error {
    /// Another process has locked the folder.
    Locked(PathBuf),
    /// A file cannot be read, written or synced.
    Io(PathBuf, io::Error),
    /// A file is corrupted at this byte offset, and not merely cut short at its end.
    Corrupted(PathBuf, u64),
    /// The folder holds state but not the disk ID that it got when it was created.
    MissingIdentity(PathBuf),
    /// An earlier write or sync failed, so later ones cannot be relied on.
    EarlierWriteFailed(PathBuf),
}

const READMIT_REMEDY: &str = "stop the VM, move the folder away and readmit the replica";

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked(path) => {
                write!(
                    f,
                    "{}: another process has locked this folder; stop that process first",
                    path.display()
                )
            }
            Self::Io(path, source) => write!(
                f,
                "{}: {source}; check the disk, its free space and permissions, then start the VM again",
                path.display()
            ),
            Self::Corrupted(path, offset) => {
                write!(f, "{}: corrupted at byte {offset}; {READMIT_REMEDY}", path.display())
            }
            Self::MissingIdentity(path) => {
                write!(f, "{}: the identity file is missing; {READMIT_REMEDY}", path.display())
            }
            Self::EarlierWriteFailed(path) => write!(
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
