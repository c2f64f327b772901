//! Tests the checker in `support/history.rs`: which histories it accepts and which it rejects.

#[path = "support/history.rs"]
mod history;

use history::{Answer, Event, Operation, Recorder, Violation, violations};

fn change(version: u64, content: &str, answer: Option<Answer>) -> Operation {
    Operation::Change { version, content: content.to_owned(), answer }
}

fn read(version: u64, content: &str) -> Operation {
    Operation::Read { found: Some((version, content.to_owned())) }
}

fn is_linearizable(operations: &[Operation]) -> bool {
    let recorder = Recorder::default();
    for operation in operations {
        recorder.call(0, operation.clone());
        recorder.response(0, operation.clone());
    }
    recorder.linearizable()
}

const ACCEPTED: Option<Answer> = Some(Answer::Accepted);

#[test]
fn resends_conflicts_and_gaps_are_accepted() {
    assert!(is_linearizable(&[
        change(1, "a", ACCEPTED),
        change(2, "b", ACCEPTED),
        change(1, "a", ACCEPTED),
        change(1, "x", Some(Answer::Conflict)),
        change(4, "d", Some(Answer::Gap)),
        read(2, "b"),
    ]));
}

#[test]
fn contradictory_sequences_are_rejected() {
    let reverted = [change(1, "a", ACCEPTED), change(2, "b", ACCEPTED), read(1, "a")];
    let accepted_twice = [change(1, "a", ACCEPTED), change(1, "b", ACCEPTED)];
    let lost_change = [change(1, "a", ACCEPTED), Operation::Read { found: None }];
    let false_conflict = [change(1, "a", ACCEPTED), change(1, "a", Some(Answer::Conflict))];
    let false_gap = [change(1, "a", ACCEPTED), change(2, "b", Some(Answer::Gap))];
    for operations in [&reverted[..], &accepted_twice, &lost_change, &false_conflict, &false_gap] {
        assert!(!is_linearizable(operations), "{operations:?}");
    }
}

#[test]
fn only_one_of_two_concurrent_changes_may_be_accepted() {
    let race = |first_answer: Answer| {
        let recorder = Recorder::default();
        recorder.call(0, change(1, "a", None));
        recorder.call(1, change(1, "b", None));
        recorder.response(1, change(1, "b", ACCEPTED));
        recorder.response(0, change(1, "a", Some(first_answer)));
        recorder.linearizable()
    };
    assert!(race(Answer::Conflict));
    assert!(!race(Answer::Accepted));
}

#[test]
fn change_without_reply_may_apply_later_but_is_not_undone() {
    let reads_after_lost_reply = |reads: &[Option<(u64, String)>]| {
        let recorder = Recorder::default();
        recorder.call(0, change(1, "a", None));
        for found in reads {
            recorder.call(1, Operation::Read { found: None });
            recorder.response(1, Operation::Read { found: found.clone() });
        }
        recorder.linearizable()
    };
    let seen = Some((1, "a".to_owned()));
    assert!(reads_after_lost_reply(&[None, None]));
    assert!(reads_after_lost_reply(&[None, seen.clone()]));
    assert!(!reads_after_lost_reply(&[seen, None]));
}

#[test]
fn call_histories_that_break_at_most_once_are_rejected() {
    let ran = |request: &str| Event::Ran {
        key: "k".to_owned(),
        request: request.to_owned(),
        answer: "booked".to_owned(),
    };
    let answered =
        |answer: &str| Event::Answered { key: "k".to_owned(), answer: answer.to_owned() };
    let refused =
        |request: &str| Event::Refused { key: "k".to_owned(), request: request.to_owned() };
    assert!(violations(&[ran("r-1"), answered("booked"), refused("r-2")]).is_empty());
    let key = "k".to_owned();
    assert_eq!(violations(&[ran("r-1"), ran("r-2")]), [Violation::RanTwice { key: key.clone() }]);
    let request = "r-1".to_owned();
    assert_eq!(violations(&[refused("r-1"), ran("r-1")]), [Violation::RefusedButRan { request }]);
    let answer_of_another = [Violation::AnswerOfAnother { key }];
    assert_eq!(violations(&[ran("r-1"), answered("other")]), answer_of_another);
    assert_eq!(violations(&[answered("booked")]), answer_of_another);
}
