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
    registry::{HeartbeatTable, MembershipAction, MembershipController, VmInfo},
};
use prost::bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(20);
/// One-way delay between regions.
const ONE_WAY_DELAY: Duration = Duration::from_millis(55);
/// Interval at which the controller decides; it decides again at once after a change.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the reports that replicas send to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Time that a process has to end after it was told to stop.
const GRACE: Duration = Duration::from_millis(7500);
pub const SEEDS: [u32; 3] = [0, 2, 4];

/// One replica with its disk.
pub struct Node {
    pub raft: Raft,
    pub controller: MembershipController,
    pub heartbeats: HeartbeatTable,
    pub report_due_at: Instant,
    pub decision_due_at: Instant,
    pub durable: Record,
    pub disk_id: u64,
    pub is_up: bool,
    /// When the process ends at the latest, if it was told to stop.
    pub stops_at: Option<Instant>,
}

/// Replicas in virtual time. A message arrives after the one-way delay, unless the sender or the
/// receiver is down or cut off then.
pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<u32, Node>,
    pub in_flight: Vec<(Instant, u32, Outgoing)>,
    /// Reports with the time of their arrival, their sender and their recipient.
    pub reports_in_flight: Vec<(Instant, u32, u32)>,
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
            reports_in_flight: Vec::new(),
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
        let node_state = Node {
            raft,
            controller,
            heartbeats: HeartbeatTable::new(Duration::from_millis(3500)),
            report_due_at: self.now + REPORT_INTERVAL,
            decision_due_at: self.now,
            durable,
            disk_id,
            is_up: true,
            stops_at: None,
        };
        self.nodes.insert(node, node_state);
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
        if node.stops_at.is_some_and(|stops_at| {
            let has_successor =
                MembershipController::has_successor(&status, self.established_voters);
            status.has_left || !has_successor || now >= stops_at
        }) {
            node.is_up = false;
            return;
        }
        if now >= node.report_due_at {
            node.report_due_at = now + REPORT_INTERVAL;
            let members = status.membership.peers().map(|peer| self::number(&peer.vm));
            let others = members.filter(|member| *member != number);
            let reports = others.map(|member| (now + ONE_WAY_DELAY, number, member));
            self.reports_in_flight.extend(reports);
        }
        let mut action = None;
        if now >= node.decision_due_at {
            action =
                node.controller.decide(now, &status, self.established_voters, &node.heartbeats);
            let pause = if action.is_none() { DECISION_INTERVAL } else { Duration::ZERO };
            node.decision_due_at = now + pause;
        }
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
        self.deliver_reports();
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

    fn deliver_reports(&mut self) {
        let now = self.now;
        let is_due = |report: &(Instant, u32, u32)| report.0 <= now;
        for (_, from, to) in self.reports_in_flight.extract_if(.., |report| is_due(report)) {
            let partitioned = self.cut_off.contains(&from) != self.cut_off.contains(&to);
            let is_sender_up = self.nodes.get(&from).is_some_and(|node| node.is_up);
            let recipient = self.nodes.get_mut(&to).filter(|node| node.is_up);
            if let Some(node) = recipient.filter(|_| is_sender_up && !partitioned) {
                let info = VmInfo { vm: vm(from).to_string(), ..VmInfo::default() };
                node.heartbeats.record_vm(info, now);
            }
        }
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
        let seeds = self.draw_seeds();
        self.start_empty(node, &seeds, false);
        node
    }

    /// Ends the process of a replica; its disk stays.
    pub fn kill(&mut self, node: u32) {
        self.nodes.get_mut(&node).expect("a replica").is_up = false;
    }

    /// Tells a replica to stop, as the node does on SIGTERM: it asks to be removed if another one
    /// can take its place, and its process ends soon after.
    pub fn stop(&mut self, node: u32) {
        let now = self.now;
        let node = self.nodes.get_mut(&node).expect("a replica");
        node.stops_at = Some(now + GRACE);
        if MembershipController::has_successor(&node.raft.status(), self.established_voters) {
            node.raft.leave(now);
        }
    }

    /// Starts a replica again, at its VM, with an empty disk.
    pub fn wipe(&mut self, node: u32) {
        let seeds = self.draw_seeds();
        self.start_empty(node, &seeds, false);
    }

    /// Running replicas, as the settings of a replica that starts name them.
    fn draw_seeds(&mut self) -> Vec<u32> {
        let is_up = |entry: &(&u32, &Node)| entry.1.is_up;
        let mut running: Vec<u32> =
            self.nodes.iter().filter(is_up).map(|(number, _)| *number).collect();
        let first = self.random.random_range(0..running.len());
        running.rotate_left(first);
        running.truncate(SEEDS.len());
        running
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
}
