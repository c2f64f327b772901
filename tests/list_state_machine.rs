//! The state machine of the lists under resent commands, conflicts, races and restored snapshots.

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

/// Two replicas that apply the same commands. Either can be rebuilt from the other's snapshot.
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
            self.replicas.iter_mut().map(|replica| replica.apply(self.index, &encoded)).collect();
        assert_eq!(replies[0], replies[1], "replicas disagree");
        Reply::decode(replies[0].clone()).expect("reply").verdict.expect("verdict")
    }

    fn rebuild(&mut self, replica: usize) {
        let snapshot = self.replicas[1 - replica].snapshot();
        self.replicas[replica] = StateMachine::default();
        self.replicas[replica].restore(&snapshot).expect("snapshot");
        assert_eq!(self.replicas[replica].snapshot(), snapshot);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Change { version_offset: u64, content: u8 },
    Resend { index: usize },
    Rebuild { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u64, 0..5u8).prop_map(|(version_offset, content)| Step::Change { version_offset, content }),
        3 => (0..64usize).prop_map(|index| Step::Resend { index }),
        1 => (0..2usize).prop_map(|replica| Step::Rebuild { replica }),
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
    fn accepted_versions_are_consecutive_and_never_change(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut group = Group::default();
        let mut accepted: Vec<Command> = Vec::new();
        let mut sent: Vec<(Command, Verdict)> = Vec::new();
        for step in steps {
            match step {
                Step::Change { version_offset, content } => {
                    let version = (accepted.len() as u64 + version_offset).saturating_sub(1).max(1);
                    let command = allowances(version, &[&format!("plan-{content}")]);
                    let verdict = group.apply(&command);
                    let index = version as usize - 1;
                    match (&verdict, accepted.get(index)) {
                        (Verdict::Accepted(_), None) => {
                            prop_assert_eq!(index, accepted.len());
                            accepted.push(command.clone());
                        }
                        (Verdict::Accepted(_), Some(existing)) => {
                            prop_assert_eq!(existing, &command);
                        }
                        (Verdict::Conflict(conflict), Some(existing)) => {
                            prop_assert_ne!(existing, &command);
                            prop_assert_eq!(conflict.newest, accepted.len() as u64);
                        }
                        (Verdict::Gap(gap), None) => {
                            prop_assert!(index > accepted.len());
                            prop_assert_eq!(gap.next, accepted.len() as u64 + 1);
                        }
                        other => prop_assert!(false, "unexpected {:?}", other),
                    }
                    sent.push((command, verdict));
                }
                Step::Resend { index } if !sent.is_empty() => {
                    let (command, first_verdict) = sent[index % sent.len()].clone();
                    if matches!(first_verdict, Verdict::Accepted(_)) {
                        prop_assert_eq!(group.apply(&command), first_verdict);
                    }
                }
                Step::Resend { .. } => {}
                Step::Rebuild { replica } => group.rebuild(replica),
            }
            let history = group.replicas[0].store().history(Subject::Allowances);
            prop_assert_eq!(history.version(), accepted.len() as u64);
            if let Some(Command { operation: Some(Operation::Change(newest)) }) = accepted.last() {
                prop_assert_eq!(history.content(), newest.content.to_vec());
            }
        }
    }
}

#[test]
fn partial_change_is_decided_like_the_full_change() {
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
    assert!(matches!(group.apply(&partial), Verdict::Accepted(_)), "resend of a superseded change");
    let other = Command::compact_change(draft(2, &["a"]), &base);
    assert!(matches!(group.apply(&other), Verdict::Conflict(_)));
    let Some(Operation::Change(change)) =
        Command::compact_change(draft(2, &["x"]), &base).operation
    else {
        panic!()
    };
    let other_base = Operation::Change(pomelogate::list_state::Change { version: 4, ..change });
    assert!(
        matches!(group.apply(&other_base.into()), Verdict::Invalid(_)),
        "partial change to another base version"
    );
}

#[test]
fn changes_that_contradict_the_other_list_are_invalid() {
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
fn resend_beyond_kept_digests_is_answered_as_forgotten() {
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
fn stop_announcement_resent_after_withdrawal_has_no_effect() {
    let zone = Scope::Zone("jakarta-a".into());
    let mut group = Group::default();
    let announce = Command::announce("op-1", &zone);
    let first_verdict = group.apply(&announce);
    group.apply(&Command::withdraw("op-2", &zone));
    group.rebuild(0);
    assert_eq!(group.apply(&announce), first_verdict);
    assert_eq!(group.replicas[0].store().stops().scopes().count(), 0);
    assert!(matches!(group.apply(&Command::withdraw("op-1", &zone)), Verdict::Invalid(_)));
}

#[test]
fn fencing_numbers_increase_and_resend_gets_the_same_number() {
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
fn undecodable_command_is_invalid() {
    let mut machine = StateMachine::default();
    for bytes in [&b""[..], b"\xff\xff", b"\x0a\x02\x08\x09"] {
        let reply = Reply::decode(machine.apply(1, bytes)).expect("reply");
        assert!(matches!(reply.verdict, Some(Verdict::Invalid(_))));
    }
    assert!(machine.restore(b"\xff\xff").is_err());
}
