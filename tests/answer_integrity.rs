//! Concurrent callers get their own complete answers or errors, while proxies cut, delay, truncate
//! and freeze connections between regions and to targets.

#![expect(clippy::print_stdout, reason = "figures of the run, shown with --nocapture")]

mod support;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use pomelogate::standin::{Caller, Engine, Pace, Reply, Reporter};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::Value;
use smol::Timer;
use support::{
    fleet::eventually,
    grid::Grid,
    proxy::{Fault, Faults, Proxy},
    targets,
};

const LEADS_KEY: &str = "sample-key-crew-leads";
const CALLERS: usize = 8;
const WORDS_PER_REQUEST: usize = 6;
const DISRUPTION_PERIOD: Duration = Duration::from_millis(1200);
/// The start of every word that a caller sends; what follows it is unique to the request.
const MARKER_PREFIX: &str = "mark";
const PACE: Pace =
    Pace { first: Duration::from_millis(10), between: Duration::from_millis(15), tokens: 4 };

/// A fault that a proxy injects.
#[derive(Clone, Copy)]
enum Disruption {
    Cut,
    CutBack,
    Delay,
    Truncate,
    Freeze,
}

const DISRUPTIONS: [Disruption; 5] = [
    Disruption::Cut,
    Disruption::CutBack,
    Disruption::Delay,
    Disruption::Truncate,
    Disruption::Freeze,
];

/// An engine behind a proxy.
struct Target {
    engine: Engine,
    proxy: Proxy,
    _reporter: Reporter,
}

async fn start_target(grid: &Grid, name: &str, region: &str, vm_index: usize) -> Target {
    let engine = Engine::start(name.into(), PACE).await.expect("the engine starts");
    let proxy = Proxy::start(engine.address()).await;
    let announcement =
        targets::announcement(name, region, proxy.address(), targets::model("assistant"));
    let vms = vec![grid.operators.vms[vm_index]];
    let reporter = Reporter::start(vms, Duration::from_millis(200), move || announcement.clone());
    Target { engine, proxy, _reporter: reporter }
}

fn apply(proxy: &Proxy, disruption: Disruption) {
    let cut = Fault { cut: true, ..Fault::default() };
    let back = |back| proxy.set(Faults { back, ..Faults::default() });
    match disruption {
        Disruption::Cut => proxy.cut(),
        Disruption::CutBack => back(cut),
        Disruption::Delay => back(Fault { delay: Duration::from_millis(200), ..Fault::default() }),
        Disruption::Truncate => back(Fault { truncate: Some(700), ..Fault::default() }),
        Disruption::Freeze => proxy.freeze(),
    }
}

/// How a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyEnd {
    Complete,
    Failed,
}

/// Checks that a reply has bytes of its own answer only, and that it is complete or an error.
fn check_reply(reply: &Reply, marker: &str, text: &str, stream: bool) -> ReplyEnd {
    let body = reply.body_text();
    let without_own = body.replace(marker, "");
    assert!(
        !without_own.contains(MARKER_PREFIX),
        "the reply holds bytes of another answer: {body}"
    );
    if reply.status != 200 {
        assert!(!body.contains(MARKER_PREFIX), "an error reply holds part of an answer: {body}");
        return ReplyEnd::Failed;
    }
    let found = if stream { streamed_text(&body) } else { answer_text(&body) };
    assert!(
        text.starts_with(&found) || !reply.whole,
        "the answer differs from the request text: {body}"
    );
    let failed = !reply.whole || (stream && body.contains("event: error"));
    if failed {
        return ReplyEnd::Failed;
    }
    assert_eq!(found, text, "an answer without an error is incomplete");
    assert!(!stream || body.trim_end().ends_with("data: [DONE]"), "{body}");
    ReplyEnd::Complete
}

fn answer_text(body: &str) -> String {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    answer["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

fn streamed_text(body: &str) -> String {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let word = |event: Value| {
        event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    };
    events.map(word).collect()
}

#[test]
fn concurrent_callers_get_their_own_complete_answers_or_errors_despite_faults() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 2), ("surabaya", 1)]).await;
        let near = start_target(&grid, "near", "jakarta", 0).await;
        let far = start_target(&grid, "far", "surabaya", 2).await;
        let vms = grid.operators.vms.clone();
        for vm in &vms {
            eventually("the VM answers", async || {
                let reply = Caller::new(LEADS_KEY).chat(*vm, "assistant", "Ready?", false).await;
                reply.is_ok_and(|reply| reply.status == 200)
            })
            .await;
        }
        let (finished, ends) = (Cell::new(false), RefCell::new(Vec::new()));
        let call = async |caller: usize| {
            let mut random = StdRng::seed_from_u64(caller as u64);
            let mut number = 0;
            while !finished.get() {
                number += 1;
                let marker = format!("{MARKER_PREFIX}{caller}x{number}y");
                let words: Vec<String> =
                    (0..WORDS_PER_REQUEST).map(|word| format!("{marker}{word}")).collect();
                let (text, stream) = (words.join(" "), random.random_bool(0.5));
                let vm = vms[random.random_range(0..vms.len())];
                let chat = Caller::new(LEADS_KEY).with("pomelogate-timeout-ms", "2000");
                let end = match chat.chat(vm, "assistant", &text, stream).await {
                    Ok(reply) => check_reply(&reply, &marker, &text, stream),
                    Err(_) => ReplyEnd::Failed,
                };
                ends.borrow_mut().push(end);
            }
        };
        let schedule = async {
            let links = grid.links.iter().map(|link| &link.proxy);
            let proxies: Vec<&Proxy> = links.chain([&near.proxy, &far.proxy]).collect();
            let mut disruptions: Vec<(usize, Disruption)> = DISRUPTIONS
                .into_iter()
                .flat_map(|disruption| [(0, disruption), (1, disruption)])
                .collect();
            let mut random = StdRng::seed_from_u64(6);
            disruptions.shuffle(&mut random);
            for (target, disruption) in disruptions {
                let first = random.random_range(0..proxies.len());
                apply(proxies[first], disruption);
                apply([&near.proxy, &far.proxy][target], disruption);
                Timer::after(DISRUPTION_PERIOD).await;
                proxies.iter().for_each(|proxy| proxy.heal());
                Timer::after(DISRUPTION_PERIOD / 3).await;
            }
            finished.set(true);
        };
        futures_util::join!(schedule, futures_util::future::join_all((0..CALLERS).map(call)));
        let ends = ends.take();
        let complete = ends.iter().filter(|end| **end == ReplyEnd::Complete).count();
        println!("{complete} complete answers, {} errors", ends.len() - complete);
        assert!(complete > 0 && complete < ends.len(), "some requests must fail and some succeed");
        assert!(near.engine.served() > 0 && far.engine.served() > 0);
    });
}
