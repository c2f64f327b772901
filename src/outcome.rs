//! The outcome of a request: answered, refused without having run, or unknown.
//!
//! Every component that may fail a request uses these types. A request is reported as not having run
//! only if that is certain: before its first byte is written to a target.

mod handover_end;
mod reason;
mod refusal;
mod unknown_outcome;

pub(crate) use self::handover_end::HandoverEnd;
pub use self::{reason::Reason, refusal::Refusal, unknown_outcome::UnknownOutcome};

/// The outcome of a request or of one attempt to run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The target answered. A body that is streamed may still be cut short.
    Answered(T),
    /// The request did not run anywhere.
    Refused(Refusal),
    /// The request may have run. It must not be sent again unless it is idempotent.
    Unknown(UnknownOutcome),
}

impl<T> Outcome<T> {
    /// Whether the request is known not to have run.
    ///
    /// ```
    /// use pomelogate::outcome::Outcome;
    ///
    /// let outcome: Outcome<()> = Outcome::Unknown("the target closed the connection".into());
    /// assert!(!outcome.did_not_run());
    /// ```
    pub fn did_not_run(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}
