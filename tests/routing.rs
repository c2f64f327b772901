//! Routing of requests by processes of the daemon: load balancing, spill to other regions, reserved
//! slots, retry budgets and batch requests.

mod support;

use std::{fs, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use hyper::Method;
use pomelogate::{
    http::RequestError,
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

const LEADS_KEY: &str = "sample-key-crew-leads";
const PLANNERS_KEY: &str = "sample-key-shift-planners";
/// Slots of a stand-in engine.
const SLOTS: u64 = 16;

fn pace(first_token_ms: u64) -> Pace {
    Pace { first: Duration::from_millis(first_token_ms), ..Pace::default() }
}

async fn chats(caller: &Caller, vm: SocketAddr, count: usize) -> Vec<Result<Reply, RequestError>> {
    let texts: Vec<_> = (0..count).map(|number| format!("Plan night {number}.")).collect();
    join_all(texts.iter().map(|text| caller.chat(vm, "planner", text, false))).await
}

fn answered(replies: &[Result<Reply, RequestError>]) -> usize {
    replies.iter().flatten().filter(|reply| reply.status == 200).count()
}

fn started(engines: &[(Engine, Reporter)]) -> Vec<u64> {
    engines.iter().map(|(engine, _)| engine.started()).collect()
}

#[test]
fn vms_with_the_same_load_reports_do_not_overload_one_engine() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 3)]).await;
        let vms: Vec<_> = (0..3).map(|vm_index| fleet.callers(vm_index)).collect();
        let mut engines = Vec::new();
        for name in ["one", "two", "three", "four"] {
            let engine = targets::engine(name, "surabaya", "planner", &vms[..1], pace(800));
            engines.push(engine.await);
        }
        let caller = Caller::new(LEADS_KEY);
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
            assert!(
                now - before <= SLOTS,
                "an engine gets more requests than it has slots while others have free slots"
            );
        }
    });
}

/// A folder with the sample lists, in which `change` has changed the entries of the allowances.
fn sample_lists_with(change: impl FnOnce(&mut serde_json::Value)) -> TempDir {
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

/// Two regions: the first with one engine, the second with three. The plan `planning` permits only
/// the first.
async fn two_regions(first_token_ms: u64) -> (Fleet, Vec<(Engine, Reporter)>) {
    let folder = sample_lists_with(|entries| {
        entries[1]["regions"] = serde_json::json!(["surabaya"]);
        entries[1]["limits"] = serde_json::json!({ "concurrency": 64, "queue": 64 });
    });
    let fleet = Fleet::with(deployment(folder.path(), &[("surabaya", 1), ("bandung", 1)])).await;
    let mut engines = Vec::new();
    for (name, vm_index) in [("near", 0), ("far-one", 1), ("far-two", 1), ("far-three", 1)] {
        let region = ["surabaya", "bandung"][vm_index];
        let vms = [fleet.callers(vm_index)];
        engines.push(targets::engine(name, region, "planner", &vms, pace(first_token_ms)).await);
    }
    (fleet, engines)
}

#[test]
fn requests_spill_to_another_region_only_at_peak_and_only_if_permitted() {
    smol::block_on(async {
        let (fleet, engines) = two_regions(500).await;
        let remote_started = || started(&engines)[1..].iter().sum::<u64>();
        let (leads, planners) = (Caller::new(LEADS_KEY), Caller::new(PLANNERS_KEY));
        let vm = fleet.callers(0);
        for vm_index in 0..2 {
            eventually("each region serves its own requests", async || {
                let before = started(&engines);
                let replies = chats(&leads, fleet.callers(vm_index), 1).await;
                let after = started(&engines);
                let own = if vm_index == 0 { after[0] > before[0] } else { after[0] == before[0] };
                own && answered(&replies) == 1
            })
            .await;
        }
        let before = remote_started();
        assert_eq!(answered(&chats(&leads, vm, 3).await), 3);
        assert_eq!(
            remote_started(),
            before,
            "no request spills while three of sixteen slots are in use"
        );
        assert_eq!(answered(&chats(&planners, vm, 40).await), 40);
        assert_eq!(
            remote_started(),
            before,
            "no request spills to a region that its plan does not permit"
        );
        eventually("requests spill to the other region at peak load", async || {
            answered(&chats(&leads, vm, 40).await) == 40 && remote_started() > before
        })
        .await;
    });
}

#[test]
fn a_region_reserves_slots_for_its_own_callers() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("surabaya", 1), ("bandung", 1)]).await;
        let (surabaya, bandung) = (fleet.callers(0), fleet.callers(1));
        let vms = [bandung];
        let pace = pace(25_000);
        let (engine, _reporter) = targets::engine("far", "bandung", "planner", &vms, pace).await;
        let own = Caller::new(LEADS_KEY);
        let impatient = Caller::new(LEADS_KEY).with("pomelogate-timeout-ms", "300");
        eventually("the other region sends requests to the engine", async || {
            let _ = chats(&impatient, surabaya, 1).await;
            engine.started() > 0
        })
        .await;
        let own_load = async {
            chats(&own, bandung, 14).await;
            panic!("the engine answered, although its first token takes 25 seconds");
        };
        let remote_requests = async {
            eventually("a request from the other region is refused", async || {
                let replies = chats(&impatient, surabaya, 1).await;
                replies.iter().flatten().any(|reply| reply.status == 429)
            })
            .await;
            let before = engine.started();
            let own = chats(&impatient, bandung, 1).await;
            let outcome = own[0].as_ref().unwrap().outcome().to_owned();
            assert_eq!(outcome, "unknown", "the request runs until its deadline");
            assert_eq!(
                engine.started(),
                before + 1,
                "a request of an own caller reaches the engine"
            );
        };
        future::or(own_load, remote_requests).await;
    });
}

#[test]
fn calls_of_a_plain_service_are_spread_over_its_targets() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vms = [fleet.callers(0)];
        let delay = Duration::from_millis(300);
        let (one, _one) = targets::plain("jobs-one", "jakarta", "jobs", &vms, delay).await;
        let (two, _two) = targets::plain("jobs-two", "jakarta", "jobs", &vms, delay).await;
        let caller = Caller::new(LEADS_KEY);
        let call = || caller.send(vms[0], Method::GET, "/v1/services/jobs/list", String::new());
        eventually("both targets get calls", async || {
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
        let caller = Caller::new(LEADS_KEY);
        eventually("each engine has got a request", async || {
            let _ = chats(&caller, vms[0], 1).await;
            started(&engines).iter().all(|started| *started > 0)
        })
        .await;
        let total = || started(&engines).iter().sum::<u64>();
        let before = total();
        assert_eq!(answered(&chats(&caller, vms[0], 40).await), 0);
        // Forty first attempts earn four retries, and the budget holds at most ten from before.
        let attempts = total() - before;
        assert!((40..=54).contains(&attempts), "{attempts} attempts");
    });
}

#[test]
fn batch_requests_complete_beside_interactive_ones_and_report_their_queue_wait() {
    const OPERATOR: &str = "operator-key";
    smol::block_on(async {
        let limits = serde_json::json!({ "concurrency": 2, "queue": 64 });
        let folder = sample_lists_with(|entries| entries[0]["limits"] = limits);
        let settings = deployment(folder.path(), &[("jakarta", 1)]);
        let operators = vec![list::hash_key(OPERATOR)];
        let settings = settings
            .into_iter()
            .map(|settings| Settings { operators: operators.clone(), ..settings });
        let fleet = Fleet::with(settings.collect()).await;
        let vms = [fleet.callers(0)];
        let (_engine, _reporter) =
            targets::engine("one", "jakarta", "planner", &vms, pace(30)).await;
        let caller = Caller::new(LEADS_KEY);
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
        assert!(
            batch["queue"]["max_ms"].as_u64().unwrap() > 0,
            "twelve requests wait for two concurrent ones"
        );
    });
}
