use std::{collections::BTreeSet, ops::ControlFlow};

use super::TargetResponse;
use crate::{
    id,
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
};

/// The attempts to run one request: where it was sent, and the outcomes that decide the outcome of
/// the request.
///
/// Once an attempt may have run, the request is never reported as not having run.
///
/// ```
/// use std::ops::ControlFlow;
/// use pomelogate::{outcome::{Outcome, Reason, Refusal}, path::Attempts};
///
/// let mut attempts = Attempts::new(true, 3);
/// let next = attempts.record_outcome(Outcome::Unknown("the target closed the connection".into()));
/// assert!(matches!(next, ControlFlow::Continue(())));
/// let refusal = Refusal::new(Reason::NoTarget, "no target is left", "try again later");
/// assert!(matches!(attempts.final_outcome(refusal), Outcome::Unknown(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    remaining: u32,
    tried_targets: BTreeSet<id::Target>,
    tried_vms: BTreeSet<id::Vm>,
    overloaded_regions: BTreeSet<id::Region>,
    last_refusal: Option<Refusal>,
    last_unknown: Option<UnknownOutcome>,
}

impl Attempts {
    /// Permits up to `max_attempts` attempts.
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self {
            idempotent,
            remaining: max_attempts,
            tried_targets: BTreeSet::new(),
            tried_vms: BTreeSet::new(),
            overloaded_regions: BTreeSet::new(),
            last_refusal: None,
            last_unknown: None,
        }
    }

    /// Whether another attempt may be made.
    pub fn may_attempt(&self) -> bool {
        self.remaining > 0
    }

    /// Whether no attempt has been made yet.
    pub fn is_first(&self) -> bool {
        self.tried_targets.is_empty() && self.tried_vms.is_empty()
    }

    /// Counts an attempt at `target`.
    pub fn record_target(&mut self, target: &id::Target) {
        self.remaining = self.remaining.saturating_sub(1);
        self.tried_targets.insert(target.clone());
    }

    /// Counts an attempt to hand the request over to `vm`.
    pub fn record_vm(&mut self, vm: &id::Vm) {
        self.remaining = self.remaining.saturating_sub(1);
        self.tried_vms.insert(vm.clone());
    }

    /// Records that `region` refused the request as overloaded.
    pub fn record_overloaded_region(&mut self, region: &id::Region) {
        self.overloaded_regions.insert(region.clone());
    }

    /// The regions that refused the request as overloaded.
    pub fn overloaded_regions(&self) -> &BTreeSet<id::Region> {
        &self.overloaded_regions
    }

    /// The targets that the request was sent to.
    pub fn tried_targets(&self) -> &BTreeSet<id::Target> {
        &self.tried_targets
    }

    /// The VMs that the request was handed over to.
    pub fn tried_vms(&self) -> &BTreeSet<id::Vm> {
        &self.tried_vms
    }

    /// Records the outcome of an attempt. Breaks with the request's outcome if that is final, and
    /// continues if another attempt may follow.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome<TargetResponse>,
    ) -> ControlFlow<Outcome<TargetResponse>> {
        match outcome {
            Outcome::Answered(response) => ControlFlow::Break(Outcome::Answered(response)),
            Outcome::Unknown(cause) if self.idempotent => {
                self.last_unknown = Some(cause);
                ControlFlow::Continue(())
            }
            Outcome::Unknown(cause) => ControlFlow::Break(Outcome::Unknown(cause)),
            Outcome::Refused(refusal) if is_retryable(refusal.reason) => {
                self.last_refusal = Some(refusal);
                ControlFlow::Continue(())
            }
            Outcome::Refused(refusal) => ControlFlow::Break(self.clone().final_outcome(refusal)),
        }
    }

    /// The outcome of the request when no more attempts follow. `fallback` is the refusal if no
    /// attempt gave an outcome.
    pub fn final_outcome(self, fallback: Refusal) -> Outcome<TargetResponse> {
        match (self.last_unknown, self.last_refusal) {
            (Some(cause), _) => Outcome::Unknown(cause),
            (None, Some(refusal)) => Outcome::Refused(refusal),
            (None, None) => Outcome::Refused(fallback),
        }
    }
}

/// Whether another target or VM may accept a request that was refused for this reason.
fn is_retryable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoTarget
            | Reason::Stopping
            | Reason::NotReady
            | Reason::Overloaded
            | Reason::WrongRegion
    )
}
