//! Operators race on one list through a group that loses replies, applies duplicates and changes
//! its leader to a replica rebuilt from a snapshot; the history must be that of one register.

#[path = "support/history.rs"]
#[allow(dead_code, reason = "a part is used")]
mod history;

use std::{sync::Mutex, thread};

use history::{Answer, Operation, Recorder};
use pomelogate::{
    list::{Draft, Kind},
    list_state::{Command, Reply, StateMachine, Subject, Verdict},
    replica::StateMachine as _,
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const OPERATORS: usize = 4;
const OPERATIONS: usize = 8;
const ATTEMPTS: usize = 3;
const SEEDS: u64 = 40;

fn draft(version: u64, queue: usize) -> Draft {
    let content = format!(
        r#"[{{"plan":"p","regions":["a"],"models":[],"services":[],"limits":{{"concurrency":1,"queue":{queue},"tokens_per_minute":1}}}}]"#
    );
    Draft { kind: Kind::Allowances, version, content: content.into_bytes() }
}

fn text(content: Vec<u8>) -> String {
    String::from_utf8(content).expect("text")
}

/// One attempt at a command; no reply where it was lost before or after the command applied.
fn send(group: &Mutex<StateMachine>, command: &[u8], rng: &mut StdRng) -> Option<Verdict> {
    thread::yield_now();
    if rng.random_ratio(1, 6) {
        return None;
    }
    let mut machine = group.lock().expect("group");
    let reply = machine.apply(0, command);
    if rng.random_ratio(1, 6) {
        assert_eq!(machine.apply(0, command), reply, "a duplicate is answered as the first");
    }
    if rng.random_ratio(1, 6) {
        let snapshot = machine.snapshot();
        *machine = StateMachine::default();
        machine.restore(&snapshot).expect("snapshot");
    }
    drop(machine);
    if rng.random_ratio(1, 6) {
        return None;
    }
    Reply::decode(reply).expect("reply").verdict
}

fn read(group: &Mutex<StateMachine>, recorder: &Recorder, client: usize) -> u64 {
    recorder.call(client, Operation::Read { found: None });
    let machine = group.lock().expect("group");
    let series = machine.store().history(Subject::Allowances);
    let version = series.version();
    let found = (version > 0).then(|| (version, text(series.content())));
    drop(machine);
    recorder.response(client, Operation::Read { found });
    version
}

fn operate(group: &Mutex<StateMachine>, recorder: &Recorder, operator: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed * OPERATORS as u64 + operator as u64);
    let mut client = operator;
    let mut newest = 0;
    for round in 0..OPERATIONS {
        if rng.random_ratio(1, 3) {
            newest = read(group, recorder, client);
            continue;
        }
        let version = (newest + rng.random_range(0..3)).max(1);
        let draft = draft(version, rng.random_range(0..3) + 10 * (round % 2));
        let content = text(draft.content.clone());
        let command = Command::change(draft).encode_to_vec();
        let change = |answer| Operation::Change { version, content: content.clone(), answer };
        recorder.call(client, change(None));
        let verdict = (0..ATTEMPTS).find_map(|_| send(group, &command, &mut rng));
        let answer = match verdict {
            Some(Verdict::Accepted(_)) => Answer::Accepted,
            Some(Verdict::Conflict(_)) => Answer::Conflict,
            Some(Verdict::Gap(_)) => Answer::Gap,
            None => {
                client += OPERATORS;
                continue;
            }
            other => panic!("{other:?}"),
        };
        recorder.response(client, change(Some(answer)));
    }
}

#[test]
fn racing_operators_see_one_register() {
    for seed in 0..SEEDS {
        let group = Mutex::new(StateMachine::default());
        let recorder = Recorder::default();
        thread::scope(|scope| {
            for operator in 0..OPERATORS {
                let (group, recorder) = (&group, &recorder);
                scope.spawn(move || operate(group, recorder, operator, seed));
            }
        });
        assert!(recorder.linearizable(), "seed {seed}");
    }
}
