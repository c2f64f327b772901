//! A group that knows only a few seeds at its first start, and replaces its members by itself.

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

const STEP: Duration = Duration::from_millis(20);
/// One way between regions.
const WAY: Duration = Duration::from_millis(55);
const SEEDS: [u32; 3] = [0, 2, 4];

struct Node {
    core: Raft,
    steward: MembershipController,
    durable: Record,
    disk_id: u64,
    up: bool,
}

/// Replicas in virtual time: what is sent arrives after the way, unless one end is down or cut off.
struct World {
    now: Instant,
    nodes: BTreeMap<u32, Node>,
    network: Vec<(Instant, u32, Outgoing)>,
    cut: Vec<u32>,
    established: u32,
    disks: u64,
    random: StdRng,
}

fn vm(number: u32) -> id::Vm {
    id::Vm::from(format!("10.0.0.{number}"))
}

fn number(vm: &id::Vm) -> u32 {
    vm.as_str().rsplit('.').next().and_then(|text| text.parse().ok()).expect("a number")
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            network: Vec::new(),
            cut: Vec::new(),
            established: 0,
            disks: 100,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn start(&mut self, node: u32, seeds: &[u32], durable: Record, disk_id: u64, first: bool) {
        let settings = Settings {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(900),
            bootstrap: first,
            ..Settings::default()
        };
        let start = StartParameters {
            settings,
            me: Peer { vm: vm(node), disk_id },
            initial_voters: seeds.iter().map(|seed| vm(*seed)).collect(),
            durable_state: durable.clone(),
            seed: self.random.random(),
        };
        let core = Raft::new(start, self.now);
        let steward = MembershipController::new(self.now);
        self.nodes.insert(node, Node { core, steward, durable, disk_id, up: true });
    }

    fn start_empty(&mut self, node: u32, seeds: &[u32], first: bool) {
        self.disks += 1;
        let disk_id = self.disks;
        self.start(node, seeds, Record::default(), disk_id, first);
    }

    fn restart(&mut self, node: u32, seeds: &[u32]) {
        let (durable, disk_id) = {
            let node = &self.nodes[&node];
            (node.durable.clone(), node.disk_id)
        };
        self.start(node, seeds, durable, disk_id, false);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let numbers: Vec<u32> = self.nodes.keys().copied().collect();
            for number in numbers {
                self.step(number);
            }
        }
    }

    fn step(&mut self, number: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&number).filter(|node| node.up) else { return };
        node.core.tick(now);
        let status = node.core.status();
        let action = node.steward.decide(now, &status, self.established);
        match action {
            Some(MembershipAction::Admit(vm)) => {
                drop(node.core.propose_change(now, MembershipChange::Admit(vm)))
            }
            Some(MembershipAction::Remove(vm)) => {
                drop(node.core.propose_change(now, MembershipChange::Remove(vm)))
            }
            Some(MembershipAction::Establish(voters)) => self.established = voters,
            None => {}
        }
        self.settle(number);
    }

    fn settle(&mut self, number: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&number) else { return };
        for _ in 0..8 {
            let output = node.core.take_output();
            if output.is_empty() {
                break;
            }
            node.durable.merge_later(output.record.clone());
            node.core.mark_synced(now);
            for message in output.send_before_sync.into_iter().chain(output.send_after_sync) {
                self.network.push((now + WAY, number, message));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network).into_iter().partition(|m| m.0 <= now);
        self.network = later;
        let due: Vec<(Instant, u32, Outgoing)> = due;
        for (_, from, Outgoing { to, message }) in due {
            let to = number(&to);
            let parted = self.cut.contains(&from) != self.cut.contains(&to);
            let up = |number: &u32| self.nodes.get(number).is_some_and(|node| node.up);
            if parted || !up(&from) || !up(&to) {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&to) {
                node.core.receive(now, &vm(from), message);
            }
            self.settle(to);
        }
    }

    fn leader(&self) -> Option<u32> {
        let leads = |node: &Node| node.up && node.core.status().role == Role::Leader;
        self.nodes.iter().find(|(_, node)| leads(node)).map(|(number, _)| *number)
    }

    /// The voters as the leader knows them.
    fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("a leader");
        let membership = self.nodes[&leader].core.status().membership;
        membership.voters().map(|peer| number(&peer.vm)).collect()
    }

    fn formations(&self) -> Vec<u64> {
        let of = |node: &Node| node.core.status().group_id;
        let mut formations: Vec<u64> =
            self.nodes.values().filter(|node| node.up).map(of).filter(|one| *one != 0).collect();
        formations.sort_unstable();
        formations.dedup();
        formations
    }
}

fn formed(seed: u64) -> World {
    let mut world = World::new(seed);
    let mut order: Vec<u32> = (0..5).collect();
    for place in 0..order.len() {
        let other = world.random.random_range(0..order.len());
        order.swap(place, other);
    }
    for node in order {
        world.start_empty(node, &SEEDS, true);
        let pause = Duration::from_millis(world.random.random_range(0..60));
        world.run(pause);
    }
    world.run(Duration::from_secs(6));
    world
}

#[test]
fn replicas_that_know_three_seeds_form_one_group_of_all_before_it_counts_as_complete() {
    for seed in 0..30 {
        let world = formed(seed);
        assert_eq!(world.voters(), [0, 1, 2, 3, 4], "seed {seed}");
        assert_eq!(world.established, 5, "seed {seed}");
        assert_eq!(world.formations().len(), 1, "seed {seed}");
    }
}

#[test]
fn a_replica_that_lost_its_disk_is_admitted_without_an_operator() {
    for seed in 0..20 {
        let mut world = formed(seed);
        let lost = [world.leader().expect("a leader"), (seed % 5) as u32];
        for node in lost {
            world.start_empty(node, &SEEDS, false);
        }
        world.run(Duration::from_secs(12));
        assert_eq!(world.voters(), [0, 1, 2, 3, 4], "seed {seed}");
        assert_eq!(world.formations().len(), 1, "seed {seed}");
    }
}

#[test]
fn a_new_replica_elsewhere_takes_the_place_of_one_that_is_gone_though_the_seeds_changed() {
    for seed in 0..20 {
        let mut world = formed(seed);
        let leader = world.leader().expect("a leader");
        world.nodes.get_mut(&leader).expect("the leader").up = false;
        world.run(Duration::from_secs(1));
        // Its seeds name followers, and one that is gone.
        let seeds: Vec<u32> = [leader, (leader + 1) % 5].to_vec();
        world.start_empty(9, &seeds, false);
        world.run(Duration::from_secs(14));
        let voters = world.voters();
        assert!(voters.contains(&9) && !voters.contains(&leader), "seed {seed}: {voters:?}");
        assert_eq!(voters.len(), 5, "seed {seed}");
    }
}

#[test]
fn a_member_that_is_cut_off_stays_one() {
    let mut world = formed(1);
    world.cut = vec![1];
    world.run(Duration::from_secs(30));
    world.cut.clear();
    world.run(Duration::from_secs(5));
    assert_eq!(world.voters(), [0, 1, 2, 3, 4]);
}

#[test]
fn all_replicas_restarted_at_once_go_on_as_the_same_group() {
    for seed in 0..10 {
        let mut world = formed(seed);
        let before = world.formations();
        for node in 0..5 {
            world.restart(node, &SEEDS);
        }
        world.run(Duration::from_secs(5));
        assert_eq!((world.formations(), world.voters().len()), (before, 5), "seed {seed}");
    }
}
