use prost::{Message, Oneof, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::{Entry, Store, Subject};
use crate::{list::Draft, stop::Scope};

/// A command to the state machine, as stored in the group's log.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The operation to perform.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5")]
    pub operation: Option<Operation>,
}

/// The operations of the state machine.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// Creates a new version of a list.
    #[prost(message, tag = "1")]
    Change(Change),
    /// Announces a planned stop.
    #[prost(message, tag = "2")]
    Announce(Announce),
    /// Withdraws a planned stop.
    #[prost(message, tag = "3")]
    Withdraw(Withdraw),
    /// Issues a fencing number for orders to targets.
    #[prost(message, tag = "4")]
    Fence(Fence),
    /// Issues the incarnation of a VM's process.
    #[prost(message, tag = "5")]
    Incarnation(Incarnation),
}

/// Creates a new version of a list.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The list.
    #[prost(enumeration = "Subject", tag = "1")]
    pub subject: i32,
    /// The new version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The entries as a canonical JSON array, unless the change is partial.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
    /// The SHA-256 digest of the full content, also for a partial change.
    #[prost(bytes = "bytes", tag = "4")]
    pub digest: Bytes,
    /// Whether the change contains only the difference from the previous version.
    #[prost(bool, tag = "5")]
    pub partial: bool,
    /// New and changed entries of a partial change.
    #[prost(message, repeated, tag = "6")]
    pub changed: Vec<Entry>,
    /// Names of the entries that a partial change removes.
    #[prost(string, repeated, tag = "7")]
    pub removed: Vec<String>,
}

/// Announces a planned stop.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The operator's identifier of this operation; a resend carries the same one.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The [`Scope`] in JSON.
    #[prost(string, tag = "2")]
    pub scope: String,
}

/// Withdraws a planned stop.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// The operator's identifier of this operation; a resend carries the same one.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The [`Scope`] in JSON.
    #[prost(string, tag = "2")]
    pub scope: String,
}

/// Issues a fencing number for orders to targets.
#[derive(Clone, PartialEq, Message)]
pub struct Fence {
    /// The identifier of this operation; a resend carries the same one.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The VM that will send the orders.
    #[prost(string, tag = "2")]
    pub holder: String,
}

/// Issues the incarnation of a VM's process.
#[derive(Clone, PartialEq, Message)]
pub struct Incarnation {
    /// The identifier of this operation; a resend carries the same one.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// The VM.
    #[prost(string, tag = "2")]
    pub vm: String,
}

impl Command {
    /// A command that proposes the full content of a checked draft.
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

    /// A command that proposes a checked draft, as a partial change if possible.
    ///
    /// If `store` has the version before the draft's, the change contains only the difference.
    /// The digest covers the full content either way, and so does the decision.
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
        let history = store.history(kind.into());
        let entries = kind.canonical_entries(&draft.content).ok();
        let full_change = Self::change(draft);
        let (Some(entries), Some(Operation::Change(change))) = (entries, &full_change.operation)
        else {
            return full_change;
        };
        if history.version() + 1 != version {
            return full_change;
        }
        let (changed, removed) = history.diff(&entries);
        let content = Bytes::new();
        Operation::Change(Change { partial: true, content, changed, removed, ..change.clone() })
            .into()
    }

    /// A command that announces a planned stop.
    pub fn announce(operation: &str, scope: &Scope) -> Self {
        let announce = Announce { operation: operation.to_owned(), scope: encode_scope(scope) };
        Operation::Announce(announce).into()
    }

    /// A command that withdraws a planned stop.
    pub fn withdraw(operation: &str, scope: &Scope) -> Self {
        let withdraw = Withdraw { operation: operation.to_owned(), scope: encode_scope(scope) };
        Operation::Withdraw(withdraw).into()
    }

    /// A command that requests a fencing number.
    pub fn fence(operation: &str, holder: &str) -> Self {
        let fence = Fence { operation: operation.to_owned(), holder: holder.to_owned() };
        Operation::Fence(fence).into()
    }

    /// A command that requests an incarnation for a new process of `vm`.
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

fn encode_scope(scope: &Scope) -> String {
    serde_json::to_string(scope).unwrap_or_default()
}
