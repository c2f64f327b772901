//! The ledger of requests that crash targets: who is refused, where, and who is not blamed.

use std::time::{Duration, Instant};

use pomelogate::{
    crash::{CrashTracker, Digest, Settings, Verdict},
    id,
    outcome::Reason,
    target::Need,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn digest(body: &str) -> Digest {
    let need = Need::Service { service: id::Service::from("jobs") };
    Digest::new(&"crew".into(), &need, body.as_bytes())
}

fn target(number: usize) -> id::Target {
    format!("engine-{number}").into()
}

fn refused(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refuse(refusal) if refusal.reason == Reason::Crashing)
}

#[test]
fn a_request_that_killed_two_targets_is_refused_on_every_vm_and_others_are_not() {
    let now = Instant::now();
    let culprit = digest("culprit");
    let others: Vec<Digest> = (0..5).map(|number| digest(&number.to_string())).collect();
    let mut vms = [CrashTracker::new(Settings::default()), CrashTracker::new(Settings::default())];

    let mut first = others.clone();
    first.push(culprit);
    vms[0].record_target_death(now, &target(1), 1, &first);
    let notice = vms[0].export(now);
    vms[1].merge(now, &notice);
    assert_eq!(vms[1].check(now, culprit), Verdict::Isolate, "the caller comes to another VM");

    // The others run apart and finish; new requests are beside the culprit at the second death.
    for other in &others {
        vms[1].record_started(&target(2), *other);
        vms[1].record_finished(&target(2), *other);
    }
    let beside = digest("beside");
    vms[1].record_target_death(now, &target(3), 1, &[culprit, beside]);
    let notice = vms[1].export(now);
    vms[0].merge(now, &notice);
    for vm in &vms {
        assert!(refused(&vm.check(now, culprit)));
        assert_eq!(vm.check(now, beside), Verdict::Allow, "a suspect was there; it is blamed");
        for other in &others {
            assert_eq!(vm.check(now, *other), Verdict::Allow, "cleared by finishing");
        }
    }
}

#[test]
fn a_suspects_target_is_named_so_that_suspects_run_apart() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(Settings::default());
    let (one, two) = (digest("one"), digest("two"));
    ledger.record_target_death(now, &target(1), 1, &[one, two]);
    ledger.record_started(&target(2), one);
    ledger.record_started(&target(3), digest("other"));
    assert_eq!(ledger.targets_running_suspects(now).into_iter().collect::<Vec<_>>(), [&target(2)]);
}

#[test]
fn a_death_that_two_vms_report_counts_once() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(Settings::default());
    ledger.record_target_death(now, &target(1), 7, &[digest("one")]);
    ledger.record_target_death(now, &target(1), 7, &[digest("one")]);
    assert_eq!(ledger.check(now, digest("one")), Verdict::Isolate);
    ledger.record_target_death(now, &target(1), 8, &[digest("one")]);
    assert!(refused(&ledger.check(now, digest("one"))), "the target came back and died again");
}

#[test]
fn a_refusal_ends_and_memory_is_bounded() {
    let now = Instant::now();
    let settings = Settings { max_records: 10, ..Settings::default() };
    let mut ledger = CrashTracker::new(settings);
    ledger.record_target_death(now, &target(1), 1, &[digest("one")]);
    ledger.record_target_death(now, &target(2), 1, &[digest("one")]);
    let later = now + settings.death_retention;
    assert_eq!(ledger.check(later, digest("one")), Verdict::Allow);
    ledger.remove_expired(later);
    assert!(ledger.is_empty());
    let many: Vec<Digest> = (0..100).map(|number| digest(&number.to_string())).collect();
    ledger.record_target_death(later, &target(1), 1, &many);
    assert_eq!(ledger.len(), 10);
}

type Step = (usize, usize, u64, bool);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merges_commute_and_repeat(steps in prop::collection::vec(
        (0..3_usize, 0..4_usize, 0..3_u64, any::<bool>()), 1..40,
    )) {
        let now = Instant::now();
        let mut vms = vec![CrashTracker::new(Settings::default()); 3];
        for (number, step) in steps.iter().enumerate() {
            let at = now + Duration::from_millis(number as u64);
            apply(&mut vms, at, *step);
        }
        let end = now + Duration::from_secs(1);
        let notices: Vec<_> = vms.iter().map(|vm| vm.export(end)).collect();
        let mut forward = CrashTracker::new(Settings::default());
        let mut backward = CrashTracker::new(Settings::default());
        notices.iter().for_each(|notice| forward.merge(end, notice));
        notices.iter().rev().chain(&notices).for_each(|notice| backward.merge(end, notice));
        prop_assert_eq!(forward.export(end), backward.export(end));
    }
}

fn apply(vms: &mut [CrashTracker], at: Instant, (vm, place, incarnation, finished): Step) {
    let digest = digest(&place.to_string());
    if finished {
        vms[vm].record_finished(&target(place), digest);
    } else {
        vms[vm].record_target_death(at, &target(place), incarnation, &[digest]);
    }
}
