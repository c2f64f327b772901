//! Measures the agreement: commit latency, group commit and restart, in one bounded run.
#![allow(clippy::print_stdout, reason = "an example prints what it measured")]

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use pomelogate::{
    clock, id,
    replica::{Group, Outgoing, Settings, StateMachine},
};
use prost::bytes::Bytes;
use slog::{Discard, Logger, o};
use smol::{channel, lock::Mutex};

const LIMIT: Duration = Duration::from_secs(20);
const LATENCY_ROUNDS: usize = 40;
const PROPOSERS: usize = 64;
const EACH: usize = 20;
const FAR: Duration = Duration::from_millis(55);
const COMMAND: usize = 256;
const REST: Duration = Duration::from_secs(2);

static MESSAGES: AtomicUsize = AtomicUsize::new(0);
static BYTES: AtomicUsize = AtomicUsize::new(0);

/// Counts commands.
struct Count(u64);

impl StateMachine for Count {
    fn apply(&mut self, _index: u64, _command: &[u8]) -> Bytes {
        self.0 += 1;
        Bytes::new()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_le_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let bytes = snapshot.try_into().map_err(|_| "eight bytes are wanted".to_owned())?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

type Replica = Arc<Group<Count>>;
type Slots = Arc<Mutex<Vec<Replica>>>;

fn main() {
    smol::block_on(async {
        rest().await;
        let near = latency(Duration::ZERO).await;
        let far = latency(FAR).await;
        let round_trip = 2.0 * FAR.as_secs_f64() * 1e3;
        println!("commit, 3 replicas, median: {near:.2} ms at 0 ms one way");
        println!(
            "commit, 3 replicas, median: {far:.2} ms at 55 ms one way, {:.2} round trips",
            far / round_trip
        );
        throughput().await;
        let mut first = None;
        for entries in [1, 1_000, 10_000] {
            let took = restart(entries).await;
            let base = *first.get_or_insert(took);
            println!("restart, {entries} entries: {took:.1} ms, {:.1} x one entry", took / base);
        }
    });
}

async fn start(folder: &Path, size: usize, delay: Duration) -> Vec<Replica> {
    let voters: Vec<_> = (0..size).map(|n| id::Vm::from(format!("vm-{n}"))).collect();
    let slots = Slots::default();
    for vm in &voters {
        let (outgoing, sent) = channel::unbounded();
        let settings = Settings {
            vm: vm.clone(),
            initial_voters: voters.clone(),
            folder: folder.join(vm.as_str()),
            snapshot_every_entries: u64::MAX / 2,
            ..Settings::default()
        };
        let logger = Logger::root(Discard, o!());
        let group = Group::start(settings, Arc::new(clock::System), logger, Count(0), outgoing);
        slots.lock().await.push(group.await.expect("the replica starts"));
        if size > 1 {
            smol::spawn(carry(vm.clone(), voters.clone(), sent, slots.clone(), delay)).detach();
        }
    }
    slots.lock().await.clone()
}

async fn carry(
    from: id::Vm,
    voters: Vec<id::Vm>,
    sent: channel::Receiver<Outgoing>,
    slots: Slots,
    delay: Duration,
) {
    while let Ok(Outgoing { to, payload }) = sent.recv().await {
        MESSAGES.fetch_add(1, Ordering::Relaxed);
        BYTES.fetch_add(payload.len(), Ordering::Relaxed);
        let (from, slots) = (from.clone(), slots.clone());
        let place = voters.iter().position(|vm| *vm == to);
        let deliver = async move {
            if !delay.is_zero() {
                smol::Timer::after(delay).await;
            }
            let group = place.and_then(|place| slots.try_lock()?.get(place).cloned());
            if let Some(group) = group {
                group.receive(&from, payload);
            }
        };
        if delay.is_zero() { deliver.await } else { smol::spawn(deliver).detach() }
    }
}

async fn leader(groups: &[Replica]) -> Replica {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(group) = groups.iter().find(|group| group.leader_lease().is_some()) {
            return group.clone();
        }
        assert!(Instant::now() < end, "no leader came");
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

async fn latency(delay: Duration) -> f64 {
    let folder = tempfile::tempdir().expect("a folder");
    let groups = start(folder.path(), 3, delay).await;
    let leader = leader(&groups).await;
    let mut took = Vec::new();
    for _ in 0..LATENCY_ROUNDS {
        let begun = Instant::now();
        leader.propose(vec![0; COMMAND].into(), LIMIT).await.expect("accepted");
        took.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    took.sort_by(f64::total_cmp);
    took[took.len() / 2]
}

/// What a group of three says while nothing is proposed.
async fn rest() {
    let folder = tempfile::tempdir().expect("a folder");
    let groups = start(folder.path(), 3, Duration::ZERO).await;
    leader(&groups).await;
    let before = (MESSAGES.load(Ordering::Relaxed), BYTES.load(Ordering::Relaxed));
    smol::Timer::after(REST).await;
    let messages = MESSAGES.load(Ordering::Relaxed) - before.0;
    let bytes = BYTES.load(Ordering::Relaxed) - before.1;
    println!(
        "at rest, the whole group: {:.1} messages/s, {:.0} bytes/s",
        messages as f64 / REST.as_secs_f64(),
        bytes as f64 / REST.as_secs_f64()
    );
}

async fn throughput() {
    let folder = tempfile::tempdir().expect("a folder");
    let groups = start(folder.path(), 3, Duration::ZERO).await;
    let leader = leader(&groups).await;
    for proposers in [1, PROPOSERS] {
        let (syncs, begun) = (leader.status().sync_count, Instant::now());
        let each = (0..proposers).map(|_| {
            let leader = leader.clone();
            smol::spawn(async move {
                for _ in 0..EACH {
                    leader.propose(vec![0; COMMAND].into(), LIMIT).await.expect("accepted");
                }
            })
        });
        let tasks: Vec<_> = each.collect();
        for task in tasks {
            task.await;
        }
        let proposals = (proposers * EACH) as f64;
        println!(
            "{proposers} proposers: {:.0} proposals/s, {:.2} syncs of the leader a proposal",
            proposals / begun.elapsed().as_secs_f64(),
            (leader.status().sync_count - syncs) as f64 / proposals
        );
    }
}

/// The time from opening the folder until a confirmed read sees every entry, one replica.
async fn restart(entries: u64) -> f64 {
    let folder = tempfile::tempdir().expect("a folder");
    let groups = start(folder.path(), 1, Duration::ZERO).await;
    let mut waiting = Vec::new();
    for _ in 0..entries {
        let group = groups[0].clone();
        waiting.push(smol::spawn(async move {
            group.propose(vec![0; COMMAND].into(), LIMIT).await.expect("accepted")
        }));
    }
    for task in waiting {
        task.await;
    }
    drop(groups);
    // The task lets go of the folder a moment after the last handle is dropped.
    let voter = folder.path().join("vm-0");
    let end = Instant::now() + LIMIT;
    while pomelogate::disk::Log::open(&voter, 1).is_err() {
        assert!(Instant::now() < end, "the folder was never let go");
        smol::Timer::after(Duration::from_millis(1)).await;
    }
    let begun = Instant::now();
    let groups = start(folder.path(), 1, Duration::ZERO).await;
    groups[0].read_barrier(LIMIT).await.expect("a leader");
    assert_eq!(groups[0].read(|count| count.0), entries);
    begun.elapsed().as_secs_f64() * 1e3
}
