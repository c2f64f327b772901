//! Calls that run at most once, from concurrent callers while VMs, links and targets fail.
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
const PATH: &str = "/v1/services/jobs/book";
const CALLERS: usize = 4;
const FAULT: Duration = Duration::from_millis(1500);
const SERVICE: Duration = Duration::from_millis(30);
/// How long a caller waits before it takes its reply for lost.
const TIMEOUT_MS: &str = "2500";
const HOME: usize = 0;
const NEAR_TARGET: usize = 3;

/// What may go wrong.
#[derive(Clone, Copy)]
enum Trouble {
    KillRunner,
    KillHome,
    CutHome,
    CutTargetRegion,
    LoseAnswers,
    TruncateAnswers,
    LoseCalls,
}

/// Starts a service in Bandung behind a proxy.
async fn behind_proxy(grid: &Grid, delay: Duration) -> (Service, Proxy, Reporter) {
    let service = Service::start(delay).await.expect("the service starts");
    let proxy = Proxy::start(service.address()).await;
    let offer = targets::service("jobs");
    let said: Announcement = targets::announcement("jobs-1", "bandung", proxy.address(), offer);
    let vms = vec![grid.operators.vms[NEAR_TARGET]];
    let reporter = Reporter::start(vms, Duration::from_millis(200), move || said.clone());
    (service, proxy, reporter)
}

async fn book(grid: &[std::net::SocketAddr], place: usize, key: &str) -> Option<Reply> {
    let caller = Caller::new("sample-key-crew-leads")
        .with("idempotency-key", key)
        .with("pomelogate-timeout-ms", TIMEOUT_MS);
    caller.send(grid[place], Method::POST, PATH, format!("crew of {key}")).await.ok()
}

fn text<'a>(reply: &'a Reply, name: &str) -> &'a str {
    reply.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Whether the home says that the outcome is unknown, and not merely that the call still runs.
fn is_unknown(reply: &Reply) -> bool {
    reply.outcome() == "unknown" && reply.body_text().contains("may have run under request")
}

/// What a reply tells its caller.
fn event(key: &str, reply: &Reply) -> Option<Event> {
    let key = key.to_owned();
    match reply.outcome() {
        "answered" if reply.whole => Some(Event::Answered { key, answer: reply.body_text() }),
        "refused" => {
            Some(Event::Refused { key, request: text(reply, "pomelogate-request").to_owned() })
        }
        _ => None,
    }
}

async fn disturb(grid: &mut Grid, target: &Proxy, trouble: Trouble) {
    let fault = |back| target.set(Faults { back, ..Faults::default() });
    match trouble {
        Trouble::KillRunner => grid.fleet.vms[NEAR_TARGET].kill(),
        Trouble::KillHome => grid.fleet.vms[HOME].kill(),
        Trouble::CutHome => grid.cut("jakarta"),
        Trouble::CutTargetRegion => grid.cut("bandung"),
        Trouble::LoseAnswers => fault(Fault { cut: true, ..Fault::default() }),
        Trouble::TruncateAnswers => fault(Fault { truncate: Some(20), ..Fault::default() }),
        Trouble::LoseCalls => target.cut(),
    }
    Timer::after(FAULT).await;
    match trouble {
        Trouble::KillRunner => grid.fleet.vms[NEAR_TARGET].start(),
        Trouble::KillHome => grid.fleet.vms[HOME].start(),
        _ => {
            grid.heal();
            target.heal();
        }
    }
    Timer::after(FAULT).await;
}

#[test]
fn no_key_runs_twice_and_no_refusal_ran_through_kills_cuts_and_lost_replies() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let (service, target, _reporter) = behind_proxy(&grid, SERVICE).await;
        let vms = grid.operators.vms.clone();
        eventually("a call is answered", async || {
            book(&vms, 1, "ready").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
        let (over, events) = (Cell::new(false), RefCell::new(Vec::new()));
        let turn = Cell::new(0);
        let answered_requests = RefCell::new(Vec::new());
        let call = async |caller: usize| {
            let mut random = StdRng::seed_from_u64(caller as u64);
            while !over.get() {
                // Few keys at a time, and always new ones.
                turn.set(turn.get() + 1);
                let key = format!("k-{}", turn.get() / 8);
                let place = random.random_range(0..vms.len());
                if let Some(reply) = book(&vms, place, &key).await {
                    if reply.outcome() == "answered" {
                        let request = text(&reply, "pomelogate-request");
                        answered_requests.borrow_mut().push(request.to_owned());
                    }
                    events.borrow_mut().extend(event(&key, &reply));
                }
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        let schedule = async {
            let mut troubles = [
                Trouble::KillRunner,
                Trouble::KillHome,
                Trouble::CutHome,
                Trouble::CutTargetRegion,
                Trouble::LoseAnswers,
                Trouble::TruncateAnswers,
                Trouble::LoseCalls,
            ];
            troubles.shuffle(&mut StdRng::seed_from_u64(5));
            for trouble in troubles {
                disturb(&mut grid, &target, trouble).await;
            }
            over.set(true);
        };
        futures_util::join!(schedule, futures_util::future::join_all((0..CALLERS).map(call)));
        let keys = turn.get() / 8;
        for number in 0..=keys {
            let key = format!("k-{number}");
            eventually("every key has its last word", async || {
                let Some(reply) = book(&vms, number % vms.len(), &key).await else { return false };
                events.borrow_mut().extend(event(&key, &reply));
                reply.outcome() == "answered" || is_unknown(&reply)
            })
            .await;
        }
        let calls = service.calls();
        let same = |call: &pomelogate::standin::Call| {
            call.request.as_ref().is_some_and(|id| answered_requests.borrow().contains(id))
        };
        assert!(calls.iter().any(same), "callers and targets hear of a request by one name");
        let ran = calls.into_iter().map(|call| Event::Ran {
            key: call.key.unwrap_or_default(),
            request: call.request.unwrap_or_default(),
            answer: format!("POST /book {}", call.body),
        });
        let told = events.take();
        let count = |wanted: fn(&Event) -> bool| told.iter().filter(|event| wanted(event)).count();
        let answered = count(|event| matches!(event, Event::Answered { .. }));
        let refused = count(|event| matches!(event, Event::Refused { .. }));
        println!("{keys} keys, {answered} answers, {refused} refusals");
        assert!(answered > 0 && refused > 0, "{keys} keys, {answered} answers, {refused} refusals");
        let history: Vec<Event> = ran.chain(told).collect();
        assert_eq!(violations(&history), []);
    });
}

#[test]
fn a_call_whose_vm_died_becomes_unknown_once_its_next_process_is_known() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let delay = Duration::from_secs(3600);
        let (service, _target, _reporter) = behind_proxy(&grid, delay).await;
        let vms = grid.operators.vms.clone();
        let long = Caller::new("sample-key-crew-leads").with("idempotency-key", "k-1");
        let body = || "crew of k-1".to_owned();
        let call = async {
            eventually("the call runs", async || {
                let call = long.send(vms[1], Method::POST, PATH, body());
                smol::future::or(async { drop(call.await) }, async {
                    eventually("a run", async || !service.calls().is_empty()).await;
                })
                .await;
                !service.calls().is_empty()
            })
            .await;
        };
        call.await;
        grid.fleet.vms[NEAR_TARGET].kill();
        grid.fleet.vms[NEAR_TARGET].start();
        grid.fleet.vms[NEAR_TARGET].ready().await;
        eventually("the outcome is unknown", async || {
            let reply = book(&vms, 1, "k-1").await;
            reply.is_some_and(|reply| is_unknown(&reply))
        })
        .await;
        assert_eq!(service.calls().len(), 1);
    });
}
