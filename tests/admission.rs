//! Names, limits and waiting, through processes of the real daemon.

mod support;

use std::{fs, time::Duration};

use futures_util::future::join_all;
use pomelogate::standin::{Caller, Pace, deployment};
use smol::{Timer, future};
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};

const LEADS: &str = "sample-key-crew-leads";

#[test]
fn one_alias_means_what_the_named_scheme_says() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vms = [fleet.callers(0)];
        let _one = targets::engine("one", "jakarta", "assistant", &vms, Pace::default()).await;
        let _two = targets::engine("two", "jakarta", "planner", &vms, Pace::default()).await;
        let caller = Caller::new(LEADS);
        eventually("both engines answer", async || {
            let one = caller.chat(vms[0], "assistant", "Ready?", false).await.unwrap();
            let two = caller.chat(vms[0], "planner", "Ready?", false).await.unwrap();
            one.status == 200 && two.status == 200
        })
        .await;
        for (scheme, engine) in [("station", "one"), ("legacy", "two")] {
            let caller = Caller::new(LEADS).with("pomelogate-scheme", scheme);
            let reply = caller.chat(vms[0], "standard", "Who is it?", false).await.unwrap();
            assert!(reply.way().ends_with(engine), "{scheme}: {}", reply.way());
            assert!(!reply.body_text().contains("standard"), "the target sees canonical names");
        }
    });
}

#[test]
fn batch_work_waits_for_a_target_and_is_not_lost() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1), ("surabaya", 1)]).await;
        let vms = [fleet.callers(1)];
        let batch = Caller::new(LEADS).with("pomelogate-class", "batch");
        let chat = batch.chat(fleet.callers(0), "planner", "Plan the night.", false);
        let late = async {
            Timer::after(Duration::from_millis(600)).await;
            targets::engine("late", "surabaya", "planner", &vms, Pace::default()).await
        };
        let (reply, _engine) = future::zip(chat, late).await;
        assert_eq!(reply.unwrap().status, 200);
    });
}

#[test]
fn a_full_queue_is_refused_with_advice_and_everything_else_is_answered() {
    smol::block_on(async {
        let folder = tempfile::tempdir().unwrap();
        for name in ["plans.json", "names.json"] {
            fs::copy(samples().join(name), folder.path().join(name)).unwrap();
        }
        let text = fs::read_to_string(samples().join("allowances.json")).unwrap();
        let mut list: serde_json::Value = serde_json::from_str(&text).unwrap();
        list["entries"][0]["limits"] = serde_json::json!({ "concurrency": 2, "queue": 3 });
        fs::write(folder.path().join("allowances.json"), list.to_string()).unwrap();
        let settings = deployment(folder.path(), &[("jakarta", 1)]);
        let fleet = Fleet::with(settings).await;
        let vms = [fleet.callers(0)];
        let pace = Pace { first: Duration::from_millis(400), ..Pace::default() };
        let (engine, _reporter) = targets::engine("one", "jakarta", "assistant", &vms, pace).await;
        let caller = Caller::new(LEADS);
        eventually("the engine answers", async || {
            caller.chat(vms[0], "assistant", "Ready?", false).await.unwrap().status == 200
        })
        .await;
        let served = engine.served();
        let calls = (0..8).map(|_| caller.chat(vms[0], "assistant", "All at once.", false));
        let replies: Vec<_> =
            join_all(calls).await.into_iter().map(|reply| reply.unwrap()).collect();
        let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 429).collect();
        let answered = replies.iter().filter(|reply| reply.status == 200).count();
        assert_eq!((answered, refused.len()), (5, 3));
        assert!(refused.iter().all(|reply| reply.headers.contains_key("retry-after")));
        assert_eq!(engine.served() - served, 5, "what was refused did not run");
    });
}
