use prost::{Message, Oneof, bytes::Bytes};

use super::TargetRecord;

/// A change of the registry, as the replicas' log holds it.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The change.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5")]
    pub operation: Option<Operation>,
}

/// A change of the registry.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// The first replicas are complete: changes that must outlive lost disks may be accepted.
    #[prost(message, tag = "1")]
    Establish(Establish),
    /// A list of routes.
    #[prost(message, tag = "2")]
    Publish(Publish),
    /// A zone gets no work, or gets work again.
    #[prost(message, tag = "3")]
    Drain(Drain),
    /// A target is new or says something else than before.
    #[prost(message, tag = "4")]
    Announce(TargetRecord),
    /// A target is gone.
    #[prost(message, tag = "5")]
    Withdraw(Withdraw),
}

/// The number of replicas that the group began with.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Establish {
    /// How many vote.
    #[prost(uint32, tag = "1")]
    pub voters: u32,
}

/// A list of routes, already checked.
#[derive(Clone, PartialEq, Message)]
pub struct Publish {
    /// Its version; only a higher one than the last changes anything.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The list as the operator sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

/// Whether a zone gets work.
#[derive(Clone, PartialEq, Message)]
pub struct Drain {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is to get none.
    #[prost(bool, tag = "2")]
    pub drained: bool,
    /// The index of the zone's last change that the proposer knew: an order that was overtaken on
    /// its way must not undo a later one.
    #[prost(uint64, tag = "3")]
    pub last_change_index: u64,
}

/// A target has gone.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The lifetime that the proposer knew.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// What the machine says to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Reply {
    /// It changed the registry.
    Changed = 0,
    /// The registry said the same already, or something newer.
    Stands = 1,
    /// It was decided on other grounds than stand now; look again and propose anew.
    Overtaken = 2,
    /// It cannot be read, from a VM of another version.
    Unreadable = 3,
}

impl Reply {
    /// The reply as bytes.
    pub fn encode(self) -> Bytes {
        Bytes::copy_from_slice(&[i32::from(self).to_le_bytes()[0]])
    }

    /// The reply that `bytes` hold.
    ///
    /// ```
    /// use pomelogate::registry::Reply;
    ///
    /// assert_eq!(Reply::decode(&Reply::Stands.encode()), Some(Reply::Stands));
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let [number] = bytes else { return None };
        Self::try_from(i32::from(*number)).ok()
    }
}

impl From<Operation> for Command {
    fn from(operation: Operation) -> Self {
        Self { operation: Some(operation) }
    }
}
