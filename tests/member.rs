//! Membership without I/O: many VMs in one process, with a network that drops what it is told to.

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

/// VMs that send each other their digests, and the bytes sent by each.
struct Net {
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

impl Net {
    fn new(sizes: &[usize]) -> Self {
        let now = Instant::now();
        let peers: Vec<Peer> = sizes
            .iter()
            .enumerate()
            .flat_map(|(region, size)| (0..*size).map(move |number| peer(region, number)))
            .collect();
        let mut net = Self { memberships: BTreeMap::new(), peers, bytes: BTreeMap::new(), now };
        for place in 0..net.peers.len() {
            net.start(place, 1);
        }
        net
    }

    fn start(&mut self, place: usize, incarnation: u64) {
        let this = self.peers[place].clone();
        let seeds = self.peers.iter().cloned();
        let settings = Settings::default();
        let membership =
            Membership::new(settings, this.clone(), incarnation, seeds, place as u64, self.now);
        self.memberships.insert(this.vm, membership);
    }

    fn run(&mut self, seconds: u64, carries: impl Fn(&id::Vm, &id::Vm) -> bool) {
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
                if carries(&from, &to)
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
        membership.members(self.now).find(|(entry, _)| entry.peer.vm == *of).expect("known").1
    }

    fn directory(&mut self, at: usize) -> Vec<id::Vm> {
        let membership = self.memberships.get_mut(&self.peers[at].vm).expect("it runs");
        membership.directory(&[], self.now).into_iter().map(|peer| peer.vm).collect()
    }
}

#[test]
fn a_cut_between_two_does_not_make_either_suspect_while_others_reach_both() {
    let mut net = Net::new(&[5]);
    let (one, two) = (net.peers[0].vm.clone(), net.peers[1].vm.clone());
    for _ in 0..60 {
        net.run(1, |from, to| !(*from == one && *to == two));
        assert_eq!((net.state(0, 1), net.state(1, 0)), (State::Alive, State::Alive));
    }
}

#[test]
fn a_silent_vm_is_suspect_before_it_is_gone_and_is_alive_again_when_heard() {
    let mut net = Net::new(&[4]);
    let silent = net.peers[3].vm.clone();
    let carries = |from: &id::Vm, _: &id::Vm| *from != silent;
    net.run(5, |_, _| true);
    net.run(8, carries);
    assert_eq!(net.state(0, 3), State::Suspect);
    assert!(!net.directory(0).contains(&silent));
    net.run(20, carries);
    assert_eq!(net.state(0, 3), State::Gone);
    net.run(20, |_, _| true);
    assert_eq!(net.state(0, 3), State::Alive);
}

#[test]
fn a_restarted_process_supersedes_its_former_self() {
    let mut net = Net::new(&[3]);
    net.run(30, |_, _| true);
    let stale = net.memberships[&net.peers[2].vm].report(net.now);
    net.start(2, 2);
    net.run(3, |_, _| true);
    let vm = net.peers[2].vm.clone();
    let known = |net: &Net| {
        let (entry, _) = net.memberships[&net.peers[0].vm]
            .members(net.now)
            .find(|(entry, _)| entry.peer.vm == vm)
            .expect("known");
        (entry.incarnation, entry.beat)
    };
    let before = known(&net);
    assert_eq!(before.0, 2);
    let (now, first) = (net.now, net.peers[0].vm.clone());
    net.memberships.get_mut(&first).expect("it runs").merge(&stale, now);
    assert_eq!(known(&net), before, "a late report of the former process changes nothing");
}

#[test]
fn a_leaving_vm_is_in_no_directory_anywhere() {
    let mut net = Net::new(&[3, 3]);
    net.run(10, |_, _| true);
    let vm = net.peers[1].vm.clone();
    net.memberships.get_mut(&vm).expect("it runs").mark_leaving();
    net.run(15, |_, _| true);
    for at in 0..6 {
        assert!(!net.directory(at).contains(&vm), "at {at}");
    }
    assert_eq!(net.directory(3).len(), 5);
}

#[test]
fn a_process_that_stood_still_suspects_nobody_for_it() {
    let mut net = Net::new(&[3]);
    net.run(5, |_, _| true);
    net.now += Duration::from_secs(120);
    net.run(1, |_, _| false);
    assert_eq!(net.state(0, 1), State::Alive);
}

#[test]
fn the_directory_spreads_callers_and_spares_the_busy() {
    const DRAWS: usize = 1000;
    let mut net = Net::new(&[4]);
    net.run(3, |_, _| true);
    let busy = net.peers[3].vm.clone();
    let now = net.now;
    let membership = net.memberships.get_mut(&busy).expect("it runs");
    membership.tick(9, now);
    let told = membership.report(now);
    let first = net.peers[0].vm.clone();
    net.memberships.get_mut(&first).expect("it runs").merge(&told, now);
    let mut counts: BTreeMap<id::Vm, usize> = BTreeMap::new();
    for _ in 0..DRAWS {
        *counts.entry(net.directory(0).swap_remove(0)).or_default() += 1;
    }
    for peer in &net.peers[..3] {
        let count = counts[&peer.vm];
        assert!((DRAWS / 4..DRAWS * 2 / 5).contains(&count), "{}: {count}", peer.vm);
    }
    assert!(counts.get(&busy).copied().unwrap_or_default() < DRAWS / 10);
}

#[test]
fn what_passes_through_the_tree_reaches_every_vm_once() {
    let net = Net::new(&[13]);
    for root in [0, 5, 12] {
        let root = net.peers[root].vm.clone();
        let mut reached = vec![root.clone()];
        for place in 0..net.peers.len() {
            let at = reached[place].clone();
            let children = net.memberships[&at].broadcast_children(&root, net.now);
            assert!(children.len() <= 2);
            reached.extend(children.into_iter().map(|peer| peer.vm));
        }
        reached.sort();
        assert_eq!(reached, net.peers.iter().map(|peer| peer.vm.clone()).collect::<Vec<_>>());
    }
}

/// Bytes a second that the busiest VM of each deployment sends at rest.
fn busiest(sizes: &[usize]) -> usize {
    const SECONDS: u64 = 30;
    let mut net = Net::new(sizes);
    net.run(10, |_, _| true);
    net.bytes.clear();
    net.run(SECONDS, |_, _| true);
    net.bytes.values().max().copied().unwrap_or_default() / SECONDS as usize
}

#[test]
fn the_cost_grows_with_the_region_and_stays_in_budget() {
    const BUDGET: usize = 10_000;
    let cases: [(&str, Vec<usize>); 5] = [
        ("8 VMs, 3 regions", vec![3, 3, 2]),
        ("91 VMs, 7 regions", vec![13; 7]),
        ("182 VMs, 14 regions", vec![13; 14]),
        ("351 VMs, 27 regions", vec![13; 27]),
        ("350 VMs, 27 regions, one of 40", [vec![40], vec![12; 25], vec![10]].concat()),
    ];
    for (what, sizes) in cases {
        let bytes = busiest(&sizes);
        #[expect(clippy::print_stdout, reason = "figures for docs/CAPACITY.md")]
        {
            println!("membership, {what}: {bytes} B/s sent by the busiest VM");
        }
        assert!(bytes < BUDGET, "{what}: {bytes} B/s");
    }
}

#[test]
fn a_silent_region_counts_as_serving_and_a_vm_that_its_region_gave_up_does_not() {
    let mut net = Net::new(&[2, 2]);
    net.run(60, |_, _| true);
    let (here, there) = (net.peers[0].vm.clone(), net.peers[2].region.clone());
    let serving = |net: &Net| {
        let peers = net.memberships[&here].may_be_serving(net.now);
        peers.into_iter().filter(|peer| peer.region == there).count()
    };
    assert_eq!(serving(&net), 2);
    net.run(300, |from, to| from.as_str()[..9] == to.as_str()[..9]);
    let gone = net.memberships[&here].members(net.now).filter(|(_, state)| *state == State::Gone);
    assert_eq!(gone.count(), 2, "they are gone as far as callers are concerned");
    assert_eq!(serving(&net), 2, "a region that is cut off may serve its callers");
    let dead = net.peers[3].vm.clone();
    net.run(300, |from, to| *from != dead && *to != dead);
    assert_eq!(serving(&net), 1, "its own region goes on without it");
}

#[test]
fn a_leave_told_between_two_heartbeats_is_taken() {
    let mut net = Net::new(&[2]);
    net.run(3, |_, _| true);
    let (vm, other) = (net.peers[0].vm.clone(), net.peers[1].vm.clone());
    let now = net.now;
    let leaver = net.memberships.get_mut(&vm).expect("it runs");
    leaver.mark_leaving();
    let report = leaver.report(now);
    let hearer = net.memberships.get_mut(&other).expect("it runs");
    hearer.merge(&report, now);
    let named: Vec<_> = hearer.directory(&[], now).into_iter().map(|peer| peer.vm).collect();
    assert_eq!(named, [other]);
}
