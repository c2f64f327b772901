//! Requests that crash the targets of routes, as VMs and replicas count them together.

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
    digests.iter().for_each(|digest| suspects.record_broken_exchange(&target, 1, *digest, now));
    suspects.record_incarnation_end(&target, 1, now);
}

/// A request came to three VMs in turn and crashed a target at each: every one of them knew of one
/// crash alone.
#[test]
fn crashes_that_different_vms_saw_are_counted_together() {
    let now = Instant::now();
    let (bad, innocent) = (digest("bad"), digest("innocent"));
    let mut vms = [CrashSuspects::default(), CrashSuspects::default(), CrashSuspects::default()];
    let mut replicas = [
        CrashTracker::new(crash::Settings::for_routes()),
        CrashTracker::new(crash::Settings::for_routes()),
    ];
    for (place, target) in ["one", "two", "three"].into_iter().enumerate() {
        assert!(vms[place].refused_for(|| bad, now).is_none());
        crash(&mut vms[place], target, &[bad], now);
        let notice = vms[place].take_unsent_records(now).expect("something to tell");
        assert!(vms[place].take_unsent_records(now).is_none(), "told once");
        replicas[place % 2].merge(now, &notice);
    }
    crash(&mut vms[0], "four", &[innocent], now);
    let told = replicas[1].export_newest(now, 10);
    replicas[0].merge(now, &told);
    let convicts = replicas[0].blocked_requests(now);
    assert_eq!(convicts.len(), 1);
    for vm in &mut vms {
        vm.set_blocked_requests(1, &convicts, now);
        assert!(vm.refused_for(|| bad, now).is_some());
        assert!(vm.refused_for(|| innocent, now).is_none());
        assert!(vm.refused_for(|| bad, now + Duration::from_secs(200)).is_none(), "not for ever");
    }
}

#[test]
fn a_broken_connection_alone_accuses_nobody() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    for _ in 0..9 {
        suspects.record_broken_exchange(&"one".into(), 1, digest("job"), now);
    }
    // The target goes on, or ends long after.
    suspects.record_incarnation_end(&"one".into(), 1, now + Duration::from_secs(60));
    suspects.record_incarnation_end(&"two".into(), 1, now);
    assert!(suspects.take_unsent_records(now).is_none());
}

#[test]
fn a_request_that_finishes_is_cleared() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    let popular = digest("popular");
    for target in ["one", "two"] {
        crash(&mut suspects, target, &[popular], now);
    }
    suspects.record_success(&"three".into(), || popular);
    crash(&mut suspects, "four", &[popular], now);
    assert!(suspects.refused_for(|| popular, now).is_none());
    let mut replica = CrashTracker::new(crash::Settings::for_routes());
    replica.merge(now, &suspects.take_unsent_records(now).expect("changed"));
    assert!(replica.blocked_requests(now).is_empty());
}

#[test]
fn a_notice_that_did_not_arrive_is_told_again() {
    let now = Instant::now();
    let mut suspects = CrashSuspects::default();
    crash(&mut suspects, "one", &[digest("job")], now);
    let first = suspects.take_unsent_records(now);
    suspects.mark_records_unsent();
    assert_eq!(suspects.take_unsent_records(now), first);
}

fn row(target: &str, incarnation: u64, state: State) -> TargetRecord {
    let (target, zone) = (target.to_owned(), "jakarta-a".to_owned());
    TargetRecord { target, incarnation, zone, state: state.into(), ..TargetRecord::default() }
}

fn tell(
    mirror: &mut Mirror,
    index: u64,
    rows: Vec<TargetRecord>,
    silent_targets: Option<SilentTargets>,
) -> Vec<TargetIncarnation> {
    let news = Update { index, targets: rows, silent_targets, ..Update::default() };
    mirror.apply(news, Instant::now());
    mirror.take_ended_incarnations()
}

#[test]
fn a_lifetime_ends_where_the_target_did_not_leave() {
    let ended =
        |target: &str, incarnation| TargetIncarnation { target: target.into(), incarnation };
    let mut mirror = Mirror::default();
    let rows = ["crashed", "reborn", "left", "silent"];
    let rows = rows.map(|target| row(target, 1, State::Ready)).to_vec();
    assert_eq!(tell(&mut mirror, 1, rows, None), []);
    let gone = tell(&mut mirror, 2, vec![row("crashed", 1, State::Gone)], None);
    assert_eq!(gone, [ended("crashed", 1)]);
    let reborn = tell(&mut mirror, 3, vec![row("reborn", 5, State::Ready)], None);
    assert_eq!(reborn, [ended("reborn", 1)]);
    assert_eq!(tell(&mut mirror, 4, vec![row("left", 1, State::Leaving)], None), []);
    assert_eq!(tell(&mut mirror, 5, vec![row("left", 1, State::Gone)], None), []);
    let silent = || Some(SilentTargets { digest: 1, targets: vec!["silent".to_owned()] });
    assert_eq!(tell(&mut mirror, 6, vec![], silent()), [ended("silent", 1)]);
    assert_eq!(tell(&mut mirror, 7, vec![], silent()), []);
}
