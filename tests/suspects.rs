//! Requests that crash the targets of routes: VMs and replicas combine what they know of them.

use std::time::{Duration, Instant};

use pomelogate::{
    crash::{self, CrashTracker, Digest},
    gateway::CrashSuspects,
    id,
    registry::{Mirror, SilentTargets, State, TargetIncarnation, TargetRecord, Update},
};

fn digest(text: &str) -> Digest {
    Digest::of(&[text.as_bytes()])
}

fn crash(suspects: &mut CrashSuspects, target: &str, digests: &[Digest], now: Instant) {
    let target = id::Target::from(target);
    digests
        .iter()
        .for_each(|digest| suspects.record_broken_exchange(&target, 1, *digest, &[], now));
    suspects.record_incarnation_end(&target, 1, now);
}

/// Guards against a fault where a request that crashed one target through each of three VMs was not
/// blocked, as each VM knew of one crash only.
#[test]
fn crashes_seen_by_different_vms_are_counted_together() {
    let now = Instant::now();
    let (bad, innocent) = (digest("bad"), digest("innocent"));
    let mut vms = [CrashSuspects::default(), CrashSuspects::default(), CrashSuspects::default()];
    let mut replicas = [
        CrashTracker::new(crash::Settings::for_routes()),
        CrashTracker::new(crash::Settings::for_routes()),
    ];
    for (index, target) in ["one", "two", "three"].into_iter().enumerate() {
        assert!(vms[index].refused_for(|| bad, &[], now).is_none());
        crash(&mut vms[index], target, &[bad], now);
        let records = vms[index].take_unsent_records(now).expect("unsent records");
        assert!(vms[index].take_unsent_records(now).is_none(), "records are sent once");
        replicas[index % 2].merge(now, &records);
    }
    crash(&mut vms[0], "four", &[innocent], now);
    let records = replicas[1].export_newest(now, 10);
    replicas[0].merge(now, &records);
    let blocked = replicas[0].blocked_requests(now);
    assert_eq!(blocked.len(), 1);
    for vm in &mut vms {
        vm.set_blocked_requests(1, &blocked, now);
        assert!(vm.refused_for(|| bad, &[], now).is_some());
        assert!(vm.refused_for(|| innocent, &[], now).is_none());
        assert!(
            vm.refused_for(|| bad, &[], now + Duration::from_secs(200)).is_none(),
            "the block expires"
        );
    }
}

#[test]
fn a_broken_exchange_without_a_crash_makes_no_suspect() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    for _ in 0..9 {
        suspects.record_broken_exchange(&"one".into(), 1, digest("job"), &[], now);
    }
    // The incarnation ends long after, and that of another target ends at once.
    suspects.record_incarnation_end(&"one".into(), 1, now + Duration::from_secs(60));
    suspects.record_incarnation_end(&"two".into(), 1, now);
    assert!(suspects.take_unsent_records(now).is_none());
}

#[test]
fn a_request_that_completes_is_no_suspect_any_more() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    let popular = digest("popular");
    for target in ["one", "two"] {
        crash(&mut suspects, target, &[popular], now);
    }
    suspects.record_success(&"three".into(), || popular, &[], now);
    crash(&mut suspects, "four", &[popular], now);
    assert!(suspects.refused_for(|| popular, &[], now).is_none());
    let mut replica = CrashTracker::new(crash::Settings::for_routes());
    replica.merge(now, &suspects.take_unsent_records(now).expect("changed"));
    assert!(replica.blocked_requests(now).is_empty());
}

#[test]
fn records_that_a_replica_did_not_receive_are_sent_again() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    crash(&mut suspects, "one", &[digest("job")], now);
    let records = suspects.take_unsent_records(now);
    suspects.mark_records_unsent();
    assert_eq!(suspects.take_unsent_records(now), records);
}

fn record(target: &str, incarnation: u64, state: State) -> TargetRecord {
    let (target, zone) = (target.to_owned(), "jakarta-a".to_owned());
    TargetRecord { target, incarnation, zone, state: state.into(), ..TargetRecord::default() }
}

fn apply(
    mirror: &mut Mirror,
    index: u64,
    records: Vec<TargetRecord>,
    silent_targets: Option<SilentTargets>,
) -> Vec<TargetIncarnation> {
    let update = Update { index, targets: records, silent_targets, ..Update::default() };
    mirror.apply(update, Instant::now());
    mirror.take_ended_incarnations()
}

#[test]
fn an_incarnation_ends_when_its_target_is_gone_reborn_or_silent_without_having_left() {
    let ended =
        |target: &str, incarnation| TargetIncarnation { target: target.into(), incarnation };
    let mut mirror = Mirror::default();
    let records = ["crashed", "reborn", "left", "silent"];
    let records = records.map(|target| record(target, 1, State::Ready)).to_vec();
    assert_eq!(apply(&mut mirror, 1, records, None), []);
    let gone = apply(&mut mirror, 2, vec![record("crashed", 1, State::Gone)], None);
    assert_eq!(gone, [ended("crashed", 1)]);
    let reborn = apply(&mut mirror, 3, vec![record("reborn", 5, State::Ready)], None);
    assert_eq!(reborn, [ended("reborn", 1)]);
    assert_eq!(apply(&mut mirror, 4, vec![record("left", 1, State::Leaving)], None), []);
    assert_eq!(apply(&mut mirror, 5, vec![record("left", 1, State::Gone)], None), []);
    let silent = || Some(SilentTargets { digest: 1, targets: vec!["silent".to_owned()] });
    assert_eq!(apply(&mut mirror, 6, vec![], silent()), [ended("silent", 1)]);
    assert_eq!(apply(&mut mirror, 7, vec![], silent()), []);
}
