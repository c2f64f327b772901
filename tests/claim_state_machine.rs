//! Claims under retries through several VMs, crashes, lost replies, rebuilt replicas, full
//! records and lost disks.

#[path = "support/history.rs"]
#[allow(dead_code, reason = "a part is used")]
mod history;

use history::{Event, violations};
use pomelogate::{
    claim::{
        AcceptRisk, Claim, Command, MAX_CLOCK_SKEW, MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES,
        MarkComplete, MarkOutcomesUnknown, Operation, RETENTION, RISK_ACCEPTED, RecordOutcome,
        Release, Reply, StateMachine, StoredResponse, Verdict, request_digest,
    },
    replica::StateMachine as _,
};
use proptest::{prelude::*, test_runner::RngSeed};
use prost::{Message, bytes::Bytes};

const START: u64 = 10_000_000_000;

struct Home {
    machine: StateMachine,
    now: u64,
}

impl Home {
    fn new() -> Self {
        let mut home = Self { machine: StateMachine::default(), now: START };
        home.apply(Operation::MarkComplete(MarkComplete { complete_since_ms: 0 }));
        home
    }

    fn apply(&mut self, operation: Operation) -> Verdict {
        let command = Command { now_ms: self.now, operation: Some(operation) };
        let reply = self.machine.apply(0, &command.encode_to_vec());
        Reply::decode(reply).expect("reply").verdict.expect("verdict")
    }

    fn claim(&mut self, key: &str, request: &str) -> Verdict {
        self.apply(Operation::Claim(claim(key, request)))
    }

    fn settle(&mut self, key: &str, request: &str, answer: Option<&str>) -> Verdict {
        let answer = answer.map(|body| StoredResponse {
            status: 200,
            body: Bytes::from(body.to_owned()),
            ..StoredResponse::default()
        });
        let (customer, key, request) = ("crew".to_owned(), key.to_owned(), request.to_owned());
        self.apply(Operation::RecordOutcome(RecordOutcome { customer, key, request, answer }))
    }

    fn release(&mut self, key: &str, request: &str) -> Verdict {
        let (customer, key, request) = ("crew".to_owned(), key.to_owned(), request.to_owned());
        self.apply(Operation::Release(Release { customer, key, request }))
    }

    fn restart(&mut self) {
        let snapshot = self.machine.snapshot();
        let bytes = self.machine.reserved_bytes();
        self.machine = StateMachine::default();
        self.machine.restore(&snapshot).expect("snapshot");
        assert_eq!(self.machine.snapshot(), snapshot);
        assert_eq!(self.machine.reserved_bytes(), bytes);
    }
}

fn claim(key: &str, request: &str) -> Claim {
    Claim {
        customer: "crew".to_owned(),
        key: key.to_owned(),
        digest: request_digest("POST", "/bookings", key.as_bytes()),
        request: request.to_owned(),
        vm: "jakarta-1".to_owned(),
        incarnation: 1,
        created_ms: 0,
        deadline_ms: 0,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Attempt { key: u8, end: End },
    Late { place: usize },
    Restart,
    Age { minutes: u64 },
}

/// How a VM that was told to run a call goes on.
#[derive(Clone, Copy, Debug)]
enum End {
    Settled,
    SettledReplyLost,
    CrashedAfterRun,
    CrashedBeforeRun,
    NotDispatched,
    StillRunning,
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        Just(End::Settled),
        Just(End::SettledReplyLost),
        Just(End::CrashedAfterRun),
        Just(End::CrashedBeforeRun),
        Just(End::NotDispatched),
        Just(End::StillRunning),
    ];
    prop_oneof![
        6 => (0..4u8, end).prop_map(|(key, end)| Step::Attempt { key, end }),
        2 => (0..32usize).prop_map(|place| Step::Late { place }),
        1 => Just(Step::Restart),
        1 => (1..60u64).prop_map(|minutes| Step::Age { minutes }),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn attempt(home: &mut Home, key: &str, request: &str, end: End, events: &mut Vec<Event>) {
    let (key_text, request_text) = (key.to_owned(), request.to_owned());
    match home.claim(key, request) {
        Verdict::Run(_) => {}
        Verdict::Answered(answer) => {
            let answer = String::from_utf8(answer.body.to_vec()).expect("text");
            return events.push(Event::Answered { key: key_text, answer });
        }
        verdict if verdict.did_not_run() => {
            return events.push(Event::Refused { key: key_text, request: request_text });
        }
        _ => return,
    }
    if matches!(end, End::NotDispatched) {
        home.release(key, request);
        return events.push(Event::Refused { key: key_text, request: request_text });
    }
    let answer = format!("answer of {request}");
    if !matches!(end, End::CrashedBeforeRun) {
        let answer = answer.clone();
        events.push(Event::Ran { key: key_text.clone(), request: request_text, answer });
    }
    match end {
        End::Settled | End::SettledReplyLost => {
            home.settle(key, request, Some(&answer));
            if matches!(end, End::Settled) {
                events.push(Event::Answered { key: key_text, answer });
            }
        }
        End::CrashedAfterRun | End::CrashedBeforeRun => {
            home.apply(Operation::MarkOutcomesUnknown(MarkOutcomesUnknown {
                vm: "jakarta-1".to_owned(),
                below_incarnation: 2,
            }));
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_key_runs_twice_and_no_refusal_ran(steps in prop::collection::vec(step(), 1..40)) {
        let mut home = Home::new();
        let mut events = Vec::new();
        let mut requests: Vec<(String, String)> = Vec::new();
        for step in steps {
            match step {
                Step::Attempt { key, end } => {
                    let key = format!("key-{key}");
                    let request = format!("request-{}", requests.len());
                    attempt(&mut home, &key, &request, end, &mut events);
                    requests.push((key, request));
                }
                Step::Late { place } if !requests.is_empty() => {
                    let (key, request) = &requests[place % requests.len()];
                    let answer = format!("answer of {request}");
                    home.settle(key, request, Some(&answer));
                }
                Step::Late { .. } => {}
                Step::Restart => home.restart(),
                Step::Age { minutes } => home.now += minutes * 60_000,
            }
        }
        prop_assert_eq!(violations(&events), vec![]);
    }
}

#[test]
fn a_lost_reply_to_a_claim_is_answered_again_only_for_its_own_process() {
    let mut home = Home::new();
    assert!(matches!(home.claim("k", "r-1"), Verdict::Run(_)));
    assert!(matches!(home.claim("k", "r-1"), Verdict::Run(_)));
    let restarted = Claim { incarnation: 2, ..claim("k", "r-1") };
    assert!(matches!(home.apply(Operation::Claim(restarted)), Verdict::StillRunning(_)));
    assert!(matches!(home.claim("k", "r-2"), Verdict::StillRunning(_)));
    let other = Claim { digest: request_digest("POST", "/bookings", b"else"), ..claim("k", "r-3") };
    assert!(matches!(home.apply(Operation::Claim(other)), Verdict::Conflict(_)));
}

#[test]
fn unknown_stays_unknown() {
    let mut home = Home::new();
    let late = Claim { deadline_ms: START, ..claim("k", "r-0") };
    assert!(matches!(home.apply(Operation::Claim(late)), Verdict::Rejected(_)));
    home.apply(Operation::Claim(Claim { deadline_ms: START + 10, ..claim("k", "r-1") }));
    home.apply(Operation::MarkOutcomesUnknown(MarkOutcomesUnknown::default()));
    assert!(matches!(home.claim("k", "r-2"), Verdict::StillRunning(_)));
    home.now += 10;
    home.apply(Operation::MarkOutcomesUnknown(MarkOutcomesUnknown::default()));
    assert!(matches!(home.claim("k", "r-2"), Verdict::Unknown(_)));
    assert!(matches!(home.settle("k", "r-1", Some("late")), Verdict::Unknown(_)));
    assert!(matches!(home.release("k", "r-1"), Verdict::Rejected(_)));
    home.restart();
    assert!(matches!(home.claim("k", "r-2"), Verdict::Unknown(_)));
}

#[test]
fn a_home_that_lost_its_disk_vouches_for_nothing_old() {
    let mut home = Home::new();
    home.claim("k", "r-1");
    home.machine = StateMachine::default();
    assert!(matches!(home.claim("k", "r-2"), Verdict::RecordsIncomplete(_)));
    home.apply(Operation::MarkComplete(MarkComplete { complete_since_ms: START }));
    home.now += 5;
    assert!(matches!(home.claim("k", "r-3"), Verdict::RecordsIncomplete(_)));
    let young = Claim { created_ms: START + 1, ..claim("young", "r-4") };
    assert!(matches!(home.apply(Operation::Claim(young)), Verdict::Run(_)));
    let risk = |words: &str| {
        Operation::AcceptRisk(AcceptRisk {
            confirmation: words.to_owned(),
            operator: "ops".to_owned(),
        })
    };
    assert!(matches!(home.apply(risk("yes")), Verdict::Rejected(_)));
    assert!(matches!(home.claim("k", "r-5"), Verdict::RecordsIncomplete(_)));
    home.apply(risk(RISK_ACCEPTED));
    assert!(matches!(home.claim("k", "r-6"), Verdict::Run(_)));
}

#[test]
fn a_key_is_kept_for_retention_and_refused_after_it() {
    let mut home = Home::new();
    let made = Claim { created_ms: START, ..claim("k", "r-1") };
    assert!(matches!(home.apply(Operation::Claim(made.clone())), Verdict::Run(_)));
    home.settle("k", "r-1", Some("booked"));
    home.now += RETENTION.as_millis() as u64;
    assert!(matches!(home.apply(Operation::Claim(made.clone())), Verdict::Answered(_)));
    home.now += MAX_CLOCK_SKEW.as_millis() as u64 + 1;
    assert!(matches!(home.apply(Operation::Claim(made)), Verdict::TooOld(_)));
    assert_eq!((home.machine.key_count(), home.machine.reserved_bytes()), (0, 0));
    home.now = START;
    let old = Claim { created_ms: START, ..claim("k", "r-2") };
    assert!(matches!(home.apply(Operation::Claim(old)), Verdict::TooOld(_)), "time goes back");
}

#[test]
fn full_records_refuse_and_every_running_call_can_still_settle() {
    let mut home = Home::new();
    let mut count = 0;
    while matches!(home.claim(&format!("k-{count}"), "r"), Verdict::Run(_)) {
        count += 1;
    }
    assert!(matches!(home.claim("one more", "r"), Verdict::Full(_)));
    let body = "x".repeat(MAX_RESPONSE_BYTES);
    for place in 0..count {
        assert!(matches!(home.settle(&format!("k-{place}"), "r", Some(&body)), Verdict::Done(_)));
    }
    assert!(home.machine.reserved_bytes() <= MAX_TOTAL_BYTES);
    home.settle("k-0", "r", Some(&"x".repeat(MAX_RESPONSE_BYTES + 1)));
    assert!(matches!(home.claim("k-0", "r-2"), Verdict::Answered(_)));
}
