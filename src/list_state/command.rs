use prost::{Message, Oneof, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::{Entry, Store, Subject};
use crate::{list::Draft, stop::Scope};

/// A command to the machine, as the group's log holds it.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// What is to be done.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5")]
    pub operation: Option<Operation>,
}

/// What a command asks for.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// A new version of a list.
    #[prost(message, tag = "1")]
    Change(Change),
    /// A planned stop.
    #[prost(message, tag = "2")]
    Announce(Announce),
    /// The end of a planned stop.
    #[prost(message, tag = "3")]
    Withdraw(Withdraw),
    /// A fencing number for orders to targets.
    #[prost(message, tag = "4")]
    Fence(Fence),
    /// The incarnation of a VM's process.
    #[prost(message, tag = "5")]
    Incarnation(Incarnation),
}

/// A new version of a list.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The list.
    #[prost(enumeration = "Subject", tag = "1")]
    pub subject: i32,
    /// The version that the change makes.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The entries as a canonical JSON array, unless the change is partial.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
    /// The SHA-256 digest of the whole content.
    #[prost(bytes = "bytes", tag = "4")]
    pub digest: Bytes,
    /// Whether only what differs from the version before is told.
    #[prost(bool, tag = "5")]
    pub partial: bool,
    /// Entries of a partial change that are new or changed.
    #[prost(message, repeated, tag = "6")]
    pub changed: Vec<Entry>,
    /// Names of entries that a partial change removes.
    #[prost(string, repeated, tag = "7")]
    pub removed: Vec<String>,
}

/// A planned stop.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The operator's identifier of this operation, the same on each resend.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The [`Scope`] in JSON.
    #[prost(string, tag = "2")]
    pub scope: String,
}

/// The end of a planned stop.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// The operator's identifier of this operation, the same on each resend.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The [`Scope`] in JSON.
    #[prost(string, tag = "2")]
    pub scope: String,
}

/// A fencing number for orders to targets.
#[derive(Clone, PartialEq, Message)]
pub struct Fence {
    /// The identifier of this operation, the same on each resend.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The VM that is to give the orders.
    #[prost(string, tag = "2")]
    pub holder: String,
}

/// The incarnation of a VM's process.
#[derive(Clone, PartialEq, Message)]
pub struct Incarnation {
    /// The identifier of this operation, the same on each resend.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The VM.
    #[prost(string, tag = "2")]
    pub vm: String,
}

impl Command {
    /// The command that proposes a checked draft.
    ///
    /// ```
    /// use pomelogate::{
    ///     list::{Draft, Kind},
    ///     list_state::{Command, Operation},
    /// };
    ///
    /// let draft = Draft { kind: Kind::Plans, version: 1, content: b"[]".to_vec() };
    /// let Some(Operation::Change(change)) = Command::change(draft).operation else { panic!() };
    /// assert_eq!(change.digest.len(), 32);
    /// ```
    pub fn change(draft: Draft) -> Self {
        let digest = Sha256::digest(&draft.content).to_vec();
        Operation::Change(Change {
            subject: Subject::from(draft.kind) as i32,
            version: draft.version,
            content: Bytes::from(draft.content),
            digest: Bytes::from(digest),
            ..Change::default()
        })
        .into()
    }

    /// The command that proposes a checked draft, as small as what this VM knows permits.
    ///
    /// Where `store` holds the version before the draft's, only the difference is told; the
    /// digest is that of the whole content, so that the verdict is the same either way.
    ///
    /// ```
    /// use pomelogate::{
    ///     list::{Draft, Kind},
    ///     list_state::{Command, Operation, Store},
    /// };
    ///
    /// let draft = Draft { kind: Kind::Plans, version: 1, content: b"[]".to_vec() };
    /// let command = Command::compact_change(draft, &Store::default());
    /// let Some(Operation::Change(change)) = command.operation else { panic!() };
    /// assert!(change.partial);
    /// ```
    pub fn compact_change(draft: Draft, store: &Store) -> Self {
        let (kind, version) = (draft.kind, draft.version);
        let series = store.history(kind.into());
        let known = kind.canonical_entries(&draft.content).ok();
        let whole = Self::change(draft);
        let (Some(entries), Some(Operation::Change(change))) = (known, &whole.operation) else {
            return whole;
        };
        if series.version() + 1 != version {
            return whole;
        }
        let (changed, removed) = series.difference(&entries);
        let content = Bytes::new();
        Operation::Change(Change { partial: true, content, changed, removed, ..change.clone() })
            .into()
    }

    /// The command that announces a planned stop.
    pub fn announce(operation: &str, scope: &Scope) -> Self {
        let announce = Announce { operation: operation.to_owned(), scope: encode(scope) };
        Operation::Announce(announce).into()
    }

    /// The command that withdraws a planned stop.
    pub fn withdraw(operation: &str, scope: &Scope) -> Self {
        let withdraw = Withdraw { operation: operation.to_owned(), scope: encode(scope) };
        Operation::Withdraw(withdraw).into()
    }

    /// The command that asks for a fencing number.
    pub fn fence(operation: &str, holder: &str) -> Self {
        let fence = Fence { operation: operation.to_owned(), holder: holder.to_owned() };
        Operation::Fence(fence).into()
    }

    /// The command that asks for an incarnation.
    pub fn incarnation(operation: &str, vm: &str) -> Self {
        let incarnation = Incarnation { operation: operation.to_owned(), vm: vm.to_owned() };
        Operation::Incarnation(incarnation).into()
    }
}

impl From<Operation> for Command {
    fn from(operation: Operation) -> Self {
        Self { operation: Some(operation) }
    }
}

fn encode(scope: &Scope) -> String {
    serde_json::to_string(scope).unwrap_or_default()
}
