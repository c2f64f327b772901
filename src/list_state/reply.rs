use prost::{Message, Oneof, bytes::Bytes};

/// The machine's reply to a command.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// What was decided.
    #[prost(oneof = "Verdict", tags = "1, 2, 3, 4, 5, 6")]
    pub verdict: Option<Verdict>,
}

/// What the machine decided on a command.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verdict {
    /// The version stands, by this change or by an equal one before it.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// The version stands with other content.
    #[prost(message, tag = "2")]
    Conflict(Conflict),
    /// The version skips others.
    #[prost(message, tag = "3")]
    Gap(Gap),
    /// The change cannot stand.
    #[prost(message, tag = "4")]
    Invalid(Invalid),
    /// The version is older than retention.
    #[prost(message, tag = "5")]
    Forgotten(Forgotten),
    /// The number that was asked for.
    #[prost(message, tag = "6")]
    Issued(Issued),
}

/// The version stands.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Accepted {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The version stands with other content.
#[derive(Clone, PartialEq, Message)]
pub struct Conflict {
    /// The version that was named.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The digest of the content that stands under this version.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// The newest version.
    #[prost(uint64, tag = "3")]
    pub newest: u64,
    /// The entries of the newest version.
    #[prost(bytes = "bytes", tag = "4")]
    pub content: Bytes,
}

/// The version skips others.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Gap {
    /// The version that the next change has to make.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// The change cannot stand.
#[derive(Clone, PartialEq, Message)]
pub struct Invalid {
    /// What is wrong, a line for each fault.
    #[prost(string, repeated, tag = "1")]
    pub faults: Vec<String>,
}

/// The version is older than retention.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Forgotten {
    /// The oldest version whose digest is kept.
    #[prost(uint64, tag = "1")]
    pub oldest: u64,
}

/// The number that was asked for.
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
    /// The verdict on something that cannot stand for one reason.
    pub(super) fn invalid(fault: impl Into<String>) -> Self {
        Self::Invalid(Invalid { faults: vec![fault.into()] })
    }
}
