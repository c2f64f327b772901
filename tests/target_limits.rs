//! Targets that name a limit on requests, before several VMs that are processes of the real daemon.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use futures_util::future::{join, join_all};
use hyper::{Method, header::HeaderValue};
use pomelogate::standin::{Caller, Engine, Fault, Pace, Reply, Reporter, Service};
use smol::Timer;
use support::{
    fleet::{Fleet, eventually},
    targets,
    window::{SETTLING_TIME, WINDOW, bound, most_in_window},
};

const KEY: &str = "sample-key-crew-leads";
/// A stream that waits to be resumed counts in its customer's limit of concurrent requests, of which
/// each of many VMs has a share of one. The streams have a customer of their own.
const STREAMS_KEY: &str = "sample-key-shift-planners";
const BOOK_PATH: &str = "/v1/services/jobs/book";
const ONE_PER_SEC: HeaderValue = HeaderValue::from_static("1");
/// How long callers send requests after a limit is named.
const LOAD_TIME: Duration = SETTLING_TIME.saturating_add(WINDOW).saturating_add(WINDOW);
const PACE: Pace =
    Pace { first: Duration::from_millis(20), between: Duration::from_millis(5), tokens: 4 };

/// The stand-ins of all tests here share one thread. That of 95 processes, which holds this lock for
/// writing, would delay what the other tests measure.
static STANDINS: RwLock<()> = RwLock::new(());

/// Sends requests one after the other until `end`, and returns their replies and durations.
async fn send_until(
    end: Instant,
    pause: Duration,
    mut send: impl AsyncFnMut(usize) -> Option<Reply>,
) -> Vec<(Reply, Duration)> {
    let mut replies = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let sent_at = Instant::now();
        if let Some(reply) = send(number).await {
            replies.push((reply, sent_at.elapsed()));
        }
        Timer::after(pause).await;
    }
    replies
}

async fn chat(vm: SocketAddr, text: &str) -> Option<Reply> {
    Caller::new(KEY).chat(vm, "planner", text, false).await.ok()
}

async fn stream(vm: SocketAddr, text: &str) -> Option<Reply> {
    Caller::new(STREAMS_KEY).chat(vm, "planner", text, true).await.ok()
}

async fn start_engine(name: &str, vm: SocketAddr, fault: Fault) -> (Engine, Reporter) {
    targets::faulty(name, "surabaya", "planner", &[vm], PACE, fault).await
}

async fn start_slow_engine(name: &str, vm: SocketAddr) -> (Engine, Reporter) {
    let pace = Pace { between: Duration::from_millis(50), ..PACE };
    targets::faulty(name, "surabaya", "planner", &[vm], pace, Fault::None).await
}

async fn wait_until_served(vms: &[SocketAddr]) {
    for vm in vms {
        eventually("the VM answers", async || {
            chat(*vm, "Ready?").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
}

/// Guards against VMs that each send a target what it takes from all of them together, or do not
/// read its limit: seven VMs sent an engine with a limit of one a second all that came.
async fn check_engines(vm_count: usize) {
    let fleet = Fleet::start(&[("surabaya", vm_count)]).await;
    let vms: Vec<SocketAddr> = (0..vm_count).map(|vm| fleet.callers(vm)).collect();
    // A resumed stream is one more request to the engine.
    let (limited, _limited) = start_engine("limited", vms[0], Fault::CutStream { after: 2 }).await;
    let (free, _free) = start_engine("free", vms[0], Fault::None).await;
    wait_until_served(&vms).await;
    limited.name_limit(Some(ONE_PER_SEC));
    let named_at = Instant::now();
    let end = named_at + LOAD_TIME;
    let pause = Duration::from_millis(6) * u32::try_from(vm_count).expect("a small number");
    // The callers of the VMs begin one after the other, within one pause.
    let load = async |(begin, vm): (Duration, SocketAddr)| {
        Timer::after(begin).await;
        let plain = send_until(end, pause, async |number| {
            chat(vm, &format!("plan {number} of {vm}")).await
        });
        let streams = send_until(end, pause * 2, async |number| {
            stream(vm, &format!("stream {number} of {vm} in four words")).await
        });
        join(plain, streams).await
    };
    let begins = (0..).map(|vm| Duration::from_millis(6) * vm);
    let replies = join_all(begins.zip(vms).map(load)).await;
    for (reply, took) in replies.iter().flat_map(|(plain, _)| plain) {
        assert_eq!(reply.status, 200, "the other engine is free: {}", reply.body_text());
        assert!(*took < Duration::from_secs(2), "{took:?}");
    }
    for (reply, _) in replies.iter().flat_map(|(_, streams)| streams) {
        assert_eq!(reply.status, 200, "{}", reply.body_text());
    }
    let settled_at = named_at + SETTLING_TIME;
    let arrivals = limited.arrivals();
    let most = most_in_window(&arrivals, settled_at);
    let offsets: Vec<Duration> = arrivals.iter().map(|at| at.duration_since(named_at)).collect();
    assert!(most <= bound(1.0), "{most} requests in a window at {vm_count} VMs: {offsets:?}");
    let used = arrivals.iter().filter(|at| **at >= settled_at).count();
    assert!(used >= 3, "{used} requests in {:?}", LOAD_TIME - SETTLING_TIME);
    assert!(free.started() > limited.started());
}

#[test]
fn seven_vms_together_keep_the_limit_of_an_engine() {
    let _shared = STANDINS.read().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(check_engines(7));
}

#[test]
fn ninety_five_vms_together_keep_the_limit_of_an_engine() {
    let _alone = STANDINS.write().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(check_engines(95));
}

/// Guards against requests that nobody asked for: each stream that its caller leaves is discarded at
/// its target, and many callers may leave at once.
#[test]
fn streams_that_callers_leave_together_are_discarded_within_the_limit() {
    let _shared = STANDINS.read().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 2)]).await;
        let vms = [fleet.callers(0), fleet.callers(1)];
        let (engine, _reporter) = start_slow_engine("limited", vms[0]).await;
        wait_until_served(&vms).await;
        let ready_count = engine.started();
        let text: Arc<str> = "a long plan ".repeat(300).into();
        let streams: Vec<_> = (0..30)
            .map(|number| {
                let (vm, text) = (vms[number % 2], Arc::clone(&text));
                smol::spawn(async move { Caller::new(KEY).chat(vm, "planner", &text, true).await })
            })
            .collect();
        eventually("the streams have begun", async || engine.started() == ready_count + 30).await;
        engine.name_limit(Some(ONE_PER_SEC));
        for vm in vms {
            chat(vm, "Is there a limit?").await;
        }
        Timer::after(SETTLING_TIME).await;
        let left_at = Instant::now();
        drop(streams);
        Timer::after(WINDOW + WINDOW).await;
        let most = most_in_window(&engine.arrivals(), left_at);
        assert!(most <= bound(1.0), "{most} requests in a window");
        let discarded = engine.cancelled();
        assert!(discarded >= 4, "{discarded} streams were discarded in {:?}", WINDOW + WINDOW);
    });
}

/// Calls that may run at most once take their claims first, on a way of their own.
#[test]
fn vms_together_keep_the_limit_of_a_service_and_refuse_calls_at_once() {
    let _shared = STANDINS.read().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let fleet = Fleet::replicated(&[("jakarta", 7)]).await;
        let vms: Vec<SocketAddr> = (0..7).map(|vm| fleet.callers(vm)).collect();
        let delay = Duration::from_millis(20);
        let (service, _reporter): (Service, Reporter) =
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
        service.name_limit(Some(ONE_PER_SEC));
        let named_at = Instant::now();
        let end = named_at + LOAD_TIME;
        let load = async |vm: SocketAddr| {
            send_until(end, Duration::from_millis(60), async move |number| {
                book(vm, &format!("key-{vm}-{number}")).await
            })
            .await
        };
        let replies = join_all(vms.iter().map(|vm| load(*vm))).await;
        let most = most_in_window(&service.arrivals(), named_at + SETTLING_TIME);
        assert!(most <= bound(1.0), "{most} requests in a window");
        let refused: Vec<&(Reply, Duration)> =
            replies.iter().flatten().filter(|(reply, _)| reply.status != 200).collect();
        assert!(!refused.is_empty(), "more was asked than the service takes");
        for (reply, took) in refused {
            assert_eq!((reply.status, reply.outcome()), (429, "refused"), "{}", reply.body_text());
            assert!(reply.headers.contains_key("retry-after"));
            assert!(*took < Duration::from_secs(1), "refused only after {took:?}");
        }
        let used = service.arrivals().iter().filter(|at| **at >= named_at + SETTLING_TIME).count();
        assert!(used >= 3, "{used} calls after the limit had settled");
        service.name_limit(None);
        eventually("every VM is told that the limit has ended", async || {
            let replies = join_all(vms.iter().map(|vm| {
                let key = format!("after-{vm}-{:?}", Instant::now());
                async move { book(*vm, &key).await.is_some_and(|reply| reply.status == 200) }
            }));
            replies.await.into_iter().all(|served| served)
        })
        .await;
    });
}
