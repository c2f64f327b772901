use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use super::HeartbeatTable;
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
/// Silence towards a new leader after which the silence before its election counts too. Heartbeats
/// and their retransmissions go without a reply in it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a learner is removed. It may be busy with a large snapshot, and no quorum
/// needs it.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);

/// A change that the leader makes to its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Admits the empty replica of a VM.
    Admit(id::Vm),
    /// Removes a silent or leaving member without which the group has its full size.
    Remove(id::Vm),
    /// Marks the first group as complete, with this number of voters.
    Establish(u32),
}

/// Decides on changes to the group of replicas, without an operator.
///
/// It admits empty replicas as soon as they announce themselves. It removes a member that is silent
/// or asks to leave only once the group has its full size without that member. The group thus
/// grows before it shrinks, and a member that is only cut off from the network stays unless another
/// one takes its place.
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

    /// Whether the group can do without the replica of `status`, at once or once a learner votes.
    /// A replica that is told to stop waits for its removal then. While the first group is not
    /// complete, nobody removes it.
    pub fn has_successor(status: &Status, established_voters: u32) -> bool {
        if established_voters == 0 {
            return false;
        }
        let has_learner = status.membership.members.iter().any(|member| !member.voter);
        let has_spare_voter = status.membership.voters().count() > to_usize(established_voters);
        // The removal of an outsider may not be committed yet.
        status.role == Role::Outsider || has_spare_voter || has_learner
    }

    /// Returns the next action at `now`, if any. `established_voters` is the size of the first
    /// complete group, or 0 while it is not complete. `heartbeats` holds when this replica last
    /// heard the others.
    pub fn decide(
        &mut self,
        now: Instant,
        status: &Status,
        established_voters: u32,
        heartbeats: &HeartbeatTable,
    ) -> Option<MembershipAction> {
        let is_leader = status.role == Role::Leader;
        if !is_leader || !self.is_leader {
            self.quiet_since = now;
        }
        self.is_leader = is_leader;
        if !is_leader {
            return None;
        }
        if established_voters > 0 {
            let removable = leaving_member(status, established_voters).or_else(|| {
                let unheard = |vm: &id::Vm| heartbeats.since_vm(vm.as_str(), now);
                silent_member(status, established_voters, unheard)
            });
            if let Some(vm) = removable {
                return Some(MembershipAction::Remove(vm));
            }
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
        None
    }
}

/// A member that requested to be removed, if the group has enough voters without it.
fn leaving_member(status: &Status, established_voters: u32) -> Option<id::Vm> {
    let voters: BTreeSet<Peer> = status.membership.voters().collect();
    let has_spare_voter = voters.len() > to_usize(established_voters);
    let may_leave = |peer: &&Peer| has_spare_voter || !voters.contains(peer);
    status.leaving.iter().find(may_leave).map(|peer| peer.vm.clone())
}

/// The member that has been silent longest, if the group has enough voters without it. `unheard` is
/// the time since this replica last heard a VM in any role.
fn silent_member(
    status: &Status,
    established_voters: u32,
    unheard: impl Fn(&id::Vm) -> Option<Duration>,
) -> Option<id::Vm> {
    let voters: BTreeSet<Peer> = status.membership.voters().collect();
    let has_spare_voter = voters.len() > to_usize(established_voters);
    // A leader counts from its election at the earliest. Replicas report to each other also while
    // none leads.
    let silence = |contact: &LastContact| {
        unheard(&contact.peer.vm)
            .filter(|_| contact.elapsed >= CONFIRMATION_TIMEOUT)
            .map_or(contact.elapsed, |unheard| unheard.max(contact.elapsed))
    };
    let is_removable = |(peer, silence): &(&Peer, Duration)| {
        if voters.contains(*peer) {
            *silence >= VOTER_TIMEOUT && has_spare_voter
        } else {
            *silence >= LEARNER_TIMEOUT
        }
    };
    let silences = status.last_contacts.iter().map(|contact| (&contact.peer, silence(contact)));
    let (peer, _) = silences.filter(is_removable).max_by_key(|(_, silence)| *silence)?;
    Some(peer.vm.clone())
}

fn to_usize(voters: u32) -> usize {
    usize::try_from(voters).unwrap_or(usize::MAX)
}
