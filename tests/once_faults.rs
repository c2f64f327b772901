//! Calls that run at most once, from concurrent callers, while VMs, links and targets fail.
#![expect(clippy::print_stdout, reason = "figures of the run, shown with --nocapture")]

mod support;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use hyper::Method;
use pomelogate::{
    standin::{Caller, Reply, Reporter, Service},
    target::Announcement,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use smol::Timer;
use support::{
    fleet::eventually,
    grid::Grid,
    history::{Event, violations},
    proxy::{Fault, Faults, Proxy},
    targets,
};

const REGIONS: [(&str, usize); 3] = [("jakarta", 2), ("surabaya", 1), ("bandung", 1)];
const BOOK_PATH: &str = "/v1/services/jobs/book";
const CALLER_COUNT: usize = 4;
const FAULT_DURATION: Duration = Duration::from_millis(1500);
const SERVICE_DELAY: Duration = Duration::from_millis(30);
/// Request timeout of the callers, as sent in the header.
const TIMEOUT_MS: &str = "2500";
const HOME_VM: usize = 0;
const VM_OF_TARGET: usize = 3;

/// The faults that the test injects.
#[derive(Clone, Copy)]
enum InjectedFault {
    KillVmOfTarget,
    KillHome,
    CutHome,
    CutTargetRegion,
    LoseResponses,
    TruncateResponses,
    CutTarget,
}

/// Starts a service in Bandung behind a proxy.
async fn start_service_behind_proxy(grid: &Grid, delay: Duration) -> (Service, Proxy, Reporter) {
    let service = Service::start(delay).await.expect("the service starts");
    let proxy = Proxy::start(service.address()).await;
    let offer = targets::service("jobs");
    let announcement: Announcement =
        targets::announcement("jobs-1", "bandung", proxy.address(), offer);
    let vms = vec![grid.operators.vms[VM_OF_TARGET]];
    let reporter = Reporter::start(vms, Duration::from_millis(200), move || announcement.clone());
    (service, proxy, reporter)
}

async fn book(vms: &[std::net::SocketAddr], vm: usize, key: &str) -> Option<Reply> {
    let caller = Caller::new("sample-key-crew-leads")
        .with("idempotency-key", key)
        .with("pomelogate-timeout-ms", TIMEOUT_MS);
    caller.send(vms[vm], Method::POST, BOOK_PATH, format!("crew of {key}")).await.ok()
}

fn header_text<'a>(reply: &'a Reply, name: &str) -> &'a str {
    reply.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Whether the home region answered that the outcome is unknown for good, and not that the call is
/// still running.
fn is_unknown(reply: &Reply) -> bool {
    reply.outcome() == "unknown" && reply.body_text().contains("may have run under request")
}

/// The event that a reply stands for in the checked history, if any.
fn event(key: &str, reply: &Reply) -> Option<Event> {
    let key = key.to_owned();
    match reply.outcome() {
        "answered" if reply.whole => Some(Event::Answered { key, answer: reply.body_text() }),
        "refused" => Some(Event::Refused {
            key,
            request: header_text(reply, "pomelogate-request").to_owned(),
        }),
        _ => None,
    }
}

async fn inject_and_heal(grid: &mut Grid, target: &Proxy, injected: InjectedFault) {
    let set_response_fault = |back| target.set(Faults { back, ..Faults::default() });
    match injected {
        InjectedFault::KillVmOfTarget => grid.fleet.vms[VM_OF_TARGET].kill(),
        InjectedFault::KillHome => grid.fleet.vms[HOME_VM].kill(),
        InjectedFault::CutHome => grid.cut("jakarta"),
        InjectedFault::CutTargetRegion => grid.cut("bandung"),
        InjectedFault::LoseResponses => set_response_fault(Fault { cut: true, ..Fault::default() }),
        InjectedFault::TruncateResponses => {
            set_response_fault(Fault { truncate: Some(20), ..Fault::default() })
        }
        InjectedFault::CutTarget => target.cut(),
    }
    Timer::after(FAULT_DURATION).await;
    match injected {
        InjectedFault::KillVmOfTarget => grid.fleet.vms[VM_OF_TARGET].start(),
        InjectedFault::KillHome => grid.fleet.vms[HOME_VM].start(),
        _ => {
            grid.heal();
            target.heal();
        }
    }
    Timer::after(FAULT_DURATION).await;
}

#[test]
fn no_key_runs_twice_and_no_refused_request_runs_while_vms_and_links_fail() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let (service, target, _reporter) = start_service_behind_proxy(&grid, SERVICE_DELAY).await;
        let vms = grid.operators.vms.clone();
        eventually("a call is answered", async || {
            book(&vms, 1, "ready").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
        let (is_over, events) = (Cell::new(false), RefCell::new(Vec::new()));
        let call_count = Cell::new(0);
        let answered_requests = RefCell::new(Vec::new());
        let call = async |caller: usize| {
            let mut random = StdRng::seed_from_u64(caller as u64);
            while !is_over.get() {
                // Every eight calls share a key: callers race on few keys, and new ones keep coming.
                call_count.set(call_count.get() + 1);
                let key = format!("k-{}", call_count.get() / 8);
                let vm = random.random_range(0..vms.len());
                if let Some(reply) = book(&vms, vm, &key).await {
                    if reply.outcome() == "answered" {
                        let request = header_text(&reply, "pomelogate-request");
                        answered_requests.borrow_mut().push(request.to_owned());
                    }
                    events.borrow_mut().extend(event(&key, &reply));
                }
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        let fault_schedule = async {
            let mut injected_faults = [
                InjectedFault::KillVmOfTarget,
                InjectedFault::KillHome,
                InjectedFault::CutHome,
                InjectedFault::CutTargetRegion,
                InjectedFault::LoseResponses,
                InjectedFault::TruncateResponses,
                InjectedFault::CutTarget,
            ];
            injected_faults.shuffle(&mut StdRng::seed_from_u64(5));
            for injected in injected_faults {
                inject_and_heal(&mut grid, &target, injected).await;
            }
            is_over.set(true);
        };
        futures_util::join!(
            fault_schedule,
            futures_util::future::join_all((0..CALLER_COUNT).map(call))
        );
        let last_key = call_count.get() / 8;
        for number in 0..=last_key {
            let key = format!("k-{number}");
            eventually("every key has its final outcome", async || {
                let Some(reply) = book(&vms, number % vms.len(), &key).await else { return false };
                events.borrow_mut().extend(event(&key, &reply));
                reply.outcome() == "answered" || is_unknown(&reply)
            })
            .await;
        }
        let calls = service.calls();
        let has_answered_request = |call: &pomelogate::standin::Call| {
            call.request.as_ref().is_some_and(|id| answered_requests.borrow().contains(id))
        };
        assert!(
            calls.iter().any(has_answered_request),
            "callers and targets get the same request identifier"
        );
        let run_events = calls.into_iter().map(|call| Event::Ran {
            key: call.key.unwrap_or_default(),
            request: call.request.unwrap_or_default(),
            answer: format!("POST /book {}", call.body),
        });
        let reply_events = events.take();
        let count =
            |wanted: fn(&Event) -> bool| reply_events.iter().filter(|event| wanted(event)).count();
        let answered = count(|event| matches!(event, Event::Answered { .. }));
        let refused = count(|event| matches!(event, Event::Refused { .. }));
        println!("{last_key} keys, {answered} answers, {refused} refusals");
        assert!(
            answered > 0 && refused > 0,
            "{last_key} keys, {answered} answers, {refused} refusals"
        );
        let history: Vec<Event> = run_events.chain(reply_events).collect();
        assert_eq!(violations(&history), []);
    });
}

#[test]
fn call_of_killed_vm_becomes_unknown_once_its_next_process_is_known() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let delay = Duration::from_secs(3600);
        let (service, _target, _reporter) = start_service_behind_proxy(&grid, delay).await;
        let vms = grid.operators.vms.clone();
        let caller = Caller::new("sample-key-crew-leads").with("idempotency-key", "k-1");
        let body = || "crew of k-1".to_owned();
        let call = async {
            eventually("the call runs", async || {
                let call = caller.send(vms[1], Method::POST, BOOK_PATH, body());
                smol::future::or(async { drop(call.await) }, async {
                    eventually("the service runs the call", async || !service.calls().is_empty())
                        .await;
                })
                .await;
                !service.calls().is_empty()
            })
            .await;
        };
        call.await;
        grid.fleet.vms[VM_OF_TARGET].kill();
        grid.fleet.vms[VM_OF_TARGET].start();
        grid.fleet.vms[VM_OF_TARGET].ready().await;
        eventually("the outcome is unknown", async || {
            let reply = book(&vms, 1, "k-1").await;
            reply.is_some_and(|reply| is_unknown(&reply))
        })
        .await;
        assert_eq!(service.calls().len(), 1);
    });
}
