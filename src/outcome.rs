//! What became of a request: answered, refused without having run, or unknown.
//!
//! Every component that may fail a request uses these types, so that "did not run" can only be
//! said where it is known to be true: before the first byte was written to a target.

mod reason;
mod refusal;
mod unknown_outcome;

pub use self::{reason::Reason, refusal::Refusal, unknown_outcome::UnknownOutcome};

/// What became of a request or of one attempt at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The target answered; the answer is whole.
    Answered(T),
    /// The request did not run anywhere.
    Refused(Refusal),
    /// The request may have run; it must not be sent again unless it is idempotent.
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
