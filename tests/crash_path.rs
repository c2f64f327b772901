//! A request that crashes engines, through processes of the real daemon.

mod support;

use std::{net::SocketAddr, time::Duration};

use pomelogate::standin::{Caller, Engine, Fault, Pace, Reporter};
use smol::future;
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const LEADS: &str = "sample-key-crew-leads";
const PLANNERS: &str = "sample-key-shift-planners";
const POISON: &str = "poison";
const SLOW: Pace =
    Pace { first: Duration::from_millis(400), between: Duration::from_millis(2), tokens: 8 };

/// Engines in one region that all die of the same request.
async fn engines(names: &[&str], region: &str, vms: &[SocketAddr]) -> Vec<(Engine, Reporter)> {
    let mut engines = Vec::new();
    for name in names {
        let fault = Fault::CrashOn(POISON.to_owned());
        engines.push(targets::faulty(name, region, "planner", vms, SLOW, fault).await);
    }
    engines
}

/// Waits until every VM of the region spreads requests over every engine.
async fn all_known(vms: &[SocketAddr], engines: &[(Engine, Reporter)]) {
    let caller = Caller::new(LEADS).with("pomelogate-timeout-ms", "5000");
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

async fn accepts(engine: &Engine) -> bool {
    smol::net::TcpStream::connect(engine.address()).await.is_ok()
}

async fn alive(engines: &[(Engine, Reporter)]) -> usize {
    let mut alive = 0;
    for (engine, _) in engines {
        alive += usize::from(accepts(engine).await);
    }
    alive
}

#[test]
fn a_request_that_killed_two_engines_is_refused_through_every_vm() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 3)]).await;
        let vms: Vec<_> = (0..3).map(|place| fleet.callers(place)).collect();
        let engines = engines(&["one", "two", "three", "four"], "surabaya", &vms[..1]).await;
        all_known(&vms, &engines).await;
        let caller = Caller::new(LEADS);
        let first = caller.chat(vms[0], "planner", POISON, false).await.unwrap();
        assert_eq!(first.outcome(), "unknown", "it ran, so it is never said not to have run");
        assert_eq!(alive(&engines).await, 2);
        for round in 0..2 {
            for vm in &vms {
                let again = caller.chat(*vm, "planner", POISON, false).await.unwrap();
                assert_eq!((again.status, again.outcome()), (422, "refused"), "{round} {vm}");
                assert!(again.body_text().contains("crashing"), "{}", again.body_text());
            }
        }
        assert_eq!(alive(&engines).await, 2, "the others survive");
        let sound = caller.chat(vms[1], "planner", "Plan the night.", false).await.unwrap();
        assert_eq!(sound.status, 200, "other requests of the same caller run");
    });
}

#[test]
fn a_request_beside_the_one_that_crashes_its_engine_is_answered() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1)]).await;
        let vms = [fleet.callers(0)];
        let engines = engines(&["one", "two", "three", "four"], "surabaya", &vms).await;
        all_known(&vms, &engines).await;
        let bystander = Caller::new(PLANNERS);
        let started = |engines: &[(Engine, Reporter)]| -> u64 {
            engines.iter().map(|(engine, _)| engine.started()).sum()
        };
        // Two bystanders for each engine: some are in flight wherever the culprit goes.
        let before = started(&engines);
        let chats =
            (0..8).map(|number| {
                let (bystander, vm) = (bystander.clone(), vms[0]);
                async move {
                    bystander.chat(vm, "planner", &format!("Plan night {number}."), false).await
                }
            });
        let culprit = async {
            eventually("bystanders run", async || started(&engines) >= before + 8).await;
            Caller::new(LEADS).chat(vms[0], "planner", POISON, false).await.unwrap()
        };
        let (replies, culprit) = future::zip(futures_util::future::join_all(chats), culprit).await;
        for reply in replies {
            let reply = reply.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body_text());
        }
        assert_eq!(culprit.outcome(), "unknown");
        assert_eq!(alive(&engines).await, 2);
    });
}
