//! Requests from caller to target through processes of the daemon.

mod support;

use std::time::Duration;

use hyper::Method;
use pomelogate::standin::{Caller, Pace};
use support::{
    fleet::{Fleet, eventually},
    targets,
};

const LEADS_KEY: &str = "sample-key-crew-leads";

#[test]
fn requests_to_targets_of_both_regions_get_complete_answers() {
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 2), ("surabaya", 2)]).await;
        let (jakarta, surabaya) = (fleet.callers(0), fleet.callers(2));
        let _near =
            targets::engine("near", "jakarta", "assistant", &[jakarta], Pace::default()).await;
        let _far =
            targets::engine("far", "surabaya", "planner", &[surabaya], Pace::default()).await;
        let delay = Duration::from_millis(1);
        let _jobs = targets::plain("jobs-1", "jakarta", "jobs", &[jakarta], delay).await;
        let caller = Caller::new(LEADS_KEY);
        eventually("both engines answer", async || {
            let near = caller.chat(jakarta, "assistant", "Ready?", false).await.unwrap();
            let far = caller.chat(jakarta, "planner", "Ready?", false).await.unwrap();
            near.status == 200 && far.status == 200
        })
        .await;

        let near = caller.chat(jakarta, "assistant", "one two three", false).await.unwrap();
        assert_eq!((near.way(), near.outcome()), ("jakarta-1 > near", "answered"));
        assert!(near.whole && near.body_text().contains("one two three"));

        let far = caller.chat(jakarta, "planner", "four five six", true).await.unwrap();
        assert!(far.way().ends_with(" > far"), "{}", far.way());
        assert!(far.whole && far.body_text().trim_end().ends_with("data: [DONE]"));

        let path = "/v1/services/jobs/pods/7?full=1";
        let status = caller.send(jakarta, Method::GET, path, String::new()).await.unwrap();
        assert_eq!(status.body_text(), "GET /pods/7?full=1 ");
    });
}

#[test]
fn the_daemon_exits_with_code_zero_on_sigterm() {
    smol::block_on(async {
        let mut fleet = Fleet::start(&[("jakarta", 1)]).await;
        assert_eq!(fleet.vms[0].terminate(), Some(0));
    });
}
