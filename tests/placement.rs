//! The placement policy: its choices from load reports, cache events and its own requests, and the
//! targets and regions that it must never choose.

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    placement::{
        Algorithm, CacheEvent, CacheIndex, Candidate, Cause, Choice, Policy, Prompt, Query,
        RegionSummary, Settings,
    },
    target::Load,
};
use proptest::{prelude::*, test_runner::RngSeed};

const REPORT_AGE: Duration = Duration::from_millis(500);
const REMOTE_DELAY: Duration = Duration::from_millis(55);

struct Fixture {
    policy: Policy,
    now: Instant,
    targets: Vec<id::Target>,
    incarnation: u64,
    loads: Vec<Load>,
    local: id::Region,
    remote: id::Region,
    remote_free: u32,
    prompt: Prompt,
    tried_targets: Vec<id::Target>,
}

impl Fixture {
    fn new(count: usize, settings: Settings) -> Self {
        Self {
            policy: Policy::new(settings, 1),
            now: Instant::now() + Duration::from_secs(1000),
            targets: (0..count).map(|index| format!("engine-{index}").into()).collect(),
            incarnation: 1,
            loads: vec![Load { slots: 16, ..Load::default() }; count],
            local: "here".into(),
            remote: "there".into(),
            remote_free: 100,
            prompt: Prompt::new("model", &[1; 4096]),
            tried_targets: Vec::new(),
        }
    }

    fn decide_with_regions(&mut self, allowed_regions: &[id::Region]) -> (Choice, Cause) {
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .zip(&self.loads)
            .map(|(target, load)| Candidate {
                one_way_delay: Duration::ZERO,
                target,
                region: &self.local,
                incarnation: self.incarnation,
                load: *load,
                report_age: REPORT_AGE,
            })
            .collect();
        let region = &self.remote;
        let (free_slots, waiting, slots) = (self.remote_free, 0, 100);
        let regions = [RegionSummary {
            region,
            slots,
            free_slots,
            waiting,
            age: REPORT_AGE,
            one_way_delay: REMOTE_DELAY,
        }];
        let query = Query {
            prompt: &self.prompt,
            allowed_regions,
            candidates: &candidates,
            region_summaries: &regions,
            tried_targets: &self.tried_targets,
        };
        let decision = self.policy.decide(self.now, query);
        (decision.choice, decision.cause)
    }

    fn decide(&mut self) -> (Choice, Cause) {
        let allowed_regions = [self.local.clone(), self.remote.clone()];
        self.decide_with_regions(&allowed_regions)
    }

    /// Decides on a request, records it as sent and returns the index of its target.
    fn send(&mut self) -> usize {
        let local = [self.local.clone()];
        let (Choice::Target(target), _) = self.decide_with_regions(&local) else {
            panic!("the policy chose no target")
        };
        self.policy.record_sent(self.now, &target, &self.prompt);
        self.targets
            .iter()
            .position(|known| *known == target)
            .expect("the policy chose an unknown target")
    }

    fn overload_local_targets(&mut self) {
        for load in &mut self.loads {
            *load = Load { running: 16, waiting: 40, slots: 16, waiting_tokens: 40_000 };
        }
    }
}

#[test]
fn a_prompt_goes_to_the_target_that_has_its_prefix_cached() {
    let mut fixture = Fixture::new(20, Settings::default());
    let first = fixture.send();
    fixture.policy.record_finished(
        fixture.now,
        &fixture.targets[first],
        Some(Duration::from_secs(1)),
    );
    fixture.now += Duration::from_secs(2);
    fixture.prompt = Prompt::new("model", &[1; 8192]);
    let (choice, cause) = fixture.decide();
    assert_eq!(choice, Choice::Target(fixture.targets[first].clone()));
    assert_eq!(cause, Cause::Affinity);
}

#[test]
fn requests_sent_since_the_load_report_count_as_load() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut fixture = Fixture::new(4, settings);
    let mut sent = [0; 4];
    for number in 0..40_u8 {
        fixture.prompt = Prompt::new("model", &[number; 4096]);
        sent[fixture.send()] += 1;
    }
    assert!(
        sent.iter().all(|sent| (6..=14).contains(sent)),
        "40 requests should spread evenly over 4 targets: {sent:?}"
    );
}

#[test]
fn an_idle_target_is_not_overloaded_between_two_load_reports() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut fixture = Fixture::new(4, settings);
    fixture.loads.iter_mut().skip(1).for_each(|load| load.running = 8);
    let mut sent = [0; 4];
    for number in 0..40_u8 {
        fixture.prompt = Prompt::new("model", &[number; 64]);
        sent[fixture.send()] += 1;
    }
    assert!((12..=20).contains(&sent[0]), "the idle target should get about 16 requests: {sent:?}");
}

#[test]
fn vms_with_the_same_load_report_do_not_all_choose_the_idle_target() {
    let mut chosen = [0; 10];
    for seed in 0..100 {
        let mut fixture = Fixture::new(10, Settings::default());
        fixture.policy = Policy::new(Settings::default(), seed);
        fixture.loads.iter_mut().skip(1).for_each(|load| load.running = 8);
        chosen[fixture.send()] += 1;
    }
    assert!(chosen[0] < 70, "too many VMs choose the idle target: {chosen:?}");
    assert!(chosen[0] > 10, "the idle target should get more than an equal share: {chosen:?}");
}

#[test]
fn a_new_target_gets_few_requests_during_slow_start() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut fixture = Fixture::new(2, settings);
    fixture.send();
    fixture.loads[0].running = 14;
    fixture.targets[1] = "engine-new".into();
    fixture.now += Duration::from_secs(1);
    let mut sent = [0; 2];
    for number in 0..10_u8 {
        fixture.prompt = Prompt::new("model", &[number; 64]);
        sent[fixture.send()] += 1;
    }
    assert!(
        sent[1] >= 1 && sent[1] <= 6,
        "the new target should get some, but not most requests: {sent:?}"
    );
}

#[test]
fn a_request_spills_only_if_local_targets_are_overloaded_and_the_plan_permits() {
    let mut fixture = Fixture::new(3, Settings::default());
    assert!(matches!(fixture.decide().0, Choice::Target(_)));
    fixture.overload_local_targets();
    assert_eq!(fixture.decide(), (Choice::Region("there".into()), Cause::Spill));
    let local = [fixture.local.clone()];
    assert!(
        matches!(fixture.decide_with_regions(&local).0, Choice::Target(_)),
        "the plan permits no other region"
    );
}

#[test]
fn spill_leaves_the_reserved_slots_of_the_other_region_free() {
    let settings = Settings { vm_count: 3, reserve_ratio: 0.15, ..Settings::default() };
    let mut fixture = Fixture::new(3, settings);
    fixture.overload_local_targets();
    fixture.remote_free = 30;
    let remote = fixture.remote.clone();
    let mut spilled = 0;
    while let (Choice::Region(region), _) = fixture.decide() {
        assert_eq!(region, remote);
        fixture.policy.record_handed_over(fixture.now, &region);
        spilled += 1;
        assert!(spilled <= 5, "each of 3 VMs may take 5 of the 15 free slots above the reserve");
    }
    assert_eq!(spilled, 5);
}

#[test]
fn only_regions_of_the_plan_are_chosen() {
    let mut fixture = Fixture::new(2, Settings::default());
    assert_eq!(fixture.decide_with_regions(&["elsewhere".into()]), (Choice::None, Cause::NoTarget));
    let remote = [fixture.remote.clone()];
    assert_eq!(
        fixture.decide_with_regions(&remote),
        (Choice::Region("there".into()), Cause::NoLocalTarget)
    );
}

#[test]
fn a_gap_in_cache_events_or_a_restart_clears_the_cache_index() {
    let event = |incarnation, sequence, block| CacheEvent {
        incarnation,
        sequence,
        stored: vec![block],
        evicted: Vec::new(),
    };
    let mut cache = CacheIndex::default();
    cache.apply(&event(1, 1, 10), 100);
    cache.apply(&event(1, 2, 11), 100);
    assert_eq!(cache.matched_prefix_len(&[10, 11]), 2);
    cache.apply(&event(1, 4, 12), 100);
    assert_eq!(
        (cache.matched_prefix_len(&[10]), cache.matched_prefix_len(&[12])),
        (0, 1),
        "the missing event 3 should clear the index"
    );
    cache.apply(&event(1, 3, 10), 100);
    assert_eq!(
        cache.matched_prefix_len(&[10]),
        0,
        "an event with an old sequence number should be ignored"
    );
    cache.apply(&event(2, 1, 13), 100);
    assert_eq!(
        (cache.matched_prefix_len(&[12]), cache.matched_prefix_len(&[13])),
        (0, 1),
        "a new incarnation should clear the index"
    );
}

#[test]
fn the_block_count_stays_within_max_blocks() {
    let settings = Settings { max_blocks: 1000, ..Settings::default() };
    let mut fixture = Fixture::new(10, settings);
    for number in 0..2000_u32 {
        let text: Vec<u8> = number.to_le_bytes().repeat(1024);
        fixture.prompt = Prompt::new("model", &text);
        fixture.send();
        fixture.now += Duration::from_millis(100);
    }
    assert!(fixture.policy.block_count() <= 1000, "{} blocks", fixture.policy.block_count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_algorithm_chooses_a_tried_target_or_a_region_outside_the_plan(
        algorithm in prop::sample::select(
            vec![
                Algorithm::Random,
                Algorithm::RoundRobin,
                Algorithm::LeastLoad,
                Algorithm::LeastCost,
            ],
        ),
        loads in prop::collection::vec((0..20_u32, 0..50_u32), 0..6),
        tried in prop::collection::vec(0..6_usize, 0..6),
        local_allowed in any::<bool>(),
        remote_allowed in any::<bool>(),
        remote_free in 0..100_u32,
    ) {
        let mut fixture = Fixture::new(loads.len(), Settings { algorithm, ..Settings::default() });
        for (load, (running, waiting)) in fixture.loads.iter_mut().zip(&loads) {
            *load = Load { running: *running, waiting: *waiting, slots: 16, waiting_tokens: 0 };
        }
        fixture.remote_free = remote_free;
        fixture.tried_targets =
            tried.iter().filter_map(|index| fixture.targets.get(*index)).cloned().collect();
        let mut allowed_regions = Vec::new();
        if local_allowed { allowed_regions.push(fixture.local.clone()) }
        if remote_allowed { allowed_regions.push(fixture.remote.clone()) }
        for _ in 0..5 {
            match fixture.decide_with_regions(&allowed_regions).0 {
                Choice::Target(target) => {
                    prop_assert!(local_allowed && !fixture.tried_targets.contains(&target))
                }
                Choice::Region(region) => prop_assert!(remote_allowed && region == fixture.remote),
                Choice::None => prop_assert!(!remote_allowed),
            }
        }
    }
}
