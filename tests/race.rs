//! Operators who race each other while VMs are killed and frozen and regions cut off.
#![expect(clippy::print_stdout, reason = "figures of the run, shown with --nocapture")]

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
/// The places of the replicas.
const REPLICAS: [usize; 3] = [0, 2, 4];
const OPERATORS: usize = 3;
const FAULT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(150);
const SEED: &str = "seed";

/// What may go wrong at one place.
#[derive(Clone, Copy)]
enum Trouble {
    Kill,
    Freeze,
    Cut,
    CutInward,
    CutOutward,
}

/// What is known of the changes.
#[derive(Default)]
struct Run {
    recorder: Recorder,
    /// The content of each version that was accepted, or that a VM served.
    stands: RefCell<BTreeMap<u64, String>>,
    over: Cell<bool>,
}

impl Run {
    fn note(&self, version: u64, content: &str) {
        let mut stands = self.stands.borrow_mut();
        let known = stands.entry(version).or_insert_with(|| content.to_owned());
        assert_eq!(known, content, "version {version} has one content");
    }

    /// Sends a change, and again while its reply is lost, until it is decided.
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
            let place = random.random_range(0..operators.vms.len());
            let reply = operators.change(place, "plans", &plans(version, content)).await;
            answer = reply.as_ref().and_then(judge);
            answer.is_some()
        })
        .await;
        self.recorder.response(client, operation(answer));
        if answer == Some(Answer::Accepted) {
            self.note(version, content);
        }
        answer.expect("just seen")
    }

    /// One operator, who makes changes from whatever version some VM serves.
    async fn operate(&self, operators: &Operators, client: usize, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed * 100 + client as u64);
        for number in 0.. {
            if self.over.get() {
                return;
            }
            let place = random.random_range(0..operators.vms.len());
            let skipped = u64::from(random.random_ratio(1, 10));
            if let Some((newest @ 1.., _)) = operators.served(place).await {
                let content = format!("operator-{client}-{number}");
                let version = newest + 1 + skipped;
                let answer = self.change(operators, client, version, &content, &mut random).await;
                if answer == Answer::Accepted {
                    let again = self.change(operators, client, version, &content, &mut random);
                    assert_eq!(again.await, Answer::Accepted, "a resend gets the first answer");
                }
            }
            Timer::after(PAUSE).await;
        }
    }

    /// Watches what one VM serves, which never becomes older.
    async fn watch(&self, operators: &Operators, place: usize) {
        let mut newest = 0;
        while !self.over.get() {
            if let Some((version, content)) = served(operators, place).await {
                assert!(version >= newest, "VM {place} went from {newest} back to {version}");
                newest = version;
                self.note(version, &content);
            }
            Timer::after(PAUSE).await;
        }
    }
}

/// What the answer says; nothing where the change has to be sent again.
fn judge(reply: &Reply) -> Option<Answer> {
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

/// The version that a VM serves and its content; nothing while it serves none.
async fn served(operators: &Operators, place: usize) -> Option<(u64, String)> {
    let list: List<Plan> = operators.get(place, "plans").await?;
    let mut names = list.entries.iter().map(|plan| plan.customer.as_str());
    let marker = names.rfind(|name| name.starts_with("operator-"));
    (list.version > 0).then(|| (list.version, marker.unwrap_or(SEED).to_owned()))
}

async fn disturb(grid: &mut Grid, trouble: Trouble, place: usize) {
    let region = REGIONS[place / 2].0;
    match trouble {
        Trouble::Kill => grid.fleet.vms[place].kill(),
        Trouble::Freeze => grid.fleet.vms[place].freeze(),
        Trouble::Cut => grid.cut(region),
        Trouble::CutInward => grid.cut_one_way(region, true),
        Trouble::CutOutward => grid.cut_one_way(region, false),
    }
    Timer::after(FAULT).await;
    match trouble {
        Trouble::Kill => grid.fleet.vms[place].start(),
        Trouble::Freeze => grid.fleet.vms[place].thaw(),
        _ => grid.heal(),
    }
    Timer::after(FAULT / 2).await;
}

fn race(seed: u64) {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let operators = grid.operators.clone();
        let run = Run::default();
        let first = Operation::Change { version: 1, content: SEED.into(), answer: None };
        run.recorder.call(OPERATORS, first);
        let answer = Some(Answer::Accepted);
        let first = Operation::Change { version: 1, content: SEED.into(), answer };
        run.recorder.response(OPERATORS, first);
        let schedule = async {
            let mut random = StdRng::seed_from_u64(seed);
            let mut troubles = [
                Trouble::Kill,
                Trouble::Freeze,
                Trouble::Cut,
                Trouble::CutInward,
                Trouble::CutOutward,
            ];
            troubles.shuffle(&mut random);
            for trouble in troubles {
                let place = REPLICAS[random.random_range(0..REPLICAS.len())];
                disturb(&mut grid, trouble, place).await;
            }
            run.over.set(true);
        };
        let work = (0..OPERATORS).map(|client| run.operate(&operators, client, seed));
        let watches = (0..operators.vms.len()).map(|place| run.watch(&operators, place));
        futures_util::join!(
            schedule,
            futures_util::future::join_all(work),
            futures_util::future::join_all(watches),
        );
        settle(&run, &operators, seed).await;
    });
}

/// Checks what stands once all is well again.
async fn settle(run: &Run, operators: &Operators, seed: u64) {
    let (newest, content) = run
        .stands
        .borrow()
        .last_key_value()
        .map_or_else(|| (1, SEED.to_owned()), |(version, content)| (*version, content.clone()));
    println!("seed {seed}: {newest} versions");
    for place in 0..operators.vms.len() {
        eventually("every VM serves the newest version", async || {
            served(operators, place).await == Some((newest, content.clone()))
        })
        .await;
    }
    let mut random = StdRng::seed_from_u64(seed);
    let stands = run.stands.borrow().clone();
    for (version, content) in stands.into_iter().filter(|(version, _)| *version > 1) {
        let again = run.change(operators, 0, version, &content, &mut random).await;
        assert_eq!(again, Answer::Accepted, "version {version} sent again");
        let other = run.change(operators, 0, version, "operator-other", &mut random).await;
        assert_eq!(other, Answer::Conflict, "version {version} with other content");
    }
    assert!(newest > 10, "operators made changes: {newest} versions");
    assert!(run.recorder.linearizable(), "seed {seed}");
}

#[test]
fn racing_operators_see_one_register_through_kills_freezes_and_cuts() {
    race(1);
}

#[test]
fn racing_operators_see_one_register_under_another_schedule() {
    race(2);
}
