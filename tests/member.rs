//! Tests of membership without I/O: many VMs in one process with a simulated network.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use pomelogate::{
    id,
    member::{Membership, MembershipReport, Settings, State},
    settings::Peer,
};
use prost::Message;

/// VMs that send each other their reports, and the bytes that each VM sent.
struct Network {
    memberships: BTreeMap<id::Vm, Membership>,
    peers: Vec<Peer>,
    bytes: BTreeMap<id::Vm, usize>,
    now: Instant,
}

fn peer(region: usize, number: usize) -> Peer {
    let address = |port| SocketAddr::from(([127, 0, region as u8, number as u8], port));
    Peer {
        vm: format!("region-{region:02}-{number:02}").as_str().into(),
        region: format!("region-{region:02}").as_str().into(),
        zone: format!("region-{region:02}-a").as_str().into(),
        callers: address(8080),
        links: address(9080),
    }
}

impl Network {
    fn new(sizes: &[usize]) -> Self {
        let now = Instant::now();
        let peers: Vec<Peer> = sizes
            .iter()
            .enumerate()
            .flat_map(|(region, size)| (0..*size).map(move |number| peer(region, number)))
            .collect();
        let mut network = Self { memberships: BTreeMap::new(), peers, bytes: BTreeMap::new(), now };
        for index in 0..network.peers.len() {
            network.start(index, 1);
        }
        network
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let this = self.peers[index].clone();
        let seeds = self.peers.iter().cloned();
        let settings = Settings::default();
        let membership =
            Membership::new(settings, this.clone(), incarnation, seeds, index as u64, self.now);
        self.memberships.insert(this.vm, membership);
    }

    fn run(&mut self, seconds: u64, delivers: impl Fn(&id::Vm, &id::Vm) -> bool) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            let mut sends: Vec<(id::Vm, id::Vm, MembershipReport)> = Vec::new();
            for (from, membership) in &mut self.memberships {
                for (to, report) in membership.tick(0, self.now) {
                    *self.bytes.entry(from.clone()).or_default() += report.encoded_len();
                    sends.push((from.clone(), to.vm, report));
                }
            }
            for (from, to, report) in sends {
                if delivers(&from, &to)
                    && let Some(membership) = self.memberships.get_mut(&to)
                {
                    membership.merge(&report, self.now);
                }
            }
        }
    }

    fn state(&self, at: usize, of: usize) -> State {
        let membership = &self.memberships[&self.peers[at].vm];
        let of = &self.peers[of].vm;
        membership
            .members(self.now)
            .find(|(record, _)| record.peer.vm == *of)
            .expect("the VM should be known")
            .1
    }

    fn directory(&mut self, at: usize) -> Vec<id::Vm> {
        let membership = self.memberships.get_mut(&self.peers[at].vm).expect("the VM should run");
        membership.directory(&[], self.now).into_iter().map(|peer| peer.vm).collect()
    }
}

#[test]
fn two_vms_cut_off_from_each_other_stay_alive_while_others_reach_both() {
    let mut network = Network::new(&[5]);
    let (one, two) = (network.peers[0].vm.clone(), network.peers[1].vm.clone());
    for _ in 0..60 {
        network.run(1, |from, to| !(*from == one && *to == two));
        assert_eq!((network.state(0, 1), network.state(1, 0)), (State::Alive, State::Alive));
    }
}

#[test]
fn a_silent_vm_becomes_suspect_then_gone_and_is_alive_again_with_new_heartbeats() {
    let mut network = Network::new(&[4]);
    let silent = network.peers[3].vm.clone();
    let delivers = |from: &id::Vm, _: &id::Vm| *from != silent;
    network.run(5, |_, _| true);
    network.run(8, delivers);
    assert_eq!(network.state(0, 3), State::Suspect);
    assert!(!network.directory(0).contains(&silent));
    network.run(20, delivers);
    assert_eq!(network.state(0, 3), State::Gone);
    network.run(20, |_, _| true);
    assert_eq!(network.state(0, 3), State::Alive);
}

#[test]
fn a_report_of_an_earlier_process_does_not_replace_a_later_one() {
    let mut network = Network::new(&[3]);
    network.run(30, |_, _| true);
    let stale = network.memberships[&network.peers[2].vm].report(network.now);
    network.start(2, 2);
    network.run(3, |_, _| true);
    let vm = network.peers[2].vm.clone();
    let known = |network: &Network| {
        let (record, _) = network.memberships[&network.peers[0].vm]
            .members(network.now)
            .find(|(record, _)| record.peer.vm == vm)
            .expect("the VM should be known");
        (record.incarnation, record.heartbeat_count)
    };
    let before = known(&network);
    assert_eq!(before.0, 2);
    let (now, first) = (network.now, network.peers[0].vm.clone());
    network.memberships.get_mut(&first).expect("the VM should run").merge(&stale, now);
    assert_eq!(known(&network), before, "a late report of the earlier process changes nothing");
}

#[test]
fn a_leaving_vm_is_in_no_directory_anywhere() {
    let mut network = Network::new(&[3, 3]);
    network.run(10, |_, _| true);
    let vm = network.peers[1].vm.clone();
    network.memberships.get_mut(&vm).expect("the VM should run").mark_leaving();
    network.run(15, |_, _| true);
    for at in 0..6 {
        assert!(!network.directory(at).contains(&vm), "at {at}");
    }
    assert_eq!(network.directory(3).len(), 5);
}

#[test]
fn a_paused_process_suspects_no_vm_because_of_its_pause() {
    let mut network = Network::new(&[3]);
    network.run(5, |_, _| true);
    network.now += Duration::from_secs(120);
    network.run(1, |_, _| false);
    assert_eq!(network.state(0, 1), State::Alive);
}

#[test]
fn the_directory_spreads_callers_and_avoids_busy_vms() {
    const DRAWS: usize = 1000;
    let mut network = Network::new(&[4]);
    network.run(3, |_, _| true);
    let busy = network.peers[3].vm.clone();
    let now = network.now;
    let membership = network.memberships.get_mut(&busy).expect("the VM should run");
    membership.tick(9, now);
    let report = membership.report(now);
    let first = network.peers[0].vm.clone();
    network.memberships.get_mut(&first).expect("the VM should run").merge(&report, now);
    let mut counts: BTreeMap<id::Vm, usize> = BTreeMap::new();
    for _ in 0..DRAWS {
        *counts.entry(network.directory(0).swap_remove(0)).or_default() += 1;
    }
    for peer in &network.peers[..3] {
        let count = counts[&peer.vm];
        assert!((DRAWS / 4..DRAWS * 2 / 5).contains(&count), "{}: {count}", peer.vm);
    }
    assert!(counts.get(&busy).copied().unwrap_or_default() < DRAWS / 10);
}

#[test]
fn a_broadcast_reaches_every_vm_once() {
    let network = Network::new(&[13]);
    for root in [0, 5, 12] {
        let root = network.peers[root].vm.clone();
        let mut reached = vec![root.clone()];
        for index in 0..network.peers.len() {
            let at = reached[index].clone();
            let children = network.memberships[&at].broadcast_children(&root, network.now);
            assert!(children.len() <= 2);
            reached.extend(children.into_iter().map(|peer| peer.vm));
        }
        reached.sort();
        assert_eq!(reached, network.peers.iter().map(|peer| peer.vm.clone()).collect::<Vec<_>>());
    }
}

/// The bytes per second that the busiest VM sends without load.
fn max_bytes_per_sec(sizes: &[usize]) -> usize {
    const SECONDS: u64 = 30;
    let mut network = Network::new(sizes);
    network.run(10, |_, _| true);
    network.bytes.clear();
    network.run(SECONDS, |_, _| true);
    network.bytes.values().max().copied().unwrap_or_default() / SECONDS as usize
}

#[test]
fn the_bytes_sent_per_second_stay_in_budget() {
    const MAX_BYTES_PER_SEC: usize = 10_000;
    let cases: [(&str, Vec<usize>); 5] = [
        ("8 VMs, 3 regions", vec![3, 3, 2]),
        ("91 VMs, 7 regions", vec![13; 7]),
        ("182 VMs, 14 regions", vec![13; 14]),
        ("351 VMs, 27 regions", vec![13; 27]),
        ("350 VMs, 27 regions, one of 40", [vec![40], vec![12; 25], vec![10]].concat()),
    ];
    for (what, sizes) in cases {
        let bytes = max_bytes_per_sec(&sizes);
        #[expect(clippy::print_stdout, reason = "figures for docs/CAPACITY.md")]
        {
            println!("membership, {what}: {bytes} B/s sent by the busiest VM");
        }
        assert!(bytes < MAX_BYTES_PER_SEC, "{what}: {bytes} B/s");
    }
}

#[test]
fn a_silent_region_may_be_serving_but_a_vm_gone_from_a_live_region_may_not() {
    let mut network = Network::new(&[2, 2]);
    network.run(60, |_, _| true);
    let (here, there) = (network.peers[0].vm.clone(), network.peers[2].region.clone());
    let serving = |network: &Network| {
        let peers = network.memberships[&here].may_be_serving(network.now);
        peers.into_iter().filter(|peer| peer.region == there).count()
    };
    assert_eq!(serving(&network), 2);
    network.run(300, |from, to| from.as_str()[..9] == to.as_str()[..9]);
    let gone =
        network.memberships[&here].members(network.now).filter(|(_, state)| *state == State::Gone);
    assert_eq!(gone.count(), 2, "both VMs of the silent region are gone");
    assert_eq!(serving(&network), 2, "a region that is cut off may still serve its callers");
    let dead = network.peers[3].vm.clone();
    network.run(300, |from, to| *from != dead && *to != dead);
    assert_eq!(serving(&network), 1, "its own region is heard without it");
}

#[test]
fn a_leave_reported_between_two_heartbeats_is_applied() {
    let mut network = Network::new(&[2]);
    network.run(3, |_, _| true);
    let (vm, other) = (network.peers[0].vm.clone(), network.peers[1].vm.clone());
    let now = network.now;
    let leaving = network.memberships.get_mut(&vm).expect("the VM should run");
    leaving.mark_leaving();
    let report = leaving.report(now);
    let receiver = network.memberships.get_mut(&other).expect("the VM should run");
    receiver.merge(&report, now);
    let named: Vec<_> = receiver.directory(&[], now).into_iter().map(|peer| peer.vm).collect();
    assert_eq!(named, [other]);
}
