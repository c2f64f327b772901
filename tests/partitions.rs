//! Decisions of regions that are partitioned from the others, and of VMs that freeze.

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

const CUSTOMER_KEY: &str = "sample-key-crew-leads";
/// Longer than a VM may decide by its lists without hearing from a peer.
const FREEZE_TIME: Duration = Duration::from_secs(16);
/// Longer than a VM's report of its versions is passed on by others.
const REPORT_EXPIRY_WAIT: Duration = Duration::from_secs(14);

async fn chat(grid: &Grid, index: usize) -> Option<Reply> {
    let vm = grid.operators.vms[index];
    Caller::new(CUSTOMER_KEY).chat(vm, "assistant", "Ready?", false).await.ok()
}

async fn serves(grid: &Grid, index: usize) -> bool {
    chat(grid, index).await.is_some_and(|reply| reply.status == 200)
}

#[test]
fn a_partitioned_region_keeps_serving_and_a_narrowing_change_waits_for_it() {
    smol::block_on(async {
        let mut grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 2)]).await;
        let vms = [grid.operators.vms[2], grid.operators.vms[3]];
        let (engine, _reporter) =
            targets::engine("near", "bandung", "assistant", &vms, Pace::default()).await;
        for index in [2, 3] {
            eventually("the VM serves", async || serves(&grid, index).await).await;
        }
        grid.cut("bandung");
        let list = narrowed(2, &["jakarta", "surabaya"]);
        let committed = grid.operators.commit(&[0, 1], "allowances", &list).await;
        assert_eq!((committed.version, committed.committed), (2, true));
        assert!(committed.waiting.contains(&"bandung".into()));
        for index in [3, 2] {
            grid.fleet.vms[index].kill();
            grid.fleet.vms[index].start();
            grid.fleet.vms[index].ready().await;
            for index in [2, 3] {
                eventually("the VM serves during the partition", async || {
                    serves(&grid, index).await
                })
                .await;
            }
        }
        Timer::after(REPORT_EXPIRY_WAIT).await;
        eventually("only the partitioned region is waited for", async || {
            let resent = grid.operators.commit(&[0, 1], "allowances", &list).await;
            assert!(
                resent.waiting.contains(&"bandung".into()),
                "the change counts as in force in the partitioned region"
            );
            resent.waiting.len() == 1
        })
        .await;
        grid.heal();
        eventually("in force everywhere", async || {
            grid.operators.commit(&[0, 1], "allowances", &list).await.waiting.is_empty()
        })
        .await;
        let started = engine.started();
        for index in 0..4 {
            assert!(!serves(&grid, index).await, "VM {index}");
        }
        assert_eq!(
            engine.started(),
            started,
            "a request reached the target of the excluded region"
        );
    });
}

#[test]
fn a_thawed_vm_does_not_decide_by_the_lists_from_before_the_freeze() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 2)]).await;
        let vms = [grid.operators.vms[2], grid.operators.vms[3]];
        let (engine, _reporter) =
            targets::engine("near", "bandung", "assistant", &vms, Pace::default()).await;
        eventually("the VM serves", async || serves(&grid, 3).await).await;
        grid.fleet.vms[3].freeze();
        let list = narrowed(2, &["jakarta", "surabaya"]);
        let committed = grid.operators.commit(&[0, 1], "allowances", &list).await;
        assert!(
            committed.waiting.contains(&"bandung".into()),
            "the change counts as in force on the frozen VM"
        );
        Timer::after(FREEZE_TIME).await;
        let started = engine.started();
        let thaw = async {
            Timer::after(Duration::from_millis(200)).await;
            grid.fleet.vms[3].thaw();
        };
        let (first_reply, ()) = futures_util::join!(chat(&grid, 3), thaw);
        assert!(
            first_reply.is_none_or(|reply| reply.status != 200),
            "the first request after the thaw was answered"
        );
        assert!(!serves(&grid, 3).await);
        assert_eq!(
            engine.started(),
            started,
            "a request reached the target of the excluded region"
        );
        eventually("in force everywhere", async || {
            grid.operators.commit(&[0, 1], "allowances", &list).await.waiting.is_empty()
        })
        .await;
    });
}

/// The index of the VM whose replica leads. The replicas are the first VM of each region.
async fn leader(grid: &Grid) -> usize {
    let mut leader = None;
    eventually("a replica leads", async || {
        let known = grid.operators.replicas(0).await.unwrap_or_default();
        leader = known.replicas.iter().position(|replica| replica.leader);
        leader.is_some()
    })
    .await;
    let names = ["bandung-1", "jakarta-1", "surabaya-1"];
    let indices_by_name = [2, 0, 1];
    assert_eq!(grid.fleet.vms[indices_by_name[0]].settings.vm.as_str(), names[0], "sorted by name");
    indices_by_name[leader.expect("just seen")]
}

async fn put(grid: &Grid, index: usize, marker: &str) -> Option<Reply> {
    let body = json!({ "list": plans(2, marker) }).to_string();
    let vm = grid.operators.vms[index];
    let caller = Caller::new(OPERATOR);
    caller.send(vm, Method::PUT, "/admin/v1/plans", body).await.ok()
}

#[test]
fn a_leader_thawed_after_a_new_election_commits_nothing() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 1)]).await;
        let old_leader = leader(&grid).await;
        let others: Vec<usize> = (0..3).filter(|index| *index != old_leader).collect();
        grid.fleet.vms[old_leader].freeze();
        let commit = async {
            let accepted = grid.operators.commit(&others, "plans", &plans(2, "new")).await;
            assert_eq!(accepted.version, 2);
            grid.fleet.vms[old_leader].thaw();
        };
        let (late_reply, ()) = futures_util::join!(put(&grid, old_leader, "old"), commit);
        assert!(
            late_reply.is_none_or(|reply| reply.status != 200),
            "the former leader accepted a change"
        );
        wait_for_agreement(&grid).await;
    });
}

#[test]
fn a_leader_whose_messages_are_lost_commits_nothing() {
    smol::block_on(async {
        let grid = Grid::start(&[("jakarta", 1), ("surabaya", 1), ("bandung", 1)]).await;
        let old_leader = leader(&grid).await;
        let others: Vec<usize> = (0..3).filter(|index| *index != old_leader).collect();
        grid.cut_one_way(grid.fleet.vms[old_leader].settings.region.as_str(), false);
        let list = plans(2, "new");
        let commit = grid.operators.commit(&others, "plans", &list);
        let (late_reply, accepted) = futures_util::join!(put(&grid, old_leader, "old"), async {
            Timer::after(Duration::from_millis(100)).await;
            commit.await
        });
        assert_eq!(accepted.version, 2);
        assert!(
            late_reply.is_none_or(|reply| reply.status != 200),
            "the former leader accepted a change"
        );
        grid.heal();
        wait_for_agreement(&grid).await;
    });
}

/// Waits until all VMs serve the plans that the new leader accepted.
async fn wait_for_agreement(grid: &Grid) {
    for index in 0..3 {
        eventually("the VM serves the accepted plans", async || {
            let list: Option<serde_json::Value> = grid.operators.get(index, "plans").await;
            list.is_some_and(|list| {
                list["version"] == 2 && list["entries"].to_string().contains("\"new\"")
            })
        })
        .await;
    }
}
