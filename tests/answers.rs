//! Whole answers, or none: targets that cut, truncate, stall and crash, and callers that leave.

mod support;

use std::time::Duration;

use pomelogate::{
    http::RequestError,
    standin::{Caller, Engine, Fault, Pace, Reporter},
};
use smol::{Timer, future};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const LEADS: &str = "sample-key-crew-leads";
const TEXT: &str = "one two three four five six seven eight";
const SLOW: Pace =
    Pace { first: Duration::from_millis(20), between: Duration::from_millis(300), tokens: 100 };

/// Two regions with one VM each, and one engine for `planner` in the second.
async fn with_fault(fault: Fault, pace: Pace) -> (Fleet, (Engine, Reporter)) {
    let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
    let vms = [fleet.callers(1)];
    let engine = targets::faulty("far", "surabaya", "planner", &vms, pace, fault).await;
    (fleet, engine)
}

/// Waits until a request for `planner` through the first VM reaches the engine.
async fn known(fleet: &Fleet, engine: &Engine) {
    let caller = Caller::new(LEADS).with("pomelogate-timeout-ms", "300");
    eventually("the engine is known", async || {
        let _ = caller.chat(fleet.callers(0), "planner", "Ready?", false).await;
        engine.started() > 0
    })
    .await;
}

fn words(body: &str) -> String {
    body.lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| {
            event["choices"][0]["delta"]["content"].as_str().map(ToOwned::to_owned)
        })
        .collect()
}

#[test]
fn a_stream_cut_midway_resumes_and_is_whole() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            with_fault(Fault::CutStream { after: 3 }, Pace::default()).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS);
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, true).await.unwrap();
        assert!(reply.whole);
        assert_eq!(words(&reply.body_text()), TEXT);
        assert!(reply.body_text().trim_end().ends_with("data: [DONE]"));
    });
}

#[test]
fn a_stream_lost_midway_ends_in_an_error_and_never_cleanly() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            with_fault(Fault::LoseStream { after: 3 }, Pace::default()).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS);
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, true).await.unwrap();
        assert!(!reply.whole);
        assert!(reply.body_text().contains("event: error"), "{}", reply.body_text());
        assert!(!reply.body_text().contains("[DONE]"));
    });
}

#[test]
fn an_answer_cut_short_is_had_from_another_target_or_is_unknown() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) = with_fault(Fault::Truncate, Pace::default()).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS);
        let alone = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
        assert_eq!((alone.status, alone.outcome()), (502, "unknown"));

        let vms = [fleet.callers(1)];
        let _sound = targets::engine("sound", "surabaya", "planner", &vms, Pace::default()).await;
        eventually("the sound engine answers", async || {
            let reply = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
            assert!(reply.outcome() == "unknown" || reply.body_text().contains(TEXT));
            reply.status == 200 && reply.whole
        })
        .await;
    });
}

#[test]
fn a_crashed_target_never_makes_a_request_count_as_not_run() {
    smol::block_on(async {
        let fault = Fault::CrashOn("poison".to_owned());
        let (fleet, (engine, _reporter)) = with_fault(fault, Pace::default()).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS);
        let reply = caller.chat(fleet.callers(0), "planner", "poison", false).await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
    });
}

#[test]
fn a_silent_target_is_unknown_at_the_deadline() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) = with_fault(Fault::Silent, Pace::default()).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS).with("pomelogate-timeout-ms", "300");
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
        assert_eq!(reply.outcome(), "unknown");
    });
}

#[test]
fn an_overloaded_target_is_passed_over() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) = with_fault(Fault::Overloaded, Pace::default()).await;
        known(&fleet, &engine).await;
        let vms = [fleet.callers(1)];
        let _sound = targets::engine("sound", "surabaya", "planner", &vms, Pace::default()).await;
        let caller = Caller::new(LEADS);
        eventually("the sound engine answers", async || {
            let reply = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
            reply.status == 200
        })
        .await;
    });
}

#[test]
fn a_caller_that_leaves_frees_the_target_in_another_region() {
    smol::block_on(async {
        for stream in [false, true] {
            let (fleet, (engine, _reporter)) = with_fault(Fault::None, SLOW).await;
            known(&fleet, &engine).await;
            let (started, before) = (engine.started(), engine.cancelled());
            let caller = Caller::new(LEADS);
            let chat = caller.chat(fleet.callers(0), "planner", TEXT, stream);
            let gone = async {
                eventually("the engine has the request", async || engine.started() > started).await;
                Timer::after(Duration::from_millis(100)).await;
                Err(RequestError::OutcomeUnknown("the caller left".to_owned()))
            };
            let reply = future::or(chat, gone).await;
            assert!(reply.is_err(), "the caller left before the answer was whole");
            eventually("the engine stops", async || engine.cancelled() > before).await;
        }
    });
}

#[test]
fn a_planned_stop_of_a_vm_cuts_nothing_in_flight() {
    smol::block_on(async {
        let pace = Pace { between: Duration::from_millis(60), ..Pace::default() };
        let (mut fleet, (engine, _reporter)) = with_fault(Fault::None, pace).await;
        known(&fleet, &engine).await;
        let caller = Caller::new(LEADS);
        let started = engine.started();
        let (jakarta, surabaya) = (fleet.callers(0), fleet.callers(1));
        let streams = future::zip(
            caller.chat(jakarta, "planner", TEXT, true),
            caller.chat(surabaya, "planner", TEXT, true),
        );
        let stop = async {
            eventually("both streams run", async || engine.started() == started + 2).await;
            let codes = smol::unblock(move || {
                let codes = [fleet.vms[1].terminate(), fleet.vms[0].terminate()];
                (codes, fleet)
            });
            codes.await
        };
        let ((near, far), (codes, _fleet)) = future::zip(streams, stop).await;
        for reply in [near.unwrap(), far.unwrap()] {
            assert!(reply.whole);
            assert_eq!(words(&reply.body_text()), TEXT);
        }
        assert_eq!(codes, [Some(0), Some(0)]);
    });
}
