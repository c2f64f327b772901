//! Replicas that lose their disk: they must not vote, and a home must not run claimed calls, until
//! an operator readmits them or accepts the risk.

mod support;

use std::{fs, time::Duration};

use hyper::Method;
use pomelogate::{
    claim::RISK_ACCEPTED,
    standin::{Caller, Reply, Service},
};
use serde_json::{Value, json};
use support::{
    fleet::eventually,
    grid::{Grid, plans},
    targets,
};

const REGIONS: [(&str, usize); 3] = [("jakarta", 1), ("surabaya", 1), ("bandung", 1)];

/// Refusals to wait for, enough that the home tries several times to declare its claims complete.
const MIN_REFUSALS: u32 = 600;

/// Kills a VM, deletes its data folder and starts it again.
async fn lose_disk(grid: &mut Grid, index: usize) {
    let vm = &mut grid.fleet.vms[index];
    vm.kill();
    let folder = vm.settings.data.clone().expect("a VM with a disk");
    assert!(folder.starts_with(grid.data.path()));
    fs::remove_dir_all(folder).expect("the data folder is removed");
    vm.start();
    vm.ready().await;
}

/// Whether any of the VMs `observers` reports that the replica of `vm` is empty.
async fn is_empty(grid: &Grid, observers: &[usize], vm: &str) -> bool {
    for index in observers {
        let known = grid.operators.replicas(*index).await;
        if known.is_some_and(|known| known.empty.iter().any(|empty| empty.as_str() == vm)) {
            return true;
        }
    }
    false
}

/// Whether a VM reports itself as a voter whose log reaches `log_index`.
async fn is_voter(grid: &Grid, vm_index: usize, log_index: u64) -> bool {
    let own = grid.fleet.vms[vm_index].settings.vm.clone();
    let known = grid.operators.replicas(vm_index).await.unwrap_or_default();
    let own = known.replicas.into_iter().find(|replica| replica.vm == own);
    own.is_some_and(|own| own.voter && own.index >= Some(log_index))
}

/// Readmits `vm` through the leader, which is one of the VMs `candidates`.
async fn readmit(grid: &Grid, candidates: &[usize], vm: &str) {
    let path = format!("replicas/{vm}/readmit");
    eventually("the replica is readmitted", async || {
        for index in candidates {
            let reply = grid.operators.send(*index, Method::POST, &path, &Value::Null).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                return true;
            }
        }
        false
    })
    .await;
}

#[test]
fn a_replica_without_its_disk_votes_only_after_readmission_and_then_covers_a_second_failure() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let second = grid.operators.commit(&[0, 1, 2], "plans", &plans(2, "second")).await;
        assert_eq!(second.version, 2);
        grid.fleet.vms[1].kill();
        lose_disk(&mut grid, 0).await;
        for _ in 0..3 {
            let reply = grid.operators.change(2, "plans", &plans(3, "lone")).await;
            assert!(reply.is_none_or(|reply| reply.status != 200), "an empty replica voted");
        }
        grid.fleet.vms[1].start();
        grid.fleet.vms[1].ready().await;
        eventually("the replica is reported empty", async || {
            is_empty(&grid, &[1, 2], "jakarta-1").await
        })
        .await;
        readmit(&grid, &[1, 2], "jakarta-1").await;
        eventually("the replica votes again", async || is_voter(&grid, 0, 1).await).await;
        grid.fleet.vms[1].kill();
        let third = grid.operators.commit(&[0, 2], "plans", &plans(3, "lone")).await;
        assert!(third.committed);
        eventually("both VMs serve the newest lists", async || {
            let served = grid.operators.served(0).await;
            served == Some((3, 1)) && grid.operators.served(2).await == served
        })
        .await;
        let again = grid.operators.commit(&[0], "plans", &plans(2, "second")).await;
        assert_eq!(again.version, 2, "a version accepted before the loss is kept");
    });
}

async fn book(grid: &Grid, index: usize, key: &str) -> Option<Reply> {
    let caller = Caller::new("sample-key-crew-leads").with("idempotency-key", key);
    let (vm, path) = (grid.operators.vms[index], "/v1/services/jobs/book");
    caller.send(vm, Method::POST, path, "crew 7".to_owned()).await.ok()
}

fn run_count(service: &Service, key: &str) -> usize {
    service.calls().iter().filter(|call| call.key.as_deref() == Some(key)).count()
}

#[test]
fn a_home_that_lost_its_disk_runs_no_call_until_an_operator_accepts_the_risk() {
    smol::block_on(async {
        let mut grid = Grid::start(&REGIONS).await;
        let vms = [grid.operators.vms[2]];
        let (service, _reporter) =
            targets::plain("jobs-1", "bandung", "jobs", &vms, Duration::ZERO).await;
        eventually("a call is answered", async || {
            book(&grid, 1, "k-1").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
        // A restart with its disk leaves the claims of the home complete.
        grid.fleet.vms[0].kill();
        grid.fleet.vms[0].start();
        grid.fleet.vms[0].ready().await;
        eventually("the home runs calls again", async || {
            book(&grid, 1, "k-2").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
        lose_disk(&mut grid, 0).await;
        readmit(&grid, &[1, 2], "jakarta-1").await;
        eventually("the replica votes again", async || is_voter(&grid, 0, 1).await).await;
        let mut refused = 0;
        eventually("the home refuses because of its lost disk", async || {
            for key in ["k-1", "k-3"] {
                let reply = book(&grid, 1, key).await.expect("a reply");
                assert_eq!(reply.outcome(), "refused", "{}", reply.body_text());
                refused += u32::from(!reply.body_text().contains("did not decide"));
            }
            refused >= MIN_REFUSALS
        })
        .await;
        assert_eq!((run_count(&service, "k-1"), run_count(&service, "k-3")), (1, 0));
        let wrong_words = json!({ "words": "go on", "operator": "test" });
        let refused =
            grid.operators.send(0, Method::POST, "claims/accept-risk", &wrong_words).await;
        assert_eq!(refused.map(|reply| reply.status), Some(409));
        let words = json!({ "words": RISK_ACCEPTED, "operator": "test" });
        let accepted = grid.operators.send(0, Method::POST, "claims/accept-risk", &words).await;
        assert_eq!(accepted.map(|reply| reply.status), Some(200));
        eventually("calls run again", async || {
            book(&grid, 1, "k-3").await.is_some_and(|reply| reply.status == 200)
        })
        .await;
        assert_eq!(run_count(&service, "k-3"), 1);
    });
}
