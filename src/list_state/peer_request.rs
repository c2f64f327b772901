use prost::{Message, Oneof};

use super::{Fetch, VmVersions};

/// What one VM asks another about the lists.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The question.
    #[prost(oneof = "PeerRequestKind", tags = "1, 2")]
    pub kind: Option<PeerRequestKind>,
}

/// The kinds of question.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerRequestKind {
    /// For what is newer; the reply is an [`Update`](super::Update).
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// For the versions in force, as the VM knows them; the reply is a [`VersionsReply`].
    #[prost(message, tag = "2")]
    Versions(VersionsRequest),
}

/// Asks for the versions in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionsRequest {}

/// The versions in force on some VMs.
#[derive(Clone, PartialEq, Message)]
pub struct VersionsReply {
    /// The VMs with their versions.
    #[prost(message, repeated, tag = "1")]
    pub vm_versions: Vec<VmVersions>,
}

impl From<PeerRequestKind> for PeerRequest {
    fn from(kind: PeerRequestKind) -> Self {
        Self { kind: Some(kind) }
    }
}
