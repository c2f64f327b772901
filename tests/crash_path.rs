//! Requests that crash engines, sent through real VM processes.

mod support;

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use pomelogate::standin::{Caller, Engine, Fault, Pace, Reporter};
use smol::future;
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const CREW_LEADS_KEY: &str = "sample-key-crew-leads";
const SHIFT_PLANNERS_KEY: &str = "sample-key-shift-planners";
const CRASHING_PROMPT: &str = "poison";
const CHAT_PATH: &str = "/v1/chat/completions";
const SLOW_PACE: Pace =
    Pace { first: Duration::from_millis(400), between: Duration::from_millis(2), tokens: 8 };

/// Starts engines in one region that all crash on [`CRASHING_PROMPT`].
async fn start_engines(
    names: &[&str],
    region: &str,
    vms: &[SocketAddr],
) -> Vec<(Engine, Reporter)> {
    let mut engines = Vec::new();
    for name in names {
        let fault = Fault::CrashOn(CRASHING_PROMPT.to_owned());
        engines.push(targets::faulty(name, region, "planner", vms, SLOW_PACE, fault).await);
    }
    engines
}

/// Waits until each VM sends requests to each engine.
async fn wait_until_all_engines_are_used(vms: &[SocketAddr], engines: &[(Engine, Reporter)]) {
    let caller = Caller::new(CREW_LEADS_KEY).with("pomelogate-timeout-ms", "5000");
    for vm in vms {
        let before: Vec<u64> = engines.iter().map(|(engine, _)| engine.started()).collect();
        eventually("each engine gets requests from each VM", async || {
            let chats: Vec<_> = (0..6)
                .map(|number| format!("Ready? {number}"))
                .map(|text| {
                    let caller = caller.clone();
                    async move { caller.chat(*vm, "planner", &text, false).await }
                })
                .collect();
            let replies = futures_util::future::join_all(chats).await;
            replies.iter().all(|reply| reply.as_ref().is_ok_and(|reply| reply.status == 200))
                && engines
                    .iter()
                    .zip(&before)
                    .all(|((engine, _), before)| engine.started() > *before)
        })
        .await;
    }
}

async fn accepts_connections(engine: &Engine) -> bool {
    smol::net::TcpStream::connect(engine.address()).await.is_ok()
}

async fn count_alive(engines: &[(Engine, Reporter)]) -> usize {
    let mut alive = 0;
    for (engine, _) in engines {
        alive += usize::from(accepts_connections(engine).await);
    }
    alive
}

#[test]
fn a_request_that_crashed_two_engines_is_refused_by_every_vm() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 3)]).await;
        let vms: Vec<_> = (0..3).map(|index| fleet.callers(index)).collect();
        let engines = start_engines(&["one", "two", "three", "four"], "surabaya", &vms[..1]).await;
        wait_until_all_engines_are_used(&vms, &engines).await;
        let caller = Caller::new(CREW_LEADS_KEY);
        let first = caller.chat(vms[0], "planner", CRASHING_PROMPT, false).await.unwrap();
        assert_eq!(
            first.outcome(),
            "unknown",
            "the request ran, so it must not be reported as refused"
        );
        assert_eq!(count_alive(&engines).await, 2);
        for round in 0..2 {
            for vm in &vms {
                let again = caller.chat(*vm, "planner", CRASHING_PROMPT, false).await.unwrap();
                assert_eq!(
                    (again.status, again.outcome()),
                    (422, "refused"),
                    "round {round}, VM {vm}"
                );
                assert!(again.body_text().contains("crashing"), "{}", again.body_text());
            }
        }
        assert_eq!(count_alive(&engines).await, 2, "the refused requests should crash no engine");
        let harmless = caller.chat(vms[1], "planner", "Plan the night.", false).await.unwrap();
        assert_eq!(harmless.status, 200, "other requests of the same caller should run");
    });
}

/// Guards against evidence that is kept by the whole request: where one message crashes engines and
/// no two requests with it are alike, each of them crashed two more.
#[test]
fn a_message_that_crashed_three_engines_is_refused_by_every_vm_whatever_follows_it() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 3)]).await;
        let vms: Vec<_> = (0..3).map(|index| fleet.callers(index)).collect();
        let names = ["one", "two", "three", "four", "five", "six"];
        let engines = start_engines(&names, "surabaya", &vms[..1]).await;
        wait_until_all_engines_are_used(&vms, &engines).await;
        let caller = Caller::new(CREW_LEADS_KEY);
        let chat = async |vm: SocketAddr, context: &str, question: &str| {
            let messages = ["You plan shifts.", context, question]
                .map(|content| serde_json::json!({ "role": "user", "content": content }));
            let body = serde_json::json!({ "model": "planner", "messages": messages });
            caller.send(vm, Method::POST, CHAT_PATH, body.to_string()).await.expect("a reply")
        };
        let sound = chat(vms[2], "The crew is small.", "Who is free?").await;
        assert_eq!(sound.status, 200, "{}", sound.body_text());
        for (vm, question) in [(vms[0], "Who is free?"), (vms[1], "Who is late?")] {
            let reply = chat(vm, CRASHING_PROMPT, question).await;
            assert_eq!(reply.outcome(), "unknown", "it ran: {}", reply.body_text());
        }
        assert_eq!(count_alive(&engines).await, 3, "two engines by the first, one by the second");
        for vm in &vms {
            for number in 0..2 {
                let reply = chat(*vm, CRASHING_PROMPT, &format!("Who is {number} of {vm}?")).await;
                assert_eq!((reply.status, reply.outcome()), (422, "refused"));
                let reply = chat(*vm, "The crew is big.", &format!("Who is {number}?")).await;
                assert_eq!(reply.status, 200, "{}", reply.body_text());
            }
        }
        assert_eq!(count_alive(&engines).await, 3);
    });
}

#[test]
fn requests_in_flight_at_an_engine_crash_are_answered() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1)]).await;
        let vms = [fleet.callers(0)];
        let engines = start_engines(&["one", "two", "three", "four"], "surabaya", &vms).await;
        wait_until_all_engines_are_used(&vms, &engines).await;
        let bystander = Caller::new(SHIFT_PLANNERS_KEY);
        let total_started = |engines: &[(Engine, Reporter)]| -> u64 {
            engines.iter().map(|(engine, _)| engine.started()).sum()
        };
        // Two requests per engine, so that some are in flight wherever the crashing request runs.
        let before = total_started(&engines);
        let chats =
            (0..8).map(|number| {
                let (bystander, vm) = (bystander.clone(), vms[0]);
                async move {
                    bystander.chat(vm, "planner", &format!("Plan night {number}."), false).await
                }
            });
        let culprit = async {
            eventually("the bystanders run", async || total_started(&engines) >= before + 8).await;
            Caller::new(CREW_LEADS_KEY)
                .chat(vms[0], "planner", CRASHING_PROMPT, false)
                .await
                .unwrap()
        };
        let (replies, culprit) = future::zip(futures_util::future::join_all(chats), culprit).await;
        for reply in replies {
            let reply = reply.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body_text());
        }
        assert_eq!(culprit.outcome(), "unknown");
        assert_eq!(count_alive(&engines).await, 2);
    });
}
