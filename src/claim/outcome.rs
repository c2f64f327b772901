use std::time::Duration;

use super::{StoredResponse, Verdict};
use crate::outcome::{Outcome, Reason, Refusal, UnknownOutcome};

impl Verdict {
    /// The outcome to report to the caller; `None` if the call is to be dispatched now.
    ///
    /// ```
    /// use pomelogate::{
    ///     claim::{Conflict, Run, Verdict},
    ///     outcome::{Outcome, Reason},
    /// };
    ///
    /// assert!(Verdict::Run(Run {}).outcome().is_none());
    /// let Some(Outcome::Refused(refusal)) = Verdict::Conflict(Conflict {}).outcome() else {
    ///     panic!()
    /// };
    /// assert_eq!(refusal.reason, Reason::KeyConflict);
    /// ```
    pub fn outcome(self) -> Option<Outcome<StoredResponse>> {
        let refusal = match self {
            Self::Run(_) | Self::Done(_) => return None,
            Self::Answered(response) if response.body_dropped => {
                let detail = "the call ran; its answer was too large to keep";
                return Some(Outcome::Unknown(detail.into()));
            }
            Self::Answered(response) => return Some(Outcome::Answered(response)),
            Self::Unknown(unknown) => {
                let detail = format!("the call may have run under request {}", unknown.request);
                return Some(Outcome::Unknown(detail.into()));
            }
            Self::StillRunning(running) => {
                let detail = format!("the call is running under request {}", running.request);
                return Some(Outcome::Unknown(UnknownOutcome::still_running(detail)));
            }
            Self::Conflict(_) => Refusal::new(
                Reason::KeyConflict,
                "the idempotency key was used with another request",
                "use a new key for each call",
            ),
            Self::TooOld(_) => Refusal::new(
                Reason::KeyConflict,
                "the idempotency key is older than keys are kept",
                "find out whether the call ran before you make it under a new key",
            ),
            Self::Full(full) => Refusal::new(
                Reason::Overloaded,
                "the home region has no room for another call",
                "send it again later with the same key",
            )
            .retry_after(Duration::from_millis(full.retry_after_ms)),
            Self::RecordsIncomplete(incomplete) => Refusal::new(
                Reason::HomeUnreachable,
                "the home region lost records and can't tell whether the call ran before",
                "send a call made since then, or ask the operator",
            )
            .retry_after(Duration::from_millis(incomplete.retry_after_ms)),
            Self::Rejected(rejected) => {
                Refusal::new(Reason::Malformed, rejected.reason, "mend the request")
            }
        };
        Some(Outcome::Refused(refusal))
    }
}
