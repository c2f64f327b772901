use super::{Entry, Message, Record, Snapshot};
use crate::id;

/// A message and the VM that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The VM.
    pub to: id::Vm,
    /// The message.
    pub message: Message,
}

/// What the shell has to do, in the order of the fields.
///
/// The shell makes `record` durable, calls [`Raft::mark_synced`](super::Raft::mark_synced), and takes no
/// other step of the core in between.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Messages that may leave before `record` is durable.
    pub send_before_sync: Vec<Outgoing>,
    /// What to make durable.
    pub record: Record,
    /// Messages that may leave only once `record` is durable.
    pub send_after_sync: Vec<Outgoing>,
    /// A snapshot that replaces the machine's state.
    pub restore: Option<Snapshot>,
    /// Committed entries for the machine, in order.
    pub apply: Vec<Entry>,
    /// Read points: the token of the read and the index that must have been applied.
    pub confirmed_reads: Vec<(u64, u64)>,
    /// Tokens of reads that no leader confirmed.
    pub failed_reads: Vec<u64>,
}

impl Output {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
