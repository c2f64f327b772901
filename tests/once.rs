//! Calls that may run at most once, through processes that are killed at every point.

mod support;

use std::time::Duration;

use hyper::Method;
use pomelogate::standin::{Caller, Reply, Reporter, Service};
use smol::{Timer, future};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const PATH: &str = "/v1/services/jobs/book";

/// Three regions, and the service in Bandung alone; the customer's home is Jakarta.
async fn with_service(delay: Duration) -> (Fleet, (Service, Reporter)) {
    let fleet = Fleet::replicated(&[("jakarta", 2), ("surabaya", 1), ("bandung", 1)]).await;
    let vms = [fleet.callers(3)];
    let service = targets::plain("jobs-1", "bandung", "jobs", &vms, delay).await;
    (fleet, service)
}

fn caller(key: &str) -> Caller {
    Caller::new("sample-key-crew-leads").with("idempotency-key", key)
}

async fn book(fleet: &Fleet, place: usize, key: &str, body: &str) -> Option<Reply> {
    let vm = fleet.callers(place);
    caller(key).send(vm, Method::POST, PATH, body.to_owned()).await.ok()
}

/// Waits until a call through each VM of `places` is answered.
async fn ready(fleet: &Fleet, places: &[usize]) {
    for place in places {
        let key = format!("ready-{place}");
        eventually("a call is answered", async || {
            book(fleet, *place, &key, "ready").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
}

fn runs(service: &Service, key: &str) -> usize {
    service.calls().iter().filter(|call| call.key.as_deref() == Some(key)).count()
}

#[test]
fn a_retry_through_any_vm_gets_the_first_answer_and_no_second_run() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) = with_service(Duration::ZERO).await;
        ready(&fleet, &[0]).await;
        let first = book(&fleet, 0, "k-1", "crew 7").await.unwrap();
        assert_eq!((first.status, first.outcome()), (200, "answered"));
        for place in [0, 1, 2, 3] {
            let retry = book(&fleet, place, "k-1", "crew 7").await.unwrap();
            assert_eq!((retry.status, &retry.body), (200, &first.body), "through VM {place}");
        }
        let other = book(&fleet, 2, "k-1", "crew 8").await.unwrap();
        assert_eq!((other.status, other.outcome()), (422, "refused"));
        assert_eq!(runs(&service, "k-1"), 1);
    });
}

#[test]
fn concurrent_retries_run_once() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) = with_service(Duration::from_millis(300)).await;
        ready(&fleet, &[0, 1, 2, 3]).await;
        let calls = [0, 1, 2, 3].map(|place| book(&fleet, place, "k-2", "crew 7"));
        let replies = futures_util::future::join_all(calls).await;
        let replies: Vec<_> = replies.into_iter().map(|reply| reply.unwrap()).collect();
        for reply in &replies {
            let expected = matches!(reply.status, 200 | 409);
            assert!(expected, "{}: {}", reply.status, reply.body_text());
        }
        assert_eq!(runs(&service, "k-2"), 1);
        assert!(replies.iter().any(|reply| reply.status == 200));
    });
}

#[test]
fn a_caller_that_leaves_does_not_make_the_call_run_again() {
    smol::block_on(async {
        let (fleet, (service, _reporter)) = with_service(Duration::from_millis(400)).await;
        ready(&fleet, &[0]).await;
        let gone = async {
            eventually("the call runs", async || runs(&service, "k-3") == 1).await;
            None
        };
        future::or(book(&fleet, 0, "k-3", "crew 7"), gone).await;
        eventually("the first answer is kept", async || {
            let retry = book(&fleet, 2, "k-3", "crew 7").await.unwrap();
            assert!(matches!(retry.status, 200 | 409), "{}", retry.body_text());
            retry.status == 200
        })
        .await;
        assert_eq!(runs(&service, "k-3"), 1);
    });
}

#[test]
fn a_vm_killed_in_mid_call_leaves_it_unknown_and_never_runs_it_again() {
    smol::block_on(async {
        let (mut fleet, (service, _reporter)) = with_service(Duration::from_millis(400)).await;
        ready(&fleet, &[0, 2]).await;
        let kill = async {
            eventually("the call runs", async || runs(&service, "k-4") == 1).await;
            None
        };
        future::or(book(&fleet, 0, "k-4", "crew 7"), kill).await;
        fleet.vms[3].kill();
        fleet.vms[3].start();
        fleet.vms[3].ready().await;
        for _ in 0..10 {
            for place in [0, 2] {
                if let Some(reply) = book(&fleet, place, "k-4", "crew 7").await {
                    assert_ne!(reply.outcome(), "answered");
                }
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(runs(&service, "k-4"), 1);
    });
}

#[test]
fn a_home_that_cannot_be_reached_refuses_and_its_claims_survive_a_kill() {
    smol::block_on(async {
        let (mut fleet, (service, _reporter)) = with_service(Duration::ZERO).await;
        ready(&fleet, &[2]).await;
        let first = book(&fleet, 2, "k-5", "crew 7").await.unwrap();
        assert_eq!(first.status, 200);
        fleet.vms[0].kill();
        let refused = book(&fleet, 2, "k-6", "crew 8").await.unwrap();
        assert_eq!((refused.status, refused.outcome()), (503, "refused"));
        assert_eq!(runs(&service, "k-6"), 0, "refused did not run");
        fleet.vms[0].start();
        fleet.vms[0].ready().await;
        eventually("the home is back", async || {
            let retry = book(&fleet, 2, "k-5", "crew 7").await.unwrap();
            assert!(retry.status == 503 || retry.body == first.body, "{}", retry.body_text());
            retry.status == 200
        })
        .await;
        assert_eq!(runs(&service, "k-5"), 1);
    });
}
