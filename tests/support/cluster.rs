//! Replicas of one group over a faulty network and disks that lose what was not synced.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use pomelogate::{
    consensus::{
        EntryKind, Membership, MembershipChange, Outgoing, Output, Peer, ProposeError, Raft,
        Record, Role, Settings, StartParameters,
    },
    id,
};
use prost::{Message, bytes::Bytes};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);
const COMPACT_EVERY: u64 = 20;
const SETTLE: usize = 20_000;

mod faults;

struct Node {
    core: Option<Raft>,
    durable: Record,
    disk: u64,
    frozen: bool,
    disk_stalled: bool,
    /// What the replica waits to write to its stalled disk. It does nothing else meanwhile.
    unwritten: Option<Output>,
    applied: Vec<u64>,
    applied_index: u64,
    confirmed: BTreeMap<u64, u64>,
}

/// A group, and what must hold of it at every step.
pub struct Cluster {
    rng: StdRng,
    now: Instant,
    nodes: Vec<Node>,
    network: Vec<(usize, Outgoing)>,
    cuts: BTreeSet<(usize, usize)>,
    identities: bool,
    faulty: bool,
    serial: u64,
    leaders: BTreeMap<u64, usize>,
    committed: BTreeMap<u64, u64>,
    members: Membership,
    members_index: u64,
    checked: bool,
    lease: Option<(u64, Instant)>,
    batch: usize,
    /// Commands that their leader saw applied, each with its index.
    pub accepted: BTreeMap<u64, u64>,
    /// Membership changes that were taken.
    pub changes: usize,
}

impl Cluster {
    pub fn new(seed: u64, size: usize, identities: bool) -> Self {
        let mut cluster = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            nodes: Vec::new(),
            network: Vec::new(),
            cuts: BTreeSet::new(),
            identities,
            faulty: false,
            serial: 1000,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            members: Membership::default(),
            members_index: 0,
            checked: identities,
            lease: None,
            batch: 1 + (seed % 8) as usize,
            accepted: BTreeMap::new(),
            changes: 0,
        };
        for _ in 0..size {
            let disk = cluster.fresh_disk();
            cluster.nodes.push(Node {
                core: None,
                durable: Record::default(),
                disk,
                frozen: false,
                disk_stalled: false,
                unwritten: None,
                applied: Vec::new(),
                applied_index: 0,
                confirmed: BTreeMap::new(),
            });
        }
        (0..size).for_each(|node| cluster.restart(node));
        cluster
    }

    pub fn vm(node: usize) -> id::Vm {
        id::Vm::from(format!("vm-{node}"))
    }

    fn fresh_disk(&mut self) -> u64 {
        self.serial += 1;
        if self.identities { self.serial } else { 1 }
    }

    pub fn restart(&mut self, node: usize) {
        let seed = self.rng.random_range(0..u64::MAX);
        let start = StartParameters {
            settings: Settings {
                max_batch_entries: self.batch,
                max_batch_bytes: 20,
                trailing_entries: 5,
                ..Settings::default()
            },
            me: Peer { vm: Self::vm(node), disk_id: self.nodes[node].disk },
            initial_voters: (0..self.nodes.len()).map(Self::vm).collect(),
            durable_state: self.nodes[node].durable.clone(),
            seed,
        };
        let state = &mut self.nodes[node];
        state.applied.clear();
        state.applied_index = 0;
        state.core = Some(Raft::new(start, self.now));
        self.settle_node(node, true);
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.nodes[node].unwritten = None;
        self.nodes[node].frozen = false;
    }

    pub fn lose_disk(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = self.fresh_disk();
        self.nodes[node].durable = Record::default();
        self.restart(node);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
    }

    /// Lets writes to the disk of `node` wait until [`Self::resume_disk`].
    pub fn stall_disk(&mut self, node: usize) {
        self.nodes[node].disk_stalled = true;
    }

    pub fn resume_disk(&mut self, node: usize) {
        self.nodes[node].disk_stalled = false;
    }

    fn is_blocked(&self, node: usize) -> bool {
        let state = &self.nodes[node];
        state.frozen || (state.disk_stalled && state.unwritten.is_some())
    }

    pub fn clear_inbox(&mut self, node: usize) {
        self.network.retain(|(_, message)| message.to != Self::vm(node));
    }

    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.extend([(a, b), (b, a)]);
    }

    pub fn mend(&mut self, a: usize, b: usize) {
        self.cuts.remove(&(a, b));
        self.cuts.remove(&(b, a));
    }

    pub fn isolate(&mut self, node: usize) {
        (0..self.nodes.len())
            .filter(|&other| other != node)
            .for_each(|other| self.cut(node, other));
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.faulty = false;
        for node in 0..self.nodes.len() {
            self.nodes[node].frozen = false;
            if self.nodes[node].core.is_none() {
                self.restart(node);
            }
        }
    }

    pub fn role(&self, node: usize) -> Role {
        self.nodes[node].core.as_ref().map_or(Role::Outsider, |core| core.status().role)
    }

    pub fn voters(&self, node: usize) -> usize {
        self.nodes[node].core.as_ref().map_or(0, |core| core.status().membership.voters().count())
    }

    pub fn applied_by(&self, node: usize) -> &[u64] {
        &self.nodes[node].applied
    }

    pub fn others(&self, node: usize) -> [usize; 2] {
        let mut others = (0..self.nodes.len()).filter(|&other| other != node);
        [others.next().expect("another"), others.next().expect("a third")]
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader_among(&(0..self.nodes.len()).collect::<Vec<_>>())
    }

    pub fn leader_among(&self, nodes: &[usize]) -> Option<usize> {
        nodes.iter().copied().find(|&node| self.role(node) == Role::Leader)
    }

    pub fn propose(&mut self, node: usize) -> Option<u64> {
        self.serial += 1;
        let command = self.serial;
        let core = self.nodes[node].core.as_mut()?;
        let bytes = Bytes::copy_from_slice(&command.to_le_bytes());
        core.propose(self.now, bytes).ok().map(|_| command)
    }

    pub fn change(&mut self, node: usize, change: MembershipChange) -> Result<(), ProposeError> {
        let core = self.nodes[node].core.as_mut().expect("the node runs");
        core.propose_change(self.now, change).map(|_| ())
    }

    pub fn holds_lease(&mut self, node: usize) -> bool {
        let now = self.now;
        self.nodes[node].core.as_mut().is_some_and(|core| core.leader_lease(now).is_some())
    }

    /// Whether the node gets a read point within a while.
    pub fn reads(&mut self, node: usize) -> bool {
        self.serial += 1;
        let (token, now) = (self.serial << 32, self.now);
        if let Some(core) = &mut self.nodes[node].core {
            core.request_read_index(now, token);
        }
        self.run(400);
        self.nodes[node].confirmed.contains_key(&token)
    }

    /// What each replica knows, for the message of a failed test.
    pub fn describe(&self) -> String {
        let status = |node: &Node| node.core.as_ref().map(Raft::status);
        let each = self.nodes.iter().map(|node| format!("{}: {:?}\n", node.disk, status(node)));
        each.collect()
    }

    pub fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// Whether every replica that belongs to the group agrees on a new command within bounds.
    pub fn settles(&mut self) -> bool {
        for _ in 0..SETTLE {
            self.step();
            self.readmit_one();
            for node in 0..self.nodes.len() {
                self.empty_removed(node);
            }
            if let Some(leader) = self.leader()
                && self.leads_all(leader)
            {
                return true;
            }
        }
        false
    }

    fn leads_all(&self, leader: usize) -> bool {
        let status = |node: usize| self.nodes[node].core.as_ref().map(Raft::status);
        let Some(lead) = status(leader) else { return false };
        lead.commit_index == lead.last_index
            && (0..self.nodes.len()).all(|node| {
                status(node).is_some_and(|status| {
                    status.commit_index == lead.commit_index
                        && status.term == lead.term
                        && status.membership.voters().count() == self.nodes.len()
                })
            })
    }

    fn readmit_one(&mut self) {
        let Some(leader) = self.leader() else { return };
        let core = self.nodes[leader].core.as_mut().expect("it leads");
        if let Some(peer) = core.status().announced.first() {
            let _ = core.propose_change(self.now, MembershipChange::Admit(peer.vm.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, outgoing) in std::mem::take(&mut self.network) {
            self.deliver(from, outgoing);
        }
        for node in 0..self.nodes.len() {
            if self.is_blocked(node) {
                continue;
            }
            if let Some(output) = self.nodes[node].unwritten.take() {
                self.finish_output(node, output, false);
            }
            if let Some(core) = &mut self.nodes[node].core {
                core.tick(self.now);
            }
            self.settle_node(node, false);
        }
        self.check_lease();
    }

    fn deliver(&mut self, from: usize, outgoing: Outgoing) {
        let to = (0..self.nodes.len()).find(|&node| Self::vm(node) == outgoing.to).expect("a node");
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let fate = if self.faulty { self.rng.random_range(0..100) } else { 100 };
        match fate {
            0..5 => return,
            5..10 => self.network.push((from, outgoing.clone())),
            10..25 => return self.network.push((from, outgoing)),
            _ => {}
        }
        if self.is_blocked(to) {
            self.network.push((from, outgoing));
        } else if let Some(core) = &mut self.nodes[to].core {
            core.receive(self.now, &Self::vm(from), outgoing.message);
        }
    }

    /// Carries out what the core of `node` wants.
    fn settle_node(&mut self, node: usize, whole: bool) {
        for _ in 0..4 {
            let Some(core) = &mut self.nodes[node].core else { return };
            let mut output = core.take_output();
            if output.is_empty() {
                return;
            }
            let send = std::mem::take(&mut output.send_before_sync);
            self.network.extend(send.into_iter().map(|message| (node, message)));
            if self.nodes[node].disk_stalled && !output.record.is_empty() {
                self.nodes[node].unwritten = Some(output);
                return;
            }
            if !self.finish_output(node, output, whole) {
                return;
            }
        }
    }

    /// Writes a record and carries out what follows. A crash may come before or after the sync;
    /// returns false then.
    fn finish_output(&mut self, node: usize, output: Output, whole: bool) -> bool {
        let crash = self.faulty && !whole && self.rng.random_range(0..3000) == 0;
        if crash && self.rng.random_range(0..2) == 0 {
            self.crash(node);
            return false;
        }
        self.nodes[node].durable.merge_later(output.record);
        if crash {
            self.crash(node);
            return false;
        }
        self.network.extend(output.send_after_sync.into_iter().map(|message| (node, message)));
        let state = &mut self.nodes[node];
        let core = state.core.as_mut().expect("it runs");
        core.mark_synced(self.now);
        if let Some(snapshot) = output.restore {
            let chunks = snapshot.state.chunks_exact(8);
            state.applied =
                chunks.map(|c| u64::from_le_bytes(c.try_into().expect("eight"))).collect();
            state.applied_index = snapshot.index;
        }
        for (token, index) in output.confirmed_reads {
            assert!(index >= token & 0xffff_ffff, "a read point below an accepted command");
            state.confirmed.insert(token, index);
        }
        for entry in output.apply {
            self.apply(node, entry.index, entry.term, entry.kind(), &entry.payload);
        }
        self.compact(node);
        self.check_leader(node);
        true
    }

    fn apply(&mut self, node: usize, index: u64, term: u64, kind: EntryKind, payload: &[u8]) {
        let state = &mut self.nodes[node];
        assert_eq!(index, state.applied_index + 1, "applied in order");
        state.applied_index = index;
        let mark = payload.iter().fold(term << 8 | kind as u64, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
        });
        let former = *self.committed.entry(index).or_insert(mark);
        assert!(!self.checked || former == mark, "two entries committed at {index}");
        if kind == EntryKind::Membership && index > self.members_index {
            self.members_index = index;
            self.members = Membership::decode(payload).expect("a membership");
        }
        if kind != EntryKind::Command {
            return;
        }
        let command = u64::from_le_bytes(payload.try_into().expect("eight bytes"));
        state.applied.push(command);
        if self.role(node) == Role::Leader {
            self.accepted.insert(command, index);
        }
    }

    fn compact(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(core) = &mut state.core else { return };
        if state.applied_index > core.status().snapshot_index + COMPACT_EVERY {
            let bytes = state.applied.iter().flat_map(|command| command.to_le_bytes());
            core.compact(state.applied_index, bytes.collect());
        }
    }

    fn check_leader(&mut self, node: usize) {
        if self.role(node) == Role::Leader {
            let term = self.nodes[node].core.as_ref().expect("it runs").status().term;
            let former = *self.leaders.entry(term).or_insert(node);
            assert!(!self.checked || former == node, "two leaders in term {term}");
        }
    }

    /// No leader has a lease before the one handed out by a former leader ended.
    fn check_lease(&mut self) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| !node.frozen) {
            let Some(fence) = node.core.as_mut().and_then(|core| core.leader_lease(now)) else {
                continue;
            };
            let Some((number, until)) = self.lease.replace((fence.term, fence.expires_at)) else {
                continue;
            };
            let after = fence.term == number || (fence.term > number && now >= until);
            assert!(!self.checked || after, "two leases at once");
        }
    }
}
