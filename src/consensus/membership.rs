use std::{error, fmt};

use prost::Message;

use super::Peer;
use crate::id;

/// The members of a group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Membership {
    /// The members, sorted by VM.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// One member of a group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// The name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The ID of its disk.
    #[prost(uint64, tag = "2")]
    pub disk_id: u64,
    /// Whether it votes. A learner receives the log but doesn't vote.
    #[prost(bool, tag = "3")]
    pub voter: bool,
}

/// A membership change; only one can be in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Admits the empty replica that announced itself from this VM, in place of any former
    /// member there. It starts as a learner and becomes a voter once it has caught up.
    Admit(id::Vm),
    /// Removes the member of this VM.
    Remove(id::Vm),
}

/// Why a command or a membership change was rejected; it has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader. Holds the leader, if it is known.
    NotLeader(Option<id::Vm>),
    /// Another membership change is not yet committed, or the leader has not yet committed an
    /// entry of its term.
    ChangeInProgress,
    /// No empty replica announced itself from the VM.
    NotAnnounced(id::Vm),
    /// The VM is not a member.
    NotMember(id::Vm),
    /// The change would leave no voter.
    LastVoter,
    /// The replica of the VM is already a member with its current disk.
    AlreadyMember(id::Vm),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(vm)) => write!(f, "this replica does not lead; ask {vm}"),
            Self::NotLeader(None) => {
                f.write_str("no leader is known; try again once a majority of the voters runs")
            }
            Self::ChangeInProgress => {
                f.write_str("another change of the membership is under way; try again")
            }
            Self::NotAnnounced(vm) => write!(
                f,
                "no empty replica announced itself from {vm}; start it with an empty folder first"
            ),
            Self::NotMember(vm) => {
                write!(f, "{vm} is no member; see the status for the members")
            }
            Self::LastVoter => {
                f.write_str("the change would leave no voter; admit another replica first")
            }
            Self::AlreadyMember(vm) => {
                write!(f, "{vm} is a member with the disk that it has; nothing needs to be done")
            }
        }
    }
}

impl error::Error for ProposeError {}

impl Member {
    pub(super) fn peer(&self) -> Peer {
        Peer { vm: id::Vm::from(self.vm.as_str()), disk_id: self.disk_id }
    }
}

impl Membership {
    /// The members that vote.
    pub fn voters(&self) -> impl Iterator<Item = Peer> {
        self.members.iter().filter(|member| member.voter).map(Member::peer)
    }

    /// Every member.
    pub fn peers(&self) -> impl Iterator<Item = Peer> {
        self.members.iter().map(Member::peer)
    }

    /// The number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(super) fn is_voter(&self, peer: &Peer) -> bool {
        self.voters().any(|voter| voter == *peer)
    }

    pub(super) fn contains(&self, peer: &Peer) -> bool {
        self.peers().any(|member| member == *peer)
    }

    pub(super) fn find_by_vm(&self, vm: &id::Vm) -> Option<Peer> {
        self.peers().find(|peer| peer.vm == *vm)
    }

    pub(super) fn without_vm(&self, vm: &id::Vm) -> Self {
        let kept_members = self.members.iter().filter(|member| member.vm != vm.as_str());
        Self { members: kept_members.cloned().collect() }
    }

    pub(super) fn with_member(&self, peer: &Peer, voter: bool) -> Self {
        let mut next = self.without_vm(&peer.vm);
        next.members.push(Member { vm: peer.vm.to_string(), disk_id: peer.disk_id, voter });
        next.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        next
    }
}
