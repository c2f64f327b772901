//! The crash tracker: which requests it refuses or isolates after the deaths of targets.

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

fn is_refused(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refuse(refusal) if refusal.reason == Reason::CrashesTargets)
}

#[test]
fn a_request_in_flight_at_two_deaths_is_refused_on_every_vm_and_others_are_not() {
    let now = Instant::now();
    let culprit = digest("culprit");
    let others: Vec<Digest> = (0..5).map(|number| digest(&number.to_string())).collect();
    let mut vms = [CrashTracker::new(Settings::default()), CrashTracker::new(Settings::default())];

    let mut in_flight = others.clone();
    in_flight.push(culprit);
    vms[0].record_target_death(now, &target(1), 1, &in_flight);
    let record_set = vms[0].export(now);
    vms[1].merge(now, &record_set);
    assert_eq!(
        vms[1].check(now, culprit),
        Verdict::Isolate,
        "the other VM should know of the death"
    );

    // The other suspects finish, so at the second death the only suspect is the culprit.
    for other in &others {
        vms[1].record_started(&target(2), *other);
        vms[1].record_finished(&target(2), *other);
    }
    let bystander = digest("beside");
    vms[1].record_target_death(now, &target(3), 1, &[culprit, bystander]);
    let record_set = vms[1].export(now);
    vms[0].merge(now, &record_set);
    for vm in &vms {
        assert!(is_refused(&vm.check(now, culprit)));
        assert_eq!(
            vm.check(now, bystander),
            Verdict::Allow,
            "the death counts only against the suspect"
        );
        for other in &others {
            assert_eq!(
                vm.check(now, *other),
                Verdict::Allow,
                "a request that finished should be cleared"
            );
        }
    }
}

#[test]
fn only_targets_that_run_a_suspect_are_listed() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(Settings::default());
    let (one, two) = (digest("one"), digest("two"));
    tracker.record_target_death(now, &target(1), 1, &[one, two]);
    tracker.record_started(&target(2), one);
    tracker.record_started(&target(3), digest("other"));
    assert_eq!(tracker.targets_running_suspects(now).into_iter().collect::<Vec<_>>(), [&target(2)]);
}

#[test]
fn a_death_reported_twice_counts_once() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(Settings::default());
    tracker.record_target_death(now, &target(1), 7, &[digest("one")]);
    tracker.record_target_death(now, &target(1), 7, &[digest("one")]);
    assert_eq!(tracker.check(now, digest("one")), Verdict::Isolate);
    tracker.record_target_death(now, &target(1), 8, &[digest("one")]);
    assert!(
        is_refused(&tracker.check(now, digest("one"))),
        "the death of the next incarnation should count"
    );
}

#[test]
fn a_refusal_expires_and_the_number_of_records_is_bounded() {
    let now = Instant::now();
    let settings = Settings { max_records: 10, ..Settings::default() };
    let mut tracker = CrashTracker::new(settings);
    tracker.record_target_death(now, &target(1), 1, &[digest("one")]);
    tracker.record_target_death(now, &target(2), 1, &[digest("one")]);
    let later = now + settings.death_retention;
    assert_eq!(tracker.check(later, digest("one")), Verdict::Allow);
    tracker.remove_expired(later);
    assert!(tracker.is_empty());
    let many: Vec<Digest> = (0..100).map(|number| digest(&number.to_string())).collect();
    tracker.record_target_death(later, &target(1), 1, &many);
    assert_eq!(tracker.len(), 10);
}

/// The VM, the target and request number, the incarnation, and whether the request finished there.
type Step = (usize, usize, u64, bool);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_is_commutative_and_idempotent(steps in prop::collection::vec(
        (0..3_usize, 0..4_usize, 0..3_u64, any::<bool>()), 1..40,
    )) {
        let now = Instant::now();
        let mut vms = vec![CrashTracker::new(Settings::default()); 3];
        for (index, step) in steps.iter().enumerate() {
            let at = now + Duration::from_millis(index as u64);
            apply(&mut vms, at, *step);
        }
        let end = now + Duration::from_secs(1);
        let record_sets: Vec<_> = vms.iter().map(|vm| vm.export(end)).collect();
        let mut forward = CrashTracker::new(Settings::default());
        let mut backward = CrashTracker::new(Settings::default());
        record_sets.iter().for_each(|record_set| forward.merge(end, record_set));
        record_sets
            .iter()
            .rev()
            .chain(&record_sets)
            .for_each(|record_set| backward.merge(end, record_set));
        prop_assert_eq!(forward.export(end), backward.export(end));
    }
}

fn apply(vms: &mut [CrashTracker], at: Instant, (vm, number, incarnation, finished): Step) {
    let digest = digest(&number.to_string());
    if finished {
        vms[vm].record_finished(&target(number), digest);
    } else {
        vms[vm].record_target_death(at, &target(number), incarnation, &[digest]);
    }
}
