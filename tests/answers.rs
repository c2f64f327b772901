//! Answers are complete or end with an error if targets cut, truncate, stall or crash. If a
//! caller disconnects, its request is cancelled; if a VM stops, streams in flight complete.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use pomelogate::{
    http::RequestError,
    standin::{Caller, Engine, Fault, Pace, Reporter},
};
use smol::{
    Timer, future,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const LEADS_KEY: &str = "sample-key-crew-leads";
const TEXT: &str = "one two three four five six seven eight";
const SLOW_PACE: Pace =
    Pace { first: Duration::from_millis(20), between: Duration::from_millis(300), tokens: 100 };

/// Two regions with one VM each, and one engine with `fault` for the model `planner` in the second.
async fn fleet_with_faulty_engine(fault: Fault, pace: Pace) -> (Fleet, (Engine, Reporter)) {
    let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
    let vms = [fleet.callers(1)];
    let engine = targets::faulty("far", "surabaya", "planner", &vms, pace, fault).await;
    (fleet, engine)
}

/// Waits until a request for the model `planner` to the first VM reaches the engine.
async fn wait_until_reachable(fleet: &Fleet, engine: &Engine) {
    let caller = Caller::new(LEADS_KEY).with("pomelogate-timeout-ms", "300");
    eventually("a request reaches the engine", async || {
        let _ = caller.chat(fleet.callers(0), "planner", "Ready?", false).await;
        engine.started() > 0
    })
    .await;
}

fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| {
            event["choices"][0]["delta"]["content"].as_str().map(ToOwned::to_owned)
        })
        .collect()
}

#[test]
fn a_stream_cut_midway_is_resumed_and_completes() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            fleet_with_faulty_engine(Fault::CutStream { after: 3 }, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY);
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, true).await.unwrap();
        assert!(reply.whole);
        assert_eq!(streamed_text(&reply.body_text()), TEXT);
        assert!(reply.body_text().trim_end().ends_with("data: [DONE]"));
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_with_an_error_event() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            fleet_with_faulty_engine(Fault::LoseStream { after: 3 }, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY);
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, true).await.unwrap();
        assert!(!reply.whole);
        assert!(reply.body_text().contains("event: error"), "{}", reply.body_text());
        assert!(!reply.body_text().contains("[DONE]"));
    });
}

/// Guards against a piece of the text being taken for the last event, where the target fails in the
/// middle of an event and nothing but its connection marks the end of the stream.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete_whatever_its_last_bytes() {
    const FIRST_EVENT: &str = "data: {\"choices\":[]}\n\n";
    let quoted = format!("{FIRST_EVENT}data: {{\"content\":\"it ends with data: [DONE]");
    smol::block_on(async {
        for (events, whole) in [
            (quoted, false),
            (format!("{FIRST_EVENT}data: [DONE]"), false),
            (format!("{FIRST_EVENT}data: [DONE]\n"), false),
            (format!("{FIRST_EVENT}data: [DONE]\n\n"), true),
            (format!("{FIRST_EVENT}data: [DONE]\r\n\r\n"), true),
            (format!("{FIRST_EVENT}data: [DONE]\n\n\n\n"), true),
        ] {
            let fleet = Fleet::start(&[("jakarta", 1)]).await;
            let address = serve_unframed_stream(events.clone()).await;
            let offer = targets::model("planner");
            let announcement = targets::announcement("raw", "jakarta", address, offer);
            let announce = move || announcement.clone();
            let _reporter = Reporter::start(vec![fleet.callers(0)], targets::RENEWAL, announce);
            let caller = Caller::new(LEADS_KEY);
            let mut reply = None;
            eventually("the target answers", async || {
                reply = caller.chat(fleet.callers(0), "planner", TEXT, true).await.ok();
                reply.as_ref().is_some_and(|reply| reply.status == 200)
            })
            .await;
            let reply = reply.expect("a reply");
            assert_eq!(reply.whole, whole, "{events:?}: {}", reply.body_text());
        }
    });
}

/// Starts a target that answers each request with `events` and then closes the connection.
async fn serve_unframed_stream(events: String) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(format!("{head}{events}").as_bytes()).await;
        }
    })
    .detach();
    address
}

#[test]
fn a_truncated_answer_is_retried_on_another_target_or_has_an_unknown_outcome() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            fleet_with_faulty_engine(Fault::Truncate, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY);
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
fn a_request_at_a_target_that_crashes_has_an_unknown_outcome() {
    smol::block_on(async {
        let fault = Fault::CrashOn("poison".to_owned());
        let (fleet, (engine, _reporter)) = fleet_with_faulty_engine(fault, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY);
        let reply = caller.chat(fleet.callers(0), "planner", "poison", false).await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
    });
}

#[test]
fn a_request_at_a_silent_target_has_an_unknown_outcome_at_its_deadline() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            fleet_with_faulty_engine(Fault::Silent, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY).with("pomelogate-timeout-ms", "300");
        let reply = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
        assert_eq!(reply.outcome(), "unknown");
    });
}

#[test]
fn a_request_succeeds_on_another_target_if_one_is_overloaded() {
    smol::block_on(async {
        let (fleet, (engine, _reporter)) =
            fleet_with_faulty_engine(Fault::Overloaded, Pace::default()).await;
        wait_until_reachable(&fleet, &engine).await;
        let vms = [fleet.callers(1)];
        let _sound = targets::engine("sound", "surabaya", "planner", &vms, Pace::default()).await;
        let caller = Caller::new(LEADS_KEY);
        eventually("the sound engine answers", async || {
            let reply = caller.chat(fleet.callers(0), "planner", TEXT, false).await.unwrap();
            reply.status == 200
        })
        .await;
    });
}

#[test]
fn a_caller_that_disconnects_cancels_its_request_in_another_region() {
    smol::block_on(async {
        for stream in [false, true] {
            let (fleet, (engine, _reporter)) =
                fleet_with_faulty_engine(Fault::None, SLOW_PACE).await;
            wait_until_reachable(&fleet, &engine).await;
            let (started, before) = (engine.started(), engine.cancelled());
            let caller = Caller::new(LEADS_KEY);
            let chat = caller.chat(fleet.callers(0), "planner", TEXT, stream);
            let disconnect = async {
                eventually("the engine has started the request", async || {
                    engine.started() > started
                })
                .await;
                Timer::after(Duration::from_millis(100)).await;
                Err(RequestError::OutcomeUnknown("the caller disconnected".to_owned()))
            };
            let reply = future::or(chat, disconnect).await;
            assert!(reply.is_err(), "the caller disconnected before the answer was complete");
            eventually("the engine cancels the request", async || engine.cancelled() > before)
                .await;
        }
    });
}

#[test]
fn a_terminated_vm_completes_the_streams_in_flight() {
    smol::block_on(async {
        let pace = Pace { between: Duration::from_millis(60), ..Pace::default() };
        let (mut fleet, (engine, _reporter)) = fleet_with_faulty_engine(Fault::None, pace).await;
        wait_until_reachable(&fleet, &engine).await;
        let caller = Caller::new(LEADS_KEY);
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
            assert_eq!(streamed_text(&reply.body_text()), TEXT);
        }
        assert_eq!(codes, [Some(0), Some(0)]);
    });
}
