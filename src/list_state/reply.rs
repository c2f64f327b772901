use prost::{Message, Oneof, bytes::Bytes};

/// The state machine's reply to a command.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The decision.
    #[prost(oneof = "Verdict", tags = "1, 2, 3, 4, 5, 6")]
    pub verdict: Option<Verdict>,
}

/// The decision on a command.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verdict {
    /// The version is accepted, by this change or by an earlier equal one.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// The version was already accepted with other content.
    #[prost(message, tag = "2")]
    Conflict(Conflict),
    /// The version is not the next one.
    #[prost(message, tag = "3")]
    Gap(Gap),
    /// The command is invalid.
    #[prost(message, tag = "4")]
    Invalid(Invalid),
    /// The digest of the version is no longer kept.
    #[prost(message, tag = "5")]
    Forgotten(Forgotten),
    /// The requested fencing number or incarnation.
    #[prost(message, tag = "6")]
    Issued(Issued),
}

/// The version is accepted.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Accepted {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The version was already accepted with other content.
#[derive(Clone, PartialEq, Message)]
pub struct Conflict {
    /// The version of the change.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The digest of the accepted content of this version.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// The newest version.
    #[prost(uint64, tag = "3")]
    pub newest: u64,
    /// The entries of the newest version, as a canonical JSON array.
    #[prost(bytes = "bytes", tag = "4")]
    pub content: Bytes,
}

/// The version is not the next one.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Gap {
    /// The version that the next change must have.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// The command is invalid.
#[derive(Clone, PartialEq, Message)]
pub struct Invalid {
    /// The reasons, one line each.
    #[prost(string, repeated, tag = "1")]
    pub faults: Vec<String>,
}

/// The digest of the version is no longer kept.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Forgotten {
    /// The oldest version whose digest is kept.
    #[prost(uint64, tag = "1")]
    pub oldest: u64,
}

/// The requested fencing number or incarnation.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Issued {
    /// The number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

impl From<Verdict> for Reply {
    fn from(verdict: Verdict) -> Self {
        Self { verdict: Some(verdict) }
    }
}

impl Verdict {
    /// An invalid command with a single reason.
    pub(super) fn invalid(fault: impl Into<String>) -> Self {
        Self::Invalid(Invalid { faults: vec![fault.into()] })
    }
}
