//! Replicated groups with real folders and in-process links.

mod support;

use std::{sync::Arc, time::Duration};

use pomelogate::{
    clock, id,
    replica::{Group, Outgoing, RequestError, Settings, StateMachine},
};
use prost::bytes::Bytes;
use slog::{Discard, Logger, o};
use smol::{channel, lock::Mutex};
use support::fleet::{PATIENCE, eventually};
use tempfile::TempDir;

/// A state machine that stores every command.
#[derive(Default)]
struct CommandList(Vec<u8>);

impl StateMachine for CommandList {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        self.0.extend_from_slice(command);
        Bytes::copy_from_slice(command)
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

type Groups = Arc<Mutex<Vec<Option<Arc<Group<CommandList>>>>>>;

struct Cluster {
    folder: TempDir,
    groups: Groups,
    voters: Vec<id::Vm>,
}

impl Cluster {
    async fn start(size: usize) -> Self {
        let voters = (0..size).map(|n| id::Vm::from(format!("vm-{n}"))).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let cluster = Self { folder, groups: Groups::default(), voters };
        cluster.groups.lock().await.resize(size, None);
        for vm in 0..size {
            cluster.start_replica(vm).await;
        }
        cluster
    }

    async fn start_replica(&self, vm: usize) {
        let (outgoing, sent) = channel::unbounded::<Outgoing>();
        let settings = Settings {
            vm: self.voters[vm].clone(),
            initial_voters: self.voters.clone(),
            folder: self.folder.path().join(format!("vm-{vm}")),
            snapshot_every_entries: 16,
            ..Settings::default()
        };
        let logger = Logger::root(Discard, o!());
        let group = Group::start(
            settings,
            Arc::new(clock::System),
            logger,
            CommandList::default(),
            outgoing,
        )
        .await
        .expect("the replica starts");
        self.groups.lock().await[vm] = Some(group);
        let (groups, voters) = (self.groups.clone(), self.voters.clone());
        smol::spawn(async move {
            while let Ok(Outgoing { to, payload }) = sent.recv().await {
                let recipient = voters.iter().position(|vm| *vm == to).expect("a VM");
                let group = groups.lock().await[recipient].clone();
                if let Some(group) = group {
                    group.receive(&voters[vm], payload);
                }
            }
        })
        .detach();
    }

    async fn group(&self, vm: usize) -> Arc<Group<CommandList>> {
        self.groups.lock().await[vm].clone().expect("a running replica")
    }

    /// Stops a replica and waits until its folder is unlocked.
    async fn stop_replica(&self, vm: usize) {
        self.groups.lock().await[vm] = None;
        let folder = self.folder.path().join(format!("vm-{vm}"));
        eventually("the folder is unlocked", async || {
            pomelogate::disk::Log::open(&folder, 1).is_ok()
        })
        .await;
    }

    async fn leader(&self) -> usize {
        let mut found = None;
        eventually("a leader", async || {
            for (vm, group) in self.groups.lock().await.iter().enumerate() {
                if group.as_ref().is_some_and(|group| group.leader_lease().is_some()) {
                    found = Some(vm);
                }
            }
            found.is_some()
        })
        .await;
        found.expect("a leader")
    }

    /// Proposes a command to the leader until it is committed.
    async fn propose(&self, command: u8) {
        eventually("the command is committed", async || {
            let leader = self.leader().await;
            let group = self.group(leader).await;
            group.propose(Bytes::from(vec![command]), PATIENCE).await.is_ok()
        })
        .await;
    }
}

#[test]
fn a_follower_reads_acknowledged_commands_and_rejects_proposals_naming_the_leader() {
    smol::block_on(async {
        let cluster = Cluster::start(3).await;
        cluster.propose(1).await;
        let leader = cluster.leader().await;
        let follower = cluster.group((leader + 1) % 3).await;
        eventually("the follower confirms a read", async || {
            follower.read_barrier(PATIENCE).await.is_ok()
        })
        .await;
        assert!(follower.read(|list| list.0.contains(&1)));
        eventually("a follower names the leader", async || {
            let follower = cluster.group((cluster.leader().await + 1) % 3).await;
            let refused = follower.propose(Bytes::from_static(b"2"), PATIENCE).await;
            matches!(refused, Err(RequestError::NotLeader(Some(_))))
        })
        .await;
    });
}

#[test]
fn without_a_quorum_no_command_is_applied_and_no_read_is_confirmed() {
    smol::block_on(async {
        let cluster = Cluster::start(3).await;
        cluster.propose(1).await;
        let leader = cluster.leader().await;
        cluster.stop_replica((leader + 1) % 3).await;
        cluster.stop_replica((leader + 2) % 3).await;
        let group = cluster.group(leader).await;
        let timeout = Duration::from_millis(300);
        let proposed = group.propose(Bytes::from_static(b"2"), timeout).await;
        assert!(
            matches!(proposed, Err(RequestError::OutcomeUnknown | RequestError::NotLeader(_))),
            "{proposed:?}"
        );
        assert!(group.read_barrier(timeout).await.is_err());
        eventually("the lease ends", async || group.leader_lease().is_none()).await;
        assert!(!group.read(|list| list.0.contains(&b'2')), "the command is not applied");
    });
}

#[test]
fn committed_commands_survive_the_restart_of_every_replica() {
    smol::block_on(async {
        let cluster = Cluster::start(3).await;
        for command in 1..60 {
            cluster.propose(command).await;
        }
        for vm in 0..3 {
            cluster.stop_replica(vm).await;
        }
        for vm in 0..3 {
            cluster.start_replica(vm).await;
        }
        let leader = cluster.group(cluster.leader().await).await;
        eventually("the leader confirms a read", async || {
            leader.read_barrier(PATIENCE).await.is_ok()
        })
        .await;
        let commands = leader.read(|list| list.0.clone());
        assert!((1..60).all(|command| commands.contains(&command)), "{commands:?}");
    });
}

#[test]
fn a_replica_that_lost_its_folder_accepts_nothing_until_it_is_admitted() {
    smol::block_on(async {
        let cluster = Cluster::start(3).await;
        for command in 1..40 {
            cluster.propose(command).await;
        }
        let leader = cluster.leader().await;
        let wiped = (leader + 1) % 3;
        cluster.stop_replica(wiped).await;
        let folder = cluster.folder.path().join(format!("vm-{wiped}"));
        std::fs::remove_dir_all(folder).expect("the disk is lost");
        cluster.start_replica(wiped).await;
        let wiped_group = cluster.group(wiped).await;
        eventually("the leader receives its announcement", async || {
            let leader = cluster.group(cluster.leader().await).await;
            leader.status().consensus.announced.iter().any(|peer| peer.vm == cluster.voters[wiped])
        })
        .await;
        assert_eq!(
            wiped_group.status().consensus.last_index,
            0,
            "the log of the empty replica stays empty"
        );
        eventually("it is admitted", async || {
            let leader = cluster.group(cluster.leader().await).await;
            let _ = leader.admit(cluster.voters[wiped].clone(), PATIENCE).await;
            wiped_group.status().consensus.membership.voters().count() == 3
        })
        .await;
        eventually("it has every command", async || {
            wiped_group.read(|commands| (1..40).all(|command| commands.0.contains(&command)))
        })
        .await;
    });
}

#[test]
fn a_replica_whose_folder_failed_stops_and_rejects_requests() {
    smol::block_on(async {
        let cluster = Cluster::start(1).await;
        cluster.propose(1).await;
        let group = cluster.group(0).await;
        std::fs::remove_dir_all(cluster.folder.path().join("vm-0")).expect("the folder vanishes");
        eventually("the next snapshot cannot be written", async || {
            let _ = group.propose(Bytes::from_static(b"2"), PATIENCE).await;
            group.is_stopped()
        })
        .await;
        let refused = group.propose(Bytes::from_static(b"3"), PATIENCE).await;
        assert_eq!(refused, Err(RequestError::Stopped));
        assert_eq!(group.leader_lease(), None);
        assert_eq!(group.read_barrier(PATIENCE).await, Err(RequestError::Stopped));
    });
}
