//! A group of replicas forms from a few seeds and replaces lost members without an operator.

#[path = "support/replica_group.rs"]
mod replica_group;

use std::time::Duration;

use replica_group::{Cluster, SEEDS};

#[test]
fn replicas_that_know_three_seeds_all_join_one_group_before_it_is_established() {
    for seed in 0..30 {
        let cluster = Cluster::form(5, seed);
        assert_eq!(cluster.voters(), [0, 1, 2, 3, 4], "seed {seed}");
        assert_eq!(cluster.established_voters, 5, "seed {seed}");
        assert_eq!(cluster.group_ids().len(), 1, "seed {seed}");
    }
}

#[test]
fn replicas_that_lost_their_disks_are_admitted_again() {
    for seed in 0..20 {
        let mut cluster = Cluster::form(5, seed);
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
        let mut cluster = Cluster::form(5, seed);
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
    let mut cluster = Cluster::form(5, 1);
    cluster.cut_off = vec![1];
    cluster.run(Duration::from_secs(30));
    cluster.cut_off.clear();
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.voters(), [0, 1, 2, 3, 4]);
}

#[test]
fn replicas_that_all_restart_at_once_remain_the_same_group() {
    for seed in 0..10 {
        let mut cluster = Cluster::form(5, seed);
        let before = cluster.group_ids();
        for node in 0..5 {
            cluster.restart(node, &SEEDS);
        }
        cluster.run(Duration::from_secs(5));
        assert_eq!((cluster.group_ids(), cluster.voters().len()), (before, 5), "seed {seed}");
    }
}
