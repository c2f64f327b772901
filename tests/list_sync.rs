//! Followers: deltas, snapshots, restarts, cuts and freezes, on a clock that the test moves.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pomelogate::{
    id,
    list::{Draft, Kind},
    list_state::{
        Action, ChangeAnswer, Command, Fetch, ListSync, MAX_CHANGE_SETS, Peer, Reply,
        RolloutProgress, Settings, StateMachine, Store, Subject, Update, UpdateError, Versions,
        VmVersions, load_cache, save_cache,
    },
    replica::StateMachine as _,
    stop::Scope,
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn change(machine: &mut StateMachine, version: u64) -> Reply {
    let content = format!(r#"[{{"plan":"p","regions":["a"],"limits":{{"queue":{version}}}}}]"#);
    let entries = Kind::Allowances.canonical_entries(content.as_bytes()).expect("entries");
    let content = entries.into_values().next().expect("entry");
    let content = [&b"["[..], &content, b"]"].concat();
    let draft = Draft { kind: Kind::Allowances, version, content };
    let reply = machine.apply(version, &Command::change(draft).encode_to_vec());
    Reply::decode(reply).expect("reply")
}

fn list_sync(vm: &str, image: Option<&[u8]>, disk: bool, now: Instant) -> ListSync {
    let region = id::Region::from(&vm[..1]);
    let settings = Settings { vm: vm.into(), region, has_disk: disk, ..Settings::default() };
    ListSync::new(settings, image, StdRng::seed_from_u64(7), now).expect("list_sync")
}

fn peer(vm: &str, replica: bool) -> Peer {
    Peer { vm: vm.into(), region: vm[..1].into(), holds_replica: replica }
}

/// Passes one fetch to its peer and the reply back; the VM that was asked.
fn pull(list_sync: &mut ListSync, store: &Store, now: Instant) -> Option<id::Vm> {
    let actions = list_sync.tick(now);
    let Some(Action::Fetch { to, fetch }) = actions.last() else { return None };
    let _ = list_sync.handle_update(to, &store.updates_since(fetch), now);
    Some(to.clone())
}

#[test]
fn a_follower_takes_deltas_and_keeps_recent_books() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    change(&mut machine, 1);
    let mut list_sync = list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    assert!(list_sync.book().is_none());
    pull(&mut list_sync, machine.store(), now);
    let first = list_sync.book().expect("book");
    for version in 2..=70 {
        change(&mut machine, version);
        pull(&mut list_sync, machine.store(), now + Duration::from_secs(10 * version));
    }
    assert_eq!(list_sync.versions().allowances, 70);
    assert_eq!(first.allowances().version, 1, "a request keeps the book it began with");
    assert!(list_sync.book_at(0, 69).is_some());
    assert!(list_sync.book_at(0, 1).is_none(), "bounded");
    assert!(list_sync.book_at(1, 70).is_none());
}

#[test]
fn a_delta_carries_only_what_changed_and_a_snapshot_all() {
    let mut machine = StateMachine::default();
    let plans: Vec<String> = (0..50)
        .map(|plan| format!(r#"{{"plan":"p{plan:02}","regions":["a"],"models":[],"services":[],"limits":{{"concurrency":1,"queue":1,"tokens_per_minute":1}}}}"#))
        .collect();
    let draft = |version, entries: &[String]| Draft {
        kind: Kind::Allowances,
        version,
        content: format!("[{}]", entries.join(",")).into_bytes(),
    };
    machine.apply(1, &Command::change(draft(1, &plans)).encode_to_vec());
    let old = machine.store().clone();
    machine.apply(2, &Command::change(draft(2, &plans[1..])).encode_to_vec());
    let fetch = |store: &Store| pomelogate::list_state::Fetch {
        versions: store.versions(),
        ..Default::default()
    };
    let update = machine.store().updates_since(&fetch(&old));
    assert_eq!(update.subject_updates[0].removed, ["p00"]);
    assert!(update.subject_updates[0].changed.is_empty());
    let mut taken = old.clone();
    assert_eq!(taken.apply(&update), Ok(true));
    assert_eq!(taken.apply(&old.full_update()), Err(UpdateError::SenderBehind(old.versions())));
    let mut damaged = update.clone();
    damaged.subject_updates[0].removed.clear();
    assert!(matches!(old.clone().apply(&damaged), Err(UpdateError::Inapplicable(_))));
    for version in 3..MAX_CHANGE_SETS as u64 + 4 {
        let entries = if version % 2 == 0 { &plans[..] } else { &plans[1..] };
        machine.apply(version, &Command::change(draft(version, entries)).encode_to_vec());
    }
    let far = machine.store().updates_since(&fetch(&old));
    assert_eq!((far.subject_updates[0].from, far.subject_updates[0].changed.len()), (0, 49));
    let mut taken = old;
    assert_eq!(taken.apply(&far), Ok(true));
    assert_eq!(taken.versions(), machine.store().versions());
}

#[test]
fn a_vm_with_a_disk_serves_a_version_only_once_it_is_saved() {
    let folder = tempfile::tempdir().expect("folder");
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    change(&mut machine, 1);
    let mut list_sync = list_sync("a-1", None, true, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    pull(&mut list_sync, machine.store(), now);
    assert!(list_sync.book().is_none());
    let image = machine.store().full_update().encode_to_vec();
    save_cache(folder.path(), &image).expect("save");
    let actions = list_sync.mark_saved().expect("saved");
    assert!(matches!(actions[..], [Action::InForce(_)]), "{actions:?}");
    let saved = load_cache(folder.path()).expect("load").expect("image");
    let mut restarted = self::list_sync("a-1", Some(&saved), true, now);
    assert_eq!(restarted.book().expect("book").allowances().version, 1);
    restarted.set_peers(&[peer("a-9", true)]);
    pull(&mut restarted, &Store::default(), now);
    assert_eq!(restarted.versions().allowances, 1, "an older peer changes nothing");
    std::fs::write(folder.path().join("lists.cache"), b"torn").expect("write");
    assert!(load_cache(folder.path()).is_err());
}

#[test]
fn a_vm_without_a_disk_asks_every_peer_of_its_region_before_it_serves() {
    let (mut old, now) = (StateMachine::default(), Instant::now());
    change(&mut old, 1);
    let mut new = old.clone();
    change(&mut new, 2);
    let mut list_sync = list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-2", false), peer("a-3", false), peer("a-4", false)]);
    assert_eq!(pull(&mut list_sync, old.store(), now), Some("a-2".into()));
    assert!(list_sync.book().is_none());
    assert_eq!(pull(&mut list_sync, new.store(), now), Some("a-3".into()));
    assert!(list_sync.book().is_none());
    let mut now = now;
    let asked = list_sync.tick(now);
    assert!(matches!(&asked[..], [Action::Fetch { to, .. }] if *to == "a-4".into()));
    now += Duration::from_secs(3);
    let begun = list_sync.tick(now);
    assert!(matches!(begun[0], Action::InForce(_)), "a silent peer doesn't hold up the start");
    assert_eq!(list_sync.book().expect("book").allowances().version, 2);
}

#[test]
fn a_follower_tries_every_peer_in_a_cut_and_is_stale_after_a_freeze() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    change(&mut machine, 1);
    let mut list_sync = list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-2", false), peer("b-1", true), peer("c-1", true)]);
    pull(&mut list_sync, machine.store(), now);
    let mut asked = std::collections::BTreeSet::new();
    let mut now = now;
    for _ in 0..200 {
        now += Duration::from_millis(200);
        if let Some(Action::Fetch { to, .. }) = list_sync.tick(now).last() {
            asked.insert(to.to_string());
            list_sync.record_fetch_failure(&to.clone(), now);
        }
        assert!(!list_sync.is_stale(now), "a region that is cut off goes on serving");
    }
    assert_eq!(asked.len(), 3);
    now += Duration::from_secs(10);
    let asked = list_sync.tick(now);
    assert!(matches!(&asked[..], [Action::Fetch { .. }]));
    now += Duration::from_secs(60);
    let Some(Action::Fetch { to, fetch }) = asked.last() else { panic!() };
    let late = machine.store().updates_since(fetch);
    list_sync.handle_update(to, &late, now).expect("answer");
    assert!(list_sync.is_stale(now), "a reply from before the freeze doesn't count");
    now += Duration::from_secs(10);
    let Some(Action::Fetch { to, .. }) = list_sync.tick(now).pop() else { panic!() };
    assert!(list_sync.is_stale(now), "asked, not answered");
    list_sync.record_fetch_failure(&to, now);
    assert!(list_sync.is_stale(now), "its connection may have broken during the freeze");
    for _ in 0..2 {
        now += Duration::from_secs(1);
        let Some(Action::Fetch { to, .. }) = list_sync.tick(now).pop() else { panic!() };
        assert!(list_sync.is_stale(now), "others may answer");
        list_sync.record_fetch_failure(&to, now);
    }
    assert!(!list_sync.is_stale(now), "it is cut off");
}

#[test]
fn every_vm_gets_a_change_through_its_regions_relays_and_reports_it() {
    let times: Vec<u64> = (0..20).map(in_force_everywhere_ms).collect();
    assert!(times.iter().all(|ms| *ms <= 19_000), "took {times:?} ms of test time");
}

/// The test time from a change to the reports of all of 27 VMs, with a tenth of fetches lost.
fn in_force_everywhere_ms(seed: u64) -> u64 {
    let mut machine = StateMachine::default();
    let start = Instant::now();
    change(&mut machine, 1);
    let names: Vec<String> = ["a", "b", "c"]
        .iter()
        .flat_map(|region| (1..=9).map(move |vm| format!("{region}-{vm}")))
        .collect();
    let peers: Vec<Peer> = names.iter().map(|vm| peer(vm, vm.ends_with("-9"))).collect();
    let mut vms: BTreeMap<id::Vm, ListSync> = BTreeMap::new();
    let mut progress = RolloutProgress::default();
    let mut rng = StdRng::seed_from_u64(seed);
    for peer in &peers {
        let (vm, region) = (peer.vm.clone(), peer.region.clone());
        let settings = Settings { vm, region, ..Settings::default() };
        let own = StdRng::seed_from_u64(rng.random());
        let mut list_sync = ListSync::new(settings, None, own, start).expect("list_sync");
        list_sync.set_peers(&peers);
        progress.expect_vm(peer.vm.clone(), peer.region.clone());
        vms.insert(peer.vm.clone(), list_sync);
    }
    let mut second = None;
    let mut accepted = None;
    for tick in 0..400u64 {
        let now = start + Duration::from_millis(100 * tick);
        if tick == 150 {
            second = Some(change(&mut machine, 2));
        }
        for peer in &peers {
            if peer.holds_replica {
                let list_sync = vms.get_mut(&peer.vm).expect("vm");
                list_sync.apply_local(machine.store()).expect("local");
                progress.record_versions(peer.vm.as_str(), list_sync.versions());
            }
            let actions = vms.get_mut(&peer.vm).expect("vm").tick(now);
            let Some(Action::Fetch { to, fetch }) = actions.last() else { continue };
            let asked = vms.get_mut(to).expect("vm");
            let update: Update = asked.answer_fetch(fetch, now);
            if to.as_str().ends_with("-9") {
                progress.record_fetch(fetch);
            }
            let asker = vms.get_mut(&peer.vm).expect("vm");
            if rng.random_ratio(1, 10) {
                asker.record_fetch_failure(to, now);
            } else {
                asker.handle_update(to, &update, now).ok();
            }
        }
        if let Some(reply) = &second
            && accepted.is_none()
        {
            let answer = ChangeAnswer::new(Subject::Allowances, reply.clone(), &progress);
            if answer == (ChangeAnswer::Accepted { version: 2 }) {
                accepted = Some(tick - 150);
                assert!(vms.values().all(|vm| vm.versions().allowances == 2));
            }
        }
    }
    100 * accepted.expect("in force everywhere within the run")
}

#[test]
fn a_replica_that_was_frozen_with_its_vm_proves_nothing() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    change(&mut machine, 1);
    let mut list_sync = list_sync("a-9", None, false, now);
    list_sync.set_peers(&[peer("a-9", true), peer("b-9", true), peer("c-9", true)]);
    list_sync.apply_local(machine.store()).expect("local");
    assert!(list_sync.book().is_some(), "alone in its region, it serves what it has");
    assert!(!list_sync.is_stale(now));
    let now = now + Duration::from_secs(60);
    list_sync.apply_local(machine.store()).expect("local");
    assert!(list_sync.is_stale(now));
    let behind = machine.clone();
    change(&mut machine, 2);
    assert_eq!(pull(&mut list_sync, machine.store(), now), Some("b-9".into()));
    assert!(!list_sync.is_stale(now));
    let refused = list_sync.apply_local(behind.store());
    assert_eq!(refused, Err(UpdateError::SenderBehind(behind.store().versions())));
}

#[test]
fn silence_of_a_region_is_never_taken_for_in_force() {
    let mut machine = StateMachine::default();
    let reply = change(&mut machine, 1);
    let mut progress = RolloutProgress::default();
    progress.expect_vm("a-1".into(), "a".into());
    progress.expect_vm("b-1".into(), "b".into());
    progress.record_versions("a-1", machine.store().versions());
    let answer = ChangeAnswer::new(Subject::Allowances, reply, &progress);
    assert_eq!(answer, ChangeAnswer::Committed { version: 1, waiting_for: vec!["b".into()] });
}

#[test]
fn planned_stops_reach_followers() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    let announce = Command::announce("op-1", &Scope::Vm("a-2".into()));
    machine.apply(1, &announce.encode_to_vec());
    let mut list_sync = list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    pull(&mut list_sync, machine.store(), now);
    assert!(list_sync.stops().covers_vm(&"a-2".into(), &"z".into(), &"a".into()));
}

#[test]
fn news_of_a_newer_version_is_fetched_and_reported_at_once() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    change(&mut machine, 1);
    let mut list_sync = list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    pull(&mut list_sync, machine.store(), now);
    let settled = now + Duration::from_millis(1);
    assert!(pull(&mut list_sync, machine.store(), settled).is_some(), "what came is reported");
    let soon = now + Duration::from_millis(100);
    assert!(pull(&mut list_sync, machine.store(), soon).is_none(), "the period has not passed");

    change(&mut machine, 2);
    list_sync.record_peer_versions(&machine.store().versions(), soon);
    assert!(pull(&mut list_sync, machine.store(), soon).is_some());
    assert_eq!(list_sync.versions().allowances, 2);
    list_sync.record_peer_versions(&machine.store().versions(), soon);
    let reported = pull(&mut list_sync, machine.store(), soon);
    assert!(reported.is_some(), "the new version is reported");
    assert!(pull(&mut list_sync, machine.store(), soon).is_none(), "old news fetches nothing");
}

#[test]
fn an_old_copy_of_a_report_does_not_hide_a_newer_one() {
    let now = Instant::now();
    let mut relay = list_sync("a-1", None, false, now);
    let served = |stops| VmVersions {
        vm: "a-3".to_owned(),
        region: "a".to_owned(),
        versions: Versions { stops, ..Versions::default() },
    };
    let fetch = |vm: &str, served| Fetch {
        vm: vm.to_owned(),
        region: "a".to_owned(),
        relayed_versions: vec![served],
        ..Fetch::default()
    };
    relay.answer_fetch(&fetch("a-3", served(5)), now);
    relay.answer_fetch(&fetch("a-2", served(4)), now);
    let known = relay.reported_versions(now);
    let known = known.iter().find(|served| served.vm == "a-3").expect("it reported");
    assert_eq!(known.versions.stops, 5);
}
