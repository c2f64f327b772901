//! Placement: what the policy never does, and what it does with what it learns.

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

const AGE: Duration = Duration::from_millis(500);
const FAR: Duration = Duration::from_millis(55);

struct Bench {
    policy: Policy,
    now: Instant,
    targets: Vec<id::Target>,
    incarnation: u64,
    loads: Vec<Load>,
    here: id::Region,
    there: id::Region,
    free: u32,
    prompt: Prompt,
    tried: Vec<id::Target>,
}

impl Bench {
    fn new(count: usize, settings: Settings) -> Self {
        Self {
            policy: Policy::new(settings, 1),
            now: Instant::now() + Duration::from_secs(1000),
            targets: (0..count).map(|number| format!("engine-{number}").into()).collect(),
            incarnation: 1,
            loads: vec![Load { slots: 16, ..Load::default() }; count],
            here: "here".into(),
            there: "there".into(),
            free: 100,
            prompt: Prompt::new("model", &[1; 4096]),
            tried: Vec::new(),
        }
    }

    fn decide_in(&mut self, allowed_regions: &[id::Region]) -> (Choice, Cause) {
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .zip(&self.loads)
            .map(|(target, load)| Candidate {
                one_way_delay: Duration::ZERO,
                target,
                region: &self.here,
                incarnation: self.incarnation,
                load: *load,
                report_age: AGE,
            })
            .collect();
        let region = &self.there;
        let (free, waiting, slots) = (self.free, 0, 100);
        let regions =
            [RegionSummary { region, slots, free, waiting, age: AGE, one_way_delay: FAR }];
        let query = Query {
            prompt: &self.prompt,
            allowed_regions,
            candidates: &candidates,
            region_summaries: &regions,
            tried_targets: &self.tried,
        };
        let decision = self.policy.decide(self.now, query);
        (decision.choice, decision.cause)
    }

    fn decide(&mut self) -> (Choice, Cause) {
        let allowed = [self.here.clone(), self.there.clone()];
        self.decide_in(&allowed)
    }

    /// Decides and counts the request as sent; gives the target's number.
    fn send(&mut self) -> usize {
        let here = [self.here.clone()];
        let (Choice::Target(target), _) = self.decide_in(&here) else { panic!("no target") };
        self.policy.record_sent(self.now, &target, &self.prompt);
        self.targets.iter().position(|known| *known == target).expect("a known target")
    }

    fn fill(&mut self) {
        for load in &mut self.loads {
            *load = Load { running: 16, waiting: 40, slots: 16, waiting_tokens: 40_000 };
        }
    }
}

#[test]
fn a_prompt_returns_to_the_target_that_holds_its_start() {
    let mut bench = Bench::new(20, Settings::default());
    let first = bench.send();
    bench.policy.record_finished(bench.now, &bench.targets[first], Some(Duration::from_secs(1)));
    bench.now += Duration::from_secs(2);
    bench.prompt = Prompt::new("model", &[1; 8192]);
    let (choice, cause) = bench.decide();
    assert_eq!(choice, Choice::Target(bench.targets[first].clone()));
    assert_eq!(cause, Cause::Affinity);
}

#[test]
fn work_sent_since_an_old_report_is_counted() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut bench = Bench::new(4, settings);
    let mut sent = [0; 4];
    for number in 0..40_u8 {
        bench.prompt = Prompt::new("model", &[number; 4096]);
        sent[bench.send()] += 1;
    }
    assert!(sent.iter().all(|sent| (6..=14).contains(sent)), "spread under one report: {sent:?}");
}

#[test]
fn an_idle_target_is_filled_and_not_flooded_under_one_old_report() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut bench = Bench::new(4, settings);
    bench.loads.iter_mut().skip(1).for_each(|load| load.running = 8);
    let mut sent = [0; 4];
    for number in 0..40_u8 {
        bench.prompt = Prompt::new("model", &[number; 64]);
        sent[bench.send()] += 1;
    }
    assert!((12..=20).contains(&sent[0]), "sixteen would be even: {sent:?}");
}

#[test]
fn vms_that_see_the_same_report_do_not_choose_the_same_target() {
    let mut chosen = [0; 10];
    for seed in 0..100 {
        let mut bench = Bench::new(10, Settings::default());
        bench.policy = Policy::new(Settings::default(), seed);
        bench.loads.iter_mut().skip(1).for_each(|load| load.running = 8);
        chosen[bench.send()] += 1;
    }
    assert!(chosen[0] < 70, "the idle target draws a crowd: {chosen:?}");
    assert!(chosen[0] > 10, "the idle target draws more than an equal share: {chosen:?}");
}

#[test]
fn a_restarted_target_is_given_work_slowly() {
    let settings = Settings { sampled_targets: 4, ..Settings::default() };
    let mut bench = Bench::new(2, settings);
    bench.send();
    bench.loads[0].running = 14;
    bench.targets[1] = "engine-new".into();
    bench.now += Duration::from_secs(1);
    let mut sent = [0; 2];
    for number in 0..10_u8 {
        bench.prompt = Prompt::new("model", &[number; 64]);
        sent[bench.send()] += 1;
    }
    assert!(sent[1] >= 1 && sent[1] <= 6, "an empty new target does not take all: {sent:?}");
}

#[test]
fn a_request_spills_only_where_waiting_costs_more() {
    let mut bench = Bench::new(3, Settings::default());
    assert!(matches!(bench.decide().0, Choice::Target(_)));
    bench.fill();
    assert_eq!(bench.decide(), (Choice::Region("there".into()), Cause::Spill));
    let here = [bench.here.clone()];
    assert!(matches!(bench.decide_in(&here).0, Choice::Target(_)), "the plan permits no other");
}

#[test]
fn spill_leaves_a_reserve_to_the_other_regions_callers() {
    let settings = Settings { vms: 3, reserve_ratio: 0.15, ..Settings::default() };
    let mut bench = Bench::new(3, settings);
    bench.fill();
    bench.free = 30;
    let there = bench.there.clone();
    let mut spilled = 0;
    while let (Choice::Region(region), _) = bench.decide() {
        assert_eq!(region, there);
        bench.policy.record_handed_over(bench.now, &region);
        spilled += 1;
        assert!(spilled <= 5, "three VMs may take five each of the fifteen above the reserve");
    }
    assert_eq!(spilled, 5);
}

#[test]
fn nothing_is_chosen_outside_the_plan() {
    let mut bench = Bench::new(2, Settings::default());
    assert_eq!(bench.decide_in(&["elsewhere".into()]), (Choice::None, Cause::NoTarget));
    let there = [bench.there.clone()];
    assert_eq!(bench.decide_in(&there), (Choice::Region("there".into()), Cause::NoLocalTarget));
}

#[test]
fn a_gap_in_cache_events_forgets_and_learns_again() {
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
        "event 3 was lost"
    );
    cache.apply(&event(1, 3, 10), 100);
    assert_eq!(cache.matched_prefix_len(&[10]), 0, "an event of the past changes nothing");
    cache.apply(&event(2, 1, 13), 100);
    assert_eq!(
        (cache.matched_prefix_len(&[12]), cache.matched_prefix_len(&[13])),
        (0, 1),
        "the process is another"
    );
}

#[test]
fn memory_of_blocks_is_bounded() {
    let settings = Settings { max_blocks: 1000, ..Settings::default() };
    let mut bench = Bench::new(10, settings);
    for number in 0..2000_u32 {
        let text: Vec<u8> = number.to_le_bytes().repeat(1024);
        bench.prompt = Prompt::new("model", &text);
        bench.send();
        bench.now += Duration::from_millis(100);
    }
    assert!(bench.policy.block_count() <= 1000, "{}", bench.policy.block_count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Whatever the rule, load and history: no target that was tried, none outside the plan.
    #[test]
    fn every_rule_keeps_to_the_plan_and_off_tried_targets(
        algorithm in prop::sample::select(
            vec![Algorithm::Random, Algorithm::RoundRobin, Algorithm::LeastLoad, Algorithm::LeastCost],
        ),
        loads in prop::collection::vec((0..20_u32, 0..50_u32), 0..6),
        tried in prop::collection::vec(0..6_usize, 0..6),
        here in any::<bool>(),
        there in any::<bool>(),
        free in 0..100_u32,
    ) {
        let mut bench = Bench::new(loads.len(), Settings { algorithm, ..Settings::default() });
        for (load, (running, waiting)) in bench.loads.iter_mut().zip(&loads) {
            *load = Load { running: *running, waiting: *waiting, slots: 16, waiting_tokens: 0 };
        }
        bench.free = free;
        bench.tried = tried.iter().filter_map(|number| bench.targets.get(*number)).cloned().collect();
        let mut allowed = Vec::new();
        if here { allowed.push(bench.here.clone()) }
        if there { allowed.push(bench.there.clone()) }
        for _ in 0..5 {
            match bench.decide_in(&allowed).0 {
                Choice::Target(target) => prop_assert!(here && !bench.tried.contains(&target)),
                Choice::Region(region) => prop_assert!(there && region == bench.there),
                Choice::None => prop_assert!(!there),
            }
        }
    }
}
