//! Operators who change the plans concurrently while VMs are killed or frozen and regions are cut
//! off: the versions of the plans must form one linearizable history.
#![expect(clippy::print_stdout, reason = "number of versions in the run, shown with --nocapture")]

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use pomelogate::{
    admin::Problem,
    list::{List, Plan},
    standin::Reply,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use smol::Timer;
use support::{
    fleet::eventually,
    grid::{Grid, Operators, plans},
    history::{Answer, Operation, Recorder},
};

const REGIONS: [(&str, usize); 3] = [("jakarta", 2), ("surabaya", 2), ("bandung", 1)];
/// The indices of the VMs that hold replicas.
const REPLICA_INDICES: [usize; 3] = [0, 2, 4];
const OPERATOR_COUNT: usize = 3;
const FAULT_DURATION: Duration = Duration::from_secs(2);
const OPERATION_INTERVAL: Duration = Duration::from_millis(150);
const SEED_CONTENT: &str = "seed";

/// A fault injected at one VM, or at its region.
#[derive(Clone, Copy)]
enum Fault {
    Kill,
    Freeze,
    Cut,
    /// Messages to the region are lost.
    CutInward,
    /// Messages from the region are lost.
    CutOutward,
}

/// The state that the operators, the watchers and the final checks share.
#[derive(Default)]
struct Run {
    recorder: Recorder,
    /// The content of each version that was accepted or that a VM served.
    versions: RefCell<BTreeMap<u64, String>>,
    is_over: Cell<bool>,
}

impl Run {
    /// Records the content of a version, and checks that it never differs.
    fn record_version(&self, version: u64, content: &str) {
        let mut versions = self.versions.borrow_mut();
        let known = versions.entry(version).or_insert_with(|| content.to_owned());
        assert_eq!(known, content, "version {version} has two contents");
    }

    /// Sends a change through random VMs until it is decided.
    async fn change(
        &self,
        operators: &Operators,
        client: usize,
        version: u64,
        content: &str,
        random: &mut StdRng,
    ) -> Answer {
        let operation = |answer| Operation::Change { version, content: content.into(), answer };
        self.recorder.call(client, operation(None));
        let mut answer = None;
        eventually("the change is decided on", async || {
            let index = random.random_range(0..operators.vms.len());
            let reply = operators.change(index, "plans", &plans(version, content)).await;
            answer = reply.as_ref().and_then(parse_answer);
            answer.is_some()
        })
        .await;
        self.recorder.response(client, operation(answer));
        if answer == Some(Answer::Accepted) {
            self.record_version(version, content);
        }
        answer.expect("just seen")
    }

    /// Acts as one operator: changes the version that a random VM serves.
    async fn operate(&self, operators: &Operators, client: usize, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed * 100 + client as u64);
        for change_number in 0.. {
            if self.is_over.get() {
                return;
            }
            let index = random.random_range(0..operators.vms.len());
            let skipped_versions = u64::from(random.random_ratio(1, 10));
            if let Some((newest @ 1.., _)) = operators.served(index).await {
                let content = format!("operator-{client}-{change_number}");
                let version = newest + 1 + skipped_versions;
                let answer = self.change(operators, client, version, &content, &mut random).await;
                if answer == Answer::Accepted {
                    let resent = self.change(operators, client, version, &content, &mut random);
                    assert_eq!(resent.await, Answer::Accepted, "a resend gets the first answer");
                }
            }
            Timer::after(OPERATION_INTERVAL).await;
        }
    }

    /// Checks that the version that one VM serves never decreases.
    async fn watch(&self, operators: &Operators, index: usize) {
        let mut newest = 0;
        while !self.is_over.get() {
            if let Some((version, content)) = served(operators, index).await {
                assert!(version >= newest, "VM {index} went from {newest} back to {version}");
                newest = version;
                self.record_version(version, &content);
            }
            Timer::after(OPERATION_INTERVAL).await;
        }
    }
}

/// The answer to a change; none where the change has to be sent again.
fn parse_answer(reply: &Reply) -> Option<Answer> {
    if reply.status == 200 {
        return Some(Answer::Accepted);
    }
    let problem: Problem = serde_json::from_slice(&reply.body).ok()?;
    match problem.kind.as_str() {
        "conflict" => Some(Answer::Conflict),
        "gap" => Some(Answer::Gap),
        "not_committed" | "unknown" => None,
        other => panic!("{other}: {problem}"),
    }
}

/// The version that a VM serves and its content; none while it serves no list.
async fn served(operators: &Operators, index: usize) -> Option<(u64, String)> {
    let list: List<Plan> = operators.get(index, "plans").await?;
    let mut names = list.entries.iter().map(|plan| plan.customer.as_str());
    let marker = names.rfind(|name| name.starts_with("operator-"));
    (list.version > 0).then(|| (list.version, marker.unwrap_or(SEED_CONTENT).to_owned()))
}

/// Injects a fault at a VM or its region, and ends it again.
async fn inject_fault(grid: &mut Grid, fault: Fault, index: usize) {
    let region = REGIONS[index / 2].0;
    match fault {
        Fault::Kill => grid.fleet.vms[index].kill(),
        Fault::Freeze => grid.fleet.vms[index].freeze(),
        Fault::Cut => grid.cut(region),
        Fault::CutInward => grid.cut_one_way(region, true),
        Fault::CutOutward => grid.cut_one_way(region, false),
    }
    Timer::after(FAULT_DURATION).await;
    match fault {
        Fault::Kill => grid.fleet.vms[index].start(),
        Fault::Freeze => grid.fleet.vms[index].thaw(),
        _ => grid.heal(),
    }
    Timer::after(FAULT_DURATION / 2).await;
}

/// Runs operators and watchers under a fault schedule drawn from `seed`, and checks the outcome.
fn run_with_seed(seed: u64) {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let operators = grid.operators.clone();
        let run = Run::default();
        let request = Operation::Change { version: 1, content: SEED_CONTENT.into(), answer: None };
        run.recorder.call(OPERATOR_COUNT, request);
        let answer = Some(Answer::Accepted);
        let response = Operation::Change { version: 1, content: SEED_CONTENT.into(), answer };
        run.recorder.response(OPERATOR_COUNT, response);
        let schedule = async {
            let mut random = StdRng::seed_from_u64(seed);
            let mut faults =
                [Fault::Kill, Fault::Freeze, Fault::Cut, Fault::CutInward, Fault::CutOutward];
            faults.shuffle(&mut random);
            for fault in faults {
                let index = REPLICA_INDICES[random.random_range(0..REPLICA_INDICES.len())];
                inject_fault(&mut grid, fault, index).await;
            }
            run.is_over.set(true);
        };
        let operator_tasks =
            (0..OPERATOR_COUNT).map(|client| run.operate(&operators, client, seed));
        let watchers = (0..operators.vms.len()).map(|index| run.watch(&operators, index));
        futures_util::join!(
            schedule,
            futures_util::future::join_all(operator_tasks),
            futures_util::future::join_all(watchers),
        );
        check_outcome(&run, &operators, seed).await;
    });
}

/// Checks the accepted versions after all faults have ended.
async fn check_outcome(run: &Run, operators: &Operators, seed: u64) {
    let (newest, content) = run.versions.borrow().last_key_value().map_or_else(
        || (1, SEED_CONTENT.to_owned()),
        |(version, content)| (*version, content.clone()),
    );
    println!("seed {seed}: {newest} versions");
    for index in 0..operators.vms.len() {
        eventually("every VM serves the newest version", async || {
            served(operators, index).await == Some((newest, content.clone()))
        })
        .await;
    }
    let mut random = StdRng::seed_from_u64(seed);
    let versions = run.versions.borrow().clone();
    for (version, content) in versions.into_iter().filter(|(version, _)| *version > 1) {
        let resent = run.change(operators, 0, version, &content, &mut random).await;
        assert_eq!(resent, Answer::Accepted, "version {version} sent again");
        let conflicting = run.change(operators, 0, version, "operator-other", &mut random).await;
        assert_eq!(conflicting, Answer::Conflict, "version {version} with other content");
    }
    assert!(newest > 10, "operators made too few changes: {newest} versions");
    assert!(run.recorder.linearizable(), "seed {seed}");
}

#[test]
fn concurrent_changes_are_linearizable_through_kills_freezes_and_cuts() {
    run_with_seed(1);
}

#[test]
fn concurrent_changes_are_linearizable_under_another_fault_schedule() {
    run_with_seed(2);
}
