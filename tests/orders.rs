//! Orders to targets, given by processes of the real daemon that are frozen and killed.

mod support;

use std::time::{Duration, Instant};

use hyper::Method;
use pomelogate::{
    admin::Replicas,
    order::Message,
    settings::Orders,
    standin::{Caller, Manner, Received},
};
use support::{
    fleet::{Fleet, eventually},
    ordered::{self, OPERATOR, Ordered},
};

const REGIONS: [(&str, usize); 3] = [("jakarta", 2), ("surabaya", 1), ("bandung", 1)];
/// The longest time from an order's decision to its deadline.
const DEADLINE_MS: u64 = 400;

fn caller() -> Caller {
    Caller::new("sample-key-crew-leads")
}

async fn answers(fleet: &Fleet, place: usize) -> bool {
    let reply = caller().chat(fleet.callers(place), "planner", "one two", false).await;
    reply.is_ok_and(|reply| reply.status == 200 && reply.body_text().contains("one two"))
}

async fn holds(engine: &Ordered) {
    eventually("the engine gets the model", async || engine.held() == 1).await;
}

async fn gets_orders(engine: &Ordered, count: usize) {
    let enough = async || engine.loader.received().len() >= count;
    eventually("the engine gets more orders", enough).await;
}

async fn gets_new_number(engine: &Ordered, above: u64) -> u64 {
    let newest = || engine.loader.received().last().map_or(0, |last| last.order.fence);
    eventually("an order with a new number comes", async || newest() > above).await;
    newest()
}

/// The place of the VM that leads the group of the lists.
async fn leader(fleet: &Fleet) -> Option<usize> {
    let ask = async |place: usize| {
        let path = "/admin/v1/replicas";
        let at = fleet.callers(place);
        let reply = Caller::new(OPERATOR).send(at, Method::GET, path, String::new()).await.ok()?;
        let replicas: Replicas = serde_json::from_slice(&reply.body).ok()?;
        replicas.replicas.into_iter().find(|replica| replica.leader).map(|replica| replica.vm)
    };
    let vm = ask(2).await?;
    fleet.vms.iter().position(|process| process.settings.vm == vm)
}

#[test]
fn a_permitted_model_that_nobody_serves_is_loaded_and_requests_succeed() {
    smol::block_on(async {
        let orders = Orders { loads: 1, window_ms: 2000, ..ordered::planner(2) };
        let (fleet, _folder) = ordered::fleet(&REGIONS, &orders).await;
        assert!(!answers(&fleet, 0).await, "nobody serves it yet");
        let store = ordered::store(Duration::from_millis(100));
        let mut engines = Vec::new();
        for (region, places) in [("jakarta", [0, 1]), ("bandung", [3, 3])] {
            let vms = ordered::callers(&fleet, &places);
            for (number, manner) in
                [Manner::Fenced, Manner::Unfenced, Manner::Fenced].into_iter().enumerate()
            {
                let name = format!("{region}-engine-{number}");
                engines.push(ordered::engine(&name, region, manner, &store, &vms).await);
            }
        }
        let held = |range: &[Ordered]| range.iter().map(Ordered::held).sum::<usize>();
        let enough = async || held(&engines[..3]) == 2 && held(&engines[3..]) == 2;
        eventually("each region holds the model twice", enough).await;
        for place in [0, 1, 2, 3] {
            eventually("a request is answered", async || answers(&fleet, place).await).await;
        }
        for region in [&engines[..3], &engines[3..]] {
            keeps_rate(region, &orders);
        }
    });
}

/// An order arrives within its deadline, so arrivals may be that much closer than decisions.
fn keeps_rate(engines: &[Ordered], orders: &Orders) {
    let window = Duration::from_millis(orders.window_ms - DEADLINE_MS);
    let mut loads: Vec<Instant> = engines
        .iter()
        .flat_map(|engine| engine.loader.received())
        .map(|received| received.at)
        .collect();
    loads.sort();
    for (place, at) in loads.iter().enumerate() {
        let within = loads[place..].iter().filter(|other| **other - *at < window).count();
        assert!(within <= orders.loads, "{within} loads within {window:?}");
    }
}

#[test]
fn a_refusing_target_is_left_alone_while_others_get_the_model() {
    smol::block_on(async {
        let orders = Orders { refusal_pause_ms: 600_000, ..ordered::planner(4) };
        let (fleet, _folder) = ordered::fleet(&REGIONS, &orders).await;
        let store = ordered::store(Duration::ZERO);
        let vms = ordered::callers(&fleet, &[0, 1]);
        let refusing = ordered::engine("engine-a", "jakarta", Manner::Refusing, &store, &vms).await;
        gets_orders(&refusing, 1).await;
        for name in ["engine-b", "engine-c", "engine-d"] {
            let willing = ordered::engine(name, "jakarta", Manner::Fenced, &store, &vms).await;
            holds(&willing).await;
        }
        let orders = refusing.loader.received();
        for order in &orders {
            let same = orders.iter().filter(|other| other.order.fence == order.order.fence);
            assert_eq!(same.count(), 1, "{orders:?}");
        }
    });
}

/// No order of an older number after one of a newer, nor within the older one's deadline.
fn never_cross(orders: &[Received]) {
    for pair in orders.windows(2) {
        let (earlier, later) = (&pair[0].order, &pair[1].order);
        assert!(earlier.fence <= later.fence, "{orders:?}");
        let sent = later.deadline_ms - DEADLINE_MS;
        assert!(earlier.fence == later.fence || earlier.deadline_ms <= sent, "{orders:?}");
    }
}

async fn send(to: &Ordered, order: &Message) -> u16 {
    let body = serde_json::to_string(order).unwrap();
    let at = to.engine.address();
    Caller::new("").send(at, Method::POST, "/orders", body).await.unwrap().status
}

#[test]
fn a_thawed_vm_gives_no_order_under_its_old_number() {
    smol::block_on(async {
        let (fleet, _folder) = ordered::fleet(&REGIONS, &ordered::planner(9)).await;
        let store = ordered::store(Duration::ZERO);
        let vms = ordered::callers(&fleet, &[1]);
        // It gets an order again and again, from whichever VM gives them.
        let probe = ordered::engine("probe", "jakarta", Manner::Refusing, &store, &vms).await;
        let first = gets_new_number(&probe, 0).await;
        let old = probe.loader.received().remove(0).order;
        fleet.vms[0].freeze();
        let second = gets_new_number(&probe, first).await;
        let fenced = ordered::engine("fenced", "jakarta", Manner::Fenced, &store, &vms).await;
        let unfenced = ordered::engine("unfenced", "jakarta", Manner::Unfenced, &store, &vms).await;
        holds(&fenced).await;
        holds(&unfenced).await;
        fleet.vms[0].thaw();
        assert_eq!(send(&fenced, &old).await, 409, "a message that was held up");
        let seen = probe.loader.received().len();
        gets_orders(&probe, seen + 4).await;
        let after = probe.loader.received();
        assert!(after[seen..].iter().all(|order| order.order.fence >= second), "{after:?}");
        never_cross(&after);
        never_cross(&unfenced.loader.received());
    });
}

#[test]
fn orders_go_on_when_their_giver_and_the_leader_of_the_lists_are_killed() {
    smol::block_on(async {
        let (mut fleet, _folder) = ordered::fleet(&REGIONS, &ordered::planner(9)).await;
        let vms = ordered::callers(&fleet, &[1]);
        let slow = ordered::store(Duration::from_secs(2));
        let first = ordered::engine("engine-a", "jakarta", Manner::Fenced, &slow, &vms).await;
        gets_orders(&first, 1).await;
        fleet.vms[0].kill();
        let second = ordered::engine("engine-b", "jakarta", Manner::Unfenced, &slow, &vms).await;
        holds(&first).await;
        holds(&second).await;
        eventually("a request is answered", async || answers(&fleet, 1).await).await;
        fleet.vms[0].start();
        fleet.vms[0].ready().await;
        let mut found = None;
        eventually("the lists have a leader", async || {
            found = leader(&fleet).await;
            found.is_some()
        })
        .await;
        fleet.vms[found.unwrap()].kill();
        let third = ordered::engine("engine-c", "jakarta", Manner::Fenced, &slow, &vms).await;
        holds(&third).await;
        for engine in [&first, &second, &third] {
            assert_eq!(engine.held(), 1, "loaded once");
            never_cross(&engine.loader.received());
        }
    });
}
