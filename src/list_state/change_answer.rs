use super::{Conflict, Reply, RolloutProgress, Subject, Verdict};
use crate::id;

/// The answer to an operator's change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAnswer {
    /// The version was accepted and is in force in every region.
    Accepted {
        /// The version.
        version: u64,
    },
    /// The version is committed and will not revert, but some regions have not reported it in force.
    Committed {
        /// The version.
        version: u64,
        /// The regions that have not reported it.
        waiting_for: Vec<id::Region>,
    },
    /// The version was already accepted with other content.
    Conflict {
        /// The accepted content.
        accepted: Conflict,
    },
    /// The version is not the next one.
    Gap {
        /// The version that the next change must have.
        next: u64,
    },
    /// The change is invalid.
    Invalid {
        /// The reasons.
        faults: Vec<String>,
    },
    /// The digest of this version is no longer kept, so a resend can't be told from a conflict.
    /// Nothing was applied.
    Forgotten {
        /// The oldest version whose digest is kept.
        oldest: u64,
    },
}

impl ChangeAnswer {
    /// Creates the answer to a change of `subject` from the state machine's reply and the versions
    /// that VMs reported.
    ///
    /// ```
    /// use pomelogate::list_state::{Accepted, ChangeAnswer, RolloutProgress, Subject, Verdict};
    ///
    /// let mut progress = RolloutProgress::default();
    /// progress.expect_vm("surabaya-1".into(), "surabaya".into());
    /// let reply = Verdict::Accepted(Accepted { version: 1 }).into();
    /// let answer = ChangeAnswer::new(Subject::Plans, reply, &progress);
    /// let waiting_for = vec!["surabaya".into()];
    /// assert_eq!(answer, ChangeAnswer::Committed { version: 1, waiting_for });
    /// ```
    pub fn new(subject: Subject, reply: Reply, progress: &RolloutProgress) -> Self {
        match reply.verdict {
            Some(Verdict::Accepted(accepted)) => {
                let version = accepted.version;
                let waiting_for = progress.pending_regions(subject, version);
                if waiting_for.is_empty() {
                    Self::Accepted { version }
                } else {
                    Self::Committed { version, waiting_for }
                }
            }
            Some(Verdict::Conflict(accepted)) => Self::Conflict { accepted },
            Some(Verdict::Gap(gap)) => Self::Gap { next: gap.next },
            Some(Verdict::Invalid(invalid)) => Self::Invalid { faults: invalid.faults },
            Some(Verdict::Forgotten(forgotten)) => Self::Forgotten { oldest: forgotten.oldest },
            Some(Verdict::Issued(_)) | None => {
                let fault = "the reply cannot be read; upgrade this VM".to_owned();
                Self::Invalid { faults: vec![fault] }
            }
        }
    }
}
