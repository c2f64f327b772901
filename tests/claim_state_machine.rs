//! The state machine of the claims under retries through several VMs, crashes, lost replies,
//! restored snapshots, full records and lost disks.

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

const START_MS: u64 = 10_000_000_000;

struct Home {
    machine: StateMachine,
    now_ms: u64,
}

impl Home {
    fn new() -> Self {
        let mut home = Self { machine: StateMachine::default(), now_ms: START_MS };
        home.apply(Operation::MarkComplete(MarkComplete { complete_since_ms: 0 }));
        home
    }

    fn apply(&mut self, operation: Operation) -> Verdict {
        let command = Command { now_ms: self.now_ms, operation: Some(operation) };
        let reply = self.machine.apply(0, &command.encode_to_vec());
        Reply::decode(reply).expect("reply").verdict.expect("verdict")
    }

    fn claim(&mut self, key: &str, request: &str) -> Verdict {
        self.apply(Operation::Claim(claim(key, request)))
    }

    fn record_outcome(&mut self, key: &str, request: &str, response: Option<&str>) -> Verdict {
        let response = response.map(|body| StoredResponse {
            status: 200,
            body: Bytes::from(body.to_owned()),
            ..StoredResponse::default()
        });
        let (customer, key, request) = ("crew".to_owned(), key.to_owned(), request.to_owned());
        self.apply(Operation::RecordOutcome(RecordOutcome { customer, key, request, response }))
    }

    fn release(&mut self, key: &str, request: &str) -> Verdict {
        let (customer, key, request) = ("crew".to_owned(), key.to_owned(), request.to_owned());
        self.apply(Operation::Release(Release { customer, key, request }))
    }

    fn restore_from_snapshot(&mut self) {
        let snapshot = self.machine.snapshot();
        let reserved_bytes = self.machine.reserved_bytes();
        self.machine = StateMachine::default();
        self.machine.restore(&snapshot).expect("snapshot");
        assert_eq!(self.machine.snapshot(), snapshot);
        assert_eq!(self.machine.reserved_bytes(), reserved_bytes);
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
    LateOutcome { index: usize },
    RestoreFromSnapshot,
    AdvanceClock { minutes: u64 },
}

/// What becomes of a call after its VM was told to run it.
#[derive(Clone, Copy, Debug)]
enum End {
    Recorded,
    RecordedReplyLost,
    CrashedAfterRun,
    CrashedBeforeRun,
    NotDispatched,
    StillRunning,
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        Just(End::Recorded),
        Just(End::RecordedReplyLost),
        Just(End::CrashedAfterRun),
        Just(End::CrashedBeforeRun),
        Just(End::NotDispatched),
        Just(End::StillRunning),
    ];
    prop_oneof![
        6 => (0..4u8, end).prop_map(|(key, end)| Step::Attempt { key, end }),
        2 => (0..32usize).prop_map(|index| Step::LateOutcome { index }),
        1 => Just(Step::RestoreFromSnapshot),
        1 => (1..60u64).prop_map(|minutes| Step::AdvanceClock { minutes }),
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

fn attempt_call(home: &mut Home, key: &str, request: &str, end: End, events: &mut Vec<Event>) {
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
        End::Recorded | End::RecordedReplyLost => {
            home.record_outcome(key, request, Some(&answer));
            if matches!(end, End::Recorded) {
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
    fn no_key_runs_twice_and_no_refused_request_runs(steps in prop::collection::vec(step(), 1..40)) {
        let mut home = Home::new();
        let mut events = Vec::new();
        let mut requests: Vec<(String, String)> = Vec::new();
        for step in steps {
            match step {
                Step::Attempt { key, end } => {
                    let key = format!("key-{key}");
                    let request = format!("request-{}", requests.len());
                    attempt_call(&mut home, &key, &request, end, &mut events);
                    requests.push((key, request));
                }
                Step::LateOutcome { index } if !requests.is_empty() => {
                    let (key, request) = &requests[index % requests.len()];
                    let answer = format!("answer of {request}");
                    home.record_outcome(key, request, Some(&answer));
                }
                Step::LateOutcome { .. } => {}
                Step::RestoreFromSnapshot => home.restore_from_snapshot(),
                Step::AdvanceClock { minutes } => home.now_ms += minutes * 60_000,
            }
        }
        prop_assert_eq!(violations(&events), vec![]);
    }
}

#[test]
fn resent_claim_may_run_only_from_same_process() {
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
fn call_past_deadline_becomes_unknown_and_stays_so() {
    let mut home = Home::new();
    let expired = Claim { deadline_ms: START_MS, ..claim("k", "r-0") };
    assert!(matches!(home.apply(Operation::Claim(expired)), Verdict::Rejected(_)));
    home.apply(Operation::Claim(Claim { deadline_ms: START_MS + 10, ..claim("k", "r-1") }));
    home.apply(Operation::MarkOutcomesUnknown(MarkOutcomesUnknown::default()));
    assert!(matches!(home.claim("k", "r-2"), Verdict::StillRunning(_)));
    home.now_ms += 10;
    home.apply(Operation::MarkOutcomesUnknown(MarkOutcomesUnknown::default()));
    assert!(matches!(home.claim("k", "r-2"), Verdict::Unknown(_)));
    assert!(matches!(home.record_outcome("k", "r-1", Some("late")), Verdict::Unknown(_)));
    assert!(matches!(home.release("k", "r-1"), Verdict::Rejected(_)));
    home.restore_from_snapshot();
    assert!(matches!(home.claim("k", "r-2"), Verdict::Unknown(_)));
}

#[test]
fn home_that_lost_its_disk_refuses_keys_it_cannot_know() {
    let mut home = Home::new();
    home.claim("k", "r-1");
    home.machine = StateMachine::default();
    assert!(matches!(home.claim("k", "r-2"), Verdict::RecordsIncomplete(_)));
    home.apply(Operation::MarkComplete(MarkComplete { complete_since_ms: START_MS }));
    home.now_ms += 5;
    assert!(matches!(home.claim("k", "r-3"), Verdict::RecordsIncomplete(_)));
    let newer_key = Claim { created_ms: START_MS + 1, ..claim("young", "r-4") };
    assert!(matches!(home.apply(Operation::Claim(newer_key)), Verdict::Run(_)));
    let accept_risk = |words: &str| {
        Operation::AcceptRisk(AcceptRisk {
            confirmation: words.to_owned(),
            operator: "ops".to_owned(),
        })
    };
    assert!(matches!(home.apply(accept_risk("yes")), Verdict::Rejected(_)));
    assert!(matches!(home.claim("k", "r-5"), Verdict::RecordsIncomplete(_)));
    home.apply(accept_risk(RISK_ACCEPTED));
    assert!(matches!(home.claim("k", "r-6"), Verdict::Run(_)));
}

#[test]
fn key_is_kept_for_retention_and_refused_afterwards() {
    let mut home = Home::new();
    let claim_with_time = Claim { created_ms: START_MS, ..claim("k", "r-1") };
    assert!(matches!(home.apply(Operation::Claim(claim_with_time.clone())), Verdict::Run(_)));
    home.record_outcome("k", "r-1", Some("booked"));
    home.now_ms += RETENTION.as_millis() as u64;
    assert!(matches!(home.apply(Operation::Claim(claim_with_time.clone())), Verdict::Answered(_)));
    home.now_ms += MAX_CLOCK_SKEW.as_millis() as u64 + 1;
    assert!(matches!(home.apply(Operation::Claim(claim_with_time)), Verdict::TooOld(_)));
    assert_eq!((home.machine.key_count(), home.machine.reserved_bytes()), (0, 0));
    home.now_ms = START_MS;
    let old = Claim { created_ms: START_MS, ..claim("k", "r-2") };
    assert!(
        matches!(home.apply(Operation::Claim(old)), Verdict::TooOld(_)),
        "the clock does not go back"
    );
}

#[test]
fn full_records_refuse_claims_but_accept_outcomes_of_running_calls() {
    let mut home = Home::new();
    let mut claim_count = 0;
    while matches!(home.claim(&format!("k-{claim_count}"), "r"), Verdict::Run(_)) {
        claim_count += 1;
    }
    assert!(matches!(home.claim("one more", "r"), Verdict::Full(_)));
    let body = "x".repeat(MAX_RESPONSE_BYTES);
    for index in 0..claim_count {
        assert!(matches!(
            home.record_outcome(&format!("k-{index}"), "r", Some(&body)),
            Verdict::Done(_)
        ));
    }
    assert!(home.machine.reserved_bytes() <= MAX_TOTAL_BYTES);
    home.record_outcome("k-0", "r", Some(&"x".repeat(MAX_RESPONSE_BYTES + 1)));
    assert!(matches!(home.claim("k-0", "r-2"), Verdict::Answered(_)));
}
