use std::collections::BTreeSet;

use super::{Announce, Body, Membership, Peer, Raft, Record, Snapshot};
use crate::id;

/// The index and the term of the snapshot with which a group begins.
pub(crate) const FIRST_INDEX: u64 = 1;

/// Members taken from one answer, well above the size of any group.
const MOST_CONTACTS: usize = 64;

impl Raft {
    /// Whether the replica belongs to no group.
    pub(super) fn is_blank(&self) -> bool {
        self.hard.group_id == 0
    }

    /// Makes itself known, so that it can be admitted: an empty replica, or one that no leader
    /// counts as a member any more.
    pub(super) fn announce(&mut self) {
        if self.now < self.announce_at {
            return;
        }
        self.announce_at = self.now + self.settings.election_timeout / 2;
        let mut others: BTreeSet<_> = self.membership.peers().map(|peer| peer.vm).collect();
        others.extend(self.first.iter().cloned());
        others.extend(self.contacts.iter().cloned());
        others.remove(&self.me.vm);
        for vm in others {
            self.send_late(&Peer { vm, disk_id: 0 }, Body::Announce(Announce::default()));
        }
    }

    pub(super) fn on_announce(&mut self, from: Peer, formation: u64, announce: Announce) {
        if announce.reply_to_disk_id == 0 {
            self.announced.insert(from.vm.clone(), from.disk_id);
            let members = self.membership.peers().map(|peer| peer.vm.to_string()).collect();
            let reply_to_disk_id = from.disk_id;
            self.send_late(&from, Body::Announce(Announce { reply_to_disk_id, members }));
            self.form();
            return;
        }
        let members = announce.members.iter().take(MOST_CONTACTS);
        self.contacts.extend(members.map(|vm| id::Vm::from(vm.as_str())));
        if announce.reply_to_disk_id == self.me.disk_id && formation == 0 {
            self.blank.insert(from.vm, from.disk_id);
        } else {
            self.blank.remove(&from.vm);
        }
        self.form();
    }

    /// Forms the group, if this is the first VM of the settings and every other is empty too.
    pub(super) fn form(&mut self) {
        let others = self.first.iter().filter(|vm| **vm != self.me.vm);
        let every = others.clone().all(|vm| self.blank.contains_key(vm));
        let first = self.is_blank() && self.first.first() == Some(&self.me.vm);
        if !self.settings.bootstrap || !first || !every {
            return;
        }
        let mut membership = Membership::default().with(&self.me, true);
        for vm in others {
            let peer = Peer { vm: vm.clone(), disk_id: self.blank[vm] };
            membership = membership.with(&peer, true);
        }
        self.announced.clear();
        self.blank.clear();
        self.hard.group_id = self.me.disk_id.max(1);
        self.hard.term = FIRST_INDEX;
        self.save_hard();
        let snapshot =
            Snapshot { index: FIRST_INDEX, term: FIRST_INDEX, membership, ..Snapshot::default() };
        self.tail.install(snapshot.clone());
        self.commit = FIRST_INDEX;
        self.applied = FIRST_INDEX;
        self.reload_membership();
        self.out.restore = Some(snapshot.clone());
        self.out.record.merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        self.election_at = self.now;
    }

    /// Whether a message of the group `formation` is for this replica.
    ///
    /// The sender addressed this disk, so a membership lists it: an empty replica joins.
    pub(super) fn joins(&mut self, formation: u64) -> bool {
        if self.is_blank() && formation != 0 {
            self.hard.group_id = formation;
            self.save_hard();
            self.put_off_election();
        }
        self.hard.group_id == formation
    }

    /// Whether a leader was heard too lately to vote for another.
    pub(super) fn hears_leader(&self) -> bool {
        self.heard.is_some_and(|heard| self.now < heard + self.settings.election_timeout)
    }
}
