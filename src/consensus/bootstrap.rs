use std::{collections::BTreeSet, time::Instant};

use super::{Announce, Body, Membership, Peer, Raft, Record, Snapshot};
use crate::id;

/// The index, and also the term, of the snapshot that a group starts from.
pub(crate) const FIRST_INDEX_AND_TERM: u64 = 1;

/// How many members are taken from one reply; far more than any group has.
const MAX_REPORTED_MEMBERS: usize = 64;

/// The last announcement of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Announcement {
    disk_id: u64,
    received_at: Instant,
}

impl Raft {
    /// Whether the replica belongs to no group yet.
    pub(super) fn is_empty_replica(&self) -> bool {
        self.hard_state.group_id == 0
    }

    /// Announces this replica, so that it can be admitted. Called for a replica that is empty or
    /// hears no leader, since it may no longer be a member.
    pub(super) fn announce_if_due(&mut self) {
        if self.now < self.announce_due_at || self.departure.is_requested() {
            return;
        }
        self.announce_due_at = self.now + self.settings.election_timeout / 2;
        let mut recipients: BTreeSet<_> = self.membership.peers().map(|peer| peer.vm).collect();
        recipients.extend(self.initial_voters.iter().cloned());
        recipients.extend(self.reported_members.iter().cloned());
        recipients.remove(&self.me.vm);
        for vm in recipients {
            self.send_after_sync(&Peer { vm, disk_id: 0 }, Body::Announce(Announce::default()));
        }
    }

    pub(super) fn on_announce(&mut self, from: Peer, group_id: u64, announce: Announce) {
        if announce.reply_to_disk_id == 0 {
            let announcement = Announcement { disk_id: from.disk_id, received_at: self.now };
            self.announcements.insert(from.vm.clone(), announcement);
            let members = self.membership.peers().map(|peer| peer.vm.to_string()).collect();
            let reply_to_disk_id = from.disk_id;
            self.send_after_sync(&from, Body::Announce(Announce { reply_to_disk_id, members }));
            self.form_group_if_ready();
            return;
        }
        let members = announce.members.iter().take(MAX_REPORTED_MEMBERS);
        self.reported_members.extend(members.map(|vm| id::Vm::from(vm.as_str())));
        if announce.reply_to_disk_id == self.me.disk_id && group_id == 0 {
            self.empty_peer_disk_ids.insert(from.vm, from.disk_id);
        } else {
            self.empty_peer_disk_ids.remove(&from.vm);
        }
        self.form_group_if_ready();
    }

    /// The disk ID with which a replica announced itself, if it still does. A replica announces
    /// itself several times per election timeout until it is admitted.
    pub(super) fn announced_disk_id(&self, vm: &id::Vm) -> Option<u64> {
        let max_age = self.settings.election_timeout * 2;
        let announcement = self.announcements.get(vm)?;
        let age = self.now.saturating_duration_since(announcement.received_at);
        (age < max_age).then_some(announcement.disk_id)
    }

    /// The replicas that announce themselves and are no members.
    pub(super) fn announced_outsiders(&self) -> Vec<Peer> {
        let peer = |vm: &id::Vm| {
            self.announced_disk_id(vm).map(|disk_id| Peer { vm: vm.clone(), disk_id })
        };
        let announced = self.announcements.keys().filter_map(peer);
        announced.filter(|peer| !self.membership.contains(peer)).collect()
    }

    /// Forms the group if this is the first of the initial voters and all of them are empty.
    pub(super) fn form_group_if_ready(&mut self) {
        let other_voters = self.initial_voters.iter().filter(|vm| **vm != self.me.vm);
        let all_empty = other_voters.clone().all(|vm| self.empty_peer_disk_ids.contains_key(vm));
        let is_first_voter =
            self.is_empty_replica() && self.initial_voters.first() == Some(&self.me.vm);
        if !self.settings.bootstrap || !is_first_voter || !all_empty {
            return;
        }
        let mut membership = Membership::default().with_member(&self.me, true);
        for vm in other_voters {
            let peer = Peer { vm: vm.clone(), disk_id: self.empty_peer_disk_ids[vm] };
            membership = membership.with_member(&peer, true);
        }
        self.announcements.clear();
        self.empty_peer_disk_ids.clear();
        self.hard_state.group_id = self.me.disk_id.max(1);
        self.hard_state.term = FIRST_INDEX_AND_TERM;
        self.record_hard_state();
        let snapshot = Snapshot {
            index: FIRST_INDEX_AND_TERM,
            term: FIRST_INDEX_AND_TERM,
            membership,
            ..Snapshot::default()
        };
        self.log.install_snapshot(snapshot.clone());
        self.commit_index = FIRST_INDEX_AND_TERM;
        self.last_applied = FIRST_INDEX_AND_TERM;
        self.reload_membership();
        self.output.restore = Some(snapshot.clone());
        self.output.record.merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        self.election_due_at = self.now;
    }

    /// Whether a message from group `group_id` is for this replica. An empty replica joins the
    /// group: the sender addressed its disk ID, so a membership of the group lists it.
    pub(super) fn join_or_match_group(&mut self, group_id: u64) -> bool {
        if self.is_empty_replica() && group_id != 0 {
            self.hard_state.group_id = group_id;
            self.record_hard_state();
            self.reset_election_timer();
        }
        self.hard_state.group_id == group_id
    }

    /// Whether a leader was heard within the election timeout, so that no vote may be granted.
    pub(super) fn heard_leader_recently(&self) -> bool {
        self.leader_heard_at
            .is_some_and(|heard_at| self.now < heard_at + self.settings.election_timeout)
    }
}
