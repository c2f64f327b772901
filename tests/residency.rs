//! Requests stay in the regions that their plan permits, and are never handed over in a circle.

mod support;

use hyper::Method;
use pomelogate::{
    link::{Hub, Settings},
    standin::{Caller, Pace},
    wire::{Body, End, Handover, Hello, Need},
};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

/// The key of a customer whose plan permits only Surabaya and Bandung.
const PLANNERS_KEY: &str = "sample-key-shift-planners";

#[test]
fn a_vm_outside_the_permitted_regions_redirects_without_reading_the_body() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
        let (jakarta, surabaya) = (fleet.callers(0), fleet.callers(1));
        let (outside, _one) =
            targets::engine("outside", "jakarta", "planner", &[jakarta], Pace::default()).await;
        let (inside, _two) =
            targets::engine("inside", "surabaya", "planner", &[surabaya], Pace::default()).await;
        let caller = Caller::new(PLANNERS_KEY);
        eventually("the engine inside answers", async || {
            caller.chat(surabaya, "planner", "Ready?", false).await.unwrap().status == 200
        })
        .await;

        // A VM that read this body would refuse it, as it is not JSON.
        let path = "/v1/chat/completions";
        let reply = caller.send(jakarta, Method::POST, path, "no JSON".into()).await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (307, "refused"));
        let location = reply.headers["location"].to_str().unwrap();
        assert_eq!(location, format!("http://{surabaya}{path}"));
        assert_eq!(outside.started(), 0);
        assert!(inside.started() > 0);
    });
}

#[test]
fn a_request_never_reaches_a_target_outside_the_permitted_regions() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
        let (jakarta, surabaya) = (fleet.callers(0), fleet.callers(1));
        let (outside, _one) =
            targets::engine("outside", "jakarta", "planner", &[jakarta], Pace::default()).await;
        let leads = Caller::new("sample-key-crew-leads");
        eventually("Surabaya knows the engine in Jakarta", async || {
            leads.chat(surabaya, "planner", "Ready?", false).await.unwrap().status == 200
        })
        .await;
        let before = outside.started();
        let caller = Caller::new(PLANNERS_KEY);
        let reply = caller.chat(surabaya, "planner", "Stay.", false).await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (503, "refused"));
        assert_eq!(outside.started(), before);
    });
}

#[test]
fn a_vm_refuses_excess_and_circular_handovers_whatever_the_sender_counts() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1)]).await;
        let links = fleet.vms[0].settings.links;
        let handover_from = |from: &str, between: u32, within: u32, way: &[&str]| Handover {
            request_id: "r-1".to_owned(),
            customer: "crew-leads".to_owned(),
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            region_handovers: between,
            handovers_within_region: within,
            deadline_ms: 5_000,
            vms_crossed: way.iter().map(ToString::to_string).chain([from.to_owned()]).collect(),
            need: Some(Need { model: "planner".to_owned(), ..Need::default() }),
            target_path: "/v1/chat/completions".to_owned(),
            ..Handover::default()
        };
        let cases = [
            (
                "bandung",
                "bandung-1",
                handover_from("bandung-1", 1, 0, &["jakarta-1"]),
                "too_many_hops",
            ),
            ("surabaya", "surabaya-2", handover_from("surabaya-2", 1, 1, &[]), "too_many_hops"),
            (
                "bandung",
                "bandung-1",
                handover_from("bandung-1", 0, 0, &["surabaya-1"]),
                "too_many_hops",
            ),
            ("bandung", "bandung-1", handover_from("bandung-1", 0, 0, &[]), "no_target"),
        ];
        for (region, vm, handover, expected) in cases {
            let hello = Hello { vm: vm.into(), region: region.into(), ..Hello::default() };
            let (inbound, _receiver) = smol::channel::unbounded();
            let hub = Hub::new(hello, Settings::default(), inbound);
            let mut exchange = hub.hand_over(links, handover).await.unwrap();
            exchange.send(Body::End(End {})).await.unwrap();
            let Body::Abort(abort) = exchange.receive().await.unwrap() else {
                panic!("the handover was not refused");
            };
            assert!(abort.did_not_run);
            assert_eq!(abort.reason, format!("\"{expected}\""));
        }
    });
}
