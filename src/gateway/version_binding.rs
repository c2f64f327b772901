use crate::id;

/// The software version of targets that may serve a request. What targets of two versions write does
/// not fit together, so a stream goes on only at the version that began it.
///
/// ```
/// use pomelogate::{gateway::VersionBinding, id::SoftwareVersion};
///
/// let (old, new) = (SoftwareVersion::from("v1"), SoftwareVersion::from("v2"));
/// assert!(VersionBinding::Any.allows(None));
/// assert!(VersionBinding::Only(old.clone()).allows(Some(&old)));
/// assert!(!VersionBinding::Only(old).allows(Some(&new)));
/// assert!(!VersionBinding::Unknown.allows(Some(&new)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionBinding {
    /// The caller has no event yet: any version.
    #[default]
    Any,
    /// The caller has events of targets of this version.
    Only(id::SoftwareVersion),
    /// The caller has events of targets whose version is not known: none.
    Unknown,
}

impl VersionBinding {
    /// The binding of a stream with events of a target of `version`.
    pub fn of(version: Option<&id::SoftwareVersion>) -> Self {
        version.map_or(Self::Unknown, |version| Self::Only(version.clone()))
    }

    /// Whether a target of `version`, `None` if it is not known, may serve the request.
    pub fn allows(&self, version: Option<&id::SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == Some(only),
            Self::Unknown => false,
        }
    }

    /// The only version, if there is one.
    pub fn version(&self) -> Option<&id::SoftwareVersion> {
        match self {
            Self::Only(version) => Some(version),
            Self::Any | Self::Unknown => None,
        }
    }
}
