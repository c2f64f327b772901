//! Regions that are cut off, VMs that freeze, and what they may decide by afterwards.

mod support;

use std::time::Duration;

use hyper::Method;
use pomelogate::standin::{Caller, Pace, Reply};
use serde_json::json;
use smol::Timer;
use support::{
    fleet::eventually,
    grid::{Grid, OPERATOR, narrowed, plans},
    targets,
};

const LEADS: &str = "sample-key-crew-leads";
/// Longer than a VM may decide without having asked its peers.
const FREEZE: Duration = Duration::from_secs(16);
/// Longer than what a VM reported is passed on.
const SILENCE: Duration = Duration::from_secs(14);

async fn chat(grid: &Grid, place: usize) -> Option<Reply> {
    let vm = grid.operators.vms[place];
    Caller::new(LEADS).chat(vm, "assistant", "Ready?", false).await.ok()
}

async fn answers(grid: &Grid, place: usize) -> bool {
    chat(grid, place).await.is_some_and(|reply| reply.status == 200)
}

#[test]
fn a_region_cut_off_serves_on_and_a_narrowing_change_waits_for_it() {
    smol::block_on(async {
        let mut grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 2)]).await;
        let vms = [grid.operators.vms[2], grid.operators.vms[3]];
        let (engine, _reporter) =
            targets::engine("near", "bandung", "assistant", &vms, Pace::default()).await;
        for place in [2, 3] {
            eventually("the region serves", async || answers(&grid, place).await).await;
        }
        grid.cut("bandung");
        let list = narrowed(2, &["jakarta", "surabaya"]);
        let committed = grid.operators.commit(&[0, 1], "allowances", &list).await;
        assert_eq!((committed.version, committed.committed), (2, true));
        assert!(committed.waiting.contains(&"bandung".into()));
        for place in [3, 2] {
            grid.fleet.vms[place].kill();
            grid.fleet.vms[place].start();
            grid.fleet.vms[place].ready().await;
            for place in [2, 3] {
                eventually("it serves in the cut", async || answers(&grid, place).await).await;
            }
        }
        Timer::after(SILENCE).await;
        eventually("only the region that is cut off is waited for", async || {
            let still = grid.operators.commit(&[0, 1], "allowances", &list).await;
            assert!(still.waiting.contains(&"bandung".into()), "not in force while it is not");
            still.waiting.len() == 1
        })
        .await;
        grid.heal();
        eventually("in force everywhere", async || {
            grid.operators.commit(&[0, 1], "allowances", &list).await.waiting.is_empty()
        })
        .await;
        let started = engine.started();
        for place in 0..4 {
            assert!(!answers(&grid, place).await, "VM {place}");
        }
        assert_eq!(engine.started(), started, "nothing reached the region that is left out");
    });
}

#[test]
fn a_vm_that_thaws_does_not_decide_by_the_lists_from_before() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 2)]).await;
        let vms = [grid.operators.vms[2], grid.operators.vms[3]];
        let (engine, _reporter) =
            targets::engine("near", "bandung", "assistant", &vms, Pace::default()).await;
        eventually("the VM serves", async || answers(&grid, 3).await).await;
        grid.fleet.vms[3].freeze();
        let list = narrowed(2, &["jakarta", "surabaya"]);
        let committed = grid.operators.commit(&[0, 1], "allowances", &list).await;
        assert!(committed.waiting.contains(&"bandung".into()), "the frozen VM hasn't reported");
        Timer::after(FREEZE).await;
        let started = engine.started();
        let thaw = async {
            Timer::after(Duration::from_millis(200)).await;
            grid.fleet.vms[3].thaw();
        };
        let (first, ()) = futures_util::join!(chat(&grid, 3), thaw);
        assert!(first.is_none_or(|reply| reply.status != 200), "the first request after the thaw");
        assert!(!answers(&grid, 3).await);
        assert_eq!(engine.started(), started, "nothing reached the region that is left out");
        eventually("in force everywhere", async || {
            grid.operators.commit(&[0, 1], "allowances", &list).await.waiting.is_empty()
        })
        .await;
    });
}

/// The place of the VM that leads the replicas, all of which are first in their regions.
async fn leader(grid: &Grid) -> usize {
    let mut found = None;
    eventually("a replica leads", async || {
        let known = grid.operators.replicas(0).await.unwrap_or_default();
        found = known.replicas.iter().position(|replica| replica.leader);
        found.is_some()
    })
    .await;
    let vms = ["bandung-1", "jakarta-1", "surabaya-1"];
    let order = [2, 0, 1];
    assert_eq!(grid.fleet.vms[order[0]].settings.vm.as_str(), vms[0], "sorted by name");
    order[found.expect("just seen")]
}

async fn put(grid: &Grid, place: usize, marker: &str) -> Option<Reply> {
    let body = json!({ "list": plans(2, marker) }).to_string();
    let vm = grid.operators.vms[place];
    let caller = Caller::new(OPERATOR);
    caller.send(vm, Method::PUT, "/admin/v1/plans", body).await.ok()
}

#[test]
fn nothing_counts_that_a_leader_does_after_a_freeze() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 1)]).await;
        let old = leader(&grid).await;
        let others: Vec<usize> = (0..3).filter(|place| *place != old).collect();
        grid.fleet.vms[old].freeze();
        let elsewhere = async {
            let accepted = grid.operators.commit(&others, "plans", &plans(2, "new")).await;
            assert_eq!(accepted.version, 2);
            grid.fleet.vms[old].thaw();
        };
        let (late, ()) = futures_util::join!(put(&grid, old, "old"), elsewhere);
        assert!(late.is_none_or(|reply| reply.status != 200), "the former leader accepts nothing");
        agree(&grid).await;
    });
}

#[test]
fn nothing_counts_that_a_leader_does_while_cut_off() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 1)]).await;
        let old = leader(&grid).await;
        let others: Vec<usize> = (0..3).filter(|place| *place != old).collect();
        grid.cut_one_way(grid.fleet.vms[old].settings.region.as_str(), false);
        let list = plans(2, "new");
        let elsewhere = grid.operators.commit(&others, "plans", &list);
        let (late, accepted) = futures_util::join!(put(&grid, old, "old"), async {
            Timer::after(Duration::from_millis(100)).await;
            elsewhere.await
        });
        assert_eq!(accepted.version, 2);
        assert!(late.is_none_or(|reply| reply.status != 200), "the former leader accepts nothing");
        grid.heal();
        agree(&grid).await;
    });
}

/// All VMs come to serve what the others accepted.
async fn agree(grid: &Grid) {
    for place in 0..3 {
        eventually("every VM serves what was accepted", async || {
            let list: Option<serde_json::Value> = grid.operators.get(place, "plans").await;
            list.is_some_and(|list| {
                list["version"] == 2 && list["entries"].to_string().contains("\"new\"")
            })
        })
        .await;
    }
}
