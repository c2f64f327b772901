//! Name resolution, limits and queues, with requests sent through real VM processes.

mod support;

use std::{fs, time::Duration};

use futures_util::future::join_all;
use pomelogate::standin::{Caller, Pace, deployment};
use smol::{Timer, future};
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};

const CREW_LEADS_KEY: &str = "sample-key-crew-leads";

#[test]
fn an_alias_resolves_by_the_scheme_that_the_request_names() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vms = [fleet.callers(0)];
        let _one = targets::engine("one", "jakarta", "assistant", &vms, Pace::default()).await;
        let _two = targets::engine("two", "jakarta", "planner", &vms, Pace::default()).await;
        let caller = Caller::new(CREW_LEADS_KEY);
        eventually("both engines answer", async || {
            let one = caller.chat(vms[0], "assistant", "Ready?", false).await.unwrap();
            let two = caller.chat(vms[0], "planner", "Ready?", false).await.unwrap();
            one.status == 200 && two.status == 200
        })
        .await;
        for (scheme, engine) in [("station", "one"), ("legacy", "two")] {
            let caller = Caller::new(CREW_LEADS_KEY).with("pomelogate-scheme", scheme);
            let reply = caller.chat(vms[0], "standard", "Who is it?", false).await.unwrap();
            assert!(reply.way().ends_with(engine), "{scheme}: {}", reply.way());
            assert!(
                !reply.body_text().contains("standard"),
                "the target should get the canonical name"
            );
        }
    });
}

#[test]
fn a_batch_request_waits_until_a_target_starts() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
        let vms = [fleet.callers(1)];
        let batch = Caller::new(CREW_LEADS_KEY).with("pomelogate-class", "batch");
        let chat = batch.chat(fleet.callers(0), "planner", "Plan the night.", false);
        let start_engine = async {
            Timer::after(Duration::from_millis(600)).await;
            targets::engine("late", "surabaya", "planner", &vms, Pace::default()).await
        };
        let (reply, _engine) = future::zip(chat, start_engine).await;
        assert_eq!(reply.unwrap().status, 200);
    });
}

#[test]
fn requests_beyond_a_full_queue_are_refused_with_retry_after_and_the_others_answered() {
    smol::block_on(async {
        let data_dir = tempfile::tempdir().unwrap();
        for name in ["plans.json", "names.json"] {
            fs::copy(samples().join(name), data_dir.path().join(name)).unwrap();
        }
        let text = fs::read_to_string(samples().join("allowances.json")).unwrap();
        let mut list: serde_json::Value = serde_json::from_str(&text).unwrap();
        list["entries"][0]["limits"] = serde_json::json!({ "concurrency": 2, "queue": 3 });
        fs::write(data_dir.path().join("allowances.json"), list.to_string()).unwrap();
        let settings = deployment(data_dir.path(), &[("jakarta", 1)]);
        let fleet = Fleet::with(settings).await;
        let vms = [fleet.callers(0)];
        let pace = Pace { first: Duration::from_millis(400), ..Pace::default() };
        let (engine, _reporter) = targets::engine("one", "jakarta", "assistant", &vms, pace).await;
        let caller = Caller::new(CREW_LEADS_KEY);
        eventually("the engine answers", async || {
            caller.chat(vms[0], "assistant", "Ready?", false).await.unwrap().status == 200
        })
        .await;
        let served_before = engine.served();
        let chats = (0..8).map(|_| caller.chat(vms[0], "assistant", "All at once.", false));
        let replies: Vec<_> =
            join_all(chats).await.into_iter().map(|reply| reply.unwrap()).collect();
        let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 429).collect();
        let answered = replies.iter().filter(|reply| reply.status == 200).count();
        assert_eq!((answered, refused.len()), (5, 3));
        assert!(refused.iter().all(|reply| reply.headers.contains_key("retry-after")));
        assert_eq!(engine.served() - served_before, 5, "a refused request should not run");
    });
}
