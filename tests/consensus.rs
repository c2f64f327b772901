//! The agreement core under seeded schedules, and what a lost disk does without its rule.

mod support;

use std::collections::BTreeMap;

use pomelogate::consensus::{Change, Role};
use support::cluster::Cluster;

const SEEDS_IN_CI: u64 = 40;
const STEPS: usize = 3000;

/// `POMELOGATE_SEEDS=5000 cargo test --locked --test consensus seeded` runs more.
fn seeds() -> u64 {
    std::env::var("POMELOGATE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS_IN_CI)
}

#[test]
fn seeded_schedules_keep_every_invariant() {
    let mut accepted = 0;
    let mut changes = 0;
    for seed in 0..seeds() {
        let mut cluster = Cluster::new(seed, 3 + (seed % 3) as usize, true);
        for _ in 0..STEPS {
            cluster.disturb();
        }
        cluster.heal();
        let settled = cluster.settles();
        assert!(settled, "seed {seed}: no agreement afterwards\n{}", cluster.describe());
        accepted += cluster.accepted.len();
        changes += cluster.changes;
    }
    assert!(accepted > 0 && changes > 0, "the schedules did nothing");
}

/// A quorum accepts one command; then a member of it loses its disk, and with the member that
/// never saw the command it forms a quorum that accepts another in its place.
fn lost_disk_accepts_twice(identities: bool) -> bool {
    let mut cluster = Cluster::new(7, 3, identities);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [loser, other] = cluster.others(leader);
    cluster.cut(leader, other);
    cluster.cut(loser, other);
    let first = cluster.propose(leader).expect("the leader proposes");
    cluster.run(200);
    assert!(cluster.accepted.contains_key(&first), "a quorum accepted the first command");
    cluster.lose_disk(loser);
    cluster.isolate(leader);
    cluster.mend(loser, other);
    cluster.run(4000);
    let Some(second) = cluster.leader_among(&[loser, other]) else { return false };
    let second = cluster.propose(second).expect("the new leader proposes");
    cluster.run(400);
    let taken: BTreeMap<_, _> = cluster.accepted.clone();
    taken.contains_key(&second) && !cluster.applied_by(other).contains(&first)
}

#[test]
fn a_lost_disk_accepts_twice_without_identities_and_not_with_them() {
    assert!(lost_disk_accepts_twice(false), "the fault that the rule is for does not occur");
    assert!(!lost_disk_accepts_twice(true));
}

#[test]
fn a_lost_disk_counts_again_once_readmitted_and_caught_up() {
    let mut cluster = Cluster::new(11, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [loser, other] = cluster.others(leader);
    cluster.lose_disk(loser);
    cluster.run(400);
    assert_eq!(cluster.role(loser), Role::Outsider);
    cluster.change(leader, Change::Admit(Cluster::vm(loser))).expect("the change is taken");
    cluster.run(2000);
    assert_eq!(cluster.voters(leader), 3, "promoted once caught up");
    cluster.crash(other);
    let command = cluster.propose(leader).expect("the leader proposes");
    cluster.run(1000);
    assert!(cluster.accepted.contains_key(&command), "the repaired replica counts");
}

#[test]
fn a_second_failure_before_the_repaired_replica_caught_up_accepts_nothing() {
    let mut cluster = Cluster::new(12, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [loser, other] = cluster.others(leader);
    cluster.lose_disk(loser);
    cluster.run(400);
    cluster.change(leader, Change::Admit(Cluster::vm(loser))).expect("the change is taken");
    cluster.crash(other);
    let command = cluster.propose(leader).expect("the leader proposes");
    cluster.run(2000);
    assert!(!cluster.accepted.contains_key(&command), "a learner does not count");
    cluster.restart(other);
    assert!(cluster.settles());
}

#[test]
fn a_frozen_leader_confirms_nothing() {
    let mut cluster = Cluster::new(13, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    cluster.freeze(leader);
    cluster.run(4000);
    let others = cluster.others(leader);
    assert!(cluster.leader_among(&others).is_some(), "the others elect one");
    cluster.clear_inbox(leader);
    cluster.isolate(leader);
    cluster.thaw(leader);
    assert!(!cluster.holds_lease(leader), "its lease ended while it was frozen");
    assert!(!cluster.reads(leader), "no read point without a quorum");
}

#[test]
fn a_leader_cut_one_way_steps_down() {
    let mut cluster = Cluster::new(14, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let others = cluster.others(leader);
    cluster.cut_one_way(others[0], leader);
    cluster.cut_one_way(others[1], leader);
    let command = cluster.propose(leader).expect("the leader proposes");
    cluster.run(4000);
    assert_ne!(cluster.role(leader), Role::Leader, "it hears no quorum");
    assert!(!cluster.holds_lease(leader));
    cluster.heal();
    assert!(cluster.settles());
    let _ = command;
}
