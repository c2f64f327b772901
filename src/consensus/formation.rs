use std::collections::BTreeSet;

use super::{Announce, Body, Membership, Peer, Raft, Record, Snapshot};
use crate::id;

/// The index and the term of the snapshot with which a group begins.
pub(crate) const FIRST: u64 = 1;

/// Members taken from one answer, well above the size of any group.
const MOST_CONTACTS: usize = 64;

impl Raft {
    /// Whether the replica belongs to no group.
    pub(super) fn is_blank(&self) -> bool {
        self.hard.formation == 0
    }

    /// Makes itself known, so that it can be admitted: an empty replica, or one that no leader
    /// counts as a member any more.
    pub(super) fn announce(&mut self) {
        if self.now < self.announce_at {
            return;
        }
        self.announce_at = self.now + self.settings.election / 2;
        let mut others: BTreeSet<_> = self.membership.peers().map(|peer| peer.vm).collect();
        others.extend(self.first.iter().cloned());
        others.extend(self.contacts.iter().cloned());
        others.remove(&self.me.vm);
        for vm in others {
            self.send_late(&Peer { vm, disk: 0 }, Body::Announce(Announce::default()));
        }
    }

    pub(super) fn on_announce(&mut self, from: Peer, formation: u64, announce: Announce) {
        if announce.answers == 0 {
            self.announced.insert(from.vm.clone(), from.disk);
            let members = self.membership.peers().map(|peer| peer.vm.to_string()).collect();
            let answers = from.disk;
            self.send_late(&from, Body::Announce(Announce { answers, members }));
            self.form();
            return;
        }
        let members = announce.members.iter().take(MOST_CONTACTS);
        self.contacts.extend(members.map(|vm| id::Vm::from(vm.as_str())));
        if announce.answers == self.me.disk && formation == 0 {
            self.blank.insert(from.vm, from.disk);
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
            let peer = Peer { vm: vm.clone(), disk: self.blank[vm] };
            membership = membership.with(&peer, true);
        }
        self.announced.clear();
        self.blank.clear();
        self.hard.formation = self.me.disk.max(1);
        self.hard.term = FIRST;
        self.save_hard();
        let snapshot = Snapshot { index: FIRST, term: FIRST, membership, ..Snapshot::default() };
        self.tail.install(snapshot.clone());
        self.commit = FIRST;
        self.applied = FIRST;
        self.reload_membership();
        self.out.restore = Some(snapshot.clone());
        self.out.record.absorb(Record { snapshot: Some(snapshot), ..Record::default() });
        self.election_at = self.now;
    }

    /// Whether a message of the group `formation` is for this replica.
    ///
    /// The sender addressed this disk, so a membership lists it: an empty replica joins.
    pub(super) fn joins(&mut self, formation: u64) -> bool {
        if self.is_blank() && formation != 0 {
            self.hard.formation = formation;
            self.save_hard();
            self.put_off_election();
        }
        self.hard.formation == formation
    }

    /// Whether a leader was heard too lately to vote for another.
    pub(super) fn hears_leader(&self) -> bool {
        self.heard.is_some_and(|heard| self.now < heard + self.settings.election)
    }
}
