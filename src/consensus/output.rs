use super::{Entry, Message, Record, Snapshot};
use crate::id;

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The VM of the recipient.
    pub to: id::Vm,
    /// The message.
    pub message: Message,
}

/// What the caller has to do, in the order of the fields.
///
/// After [`Raft::take_output`](super::Raft::take_output), the caller makes `record` durable and
/// calls [`Raft::mark_synced`](super::Raft::mark_synced), with no other call in between.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Messages that may be sent before `record` is durable.
    pub send_before_sync: Vec<Outgoing>,
    /// What to make durable.
    pub record: Record,
    /// Messages that may be sent only after `record` is durable.
    pub send_after_sync: Vec<Outgoing>,
    /// A snapshot that replaces the state of the state machine.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply to the state machine, in order.
    pub apply: Vec<Entry>,
    /// Confirmed reads: the token of the read and the index that must be applied before it.
    pub confirmed_reads: Vec<(u64, u64)>,
    /// The tokens of reads that failed because there is no leader or the leader stepped down.
    pub failed_reads: Vec<u64>,
}

impl Output {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
