use prost::{Message, Oneof};

use super::{Fetch, VmVersions};

/// A request for list data from one VM to another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The kind of request, with its parameters.
    #[prost(oneof = "PeerRequestKind", tags = "1, 2")]
    pub kind: Option<PeerRequestKind>,
}

/// The kinds of request.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerRequestKind {
    /// Requests newer versions; the reply is an [`Update`](super::Update).
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// Requests the versions that the VM knows to be in force; the reply is a [`VersionsReply`].
    #[prost(message, tag = "2")]
    Versions(VersionsRequest),
}

/// Requests the versions in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionsRequest {}

/// The versions in force on the sender and on the VMs that reported to it.
#[derive(Clone, PartialEq, Message)]
pub struct VersionsReply {
    /// The versions of each VM.
    #[prost(message, repeated, tag = "1")]
    pub vm_versions: Vec<VmVersions>,
}

impl From<PeerRequestKind> for PeerRequest {
    fn from(kind: PeerRequestKind) -> Self {
        Self { kind: Some(kind) }
    }
}
