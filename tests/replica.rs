//! Groups over real folders and in-process links.

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

/// Keeps every command.
#[derive(Default)]
struct Journal(Vec<u8>);

impl StateMachine for Journal {
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

type Slots = Arc<Mutex<Vec<Option<Arc<Group<Journal>>>>>>;

struct Site {
    folder: TempDir,
    slots: Slots,
    voters: Vec<id::Vm>,
}

impl Site {
    async fn start(size: usize) -> Self {
        let voters = (0..size).map(|n| id::Vm::from(format!("vm-{n}"))).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let site = Self { folder, slots: Slots::default(), voters };
        site.slots.lock().await.resize(size, None);
        for vm in 0..size {
            site.run(vm).await;
        }
        site
    }

    async fn run(&self, vm: usize) {
        let (outgoing, sent) = channel::unbounded::<Outgoing>();
        let settings = Settings {
            vm: self.voters[vm].clone(),
            initial_voters: self.voters.clone(),
            folder: self.folder.path().join(format!("vm-{vm}")),
            snapshot_every_entries: 16,
            ..Settings::default()
        };
        let logger = Logger::root(Discard, o!());
        let group =
            Group::start(settings, Arc::new(clock::System), logger, Journal::default(), outgoing)
                .await
                .expect("the replica starts");
        self.slots.lock().await[vm] = Some(group);
        let (slots, voters) = (self.slots.clone(), self.voters.clone());
        smol::spawn(async move {
            while let Ok(Outgoing { to, payload }) = sent.recv().await {
                let place = voters.iter().position(|vm| *vm == to).expect("a VM");
                let group = slots.lock().await[place].clone();
                if let Some(group) = group {
                    group.receive(&voters[vm], payload);
                }
            }
        })
        .detach();
    }

    async fn group(&self, vm: usize) -> Arc<Group<Journal>> {
        self.slots.lock().await[vm].clone().expect("it runs")
    }

    /// Stops a replica and waits until its folder is free.
    async fn stop(&self, vm: usize) {
        self.slots.lock().await[vm] = None;
        let folder = self.folder.path().join(format!("vm-{vm}"));
        eventually("the folder is free", async || pomelogate::disk::Log::open(&folder, 1).is_ok())
            .await;
    }

    async fn leader(&self) -> usize {
        let mut found = None;
        eventually("a leader", async || {
            for (vm, group) in self.slots.lock().await.iter().enumerate() {
                if group.as_ref().is_some_and(|group| group.leader_lease().is_some()) {
                    found = Some(vm);
                }
            }
            found.is_some()
        })
        .await;
        found.expect("a leader")
    }

    /// Proposes at whichever replica leads, until one takes it.
    async fn propose(&self, command: u8) {
        eventually("the command is accepted", async || {
            let leader = self.leader().await;
            let group = self.group(leader).await;
            group.propose(Bytes::from(vec![command]), PATIENCE).await.is_ok()
        })
        .await;
    }
}

#[test]
fn a_follower_refuses_names_the_leader_and_reads_what_was_acknowledged() {
    smol::block_on(async {
        let site = Site::start(3).await;
        site.propose(1).await;
        let leader = site.leader().await;
        let follower = site.group((leader + 1) % 3).await;
        eventually("the follower reads", async || follower.read_barrier(PATIENCE).await.is_ok())
            .await;
        assert!(follower.read(|journal| journal.0.contains(&1)));
        eventually("a follower names the leader", async || {
            let follower = site.group((site.leader().await + 1) % 3).await;
            let refused = follower.propose(Bytes::from_static(b"2"), PATIENCE).await;
            matches!(refused, Err(RequestError::NotLeader(Some(_))))
        })
        .await;
    });
}

#[test]
fn without_a_quorum_the_outcome_is_unknown_and_no_read_is_confirmed() {
    smol::block_on(async {
        let site = Site::start(3).await;
        site.propose(1).await;
        let leader = site.leader().await;
        site.stop((leader + 1) % 3).await;
        site.stop((leader + 2) % 3).await;
        let group = site.group(leader).await;
        let limit = Duration::from_millis(300);
        let proposed = group.propose(Bytes::from_static(b"2"), limit).await;
        assert!(
            matches!(proposed, Err(RequestError::OutcomeUnknown | RequestError::NotLeader(_))),
            "{proposed:?}"
        );
        assert!(group.read_barrier(limit).await.is_err());
        eventually("the lease ends", async || group.leader_lease().is_none()).await;
        assert!(!group.read(|journal| journal.0.contains(&b'2')), "nothing is applied");
    });
}

#[test]
fn changes_survive_the_restart_of_every_replica() {
    smol::block_on(async {
        let site = Site::start(3).await;
        for command in 1..60 {
            site.propose(command).await;
        }
        for vm in 0..3 {
            site.stop(vm).await;
        }
        for vm in 0..3 {
            site.run(vm).await;
        }
        let leader = site.group(site.leader().await).await;
        eventually("the leader reads", async || leader.read_barrier(PATIENCE).await.is_ok()).await;
        let journal = leader.read(|journal| journal.0.clone());
        assert!((1..60).all(|command| journal.contains(&command)), "{journal:?}");
    });
}

#[test]
fn a_replica_that_lost_its_folder_waits_until_it_is_admitted() {
    smol::block_on(async {
        let site = Site::start(3).await;
        for command in 1..40 {
            site.propose(command).await;
        }
        let leader = site.leader().await;
        let loser = (leader + 1) % 3;
        site.stop(loser).await;
        let folder = site.folder.path().join(format!("vm-{loser}"));
        std::fs::remove_dir_all(folder).expect("the disk is lost");
        site.run(loser).await;
        let lost = site.group(loser).await;
        eventually("the leader hears of it", async || {
            let leader = site.group(site.leader().await).await;
            leader.status().consensus.announced.iter().any(|peer| peer.vm == site.voters[loser])
        })
        .await;
        assert_eq!(lost.status().consensus.last_index, 0, "it accepts nothing");
        eventually("it is admitted", async || {
            let leader = site.group(site.leader().await).await;
            let _ = leader.admit(site.voters[loser].clone(), PATIENCE).await;
            lost.status().consensus.membership.voters().count() == 3
        })
        .await;
        eventually("it has every command", async || {
            lost.read(|journal| (1..40).all(|command| journal.0.contains(&command)))
        })
        .await;
    });
}

#[test]
fn a_replica_whose_folder_failed_stops_and_takes_nothing_more() {
    smol::block_on(async {
        let site = Site::start(1).await;
        site.propose(1).await;
        let group = site.group(0).await;
        std::fs::remove_dir_all(site.folder.path().join("vm-0")).expect("the folder vanishes");
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
