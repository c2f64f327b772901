//! A group of replicas in virtual time, with the membership controller and without disks or
//! sockets.
#![allow(dead_code, reason = "each test binary uses a part")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pomelogate::{
    consensus::{MembershipChange, Outgoing, Peer, Raft, Record, Role, Settings, StartParameters},
    id,
    registry::{MembershipAction, MembershipController},
};
use prost::bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(20);
/// One-way delay between regions.
const ONE_WAY_DELAY: Duration = Duration::from_millis(55);
pub const SEEDS: [u32; 3] = [0, 2, 4];

/// One replica with its disk.
pub struct Node {
    pub raft: Raft,
    pub controller: MembershipController,
    pub durable: Record,
    pub disk_id: u64,
    pub is_up: bool,
}

/// Replicas in virtual time. A message arrives after the one-way delay, unless the sender or the
/// receiver is down or cut off then.
pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<u32, Node>,
    pub in_flight: Vec<(Instant, u32, Outgoing)>,
    pub cut_off: Vec<u32>,
    pub established_voters: u32,
    pub last_disk_id: u64,
    pub random: StdRng,
}

pub fn vm(number: u32) -> id::Vm {
    id::Vm::from(format!("10.0.0.{number}"))
}

pub fn number(vm: &id::Vm) -> u32 {
    vm.as_str().rsplit('.').next().and_then(|text| text.parse().ok()).expect("a number")
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_off: Vec::new(),
            established_voters: 0,
            last_disk_id: 100,
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn start(
        &mut self,
        node: u32,
        seeds: &[u32],
        durable: Record,
        disk_id: u64,
        first_start: bool,
    ) {
        let settings = Settings {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(900),
            bootstrap: first_start,
            ..Settings::default()
        };
        let parameters = StartParameters {
            settings,
            me: Peer { vm: vm(node), disk_id },
            initial_voters: seeds.iter().map(|seed| vm(*seed)).collect(),
            durable_state: durable.clone(),
            seed: self.random.random(),
        };
        let raft = Raft::new(parameters, self.now);
        let controller = MembershipController::new(self.now);
        self.nodes.insert(node, Node { raft, controller, durable, disk_id, is_up: true });
    }

    pub fn start_empty(&mut self, node: u32, seeds: &[u32], first_start: bool) {
        self.last_disk_id += 1;
        let disk_id = self.last_disk_id;
        self.start(node, seeds, Record::default(), disk_id, first_start);
    }

    pub fn restart(&mut self, node: u32, seeds: &[u32]) {
        let (durable, disk_id) = {
            let node = &self.nodes[&node];
            (node.durable.clone(), node.disk_id)
        };
        self.start(node, seeds, durable, disk_id, false);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            let numbers: Vec<u32> = self.nodes.keys().copied().collect();
            for number in numbers {
                self.step(number);
            }
        }
    }

    pub fn step(&mut self, number: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&number).filter(|node| node.is_up) else { return };
        node.raft.tick(now);
        let status = node.raft.status();
        let action = node.controller.decide(now, &status, self.established_voters);
        match action {
            Some(MembershipAction::Admit(vm)) => {
                drop(node.raft.propose_change(now, MembershipChange::Admit(vm)))
            }
            Some(MembershipAction::Remove(vm)) => {
                drop(node.raft.propose_change(now, MembershipChange::Remove(vm)))
            }
            Some(MembershipAction::Establish(voters)) => self.established_voters = voters,
            None => {}
        }
        self.send_output(number);
    }

    pub fn send_output(&mut self, number: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&number) else { return };
        for _ in 0..8 {
            let output = node.raft.take_output();
            if output.is_empty() {
                break;
            }
            node.durable.merge_later(output.record.clone());
            node.raft.mark_synced(now);
            for message in output.send_before_sync.into_iter().chain(output.send_after_sync) {
                self.in_flight.push((now + ONE_WAY_DELAY, number, message));
            }
        }
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|message| message.0 <= now);
        self.in_flight = later;
        let due: Vec<(Instant, u32, Outgoing)> = due;
        for (_, from, Outgoing { to, message }) in due {
            let to = number(&to);
            let partitioned = self.cut_off.contains(&from) != self.cut_off.contains(&to);
            let is_up = |number: &u32| self.nodes.get(number).is_some_and(|node| node.is_up);
            if partitioned || !is_up(&from) || !is_up(&to) {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&to) {
                node.raft.receive(now, &vm(from), message);
            }
            self.send_output(to);
        }
    }

    pub fn leader(&self) -> Option<u32> {
        let is_leader = |node: &Node| node.is_up && node.raft.status().role == Role::Leader;
        let leaders = self.nodes.iter().filter(|(_, node)| is_leader(node));
        let newest = leaders.max_by_key(|(_, node)| node.raft.status().term);
        newest.map(|(number, _)| *number)
    }

    /// The voters that the leader knows.
    pub fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("a leader");
        let membership = self.nodes[&leader].raft.status().membership;
        membership.voters().map(|peer| number(&peer.vm)).collect()
    }

    pub fn group_ids(&self) -> Vec<u64> {
        let group_id = |node: &Node| node.raft.status().group_id;
        let mut group_ids: Vec<u64> = self
            .nodes
            .values()
            .filter(|node| node.is_up)
            .map(group_id)
            .filter(|id| *id != 0)
            .collect();
        group_ids.sort_unstable();
        group_ids.dedup();
        group_ids
    }

    /// Forms a group of `size` replicas that start in a random order within a short time, and runs
    /// it until it is established.
    pub fn form(size: u32, seed: u64) -> Self {
        let mut cluster = Self::new(seed);
        let mut order: Vec<u32> = (0..size).collect();
        for position in 0..order.len() {
            let other = cluster.random.random_range(0..order.len());
            order.swap(position, other);
        }
        for node in order {
            cluster.start_empty(node, &SEEDS, true);
            let pause =
                Duration::from_millis(cluster.random.random_range(0..300) / u64::from(size));
            cluster.run(pause);
        }
        cluster.run(Duration::from_secs(6));
        for _ in 0..60 {
            if cluster.established_voters > 0 {
                break;
            }
            cluster.run(Duration::from_secs(1));
        }
        cluster
    }

    /// Starts an empty replica on a new VM, whose settings name replicas that run, and returns its
    /// number.
    pub fn add(&mut self) -> u32 {
        let node = self.nodes.keys().max().map_or(0, |highest| highest + 1);
        let mut seeds = self.running();
        let first = self.random.random_range(0..seeds.len());
        seeds.rotate_left(first);
        seeds.truncate(SEEDS.len());
        self.start_empty(node, &seeds, false);
        node
    }

    /// Ends the process of a replica; its disk stays.
    pub fn kill(&mut self, node: u32) {
        self.nodes.get_mut(&node).expect("a replica").is_up = false;
    }

    /// Starts a replica again, at its VM, with an empty disk.
    pub fn wipe(&mut self, node: u32) {
        self.start_empty(node, &SEEDS, false);
    }

    /// Runs until a replica leads, for ten seconds at most.
    pub fn run_until_led(&mut self) -> Option<u32> {
        for _ in 0..500 {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            self.run(TICK);
        }
        None
    }

    /// Whether a command that is proposed now is committed within `duration`.
    pub fn commits_within(&mut self, duration: Duration) -> bool {
        let end = self.now + duration;
        while self.now < end {
            let Some(leader) = self.leader() else {
                self.run(TICK);
                continue;
            };
            let (now, raft) = (self.now, &mut self.nodes.get_mut(&leader).expect("a leader").raft);
            let Ok((index, term)) = raft.propose(now, Bytes::from_static(b"command")) else {
                self.run(TICK);
                continue;
            };
            self.send_output(leader);
            while self.now < end && self.leader() == Some(leader) {
                let status = self.nodes[&leader].raft.status();
                if status.term == term && status.commit_index >= index {
                    return true;
                }
                self.run(TICK);
            }
        }
        false
    }

    fn running(&self) -> Vec<u32> {
        self.nodes.iter().filter(|(_, node)| node.is_up).map(|(number, _)| *number).collect()
    }
}
