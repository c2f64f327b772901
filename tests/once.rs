//! Calls that may run at most once, through real VM processes, some of which are killed.

mod support;

use std::time::Duration;

use hyper::Method;
use pomelogate::standin::{Caller, Reply, Reporter, Service};
use smol::{Timer, future};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const BOOK_PATH: &str = "/v1/services/jobs/book";

/// Starts three regions, with the service only in Bandung. The customer's home region is Jakarta.
async fn start_fleet_with_service(delay: Duration) -> (Fleet, (Service, Reporter)) {
    let fleet = Fleet::replicated(&[("jakarta", 2), ("surabaya", 1), ("bandung", 1)]).await;
    let vms = [fleet.callers(3)];
    let service = targets::plain("jobs-1", "bandung", "jobs", &vms, delay).await;
    (fleet, service)
}

fn caller(key: &str) -> Caller {
    Caller::new("sample-key-crew-leads").with("idempotency-key", key)
}

async fn book(fleet: &Fleet, vm: usize, key: &str, body: &str) -> Option<Reply> {
    let address = fleet.callers(vm);
    caller(key).send(address, Method::POST, BOOK_PATH, body.to_owned()).await.ok()
}

/// Waits until a call through each of `vms` is answered.
async fn wait_until_ready(fleet: &Fleet, vms: &[usize]) {
    for vm in vms {
        let key = format!("ready-{vm}");
        eventually("a call is answered", async || {
            book(fleet, *vm, &key, "ready").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
}

fn run_count(service: &Service, key: &str) -> usize {
    service.calls().iter().filter(|call| call.key.as_deref() == Some(key)).count()
}

#[test]
fn retry_through_any_vm_gets_first_response_and_does_not_run_again() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) = start_fleet_with_service(Duration::ZERO).await;
        wait_until_ready(&fleet, &[0]).await;
        let first = book(&fleet, 0, "k-1", "crew 7").await.unwrap();
        assert_eq!((first.status, first.outcome()), (200, "answered"));
        for vm in [0, 1, 2, 3] {
            let retry = book(&fleet, vm, "k-1", "crew 7").await.unwrap();
            assert_eq!((retry.status, &retry.body), (200, &first.body), "through VM {vm}");
        }
        let other = book(&fleet, 2, "k-1", "crew 8").await.unwrap();
        assert_eq!((other.status, other.outcome()), (422, "refused"));
        assert_eq!(run_count(&service, "k-1"), 1);
    });
}

#[test]
fn concurrent_retries_run_once() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) =
            start_fleet_with_service(Duration::from_millis(300)).await;
        wait_until_ready(&fleet, &[0, 1, 2, 3]).await;
        let calls = [0, 1, 2, 3].map(|vm| book(&fleet, vm, "k-2", "crew 7"));
        let replies = futures_util::future::join_all(calls).await;
        let replies: Vec<_> = replies.into_iter().map(|reply| reply.unwrap()).collect();
        for reply in &replies {
            let expected = matches!(reply.status, 200 | 409);
            assert!(expected, "{}: {}", reply.status, reply.body_text());
        }
        assert_eq!(run_count(&service, "k-2"), 1);
        assert!(replies.iter().any(|reply| reply.status == 200));
    });
}

#[test]
fn call_of_disconnected_caller_runs_once_and_its_response_is_kept() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) =
            start_fleet_with_service(Duration::from_millis(400)).await;
        wait_until_ready(&fleet, &[0]).await;
        let disconnect = async {
            eventually("the call runs", async || run_count(&service, "k-3") == 1).await;
            None
        };
        future::or(book(&fleet, 0, "k-3", "crew 7"), disconnect).await;
        eventually("the first response is kept", async || {
            let retry = book(&fleet, 2, "k-3", "crew 7").await.unwrap();
            assert!(matches!(retry.status, 200 | 409), "{}", retry.body_text());
            retry.status == 200
        })
        .await;
        assert_eq!(run_count(&service, "k-3"), 1);
    });
}

#[test]
fn call_of_vm_killed_while_running_it_is_unknown_and_never_runs_again() {
    smol::block_on(async {
        let (mut fleet, (service, _reporter)) =
            start_fleet_with_service(Duration::from_millis(400)).await;
        wait_until_ready(&fleet, &[0, 2]).await;
        let kill = async {
            eventually("the call runs", async || run_count(&service, "k-4") == 1).await;
            None
        };
        future::or(book(&fleet, 0, "k-4", "crew 7"), kill).await;
        fleet.vms[3].kill();
        fleet.vms[3].start();
        fleet.vms[3].ready().await;
        for _ in 0..10 {
            for vm in [0, 2] {
                if let Some(reply) = book(&fleet, vm, "k-4", "crew 7").await {
                    assert_ne!(reply.outcome(), "answered");
                }
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(run_count(&service, "k-4"), 1);
    });
}

#[test]
fn unreachable_home_refuses_calls_and_its_claims_survive_a_kill() {
    smol::block_on(async {
        let (mut fleet, (service, _reporter)) = start_fleet_with_service(Duration::ZERO).await;
        wait_until_ready(&fleet, &[2]).await;
        let first = book(&fleet, 2, "k-5", "crew 7").await.unwrap();
        assert_eq!(first.status, 200);
        fleet.vms[0].kill();
        let refused = book(&fleet, 2, "k-6", "crew 8").await.unwrap();
        assert_eq!((refused.status, refused.outcome()), (503, "refused"));
        assert_eq!(run_count(&service, "k-6"), 0, "a refused call did not run");
        fleet.vms[0].start();
        fleet.vms[0].ready().await;
        eventually("the home region answers again", async || {
            let retry = book(&fleet, 2, "k-5", "crew 7").await.unwrap();
            assert!(retry.status == 503 || retry.body == first.body, "{}", retry.body_text());
            retry.status == 200
        })
        .await;
        assert_eq!(run_count(&service, "k-5"), 1);
    });
}
