//! Placement on the path, through processes of the real daemon.

mod support;

use std::{fs, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use hyper::Method;
use pomelogate::{
    http::Failure,
    list,
    settings::Settings,
    standin::{Caller, Engine, Fault, Pace, Reply, Reporter, deployment},
};
use smol::future;
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};
use tempfile::TempDir;

const LEADS: &str = "sample-key-crew-leads";
const PLANNERS: &str = "sample-key-shift-planners";
/// Places in the batch of a stand-in engine.
const SLOTS: u64 = 16;

fn pace(first: u64) -> Pace {
    Pace { first: Duration::from_millis(first), ..Pace::default() }
}

async fn chats(caller: &Caller, vm: SocketAddr, count: usize) -> Vec<Result<Reply, Failure>> {
    let texts: Vec<_> = (0..count).map(|number| format!("Plan night {number}.")).collect();
    join_all(texts.iter().map(|text| caller.chat(vm, "planner", text, false))).await
}

fn answered(replies: &[Result<Reply, Failure>]) -> usize {
    replies.iter().flatten().filter(|reply| reply.status == 200).count()
}

fn started(engines: &[(Engine, Reporter)]) -> Vec<u64> {
    engines.iter().map(|(engine, _)| engine.started()).collect()
}

#[test]
fn vms_that_see_the_same_reports_do_not_send_to_the_same_engine() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 3)]).await;
        let vms: Vec<_> = (0..3).map(|place| fleet.callers(place)).collect();
        let mut engines = Vec::new();
        for name in ["one", "two", "three", "four"] {
            let engine = targets::engine(name, "surabaya", "planner", &vms[..1], pace(800));
            engines.push(engine.await);
        }
        let caller = Caller::new(LEADS);
        for vm in &vms {
            eventually("each VM knows each engine", async || {
                let before = started(&engines);
                let replies = chats(&caller, *vm, 8).await;
                let all = started(&engines).iter().zip(&before).all(|(now, before)| now > before);
                all && answered(&replies) == 8
            })
            .await;
        }
        let before = started(&engines);
        let all = join_all(vms.iter().map(|vm| chats(&caller, *vm, 12))).await;
        assert!(all.iter().all(|replies| answered(replies) == 12));
        for (now, before) in started(&engines).iter().zip(&before) {
            assert!(now - before <= SLOTS, "a batch overflows while others have room");
        }
    });
}

/// The sample lists with a change of the allowances.
fn lists(change: impl FnOnce(&mut serde_json::Value)) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for name in ["plans.json", "names.json"] {
        fs::copy(samples().join(name), folder.path().join(name)).unwrap();
    }
    let text = fs::read_to_string(samples().join("allowances.json")).unwrap();
    let mut list: serde_json::Value = serde_json::from_str(&text).unwrap();
    change(&mut list["entries"]);
    fs::write(folder.path().join("allowances.json"), list.to_string()).unwrap();
    folder
}

/// Two regions, of which `planning` may use the first alone: one engine here, three there.
async fn two_regions(first: u64) -> (Fleet, Vec<(Engine, Reporter)>) {
    let folder = lists(|entries| {
        entries[1]["regions"] = serde_json::json!(["surabaya"]);
        entries[1]["limits"] = serde_json::json!({ "concurrency": 64, "queue": 64 });
    });
    let fleet = Fleet::with(deployment(folder.path(), &[("surabaya", 1), ("bandung", 1)])).await;
    let mut engines = Vec::new();
    for (name, place) in [("near", 0), ("far-one", 1), ("far-two", 1), ("far-three", 1)] {
        let region = ["surabaya", "bandung"][place];
        let vms = [fleet.callers(place)];
        engines.push(targets::engine(name, region, "planner", &vms, pace(first)).await);
    }
    (fleet, engines)
}

#[test]
fn requests_leave_the_region_at_its_peak_alone_and_only_where_permitted() {
    smol::block_on(async {
        let (fleet, engines) = two_regions(500).await;
        let far = || started(&engines)[1..].iter().sum::<u64>();
        let (leads, planners) = (Caller::new(LEADS), Caller::new(PLANNERS));
        let vm = fleet.callers(0);
        for place in 0..2 {
            eventually("each region answers by itself", async || {
                let before = started(&engines);
                let replies = chats(&leads, fleet.callers(place), 1).await;
                let after = started(&engines);
                let own = if place == 0 { after[0] > before[0] } else { after[0] == before[0] };
                own && answered(&replies) == 1
            })
            .await;
        }
        let before = far();
        assert_eq!(answered(&chats(&leads, vm, 3).await), 3);
        assert_eq!(far(), before, "three of sixteen places are no peak");
        assert_eq!(answered(&chats(&planners, vm, 40).await), 40);
        assert_eq!(far(), before, "their plan permits this region alone");
        eventually("requests leave at the peak", async || {
            answered(&chats(&leads, vm, 40).await) == 40 && far() > before
        })
        .await;
    });
}

#[test]
fn a_region_keeps_places_for_its_own_callers() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1), ("bandung", 1)]).await;
        let (surabaya, bandung) = (fleet.callers(0), fleet.callers(1));
        let vms = [bandung];
        let pace = pace(25_000);
        let (engine, _reporter) = targets::engine("far", "bandung", "planner", &vms, pace).await;
        let own = Caller::new(LEADS);
        let brief = Caller::new(LEADS).with("pomelogate-timeout-ms", "300");
        eventually("the engine is known in the other region", async || {
            let _ = chats(&brief, surabaya, 1).await;
            engine.started() > 0
        })
        .await;
        let flood = async {
            chats(&own, bandung, 14).await;
            panic!("the engine answers after 25 seconds, the test ends before");
        };
        let visits = async {
            eventually("a visitor is refused", async || {
                let replies = chats(&brief, surabaya, 1).await;
                replies.iter().flatten().any(|reply| reply.status == 429)
            })
            .await;
            let before = engine.started();
            let own = chats(&brief, bandung, 1).await;
            let outcome = own[0].as_ref().unwrap().outcome().to_owned();
            assert_eq!(outcome, "unknown", "it runs until its deadline");
            assert_eq!(engine.started(), before + 1, "an own caller is let in");
        };
        future::or(flood, visits).await;
    });
}

#[test]
fn calls_of_a_plain_service_are_spread() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vms = [fleet.callers(0)];
        let delay = Duration::from_millis(300);
        let (one, _one) = targets::plain("jobs-one", "jakarta", "jobs", &vms, delay).await;
        let (two, _two) = targets::plain("jobs-two", "jakarta", "jobs", &vms, delay).await;
        let caller = Caller::new(LEADS);
        let call = || caller.send(vms[0], Method::GET, "/v1/services/jobs/list", String::new());
        eventually("both are known and share the calls", async || {
            let before = (one.calls().len(), two.calls().len());
            let replies = join_all((0..8).map(|_| call())).await;
            let shares = (one.calls().len() - before.0, two.calls().len() - before.1);
            answered(&replies) == 8 && shares.0 >= 2 && shares.1 >= 2
        })
        .await;
    });
}

#[test]
fn retries_stay_within_the_customers_budget() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1)]).await;
        let vms = [fleet.callers(0)];
        let mut engines = Vec::new();
        for name in ["one", "two", "three"] {
            let fault = Fault::Overloaded;
            let engine = targets::faulty(name, "surabaya", "planner", &vms, pace(5), fault).await;
            engines.push(engine);
        }
        let caller = Caller::new(LEADS);
        eventually("each engine was tried", async || {
            let _ = chats(&caller, vms[0], 1).await;
            started(&engines).iter().all(|started| *started > 0)
        })
        .await;
        let total = || started(&engines).iter().sum::<u64>();
        let before = total();
        assert_eq!(answered(&chats(&caller, vms[0], 40).await), 0);
        // Forty first attempts earn four retries, and at most ten were saved up.
        let attempts = total() - before;
        assert!((40..=54).contains(&attempts), "{attempts} attempts");
    });
}

#[test]
fn batch_work_finishes_beside_interactive_work_and_waits_show_in_the_figures() {
    const OPERATOR: &str = "operator-key";
    smol::block_on(async {
        let limits = serde_json::json!({ "concurrency": 2, "queue": 64 });
        let folder = lists(|entries| entries[0]["limits"] = limits);
        let settings = deployment(folder.path(), &[("jakarta", 1)]);
        let operators = vec![list::hash_key(OPERATOR)];
        let settings = settings
            .into_iter()
            .map(|settings| Settings { operators: operators.clone(), ..settings });
        let fleet = Fleet::with(settings.collect()).await;
        let vms = [fleet.callers(0)];
        let (_engine, _reporter) =
            targets::engine("one", "jakarta", "planner", &vms, pace(30)).await;
        let caller = Caller::new(LEADS);
        eventually("the engine answers", async || answered(&chats(&caller, vms[0], 1).await) == 1)
            .await;
        let interactive = async {
            loop {
                assert_eq!(answered(&chats(&caller, vms[0], 8).await), 8);
            }
        };
        let batch = async {
            let batch = caller.clone().with("pomelogate-class", "batch");
            assert_eq!(answered(&chats(&batch, vms[0], 12).await), 12);
        };
        future::or(interactive, batch).await;
        let operator = Caller::new(OPERATOR);
        let figures = operator.send(vms[0], Method::GET, "/admin/v1/figures", String::new());
        let figures: serde_json::Value =
            serde_json::from_slice(&figures.await.unwrap().body).unwrap();
        let summaries = figures["summaries"].as_array().unwrap();
        let batch = summaries.iter().find(|summary| summary["class"] == "batch").unwrap();
        assert_eq!(batch["queue"]["count"], 12, "{batch}");
        assert!(batch["queue"]["max_ms"].as_u64().unwrap() > 0, "twelve share two places");
    });
}
