//! Membership, the directory and the known targets, tested with processes of the daemon.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use hyper::Method;
use pomelogate::{
    settings::{Peer, Settings},
    standin::{Caller, Pace, deployment},
    vm::Directory,
};
use support::{
    fleet::{Fleet, eventually, samples},
    proxy::{Fault, Faults, Proxy},
    targets,
};

const CUSTOMER_KEY: &str = "sample-key-crew-leads";

/// Settings in which each listener has a loopback address of its own, so that no other process
/// takes its port between its choice and its use.
fn own_addresses(regions: &[(&str, usize)]) -> Vec<Settings> {
    let mut settings = deployment(&samples(), regions);
    let peers: Vec<Peer> = settings.iter().map(|settings| own_address(settings.this())).collect();
    for (settings, own) in settings.iter_mut().zip(&peers) {
        settings.callers = own.callers;
        settings.links = own.links;
        settings.peers = peers.clone();
    }
    settings
}

/// Gives the listeners of `peer` loopback addresses that no other listener of this process uses.
fn own_address(mut peer: Peer) -> Peer {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    for address in [&mut peer.callers, &mut peer.links] {
        let last_octet = NEXT.fetch_add(1, Ordering::Relaxed);
        address.set_ip(Ipv4Addr::new(127, high | 128, low, last_octet).into());
    }
    peer
}

async fn directory(vm: SocketAddr, query: &str) -> Vec<String> {
    let path = format!("/v1/directory{query}");
    let reply = Caller::new("").send(vm, Method::GET, &path, String::new()).await;
    let Ok(reply) = reply else { return Vec::new() };
    let directory: Directory = serde_json::from_slice(&reply.body).expect("a directory");
    directory.vms.iter().map(|entry| entry.vm.to_string()).collect()
}

async fn lists_vms(vm: SocketAddr, names: &[&str]) -> bool {
    let mut listed = directory(vm, "").await;
    listed.sort();
    listed == names
}

async fn is_answered(vm: SocketAddr, model: &str) -> bool {
    let reply = Caller::new(CUSTOMER_KEY).chat(vm, model, "Ready?", false).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

async fn is_refused(vm: SocketAddr, model: &str) -> bool {
    let reply = Caller::new(CUSTOMER_KEY).chat(vm, model, "Ready?", false).await;
    reply.is_ok_and(|reply| reply.outcome() == "refused")
}

/// Changes the settings so that every other VM reaches VM `to` through a proxy of its own.
async fn through_proxies(settings: &mut [Settings], to: usize) -> Vec<Proxy> {
    let vm = settings[to].vm.clone();
    let mut proxies = Vec::new();
    for settings in settings.iter_mut().filter(|settings| settings.vm != vm) {
        for peer in settings.peers.iter_mut().filter(|peer| peer.vm == vm) {
            let proxy = Proxy::start(peer.links).await;
            peer.links = proxy.address();
            proxies.push(proxy);
        }
    }
    proxies
}

#[test]
fn a_frozen_or_killed_vm_leaves_the_directory_and_returns_after_its_thaw_or_restart() {
    smol::block_on(async {
        let mut fleet = Fleet::with(own_addresses(&[("jakarta", 3)])).await;
        let all = ["jakarta-1", "jakarta-2", "jakarta-3"];
        let observer = fleet.callers(0);
        eventually("the directory lists all VMs", async || lists_vms(observer, &all).await).await;
        fleet.vms[2].freeze();
        eventually("the directory omits the frozen VM", async || {
            lists_vms(observer, &all[..2]).await
        })
        .await;
        fleet.vms[2].thaw();
        eventually("the directory lists the thawed VM", async || lists_vms(observer, &all).await)
            .await;
        let thawed = fleet.callers(2);
        eventually("the thawed VM lists all VMs", async || lists_vms(thawed, &all).await).await;
        fleet.vms[1].kill();
        let remaining = ["jakarta-1", "jakarta-3"];
        eventually("the directory omits the killed VM", async || {
            lists_vms(observer, &remaining).await
        })
        .await;
        fleet.vms[1].start();
        eventually("the directory lists the restarted VM", async || {
            lists_vms(observer, &all).await
        })
        .await;
    });
}

#[test]
fn the_directory_lists_the_own_region_first_and_only_the_requested_regions() {
    smol::block_on(async {
        let fleet =
            Fleet::with(own_addresses(&[("jakarta", 2), ("surabaya", 2), ("bandung", 1)])).await;
        for index in [0, 2] {
            let vm = fleet.callers(index);
            eventually("the directory lists all VMs", async || directory(vm, "").await.len() == 5)
                .await;
        }
        let mut near = directory(fleet.callers(2), "").await;
        near.truncate(2);
        near.sort();
        assert_eq!(near, ["surabaya-1", "surabaya-2"]);
        assert_eq!(directory(fleet.callers(0), "?regions=bandung").await, ["bandung-1"]);
        assert_eq!(directory(fleet.callers(0), "?regions=bandung,jakarta").await.len(), 3);
    });
}

#[test]
fn a_vm_missing_from_all_other_settings_joins_through_one_peer() {
    smol::block_on(async {
        let mut settings = own_addresses(&[("jakarta", 3)]);
        for settings in &mut settings[..2] {
            settings.peers.truncate(2);
        }
        settings[2].peers.truncate(1);
        let fleet = Fleet::with(settings).await;
        let all = ["jakarta-1", "jakarta-2", "jakarta-3"];
        for index in 0..3 {
            let vm = fleet.callers(index);
            eventually("every VM lists all VMs", async || lists_vms(vm, &all).await).await;
        }
    });
}

#[test]
fn a_target_leave_outlives_the_vm_that_received_it() {
    smol::block_on(async {
        let mut fleet = Fleet::with(own_addresses(&[("jakarta", 3)])).await;
        let (first, second, third) = (fleet.callers(0), fleet.callers(1), fleet.callers(2));
        let (engine, reporter) =
            targets::engine("e", "jakarta", "assistant", &[first], Pace::default()).await;
        for vm in [second, third] {
            eventually("the target is known", async || is_answered(vm, "assistant").await).await;
        }
        // Renewals of the target through another VM continue, as if delayed.
        let address = engine.address();
        let announcement =
            targets::announcement("e", "jakarta", address, targets::model("assistant"));
        let renewals = pomelogate::standin::Reporter::start(
            vec![third],
            Duration::from_millis(200),
            move || announcement.clone(),
        );
        reporter.leave().await.expect("the leave is recorded");
        fleet.vms[0].kill();
        for vm in [second, third] {
            eventually("requests for the target's model are refused", async || {
                is_refused(vm, "assistant").await
            })
            .await;
        }
        for _ in 0..100 {
            assert!(is_refused(second, "assistant").await && is_refused(third, "assistant").await);
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        drop(renewals);
    });
}

#[test]
fn an_announcement_survives_the_death_of_its_vm_right_after_the_reply() {
    smol::block_on(async {
        let mut fleet = Fleet::with(own_addresses(&[("jakarta", 2)])).await;
        let (first, second) = (fleet.callers(0), fleet.callers(1));
        let engine = pomelogate::standin::Engine::start("e".into(), Pace::default());
        let engine = engine.await.expect("the engine starts");
        let offer = targets::model("assistant");
        let announcement = targets::announcement("e", "jakarta", engine.address(), offer);
        let body = serde_json::to_string(&announcement).unwrap();
        let path = "/v1/targets";
        let reply = Caller::new("").send(first, Method::POST, path, body).await.unwrap();
        fleet.vms[0].kill();
        assert_eq!(reply.status, 204);
        assert!(is_answered(second, "assistant").await);
    });
}

#[test]
fn an_invalid_announcement_is_refused_with_a_remedy() {
    smol::block_on(async {
        let fleet = Fleet::with(own_addresses(&[("jakarta", 1)])).await;
        let address = ([127, 0, 0, 1], 9).into();
        let announcement =
            targets::announcement("e", "surabaya", address, targets::model("assistant"));
        let body = serde_json::to_string(&announcement).unwrap();
        for (body, remedy) in [(body, "a VM of the target's region"), ("{".to_owned(), "send an")] {
            let caller = Caller::new("");
            let send = caller.send(fleet.callers(0), Method::POST, "/v1/targets", body);
            let reply = send.await.unwrap();
            assert_eq!(reply.status, 400);
            assert!(reply.body_text().contains(remedy), "{}", reply.body_text());
        }
    });
}

#[test]
fn a_partitioned_region_keeps_serving_and_its_restarted_vm_learns_targets_from_its_peers() {
    smol::block_on(async {
        let regions = [("jakarta", 2), ("surabaya", 2)];
        let mut settings = own_addresses(&regions);
        let mut proxies = Vec::new();
        for to in 0..settings.len() {
            let region = settings[to].region.clone();
            let (vm, links) = (settings[to].vm.clone(), settings[to].links);
            for settings in settings.iter_mut().filter(|other| other.region != region) {
                let proxy = Proxy::start(links).await;
                let peer = settings.peers.iter_mut().find(|peer| peer.vm == vm);
                peer.expect("all are peers").links = proxy.address();
                proxies.push(proxy);
            }
        }
        let mut fleet = Fleet::with(settings).await;
        let (first, second) = (fleet.callers(0), fleet.callers(1));
        let _near =
            targets::engine("near", "jakarta", "assistant", &[first], Pace::default()).await;
        let _far =
            targets::engine("far", "surabaya", "planner", &[fleet.callers(2)], Pace::default())
                .await;
        eventually("both targets are known", async || {
            is_answered(second, "assistant").await && is_answered(second, "planner").await
        })
        .await;
        proxies.iter().for_each(Proxy::cut);
        assert!(is_answered(first, "assistant").await && is_answered(second, "assistant").await);
        fleet.vms[1].kill();
        fleet.vms[1].start();
        fleet.vms[1].ready().await;
        assert!(
            is_answered(second, "assistant").await,
            "the target is known as soon as the VM accepts callers"
        );
        proxies.iter().for_each(Proxy::heal);
        eventually("the other region's target is known again", async || {
            is_answered(second, "planner").await
        })
        .await;
    });
}

#[test]
fn a_silent_link_is_replaced_during_requests() {
    smol::block_on(async {
        let mut settings = own_addresses(&[("jakarta", 1), ("surabaya", 1)]);
        let proxies = through_proxies(&mut settings, 1).await;
        let fleet = Fleet::with(settings).await;
        let (near, far) = (fleet.callers(0), fleet.callers(1));
        let _far = targets::engine("far", "surabaya", "planner", &[far], Pace::default()).await;
        eventually("the target is known", async || is_answered(near, "planner").await).await;
        let opened = proxies[0].opened();
        proxies[0].freeze();
        eventually("a request is answered again", async || is_answered(near, "planner").await)
            .await;
        assert!(proxies[0].opened() > opened);
    });
}

#[test]
fn both_vms_detect_a_one_way_cut_between_them_and_its_end() {
    smol::block_on(async {
        let mut settings = own_addresses(&[("jakarta", 2)]);
        let to_second = through_proxies(&mut settings, 1).await;
        let to_first = through_proxies(&mut settings, 0).await;
        let fleet = Fleet::with(settings).await;
        let (first, second) = (fleet.callers(0), fleet.callers(1));
        let all = ["jakarta-1", "jakarta-2"];
        eventually("both VMs list both", async || {
            lists_vms(first, &all).await && lists_vms(second, &all).await
        })
        .await;
        let cut = Fault { cut: true, ..Fault::default() };
        to_second[0].set(Faults { forth: cut, ..Faults::default() });
        to_first[0].set(Faults { back: cut, ..Faults::default() });
        eventually("the first VM suspects the second", async || lists_vms(first, &all[..1]).await)
            .await;
        eventually("the second VM suspects the first", async || lists_vms(second, &all[1..]).await)
            .await;
        to_second[0].heal();
        to_first[0].heal();
        eventually("both VMs list both again", async || {
            lists_vms(first, &all).await && lists_vms(second, &all).await
        })
        .await;
    });
}
