use prost::{Message, Oneof};

use super::StoredResponse;

/// The state machine's reply to a command.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The decision.
    #[prost(oneof = "Verdict", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub verdict: Option<Verdict>,
}

/// The decision on a command.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verdict {
    /// The claiming request may run the call, and no other may.
    #[prost(message, tag = "1")]
    Run(Run),
    /// Another request is running the call.
    #[prost(message, tag = "2")]
    StillRunning(StillRunning),
    /// The call ran; this is its response.
    #[prost(message, tag = "3")]
    Answered(StoredResponse),
    /// The call may have run. This state is final.
    #[prost(message, tag = "4")]
    Unknown(Unknown),
    /// The key was used for another call. This call did not run.
    #[prost(message, tag = "5")]
    Conflict(Conflict),
    /// The key is older than the retention time. The call did not run under this claim.
    #[prost(message, tag = "6")]
    TooOld(TooOld),
    /// There is no room for another record. The call did not run.
    #[prost(message, tag = "7")]
    Full(Full),
    /// The home region lost records and can't tell whether the key was used. The call did not run
    /// under this claim.
    #[prost(message, tag = "8")]
    RecordsIncomplete(RecordsIncomplete),
    /// The command was applied now or before.
    #[prost(message, tag = "9")]
    Done(Run),
    /// The command was rejected.
    #[prost(message, tag = "10")]
    Rejected(Rejected),
}

/// The request may run the call.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Run {}

/// Another request is running the call.
#[derive(Clone, PartialEq, Message)]
pub struct StillRunning {
    /// The request that runs it.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// The call may have run.
#[derive(Clone, PartialEq, Message)]
pub struct Unknown {
    /// The request that may have run it.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// The key was used for another call.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Conflict {}

/// The key is older than the retention time.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TooOld {
    /// How long keys are kept, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retention_ms: u64,
}

/// There is no room for another record.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Full {
    /// When the oldest record expires, in milliseconds from now.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// The home region lost records and can't tell whether the key was used.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RecordsIncomplete {
    /// When the records will be complete for every accepted key, in milliseconds from now.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// The command was rejected.
#[derive(Clone, PartialEq, Message)]
pub struct Rejected {
    /// The reason, and what can be done about it.
    #[prost(string, tag = "1")]
    pub reason: String,
}

impl From<Verdict> for Reply {
    fn from(verdict: Verdict) -> Self {
        Self { verdict: Some(verdict) }
    }
}

impl Verdict {
    /// Whether this decision on a claim means that the call did not and will not run under it.
    ///
    /// If the key is too old or the records are incomplete, the call may still have run under an
    /// earlier claim: only this request did not run it.
    ///
    /// ```
    /// use pomelogate::claim::{Conflict, Unknown, Verdict};
    ///
    /// assert!(Verdict::Conflict(Conflict {}).did_not_run());
    /// assert!(!Verdict::Unknown(Unknown::default()).did_not_run());
    /// ```
    pub fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Conflict(_)
                | Self::TooOld(_)
                | Self::Full(_)
                | Self::RecordsIncomplete(_)
                | Self::Rejected(_)
        )
    }

    pub(super) fn done() -> Self {
        Self::Done(Run {})
    }

    pub(super) fn rejected(reason: &str) -> Self {
        Self::Rejected(Rejected { reason: reason.to_owned() })
    }
}
