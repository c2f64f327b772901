//! Several operators change one list concurrently. The replica group loses requests and replies,
//! applies duplicates and is restored from snapshots. The history must be linearizable as that of
//! a single register.

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
const OPERATIONS_PER_OPERATOR: usize = 8;
const ATTEMPTS_PER_COMMAND: usize = 3;
const SEED_COUNT: u64 = 40;

fn draft(version: u64, queue: usize) -> Draft {
    let content = format!(
        r#"[{{"plan":"p","regions":["a"],"models":[],"services":[],"limits":{{"concurrency":1,"queue":{queue},"tokens_per_minute":1}}}}]"#
    );
    Draft { kind: Kind::Allowances, version, content: content.into_bytes() }
}

fn into_text(content: Vec<u8>) -> String {
    String::from_utf8(content).expect("text")
}

/// Sends a command once. Returns `None` if it was lost before, or its reply after, it was applied.
fn send_once(group: &Mutex<StateMachine>, command: &[u8], rng: &mut StdRng) -> Option<Verdict> {
    thread::yield_now();
    if rng.random_ratio(1, 6) {
        return None;
    }
    let mut machine = group.lock().expect("group");
    let reply = machine.apply(0, command);
    if rng.random_ratio(1, 6) {
        assert_eq!(machine.apply(0, command), reply, "a duplicate gets the same reply");
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

fn read_list(group: &Mutex<StateMachine>, recorder: &Recorder, client: usize) -> u64 {
    recorder.call(client, Operation::Read { found: None });
    let machine = group.lock().expect("group");
    let history = machine.store().history(Subject::Allowances);
    let version = history.version();
    let found = (version > 0).then(|| (version, into_text(history.content())));
    drop(machine);
    recorder.response(client, Operation::Read { found });
    version
}

fn run_operator(group: &Mutex<StateMachine>, recorder: &Recorder, operator: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed * OPERATORS as u64 + operator as u64);
    let mut client = operator;
    let mut newest_version = 0;
    for round in 0..OPERATIONS_PER_OPERATOR {
        if rng.random_ratio(1, 3) {
            newest_version = read_list(group, recorder, client);
            continue;
        }
        let version = (newest_version + rng.random_range(0..3)).max(1);
        let draft = draft(version, rng.random_range(0..3) + 10 * (round % 2));
        let content = into_text(draft.content.clone());
        let command = Command::change(draft).encode_to_vec();
        let change = |answer| Operation::Change { version, content: content.clone(), answer };
        recorder.call(client, change(None));
        let verdict = (0..ATTEMPTS_PER_COMMAND).find_map(|_| send_once(group, &command, &mut rng));
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
fn concurrent_changes_are_linearizable() {
    for seed in 0..SEED_COUNT {
        let group = Mutex::new(StateMachine::default());
        let recorder = Recorder::default();
        thread::scope(|scope| {
            for operator in 0..OPERATORS {
                let (group, recorder) = (&group, &recorder);
                scope.spawn(move || run_operator(group, recorder, operator, seed));
            }
        });
        assert!(recorder.linearizable(), "seed {seed}");
    }
}
