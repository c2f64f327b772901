//! Concurrent callers, each of whom gets its own answer whole or an error, while links and targets
//! cut, delay, truncate and fall silent.

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

const LEADS: &str = "sample-key-crew-leads";
const CALLERS: usize = 8;
const WORDS: usize = 6;
const FAULT: Duration = Duration::from_millis(1200);
/// What begins every word that a caller sends.
const MARK: &str = "mark";
const PACE: Pace =
    Pace { first: Duration::from_millis(10), between: Duration::from_millis(15), tokens: 4 };

/// What happens to the bytes on the way.
#[derive(Clone, Copy)]
enum Trouble {
    Cut,
    CutBack,
    Delay,
    Truncate,
    Freeze,
}

const TROUBLES: [Trouble; 5] =
    [Trouble::Cut, Trouble::CutBack, Trouble::Delay, Trouble::Truncate, Trouble::Freeze];

/// An engine behind a proxy.
struct Target {
    engine: Engine,
    proxy: Proxy,
    _reporter: Reporter,
}

async fn target(grid: &Grid, name: &str, region: &str, place: usize) -> Target {
    let engine = Engine::start(name.into(), PACE).await.expect("the engine starts");
    let proxy = Proxy::start(engine.address()).await;
    let said = targets::announcement(name, region, proxy.address(), targets::model("assistant"));
    let vms = vec![grid.operators.vms[place]];
    let reporter = Reporter::start(vms, Duration::from_millis(200), move || said.clone());
    Target { engine, proxy, _reporter: reporter }
}

fn apply(proxy: &Proxy, trouble: Trouble) {
    let cut = Fault { cut: true, ..Fault::default() };
    let back = |back| proxy.set(Faults { back, ..Faults::default() });
    match trouble {
        Trouble::Cut => proxy.cut(),
        Trouble::CutBack => back(cut),
        Trouble::Delay => back(Fault { delay: Duration::from_millis(200), ..Fault::default() }),
        Trouble::Truncate => back(Fault { truncate: Some(700), ..Fault::default() }),
        Trouble::Freeze => proxy.freeze(),
    }
}

/// How a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Failed,
}

/// Checks that a reply is its caller's own, whole or an error.
fn check(reply: &Reply, mark: &str, text: &str, stream: bool) -> End {
    let body = reply.body_text();
    let others = body.replace(mark, "");
    assert!(!others.contains(MARK), "bytes of another answer: {body}");
    if reply.status != 200 {
        assert!(!body.contains(MARK), "an error holds no part of an answer: {body}");
        return End::Failed;
    }
    let found = if stream { words(&body) } else { content(&body) };
    assert!(text.starts_with(&found) || !reply.whole, "not what was asked: {body}");
    let failed = !reply.whole || (stream && body.contains("event: error"));
    if failed {
        return End::Failed;
    }
    assert_eq!(found, text, "an answer that ends cleanly is whole");
    assert!(!stream || body.trim_end().ends_with("data: [DONE]"), "{body}");
    End::Whole
}

fn content(body: &str) -> String {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    answer["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

fn words(body: &str) -> String {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let word = |event: Value| {
        event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    };
    events.map(word).collect()
}

#[test]
fn every_caller_gets_its_own_answer_whole_or_an_error() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 2), ("surabaya", 1)]).await;
        let near = target(&grid, "near", "jakarta", 0).await;
        let far = target(&grid, "far", "surabaya", 2).await;
        let vms = grid.operators.vms.clone();
        for vm in &vms {
            eventually("the VM answers", async || {
                let reply = Caller::new(LEADS).chat(*vm, "assistant", "Ready?", false).await;
                reply.is_ok_and(|reply| reply.status == 200)
            })
            .await;
        }
        let (over, ends) = (Cell::new(false), RefCell::new(Vec::new()));
        let call = async |caller: usize| {
            let mut random = StdRng::seed_from_u64(caller as u64);
            let mut number = 0;
            while !over.get() {
                number += 1;
                let mark = format!("{MARK}{caller}x{number}y");
                let words: Vec<String> = (0..WORDS).map(|word| format!("{mark}{word}")).collect();
                let (text, stream) = (words.join(" "), random.random_bool(0.5));
                let vm = vms[random.random_range(0..vms.len())];
                let chat = Caller::new(LEADS).with("pomelogate-timeout-ms", "2000");
                let end = match chat.chat(vm, "assistant", &text, stream).await {
                    Ok(reply) => check(&reply, &mark, &text, stream),
                    Err(_) => End::Failed,
                };
                ends.borrow_mut().push(end);
            }
        };
        let schedule = async {
            let links = grid.links.iter().map(|link| &link.proxy);
            let proxies: Vec<&Proxy> = links.chain([&near.proxy, &far.proxy]).collect();
            let mut troubles: Vec<(usize, Trouble)> =
                TROUBLES.into_iter().flat_map(|trouble| [(0, trouble), (1, trouble)]).collect();
            let mut random = StdRng::seed_from_u64(6);
            troubles.shuffle(&mut random);
            for (target, trouble) in troubles {
                let first = random.random_range(0..proxies.len());
                apply(proxies[first], trouble);
                apply([&near.proxy, &far.proxy][target], trouble);
                Timer::after(FAULT).await;
                proxies.iter().for_each(|proxy| proxy.heal());
                Timer::after(FAULT / 3).await;
            }
            over.set(true);
        };
        futures_util::join!(schedule, futures_util::future::join_all((0..CALLERS).map(call)));
        let ends = ends.take();
        let whole = ends.iter().filter(|end| **end == End::Whole).count();
        println!("{whole} whole answers, {} errors", ends.len() - whole);
        assert!(whole > 0 && whole < ends.len(), "faults were met and work went on");
        assert!(near.engine.served() > 0 && far.engine.served() > 0);
    });
}
