use std::{collections::BTreeSet, ops::ControlFlow};

use super::TargetResponse;
use crate::{
    id,
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
};

/// The attempts at one request: what was tried, and what may still be said of the request.
///
/// Once an attempt may have run, the request is never again said not to have run.
///
/// ```
/// use std::ops::ControlFlow;
/// use pomelogate::{outcome::{Outcome, Reason, Refusal}, path::Attempts};
///
/// let mut attempts = Attempts::new(true, 3);
/// let lost = attempts.record_outcome(Outcome::Unknown("the target closed the connection".into()));
/// assert!(matches!(lost, ControlFlow::Continue(())));
/// let refusal = Refusal::new(Reason::NoTarget, "no target is left", "try again later");
/// assert!(matches!(attempts.final_outcome(refusal), Outcome::Unknown(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    left: u32,
    targets: BTreeSet<id::Target>,
    vms: BTreeSet<id::Vm>,
    regions: BTreeSet<id::Region>,
    refusal: Option<Refusal>,
    doubt: Option<UnknownOutcome>,
}

impl Attempts {
    /// Begins with no attempt made and `limit` permitted.
    pub fn new(idempotent: bool, limit: u32) -> Self {
        Self {
            idempotent,
            left: limit,
            targets: BTreeSet::new(),
            vms: BTreeSet::new(),
            regions: BTreeSet::new(),
            refusal: None,
            doubt: None,
        }
    }

    /// Whether another attempt may be made.
    pub fn may_attempt(&self) -> bool {
        self.left > 0
    }

    /// Whether no attempt was made yet.
    pub fn is_first(&self) -> bool {
        self.targets.is_empty() && self.vms.is_empty()
    }

    /// Notes that `target` is tried.
    pub fn record_target(&mut self, target: &id::Target) {
        self.left = self.left.saturating_sub(1);
        self.targets.insert(target.clone());
    }

    /// Notes that `vm` is tried.
    pub fn record_vm(&mut self, vm: &id::Vm) {
        self.left = self.left.saturating_sub(1);
        self.vms.insert(vm.clone());
    }

    /// Notes that `region` keeps its free places for its own callers.
    pub fn record_full_region(&mut self, region: &id::Region) {
        self.regions.insert(region.clone());
    }

    /// The regions that have no place to spare.
    pub fn full_regions(&self) -> &BTreeSet<id::Region> {
        &self.regions
    }

    /// The targets tried.
    pub fn tried_targets(&self) -> &BTreeSet<id::Target> {
        &self.targets
    }

    /// The VMs tried.
    pub fn tried_vms(&self) -> &BTreeSet<id::Vm> {
        &self.vms
    }

    /// Notes the outcome of an attempt: breaks with the request's outcome, or asks for another.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome<TargetResponse>,
    ) -> ControlFlow<Outcome<TargetResponse>> {
        match outcome {
            Outcome::Answered(answer) => ControlFlow::Break(Outcome::Answered(answer)),
            Outcome::Unknown(cause) if self.idempotent => {
                self.doubt = Some(cause);
                ControlFlow::Continue(())
            }
            Outcome::Unknown(cause) => ControlFlow::Break(Outcome::Unknown(cause)),
            Outcome::Refused(refusal) if helps_elsewhere(refusal.reason) => {
                self.refusal = Some(refusal);
                ControlFlow::Continue(())
            }
            Outcome::Refused(refusal) => ControlFlow::Break(self.clone().final_outcome(refusal)),
        }
    }

    /// The outcome of the request when no other attempt is made; `fallback` says why where no
    /// attempt was.
    pub fn final_outcome(self, fallback: Refusal) -> Outcome<TargetResponse> {
        match (self.doubt, self.refusal) {
            (Some(cause), _) => Outcome::Unknown(cause),
            (None, Some(refusal)) => Outcome::Refused(refusal),
            (None, None) => Outcome::Refused(fallback),
        }
    }
}

/// Whether another target or VM may take what one refused for this reason.
fn helps_elsewhere(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoTarget
            | Reason::Stopping
            | Reason::NotReady
            | Reason::Overloaded
            | Reason::WrongRegion
    )
}
