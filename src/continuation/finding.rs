use crate::id;

/// The software version of a stream, as far as records tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Every record of the key names this version.
    Version(id::SoftwareVersion),
    /// Two streams of different versions have the same key.
    Conflicting,
}
