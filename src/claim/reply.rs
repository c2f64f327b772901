use prost::{Message, Oneof};

use super::StoredResponse;

/// The machine's reply to a command.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// What was decided.
    #[prost(oneof = "Verdict", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub verdict: Option<Verdict>,
}

/// What the machine decided on a command.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verdict {
    /// The request that claims may run the call, and no other.
    #[prost(message, tag = "1")]
    Run(Run),
    /// Another request is running the call.
    #[prost(message, tag = "2")]
    StillRunning(StillRunning),
    /// The call ran; this is its answer.
    #[prost(message, tag = "3")]
    Answered(StoredResponse),
    /// The call may have run; this stays so.
    #[prost(message, tag = "4")]
    Unknown(Unknown),
    /// The key was used for another call. This one did not run.
    #[prost(message, tag = "5")]
    Conflict(Conflict),
    /// The key is older than retention. The call did not run by this claim.
    #[prost(message, tag = "6")]
    TooOld(TooOld),
    /// The records are full. The call did not run.
    #[prost(message, tag = "7")]
    Full(Full),
    /// The home lost records and can't vouch for the key. The call did not run by this claim.
    #[prost(message, tag = "8")]
    RecordsIncomplete(RecordsIncomplete),
    /// The command was carried out, or had been before.
    #[prost(message, tag = "9")]
    Done(Run),
    /// The command cannot be carried out.
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

/// The key is older than retention.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TooOld {
    /// How long keys are kept, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retention_ms: u64,
}

/// The records are full.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Full {
    /// When the oldest record ends, in milliseconds from now.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// The home can't vouch for the key.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RecordsIncomplete {
    /// When the home can vouch for every key again, in milliseconds from now.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// The command cannot be carried out.
#[derive(Clone, PartialEq, Message)]
pub struct Rejected {
    /// Why, and what can be done about it.
    #[prost(string, tag = "1")]
    pub reason: String,
}

impl From<Verdict> for Reply {
    fn from(verdict: Verdict) -> Self {
        Self { verdict: Some(verdict) }
    }
}

impl Verdict {
    /// Whether the reply to a claim says that the call did not run and never will by this claim.
    ///
    /// A key that is too old or cannot be vouched for may have run under an earlier claim, so
    /// these say only that this request did not run.
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
