use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    consensus::{LastContact, Peer, Role, Status},
    id,
};

/// Time without a new empty replica after which the first group counts as complete. All VMs of a
/// deployment start within 0.3 s, and a replica announces itself twice per election timeout.
const ESTABLISH_QUIET_PERIOD: Duration = Duration::from_millis(1500);
/// Silence after which a voter is removed if another one can take its place. The group bears fewer
/// losses until then, so this and an election have to take less time than a deployment gives the
/// successor to catch up. A voter that was only frozen or cut off announces itself and is admitted
/// again.
const VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a learner is removed. It may be busy with a large snapshot, and no quorum
/// needs it.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);

/// A change that the leader makes to its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Admits the empty replica of a VM.
    Admit(id::Vm),
    /// Removes a silent member without which the group has its full size.
    Remove(id::Vm),
    /// Marks the first group as complete, with this number of voters.
    Establish(u32),
}

/// Decides on changes to the group of replicas, without an operator.
///
/// It admits empty replicas as soon as they announce themselves. It removes a silent member only
/// once the group has its full size without that member. The group thus grows before it shrinks,
/// and a member that is only cut off from the network stays unless another one takes its place.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::registry::MembershipController;
///
/// let controller = MembershipController::new(Instant::now());
/// # let _ = controller;
/// ```
#[derive(Debug)]
pub struct MembershipController {
    is_leader: bool,
    quiet_since: Instant,
}

impl MembershipController {
    /// Creates a controller at `now`.
    pub fn new(now: Instant) -> Self {
        Self { is_leader: false, quiet_since: now }
    }

    /// Returns the next action at `now`, if any. `established_voters` is the size of the first
    /// complete group, or 0 while it is not complete.
    pub fn decide(
        &mut self,
        now: Instant,
        status: &Status,
        established_voters: u32,
    ) -> Option<MembershipAction> {
        let is_leader = status.role == Role::Leader;
        if !is_leader || !self.is_leader {
            self.quiet_since = now;
        }
        self.is_leader = is_leader;
        if !is_leader {
            return None;
        }
        if let Some(peer) = status.announced.first() {
            self.quiet_since = now;
            return Some(MembershipAction::Admit(peer.vm.clone()));
        }
        let has_learner = status.membership.members.iter().any(|member| !member.voter);
        if established_voters == 0 {
            if has_learner {
                self.quiet_since = now;
            }
            let quiet = now.saturating_duration_since(self.quiet_since) >= ESTABLISH_QUIET_PERIOD;
            let voters = u32::try_from(status.membership.voters().count()).unwrap_or(u32::MAX);
            return quiet.then_some(MembershipAction::Establish(voters));
        }
        self.removable_member(status, established_voters).map(MembershipAction::Remove)
    }

    /// The member that has been silent longest, if the group has enough voters without it.
    fn removable_member(&self, status: &Status, established_voters: u32) -> Option<id::Vm> {
        let voters: BTreeSet<Peer> = status.membership.voters().collect();
        let required_voters = usize::try_from(established_voters).unwrap_or(usize::MAX);
        let is_removable = |contact: &&LastContact| {
            if voters.contains(&contact.peer) {
                contact.elapsed >= VOTER_TIMEOUT && voters.len() > required_voters
            } else {
                contact.elapsed >= LEARNER_TIMEOUT
            }
        };
        let removable = status.last_contacts.iter().filter(is_removable);
        let longest_silent = removable.max_by_key(|contact| contact.elapsed)?;
        Some(longest_silent.peer.vm.clone())
    }
}
