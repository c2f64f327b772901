use std::time::{Duration, Instant};

use crate::{
    consensus::{Role, Status},
    id,
};

/// How long no empty replica may have turned up before the first group counts as complete. All VMs
/// start within 0.3 s, and a replica makes itself known twice in each election timeout.
const QUIET: Duration = Duration::from_millis(1500);
/// How long a member must have been silent before another takes its place for good: longer than
/// restarts, freezes and short cuts last.
const GIVEN_UP: Duration = Duration::from_secs(5);

/// What the leader does about the members of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Admits the empty replica of a VM.
    Admit(id::Vm),
    /// Removes a member whose place another has taken.
    Remove(id::Vm),
    /// Declares the first group complete, with this many voters.
    Establish(u32),
}

/// Decides on members of the group, in place of an operator: empty replicas are admitted as they
/// turn up, and a member is removed once it has been silent for long and the group has its size
/// without it. So the group grows before it shrinks, and a member that is merely cut off stays.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::registry::MembershipController;
///
/// let steward = MembershipController::new(Instant::now());
/// # let _ = steward;
/// ```
#[derive(Debug)]
pub struct MembershipController {
    leads: bool,
    quiet_since: Instant,
}

impl MembershipController {
    /// A steward that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { leads: false, quiet_since: now }
    }

    /// What is to be done at `now`, given what the replica knows and how many voters the group
    /// began with; one action at a time.
    pub fn decide(
        &mut self,
        now: Instant,
        status: &Status,
        established: u32,
    ) -> Option<MembershipAction> {
        let leads = status.role == Role::Leader;
        if !leads || !self.leads {
            self.quiet_since = now;
        }
        self.leads = leads;
        if !leads {
            return None;
        }
        if let Some(peer) = status.announced.first() {
            self.quiet_since = now;
            return Some(MembershipAction::Admit(peer.vm.clone()));
        }
        let learns = status.membership.members.iter().any(|member| !member.voter);
        if established == 0 {
            if learns {
                self.quiet_since = now;
            }
            let quiet = now.saturating_duration_since(self.quiet_since) >= QUIET;
            let voters = u32::try_from(status.membership.voters().count()).unwrap_or(u32::MAX);
            return quiet.then_some(MembershipAction::Establish(voters));
        }
        self.surplus(status, established).map(MembershipAction::Remove)
    }

    /// A member that is silent and not needed any more.
    fn surplus(&self, status: &Status, established: u32) -> Option<id::Vm> {
        let voters = status.membership.voters().count();
        let enough = usize::try_from(established).unwrap_or(usize::MAX);
        let silent = status.silences.iter().filter(|silence| silence.lasts >= GIVEN_UP);
        let longest = silent.max_by_key(|silence| silence.lasts)?;
        let votes = status.membership.voters().any(|voter| voter == longest.peer);
        (!votes || voters > enough).then(|| longest.peer.vm.clone())
    }
}
