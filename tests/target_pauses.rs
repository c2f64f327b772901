//! Targets that ask for pauses, before several VMs that are processes of the real daemon.

mod support;

use std::{
    net::SocketAddr,
    sync::{PoisonError, RwLock},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use hyper::{Method, header::HeaderValue};
use pomelogate::standin::{Caller, Fault, Pace, Reply};
use smol::Timer;
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const KEY: &str = "sample-key-crew-leads";
const BOOK_PATH: &str = "/v1/services/jobs/book";
const PACE: Pace =
    Pace { first: Duration::from_millis(20), between: Duration::from_millis(5), tokens: 4 };
const PAUSE: Duration = Duration::from_secs(5);
const PAUSE_TEXT: HeaderValue = HeaderValue::from_static("5");
/// Requests later than this after a target asked for a pause count.
const ALLOWANCE: Duration = Duration::from_millis(500);
/// The most requests that a target may get from one VM in a pause, after the one that it refused.
const BOUND: usize = 2;

/// The stand-ins of all tests here share one thread. That of 95 processes, which holds this lock for
/// writing, would delay what the other tests measure.
static STANDINS: RwLock<()> = RwLock::new(());

async fn chat(vm: SocketAddr, text: &str) -> Option<Reply> {
    Caller::new(KEY).chat(vm, "planner", text, false).await.ok()
}

/// Each VM has a caller that sends one request after the other, so that what reaches the target in the
/// pause is bounded by the bound for each VM, and what each was refused first.
async fn check_engines(vm_count: usize) {
    let fleet = Fleet::start(&[("surabaya", vm_count)]).await;
    let vms: Vec<SocketAddr> = (0..vm_count).map(|vm| fleet.callers(vm)).collect();
    let start = async |name| {
        targets::faulty(name, "surabaya", "planner", &vms[..1], PACE, Fault::None).await
    };
    let (resting, _resting) = start("resting").await;
    let (free, _free) = start("free").await;
    for vm in &vms {
        eventually("the VM answers", async || {
            chat(*vm, "Ready?").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
    let asked_at = Instant::now();
    resting.ask_pauses(asked_at + PAUSE, PAUSE_TEXT);
    let pause = Duration::from_millis(8) * u32::try_from(vm_count).expect("a small number");
    let load = async |vm: SocketAddr| {
        let mut replies = Vec::new();
        for number in 0.. {
            if asked_at.elapsed() > PAUSE - ALLOWANCE {
                break;
            }
            replies.extend(chat(vm, &format!("plan {number} of {vm}")).await);
            Timer::after(pause).await;
        }
        replies
    };
    let replies = join_all(vms.iter().map(|vm| load(*vm))).await;
    for reply in replies.iter().flatten() {
        assert_eq!(reply.status, 200, "the other engine is free: {}", reply.body_text());
    }
    let count = resting.arrivals().iter().filter(|at| **at > asked_at).count();
    assert!(count > 0, "it is asked");
    assert!(count <= vm_count * (1 + BOUND), "{count} requests of {vm_count} VMs in a pause");
    assert!(free.started() > replies.iter().flatten().count() as u64 / 2);
    let before = resting.started();
    eventually("the engine gets requests again", async || {
        join_all(vms.iter().map(|vm| chat(*vm, "again"))).await;
        resting.started() > before + 3
    })
    .await;
}

/// Guards against a VM that does not read what an engine asks for.
#[test]
fn seven_vms_keep_the_pause_that_an_engine_asks_each_of_them_for() {
    let _shared = STANDINS.read().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(check_engines(7));
}

#[test]
fn ninety_five_vms_keep_the_pause_that_an_engine_asks_each_of_them_for() {
    let _alone = STANDINS.write().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(check_engines(95));
}

/// Calls that may run at most once take their claims first, on a way of their own.
#[test]
fn vms_keep_the_pause_of_a_service_and_refuse_calls_at_once() {
    let _shared = STANDINS.read().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let fleet = Fleet::replicated(&[("jakarta", 7)]).await;
        let vms: Vec<SocketAddr> = (0..7).map(|vm| fleet.callers(vm)).collect();
        let delay = Duration::from_millis(20);
        let (service, _reporter) =
            targets::plain("jobs-1", "jakarta", "jobs", &vms[..1], delay).await;
        let book = async |vm: SocketAddr, key: &str| {
            let caller = Caller::new(KEY).with("idempotency-key", key);
            caller.send(vm, Method::POST, BOOK_PATH, "crew 7".to_owned()).await.ok()
        };
        for vm in &vms {
            eventually("a call is answered", async || {
                let reply = book(*vm, &format!("ready-{vm}")).await;
                reply.is_some_and(|reply| reply.status == 200)
            })
            .await;
        }
        let asked_at = Instant::now();
        service.ask_pauses(asked_at + PAUSE, PAUSE_TEXT);
        let load = async |vm: SocketAddr| {
            for number in 0.. {
                if asked_at.elapsed() > PAUSE - ALLOWANCE {
                    break;
                }
                let sent_at = Instant::now();
                let reply = book(vm, &format!("key-{vm}-{number}")).await;
                if number > 0 {
                    let reply = reply.expect("a refusal");
                    assert_eq!(reply.status, 429, "{}", reply.body_text());
                    assert!(sent_at.elapsed() < Duration::from_secs(1), "at once");
                    let returns = reply.headers.get("retry-after").expect("when to come back");
                    let returns: f64 = returns.to_str().expect("text").parse().expect("seconds");
                    assert!(returns > 0.0);
                }
                Timer::after(Duration::from_millis(60)).await;
            }
        };
        join_all(vms.iter().map(|vm| load(*vm))).await;
        let count = service.arrivals().iter().filter(|at| **at > asked_at).count();
        assert!((1..=7 * (1 + BOUND)).contains(&count), "{count} calls in a pause");
    });
}
