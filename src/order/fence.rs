use std::time::Instant;

/// The right to give orders, proved by a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The fencing number.
    pub number: u64,
    /// When this VM learnt that the number was committed.
    pub issued: Instant,
    /// When the lease ends unless a quorum proves it again; counted from before the proof was
    /// asked for.
    pub until: Instant,
}
