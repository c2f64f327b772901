//! The agreement core under seeded schedules, and what a lost disk does without its rule.

mod support;

use std::time::{Duration, Instant};

use pomelogate::consensus::{
    AppendEntriesReply, Body, Entry, HardState, Member, Membership, MembershipChange, Message,
    Peer, Raft, Record, RequestVoteReply, Role, Settings, Snapshot, StartParameters,
};
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
    cluster.accepted.contains_key(&second) && !cluster.applied_by(other).contains(&first)
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
    cluster
        .change(leader, MembershipChange::Admit(Cluster::vm(loser)))
        .expect("the change is taken");
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
    cluster
        .change(leader, MembershipChange::Admit(Cluster::vm(loser)))
        .expect("the change is taken");
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
fn a_leader_cut_off_confirms_no_read_even_before_it_steps_down() {
    let mut cluster = Cluster::new(15, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.reads(leader), "a whole group confirms reads");
    cluster.isolate(leader);
    assert_eq!(cluster.role(leader), Role::Leader, "it still believes");
    assert!(!cluster.reads(leader));
}

#[test]
fn a_replica_that_hears_no_leader_takes_no_lease_from_one_that_others_hear() {
    let mut cluster = Cluster::new(16, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [deaf, other] = cluster.others(leader);
    cluster.cut(leader, deaf);
    for _ in 0..4000 {
        cluster.run(1);
        assert_eq!(cluster.role(leader), Role::Leader, "{other} still hears it");
    }
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

/// The entry of an older term may still be replaced, though a quorum holds it, until an entry of
/// the leader's own term is committed above it.
#[test]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut core = Raft::new(survivor(), start);
    let reply = |core: &mut Raft, term, body| {
        let message =
            Message { group_id: 9, from_disk_id: 2, to_disk_id: 1, term, body: Some(body) };
        core.receive(later, &"vm-1".into(), message);
        core.take_output();
        core.mark_synced(later);
    };
    core.tick(later);
    core.take_output();
    reply(&mut core, 4, Body::RequestVoteReply(RequestVoteReply { pre_vote: true, granted: true }));
    reply(
        &mut core,
        4,
        Body::RequestVoteReply(RequestVoteReply { pre_vote: false, granted: true }),
    );
    assert_eq!(core.status().role, Role::Leader);
    let held = |match_index| {
        Body::AppendEntriesReply(AppendEntriesReply { success: true, match_index, round: 0 })
    };
    reply(&mut core, 4, held(2));
    assert_eq!(core.status().commit_index, 1, "the entry of term 2 may yet be replaced");
    reply(&mut core, 4, held(3));
    assert_eq!(core.status().commit_index, 3);
}

/// A replica in term 3 that holds an entry of term 2 which was never committed.
fn survivor() -> StartParameters {
    let member = |n: u64| Member { vm: format!("vm-{}", n - 1), disk_id: n, voter: true };
    let membership = Membership { members: (1..=3).map(member).collect() };
    let snapshot = Snapshot { index: 1, term: 1, membership, ..Snapshot::default() };
    let entry = Entry { index: 2, term: 2, ..Entry::default() };
    let hard = HardState { term: 3, group_id: 9, ..HardState::default() };
    StartParameters {
        settings: Settings::default(),
        me: Peer { vm: "vm-0".into(), disk_id: 1 },
        initial_voters: (0..3).map(Cluster::vm).collect(),
        durable_state: Record {
            hard_state: Some(hard),
            snapshot: Some(snapshot),
            entries: vec![entry],
        },
        seed: 1,
    }
}
