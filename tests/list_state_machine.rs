//! The machine of the lists under resends, conflicts, races and changes of leader.

use pomelogate::{
    list::{Draft, Kind},
    list_state::{Command, MAX_DIGESTS, Operation, Reply, StateMachine, Subject, Verdict},
    replica::StateMachine as _,
    stop::Scope,
};
use proptest::{prelude::*, test_runner::RngSeed};
use prost::{Message, bytes::Bytes};

fn change(kind: Kind, version: u64, content: &str) -> Command {
    let entries = kind.canonical_entries(content.as_bytes()).expect("entries");
    let content = entries.into_values().map(|entry| String::from_utf8(entry).expect("text"));
    let content = format!("[{}]", content.collect::<Vec<_>>().join(","));
    Command::change(Draft { kind, version, content: content.into_bytes() })
}

fn allowances(version: u64, plans: &[&str]) -> Command {
    let entries = plans.iter().map(|plan| format!(r#"{{"plan":"{plan}","regions":["jakarta"]}}"#));
    change(Kind::Allowances, version, &format!("[{}]", entries.collect::<Vec<_>>().join(",")))
}

fn plans(version: u64, customers: &[(&str, &str)]) -> Command {
    let entries = customers.iter().map(|(customer, plan)| {
        format!(r#"{{"customer":"{customer}","plan":"{plan}","home":"jakarta","keys":[]}}"#)
    });
    change(Kind::Plans, version, &format!("[{}]", entries.collect::<Vec<_>>().join(",")))
}

/// Replicas that apply the same commands; one may be lost and rebuilt from another's snapshot.
#[derive(Default)]
struct Group {
    replicas: [StateMachine; 2],
    index: u64,
}

impl Group {
    fn apply(&mut self, command: &Command) -> Verdict {
        self.index += 1;
        let encoded = command.encode_to_vec();
        let replies: Vec<Bytes> =
            self.replicas.iter_mut().map(|one| one.apply(self.index, &encoded)).collect();
        assert_eq!(replies[0], replies[1], "replicas disagree");
        Reply::decode(replies[0].clone()).expect("reply").verdict.expect("verdict")
    }

    fn rebuild(&mut self, place: usize) {
        let snapshot = self.replicas[1 - place].snapshot();
        self.replicas[place] = StateMachine::default();
        self.replicas[place].restore(&snapshot).expect("snapshot");
        assert_eq!(self.replicas[place].snapshot(), snapshot);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Change { ahead: u64, content: u8 },
    Resend { place: usize },
    Rebuild { place: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u64, 0..5u8).prop_map(|(ahead, content)| Step::Change { ahead, content }),
        3 => (0..64usize).prop_map(|place| Step::Resend { place }),
        1 => (0..2usize).prop_map(|place| Step::Rebuild { place }),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn versions_are_a_register_that_never_reverts(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut group = Group::default();
        let mut model: Vec<Command> = Vec::new();
        let mut sent: Vec<(Command, Verdict)> = Vec::new();
        for step in steps {
            match step {
                Step::Change { ahead, content } => {
                    let version = (model.len() as u64 + ahead).saturating_sub(1).max(1);
                    let command = allowances(version, &[&format!("plan-{content}")]);
                    let verdict = group.apply(&command);
                    let place = version as usize - 1;
                    match (&verdict, model.get(place)) {
                        (Verdict::Accepted(_), None) => {
                            prop_assert_eq!(place, model.len());
                            model.push(command.clone());
                        }
                        (Verdict::Accepted(_), Some(stands)) => {
                            prop_assert_eq!(stands, &command);
                        }
                        (Verdict::Conflict(conflict), Some(stands)) => {
                            prop_assert_ne!(stands, &command);
                            prop_assert_eq!(conflict.newest, model.len() as u64);
                        }
                        (Verdict::Gap(gap), None) => {
                            prop_assert!(place > model.len());
                            prop_assert_eq!(gap.next, model.len() as u64 + 1);
                        }
                        other => prop_assert!(false, "unexpected {:?}", other),
                    }
                    sent.push((command, verdict));
                }
                Step::Resend { place } if !sent.is_empty() => {
                    let (command, first) = sent[place % sent.len()].clone();
                    if matches!(first, Verdict::Accepted(_)) {
                        prop_assert_eq!(group.apply(&command), first);
                    }
                }
                Step::Resend { .. } => {}
                Step::Rebuild { place } => group.rebuild(place),
            }
            let series = group.replicas[0].store().history(Subject::Allowances);
            prop_assert_eq!(series.version(), model.len() as u64);
            if let Some(Command { operation: Some(Operation::Change(newest)) }) = model.last() {
                prop_assert_eq!(series.content(), newest.content.to_vec());
            }
        }
    }
}

#[test]
fn a_change_told_as_a_difference_stands_as_the_whole_does() {
    let draft = |version, plans: &[&str]| {
        let Some(Operation::Change(change)) = allowances(version, plans).operation else {
            panic!()
        };
        Draft { kind: Kind::Allowances, version, content: change.content.to_vec() }
    };
    let mut group = Group::default();
    group.apply(&allowances(1, &["a", "b"]));
    let base = group.replicas[0].store().clone();
    let partial = Command::compact_change(draft(2, &["b", "c"]), &base);
    assert!(partial.encoded_len() < allowances(2, &["b", "c"]).encoded_len());
    assert!(matches!(group.apply(&partial), Verdict::Accepted(_)));
    assert!(matches!(group.apply(&allowances(2, &["b", "c"])), Verdict::Accepted(_)), "resend");
    assert!(matches!(group.apply(&allowances(3, &["d"])), Verdict::Accepted(_)));
    assert!(matches!(group.apply(&partial), Verdict::Accepted(_)), "resend, superseded");
    let other = Command::compact_change(draft(2, &["a"]), &base);
    assert!(matches!(group.apply(&other), Verdict::Conflict(_)));
    let Some(Operation::Change(change)) =
        Command::compact_change(draft(2, &["x"]), &base).operation
    else {
        panic!()
    };
    let moved = Operation::Change(pomelogate::list_state::Change { version: 4, ..change });
    assert!(matches!(group.apply(&moved.into()), Verdict::Invalid(_)), "another base");
}

#[test]
fn races_between_the_lists_leave_them_consistent() {
    let mut group = Group::default();
    assert!(matches!(group.apply(&plans(1, &[("a", "crew")])), Verdict::Invalid(_)));
    assert!(matches!(group.apply(&allowances(1, &["crew", "gold"])), Verdict::Accepted(_)));
    assert!(matches!(group.apply(&plans(1, &[("a", "crew")])), Verdict::Accepted(_)));
    let Verdict::Invalid(invalid) = group.apply(&allowances(2, &["gold"])) else { panic!() };
    assert!(invalid.faults[0].contains("add the allowance first"), "{invalid:?}");
    assert!(matches!(group.apply(&plans(2, &[("a", "gold")])), Verdict::Accepted(_)));
    assert!(matches!(group.apply(&allowances(2, &["gold"])), Verdict::Accepted(_)));
    assert!(matches!(group.apply(&plans(1, &[("a", "crew")])), Verdict::Accepted(_)), "resend");
}

#[test]
fn a_version_beyond_retention_is_said_to_be_forgotten() {
    let mut group = Group::default();
    for version in 1..=MAX_DIGESTS as u64 + 1 {
        let command = allowances(version, &[if version % 2 == 0 { "even" } else { "odd" }]);
        assert!(matches!(group.apply(&command), Verdict::Accepted(_)));
    }
    let Verdict::Forgotten(forgotten) = group.apply(&allowances(1, &["odd"])) else { panic!() };
    assert_eq!(forgotten.oldest, 2);
    assert!(matches!(group.apply(&allowances(2, &["even"])), Verdict::Accepted(_)));
}

#[test]
fn an_announcement_sent_again_after_its_withdrawal_does_not_return() {
    let zone = Scope::Zone("jakarta-a".into());
    let mut group = Group::default();
    let announce = Command::announce("op-1", &zone);
    let first = group.apply(&announce);
    group.apply(&Command::withdraw("op-2", &zone));
    group.rebuild(0);
    assert_eq!(group.apply(&announce), first);
    assert_eq!(group.replicas[0].store().stops().scopes().count(), 0);
    assert!(matches!(group.apply(&Command::withdraw("op-1", &zone)), Verdict::Invalid(_)));
}

#[test]
fn fencing_numbers_grow_and_a_resend_gets_the_same() {
    let mut group = Group::default();
    let number = |verdict| match verdict {
        Verdict::Issued(issued) => issued.number,
        other => panic!("{other:?}"),
    };
    assert_eq!(number(group.apply(&Command::fence("a", "jakarta-1"))), 1);
    assert_eq!(number(group.apply(&Command::fence("b", "jakarta-2"))), 2);
    group.rebuild(1);
    assert_eq!(number(group.apply(&Command::fence("a", "jakarta-1"))), 1);
    assert_eq!(number(group.apply(&Command::incarnation("c", "jakarta-1"))), 1);
    assert_eq!(number(group.apply(&Command::incarnation("d", "jakarta-1"))), 2);
}

#[test]
fn nonsense_is_an_invalid_command() {
    let mut machine = StateMachine::default();
    for bytes in [&b""[..], b"\xff\xff", b"\x0a\x02\x08\x09"] {
        let reply = Reply::decode(machine.apply(1, bytes)).expect("reply");
        assert!(matches!(reply.verdict, Some(Verdict::Invalid(_))));
    }
    assert!(machine.restore(b"\xff\xff").is_err());
}
