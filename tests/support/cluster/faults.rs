//! Faults at random.

use pomelogate::consensus::{Membership, MembershipChange, Raft, Role};
use rand::RngExt;

use super::Cluster;

impl Cluster {
    /// One step with faults at random.
    pub fn disturb(&mut self) {
        self.faulty = true;
        let node = self.rng.random_range(0..self.nodes.len());
        let other = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..1000) {
            0..4 => self.crash(node),
            4..14 if self.nodes[node].core.is_none() => self.restart(node),
            14..18 => self.freeze(node),
            18..40 => self.thaw(node),
            40..44 => self.cut(node, other),
            44..48 => self.cut_one_way(node, other),
            48..52 => self.isolate(node),
            52..66 => self.cuts.clear(),
            66..67 => self.lose_a_disk(node),
            67..90 => self.readmit_one(),
            90..94 => self.remove_one(other),
            94..200 => {
                let leader = self.any_leader(node);
                self.propose(leader);
            }
            200..230 => self.read_and_check(node),
            _ => {}
        }
        self.step();
    }

    fn any_leader(&self, node: usize) -> usize {
        if self.role(node) == Role::Leader { node } else { self.leader().unwrap_or(node) }
    }

    /// A disk is lost only while every replica votes with its own, as no group survives the loss
    /// of a majority.
    fn lose_a_disk(&mut self, node: usize) {
        if self.is_whole() {
            self.lose_disk(node);
        }
    }

    fn is_whole(&self) -> bool {
        let own = |membership: &Membership, node: usize| {
            let disk = self.nodes[node].disk;
            membership.voters().any(|peer| peer.vm == Self::vm(node) && peer.disk_id == disk)
        };
        let whole = |core: &Raft| {
            let membership = core.status().membership;
            (0..self.nodes.len()).all(|node| own(&membership, node))
        };
        self.nodes.iter().all(|node| node.core.as_ref().is_some_and(whole))
    }

    /// Removes a member; the folder of one that was removed before is emptied.
    fn remove_one(&mut self, node: usize) {
        if self.empty_removed(node) {
            return;
        }
        let Some(leader) = self.leader() else { return };
        if self.is_whole() && self.change(leader, MembershipChange::Remove(Self::vm(node))).is_ok()
        {
            self.changes += 1;
        }
    }

    /// Empties the folder of a replica whose removal is committed, as an operator would.
    pub(super) fn empty_removed(&mut self, node: usize) -> bool {
        let member = self.members.peers().any(|peer| peer.vm == Self::vm(node));
        let removed = self.members_index > 0 && !member;
        let empties = removed && self.nodes[node].durable.hard_state.is_some();
        if empties {
            self.lose_disk(node);
        }
        empties
    }

    /// A confirmed read point covers every command accepted before.
    fn read_and_check(&mut self, node: usize) {
        let newest = self.accepted.values().copied().max().unwrap_or(0);
        self.serial += 1;
        let (token, now) = (self.serial << 32 | newest, self.now);
        if !self.nodes[node].frozen
            && let Some(core) = &mut self.nodes[node].core
        {
            core.request_read_index(now, token);
        }
    }
}
