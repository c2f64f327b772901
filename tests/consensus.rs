//! Raft under seeded schedules of faults, and under single faults such as a lost disk.

mod support;

use std::time::{Duration, Instant};

use pomelogate::consensus::{
    AppendEntriesReply, Body, Entry, HardState, Member, Membership, MembershipChange, Message,
    Peer, Raft, Record, RequestVoteReply, Role, Settings, Snapshot, StartParameters,
};
use support::cluster::Cluster;

const SEEDS_IN_CI: u64 = 40;
const STEPS_PER_SEED: usize = 3000;

/// To run more seeds: `POMELOGATE_SEEDS=5000 cargo test --locked --test consensus seeded`.
fn seed_count() -> u64 {
    std::env::var("POMELOGATE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS_IN_CI)
}

#[test]
fn seeded_schedules_keep_every_invariant() {
    let mut accepted = 0;
    let mut changes = 0;
    for seed in 0..seed_count() {
        let mut cluster = Cluster::new(seed, 3 + (seed % 3) as usize, true);
        for _ in 0..STEPS_PER_SEED {
            cluster.disturb();
        }
        cluster.heal();
        let settled = cluster.settles();
        assert!(
            settled,
            "seed {seed}: the replicas do not agree once the faults ended\n{}",
            cluster.describe()
        );
        accepted += cluster.accepted.len();
        changes += cluster.changes;
    }
    assert!(
        accepted > 0 && changes > 0,
        "the schedules accepted no command or no membership change"
    );
}

/// Whether the loss of a disk makes the group replace a committed command by another one.
///
/// A quorum commits a command. Then one member of that quorum loses its disk, and together with
/// the member that never received the command it could form a quorum that commits another one.
fn lost_disk_replaces_committed_command(with_disk_ids: bool) -> bool {
    let mut cluster = Cluster::new(7, 3, with_disk_ids);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [wiped, other] = cluster.others(leader);
    cluster.cut(leader, other);
    cluster.cut(wiped, other);
    let first = cluster.propose(leader).expect("the leader proposes");
    cluster.run(200);
    assert!(cluster.accepted.contains_key(&first), "a quorum commits the first command");
    cluster.lose_disk(wiped);
    cluster.isolate(leader);
    cluster.mend(wiped, other);
    cluster.run(4000);
    let Some(new_leader) = cluster.leader_among(&[wiped, other]) else { return false };
    let second = cluster.propose(new_leader).expect("the new leader proposes");
    cluster.run(400);
    cluster.accepted.contains_key(&second) && !cluster.applied_by(other).contains(&first)
}

#[test]
fn a_lost_disk_replaces_a_committed_command_without_disk_ids_and_not_with_them() {
    assert!(
        lost_disk_replaces_committed_command(false),
        "without disk IDs the fault that they prevent does not occur"
    );
    assert!(!lost_disk_replaces_committed_command(true));
}

#[test]
fn a_replica_that_lost_its_disk_counts_for_the_quorum_once_readmitted_and_caught_up() {
    let mut cluster = Cluster::new(11, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [wiped, other] = cluster.others(leader);
    cluster.lose_disk(wiped);
    cluster.run(400);
    assert_eq!(cluster.role(wiped), Role::Outsider);
    cluster
        .change(leader, MembershipChange::Admit(Cluster::vm(wiped)))
        .expect("the change is accepted");
    cluster.run(2000);
    assert_eq!(cluster.voters(leader), 3, "the readmitted replica is a voter once it caught up");
    cluster.crash(other);
    let command = cluster.propose(leader).expect("the leader proposes");
    cluster.run(1000);
    assert!(
        cluster.accepted.contains_key(&command),
        "the readmitted replica counts for the quorum"
    );
}

#[test]
fn a_readmitted_replica_does_not_count_for_the_quorum_before_it_caught_up() {
    let mut cluster = Cluster::new(12, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [wiped, other] = cluster.others(leader);
    cluster.lose_disk(wiped);
    cluster.run(400);
    cluster
        .change(leader, MembershipChange::Admit(Cluster::vm(wiped)))
        .expect("the change is accepted");
    cluster.crash(other);
    let command = cluster.propose(leader).expect("the leader proposes");
    cluster.run(2000);
    assert!(!cluster.accepted.contains_key(&command), "a learner does not count for the quorum");
    cluster.restart(other);
    assert!(cluster.settles());
}

#[test]
fn a_leader_that_was_frozen_has_no_lease_and_confirms_no_read() {
    let mut cluster = Cluster::new(13, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    cluster.freeze(leader);
    cluster.run(4000);
    let others = cluster.others(leader);
    assert!(cluster.leader_among(&others).is_some(), "the others elect a leader");
    cluster.clear_inbox(leader);
    cluster.isolate(leader);
    cluster.thaw(leader);
    assert!(!cluster.holds_lease(leader), "its lease ended while it was frozen");
    assert!(!cluster.reads(leader), "no read is confirmed without a quorum");
}

/// A disk that answers nothing for seconds blocks the whole replica, which waits for its write.
#[test]
fn a_leader_whose_disk_stalls_is_deposed_and_the_others_go_on() {
    let mut cluster = Cluster::new(14, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let others = cluster.others(leader);
    cluster.stall_disk(leader);
    cluster.propose(leader).expect("it leads");
    cluster.run(400);
    let next = cluster.leader_among(&others).expect("the others elect a leader within 4 s");
    let accepted = cluster.propose(next).expect("it leads");
    cluster.run(200);
    assert!(cluster.accepted.contains_key(&accepted), "two replicas of three are enough");
    assert!(!cluster.holds_lease(leader), "its lease ended while it waited");
    cluster.resume_disk(leader);
    assert!(cluster.settles(), "{}", cluster.describe());
    assert_eq!(cluster.applied_by(leader), cluster.applied_by(next));
}

#[test]
fn a_follower_whose_disk_stalls_delays_no_change() {
    let mut cluster = Cluster::new(17, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [stalled, _] = cluster.others(leader);
    cluster.stall_disk(stalled);
    for _ in 0..20 {
        let command = cluster.propose(leader).expect("it leads");
        cluster.run(20);
        assert!(cluster.accepted.contains_key(&command), "within 200 ms");
    }
    assert_eq!(cluster.role(leader), Role::Leader);
    cluster.resume_disk(stalled);
    assert!(cluster.settles(), "{}", cluster.describe());
}

#[test]
fn an_isolated_leader_confirms_no_read_even_before_it_steps_down() {
    let mut cluster = Cluster::new(15, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.reads(leader), "the leader of a connected group confirms reads");
    cluster.isolate(leader);
    assert_eq!(cluster.role(leader), Role::Leader, "it has not stepped down yet");
    assert!(!cluster.reads(leader));
}

#[test]
fn a_replica_that_hears_no_leader_does_not_depose_one_that_others_hear() {
    let mut cluster = Cluster::new(16, 3, true);
    assert!(cluster.settles());
    let leader = cluster.leader().expect("a leader");
    let [cut_off, other] = cluster.others(leader);
    cluster.cut(leader, cut_off);
    for _ in 0..4000 {
        cluster.run(1);
        assert_eq!(cluster.role(leader), Role::Leader, "replica {other} still hears it");
    }
}

#[test]
fn a_leader_that_receives_no_messages_steps_down() {
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

/// An entry of an older term may still be replaced although a quorum stores it, until an entry of
/// the leader's own term after it is committed.
#[test]
fn an_entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    let start = Instant::now();
    let after_election_timeout = start + Duration::from_secs(60);
    let mut raft = Raft::new(start_with_uncommitted_entry(), start);
    let reply = |raft: &mut Raft, term, body| {
        let message =
            Message { group_id: 9, from_disk_id: 2, to_disk_id: 1, term, body: Some(body) };
        raft.receive(after_election_timeout, &"vm-1".into(), message);
        raft.take_output();
        raft.mark_synced(after_election_timeout);
    };
    raft.tick(after_election_timeout);
    raft.take_output();
    reply(&mut raft, 4, Body::RequestVoteReply(RequestVoteReply { pre_vote: true, granted: true }));
    reply(
        &mut raft,
        4,
        Body::RequestVoteReply(RequestVoteReply { pre_vote: false, granted: true }),
    );
    assert_eq!(raft.status().role, Role::Leader);
    let acknowledged = |match_index| {
        Body::AppendEntriesReply(AppendEntriesReply {
            success: true,
            match_index,
            heartbeat_round: 0,
        })
    };
    reply(&mut raft, 4, acknowledged(2));
    assert_eq!(raft.status().commit_index, 1, "the entry of term 2 may still be replaced");
    reply(&mut raft, 4, acknowledged(3));
    assert_eq!(raft.status().commit_index, 3);
}

/// The parameters of a replica in term 3 with an uncommitted entry of term 2.
fn start_with_uncommitted_entry() -> StartParameters {
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
