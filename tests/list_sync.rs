//! `ListSync` under deltas, snapshots, restarts, network cuts and freezes, with a simulated clock.

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

fn apply_change(machine: &mut StateMachine, version: u64) -> Reply {
    let content = format!(r#"[{{"plan":"p","regions":["a"],"limits":{{"queue":{version}}}}}]"#);
    let entries = Kind::Allowances.canonical_entries(content.as_bytes()).expect("entries");
    let content = entries.into_values().next().expect("entry");
    let content = [&b"["[..], &content, b"]"].concat();
    let draft = Draft { kind: Kind::Allowances, version, content };
    let reply = machine.apply(version, &Command::change(draft).encode_to_vec());
    Reply::decode(reply).expect("reply")
}

fn new_list_sync(vm: &str, image: Option<&[u8]>, disk: bool, now: Instant) -> ListSync {
    let region = id::Region::from(&vm[..1]);
    let settings = Settings { vm: vm.into(), region, has_disk: disk, ..Settings::default() };
    ListSync::new(settings, image, StdRng::seed_from_u64(7), now).expect("list_sync")
}

fn peer(vm: &str, replica: bool) -> Peer {
    Peer { vm: vm.into(), region: vm[..1].into(), holds_replica: replica }
}

/// Answers the next fetch, if one is due, from `store`, and returns the VM that was asked.
fn answer_next_fetch(list_sync: &mut ListSync, store: &Store, now: Instant) -> Option<id::Vm> {
    let actions = list_sync.tick(now);
    let Some(Action::Fetch { to, fetch }) = actions.last() else { return None };
    let _ = list_sync.handle_update(to, &store.updates_since(fetch), now);
    Some(to.clone())
}

#[test]
fn list_sync_applies_deltas_and_keeps_recent_books() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut machine, 1);
    let mut list_sync = new_list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    assert!(list_sync.book().is_none());
    answer_next_fetch(&mut list_sync, machine.store(), now);
    let first = list_sync.book().expect("book");
    for version in 2..=70 {
        apply_change(&mut machine, version);
        answer_next_fetch(&mut list_sync, machine.store(), now + Duration::from_secs(10 * version));
    }
    assert_eq!(list_sync.versions().allowances, 70);
    assert_eq!(first.allowances().version, 1, "a book in use does not change");
    assert!(list_sync.book_at(0, 69).is_some());
    assert!(list_sync.book_at(0, 1).is_none(), "older books are dropped");
    assert!(list_sync.book_at(1, 70).is_none());
}

#[test]
fn delta_has_only_changed_entries_and_snapshot_has_all() {
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
    let mut updated = old.clone();
    assert_eq!(updated.apply(&update), Ok(true));
    assert_eq!(updated.apply(&old.full_update()), Err(UpdateError::SenderBehind(old.versions())));
    let mut damaged = update.clone();
    damaged.subject_updates[0].removed.clear();
    assert!(matches!(old.clone().apply(&damaged), Err(UpdateError::Inapplicable(_))));
    for version in 3..MAX_CHANGE_SETS as u64 + 4 {
        let entries = if version % 2 == 0 { &plans[..] } else { &plans[1..] };
        machine.apply(version, &Command::change(draft(version, entries)).encode_to_vec());
    }
    let snapshot = machine.store().updates_since(&fetch(&old));
    assert_eq!(
        (snapshot.subject_updates[0].from, snapshot.subject_updates[0].changed.len()),
        (0, 49)
    );
    let mut updated = old;
    assert_eq!(updated.apply(&snapshot), Ok(true));
    assert_eq!(updated.versions(), machine.store().versions());
}

#[test]
fn vm_with_disk_puts_version_in_force_only_once_saved() {
    let folder = tempfile::tempdir().expect("folder");
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut machine, 1);
    let mut list_sync = new_list_sync("a-1", None, true, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    answer_next_fetch(&mut list_sync, machine.store(), now);
    assert!(list_sync.book().is_none());
    let image = machine.store().full_update().encode_to_vec();
    save_cache(folder.path(), &image).expect("save");
    let actions = list_sync.mark_saved().expect("saved");
    assert!(matches!(actions[..], [Action::InForce(_)]), "{actions:?}");
    let saved = load_cache(folder.path()).expect("load").expect("image");
    let mut restarted = new_list_sync("a-1", Some(&saved), true, now);
    assert_eq!(restarted.book().expect("book").allowances().version, 1);
    restarted.set_peers(&[peer("a-9", true)]);
    answer_next_fetch(&mut restarted, &Store::default(), now);
    assert_eq!(
        restarted.versions().allowances,
        1,
        "an update from a peer with older versions is ignored"
    );
    std::fs::write(folder.path().join("lists.cache"), b"torn").expect("write");
    assert!(load_cache(folder.path()).is_err());
}

#[test]
fn vm_without_disk_asks_every_peer_of_its_region_before_serving() {
    let (mut older, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut older, 1);
    let mut newer = older.clone();
    apply_change(&mut newer, 2);
    let mut list_sync = new_list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-2", false), peer("a-3", false), peer("a-4", false)]);
    assert_eq!(answer_next_fetch(&mut list_sync, older.store(), now), Some("a-2".into()));
    assert!(list_sync.book().is_none());
    assert_eq!(answer_next_fetch(&mut list_sync, newer.store(), now), Some("a-3".into()));
    assert!(list_sync.book().is_none());
    let mut now = now;
    let actions = list_sync.tick(now);
    assert!(matches!(&actions[..], [Action::Fetch { to, .. }] if *to == "a-4".into()));
    now += Duration::from_secs(3);
    let actions = list_sync.tick(now);
    assert!(
        matches!(actions[0], Action::InForce(_)),
        "a peer that does not answer does not block startup"
    );
    assert_eq!(list_sync.book().expect("book").allowances().version, 2);
}

#[test]
fn list_sync_tries_every_peer_when_cut_off_and_is_stale_after_freeze() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut machine, 1);
    let mut list_sync = new_list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-2", false), peer("b-1", true), peer("c-1", true)]);
    answer_next_fetch(&mut list_sync, machine.store(), now);
    let mut asked_peers = std::collections::BTreeSet::new();
    let mut now = now;
    for _ in 0..200 {
        now += Duration::from_millis(200);
        if let Some(Action::Fetch { to, .. }) = list_sync.tick(now).last() {
            asked_peers.insert(to.to_string());
            list_sync.record_fetch_failure(&to.clone(), now);
        }
        assert!(!list_sync.is_stale(now), "a VM that is cut off goes on with its lists");
    }
    assert_eq!(asked_peers.len(), 3);
    now += Duration::from_secs(10);
    let actions = list_sync.tick(now);
    assert!(matches!(&actions[..], [Action::Fetch { .. }]));
    now += Duration::from_secs(60);
    let Some(Action::Fetch { to, fetch }) = actions.last() else { panic!() };
    let late_update = machine.store().updates_since(fetch);
    list_sync.handle_update(to, &late_update, now).expect("answer");
    assert!(list_sync.is_stale(now), "a reply to a fetch from before the freeze does not count");
    now += Duration::from_secs(10);
    let Some(Action::Fetch { to, .. }) = list_sync.tick(now).pop() else { panic!() };
    assert!(list_sync.is_stale(now), "the fetch is not answered yet");
    list_sync.record_fetch_failure(&to, now);
    assert!(list_sync.is_stale(now), "the connection may have broken during the freeze");
    for _ in 0..2 {
        now += Duration::from_secs(1);
        let Some(Action::Fetch { to, .. }) = list_sync.tick(now).pop() else { panic!() };
        assert!(list_sync.is_stale(now), "other peers may still answer");
        list_sync.record_fetch_failure(&to, now);
    }
    assert!(!list_sync.is_stale(now), "the VM is cut off");
}

#[test]
fn change_is_in_force_and_reported_by_every_vm_within_19_seconds() {
    let times: Vec<u64> = (0..20).map(ms_until_in_force_everywhere).collect();
    assert!(times.iter().all(|ms| *ms <= 19_000), "took {times:?} ms of simulated time");
}

/// Returns the simulated time from a change until all 27 VMs have reported it, with a tenth of the
/// fetches lost.
fn ms_until_in_force_everywhere(seed: u64) -> u64 {
    let mut machine = StateMachine::default();
    let start = Instant::now();
    apply_change(&mut machine, 1);
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
    let mut change_reply = None;
    let mut ticks_until_accepted = None;
    for tick in 0..400u64 {
        let now = start + Duration::from_millis(100 * tick);
        if tick == 150 {
            change_reply = Some(apply_change(&mut machine, 2));
        }
        for peer in &peers {
            if peer.holds_replica {
                let list_sync = vms.get_mut(&peer.vm).expect("vm");
                list_sync.apply_local(machine.store()).expect("local");
                progress.record_versions(peer.vm.as_str(), list_sync.versions());
            }
            let actions = vms.get_mut(&peer.vm).expect("vm").tick(now);
            let Some(Action::Fetch { to, fetch }) = actions.last() else { continue };
            let source = vms.get_mut(to).expect("vm");
            let update: Update = source.answer_fetch(fetch, now);
            if to.as_str().ends_with("-9") {
                progress.record_fetch(fetch);
            }
            let fetching_vm = vms.get_mut(&peer.vm).expect("vm");
            if rng.random_ratio(1, 10) {
                fetching_vm.record_fetch_failure(to, now);
            } else {
                fetching_vm.handle_update(to, &update, now).ok();
            }
        }
        if let Some(reply) = &change_reply
            && ticks_until_accepted.is_none()
        {
            let answer = ChangeAnswer::new(Subject::Allowances, reply.clone(), &progress);
            if answer == (ChangeAnswer::Accepted { version: 2 }) {
                ticks_until_accepted = Some(tick - 150);
                assert!(vms.values().all(|vm| vm.versions().allowances == 2));
            }
        }
    }
    100 * ticks_until_accepted.expect("in force everywhere within the run")
}

#[test]
fn state_of_replica_frozen_with_its_vm_does_not_end_staleness() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut machine, 1);
    let mut list_sync = new_list_sync("a-9", None, false, now);
    list_sync.set_peers(&[peer("a-9", true), peer("b-9", true), peer("c-9", true)]);
    list_sync.apply_local(machine.store()).expect("local");
    assert!(
        list_sync.book().is_some(),
        "it is alone in its region and puts its own versions in force"
    );
    assert!(!list_sync.is_stale(now));
    let now = now + Duration::from_secs(60);
    list_sync.apply_local(machine.store()).expect("local");
    assert!(list_sync.is_stale(now));
    let behind = machine.clone();
    apply_change(&mut machine, 2);
    assert_eq!(answer_next_fetch(&mut list_sync, machine.store(), now), Some("b-9".into()));
    assert!(!list_sync.is_stale(now));
    let refused = list_sync.apply_local(behind.store());
    assert_eq!(refused, Err(UpdateError::SenderBehind(behind.store().versions())));
}

#[test]
fn region_without_reports_is_never_counted_as_in_force() {
    let mut machine = StateMachine::default();
    let reply = apply_change(&mut machine, 1);
    let mut progress = RolloutProgress::default();
    progress.expect_vm("a-1".into(), "a".into());
    progress.expect_vm("b-1".into(), "b".into());
    progress.record_versions("a-1", machine.store().versions());
    let answer = ChangeAnswer::new(Subject::Allowances, reply, &progress);
    assert_eq!(answer, ChangeAnswer::Committed { version: 1, waiting_for: vec!["b".into()] });
}

#[test]
fn planned_stops_reach_vms_without_replica() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    let announce = Command::announce("op-1", &Scope::Vm("a-2".into()));
    machine.apply(1, &announce.encode_to_vec());
    let mut list_sync = new_list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    answer_next_fetch(&mut list_sync, machine.store(), now);
    assert!(list_sync.stops().covers_vm(&"a-2".into(), &"z".into(), &"a".into()));
}

#[test]
fn announced_newer_version_is_fetched_and_reported_at_once() {
    let (mut machine, now) = (StateMachine::default(), Instant::now());
    apply_change(&mut machine, 1);
    let mut list_sync = new_list_sync("a-1", None, false, now);
    list_sync.set_peers(&[peer("a-9", true)]);
    answer_next_fetch(&mut list_sync, machine.store(), now);
    let just_after = now + Duration::from_millis(1);
    assert!(
        answer_next_fetch(&mut list_sync, machine.store(), just_after).is_some(),
        "the fetched version is reported"
    );
    let soon = now + Duration::from_millis(100);
    assert!(
        answer_next_fetch(&mut list_sync, machine.store(), soon).is_none(),
        "the fetch interval has not passed"
    );

    apply_change(&mut machine, 2);
    list_sync.record_peer_versions(&machine.store().versions(), soon);
    assert!(answer_next_fetch(&mut list_sync, machine.store(), soon).is_some());
    assert_eq!(list_sync.versions().allowances, 2);
    list_sync.record_peer_versions(&machine.store().versions(), soon);
    let reported = answer_next_fetch(&mut list_sync, machine.store(), soon);
    assert!(reported.is_some(), "the new version is reported");
    assert!(
        answer_next_fetch(&mut list_sync, machine.store(), soon).is_none(),
        "an announcement of old versions causes no fetch"
    );
}

#[test]
fn older_copy_of_report_does_not_replace_newer_one() {
    let now = Instant::now();
    let mut relay = new_list_sync("a-1", None, false, now);
    let report = |stops| VmVersions {
        vm: "a-3".to_owned(),
        region: "a".to_owned(),
        versions: Versions { stops, ..Versions::default() },
    };
    let fetch = |vm: &str, report| Fetch {
        vm: vm.to_owned(),
        region: "a".to_owned(),
        relayed_versions: vec![report],
        ..Fetch::default()
    };
    relay.answer_fetch(&fetch("a-3", report(5)), now);
    relay.answer_fetch(&fetch("a-2", report(4)), now);
    let reports = relay.reported_versions(now);
    let newest = reports.iter().find(|report| report.vm == "a-3").expect("it reported");
    assert_eq!(newest.versions.stops, 5);
}
