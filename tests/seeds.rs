//! A group of replicas forms from a few seeds and replaces lost members without an operator.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pomelogate::{
    consensus::{MembershipChange, Outgoing, Peer, Raft, Record, Role, Settings, StartParameters},
    id,
    registry::{MembershipAction, MembershipController},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(20);
/// One-way delay between regions.
const ONE_WAY_DELAY: Duration = Duration::from_millis(55);
const SEEDS: [u32; 3] = [0, 2, 4];

struct Node {
    raft: Raft,
    controller: MembershipController,
    durable: Record,
    disk_id: u64,
    is_up: bool,
}

/// Replicas in virtual time. A message arrives after the one-way delay, unless the sender or the
/// receiver is down or cut off then.
struct Cluster {
    now: Instant,
    nodes: BTreeMap<u32, Node>,
    in_flight: Vec<(Instant, u32, Outgoing)>,
    cut_off: Vec<u32>,
    established_voters: u32,
    last_disk_id: u64,
    random: StdRng,
}

fn vm(number: u32) -> id::Vm {
    id::Vm::from(format!("10.0.0.{number}"))
}

fn number(vm: &id::Vm) -> u32 {
    vm.as_str().rsplit('.').next().and_then(|text| text.parse().ok()).expect("a number")
}

impl Cluster {
    fn new(seed: u64) -> Self {
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

    fn start(
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

    fn start_empty(&mut self, node: u32, seeds: &[u32], first_start: bool) {
        self.last_disk_id += 1;
        let disk_id = self.last_disk_id;
        self.start(node, seeds, Record::default(), disk_id, first_start);
    }

    fn restart(&mut self, node: u32, seeds: &[u32]) {
        let (durable, disk_id) = {
            let node = &self.nodes[&node];
            (node.durable.clone(), node.disk_id)
        };
        self.start(node, seeds, durable, disk_id, false);
    }

    fn run(&mut self, duration: Duration) {
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

    fn step(&mut self, number: u32) {
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

    fn send_output(&mut self, number: u32) {
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

    fn deliver(&mut self) {
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

    fn leader(&self) -> Option<u32> {
        let is_leader = |node: &Node| node.is_up && node.raft.status().role == Role::Leader;
        self.nodes.iter().find(|(_, node)| is_leader(node)).map(|(number, _)| *number)
    }

    /// The voters that the leader knows.
    fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("a leader");
        let membership = self.nodes[&leader].raft.status().membership;
        membership.voters().map(|peer| number(&peer.vm)).collect()
    }

    fn group_ids(&self) -> Vec<u64> {
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
}

fn form_group(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    let mut order: Vec<u32> = (0..5).collect();
    for position in 0..order.len() {
        let other = cluster.random.random_range(0..order.len());
        order.swap(position, other);
    }
    for node in order {
        cluster.start_empty(node, &SEEDS, true);
        let pause = Duration::from_millis(cluster.random.random_range(0..60));
        cluster.run(pause);
    }
    cluster.run(Duration::from_secs(6));
    cluster
}

#[test]
fn replicas_that_know_three_seeds_all_join_one_group_before_it_is_established() {
    for seed in 0..30 {
        let cluster = form_group(seed);
        assert_eq!(cluster.voters(), [0, 1, 2, 3, 4], "seed {seed}");
        assert_eq!(cluster.established_voters, 5, "seed {seed}");
        assert_eq!(cluster.group_ids().len(), 1, "seed {seed}");
    }
}

#[test]
fn replicas_that_lost_their_disks_are_admitted_again() {
    for seed in 0..20 {
        let mut cluster = form_group(seed);
        let lost = [cluster.leader().expect("a leader"), (seed % 5) as u32];
        for node in lost {
            cluster.start_empty(node, &SEEDS, false);
        }
        cluster.run(Duration::from_secs(12));
        assert_eq!(cluster.voters(), [0, 1, 2, 3, 4], "seed {seed}");
        assert_eq!(cluster.group_ids().len(), 1, "seed {seed}");
    }
}

#[test]
fn a_new_replica_with_other_seeds_replaces_a_lost_member() {
    for seed in 0..20 {
        let mut cluster = form_group(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.nodes.get_mut(&leader).expect("the leader").is_up = false;
        cluster.run(Duration::from_secs(1));
        // The seeds are a follower and the lost member.
        let seeds: Vec<u32> = [leader, (leader + 1) % 5].to_vec();
        cluster.start_empty(9, &seeds, false);
        cluster.run(Duration::from_secs(14));
        let voters = cluster.voters();
        assert!(voters.contains(&9) && !voters.contains(&leader), "seed {seed}: {voters:?}");
        assert_eq!(voters.len(), 5, "seed {seed}");
    }
}

#[test]
fn a_member_that_is_cut_off_is_not_removed() {
    let mut cluster = form_group(1);
    cluster.cut_off = vec![1];
    cluster.run(Duration::from_secs(30));
    cluster.cut_off.clear();
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.voters(), [0, 1, 2, 3, 4]);
}

#[test]
fn replicas_that_all_restart_at_once_remain_the_same_group() {
    for seed in 0..10 {
        let mut cluster = form_group(seed);
        let before = cluster.group_ids();
        for node in 0..5 {
            cluster.restart(node, &SEEDS);
        }
        cluster.run(Duration::from_secs(5));
        assert_eq!((cluster.group_ids(), cluster.voters().len()), (before, 5), "seed {seed}");
    }
}
