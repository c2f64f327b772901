//! Regions that peak in turn, in virtual time: the product's policy against plain ones.

use pomelogate::emulator::peak::{Engine, Job, Outcome, Pace, Policy, Site, World};

const KBN: &str = include_str!("../samples/peak/kbn.json");

fn site(load: f64) -> Site {
    let mut site: Site = serde_json::from_str(KBN).expect("a site");
    site.classes.iter_mut().for_each(|class| class.rate *= load);
    site.lasts = 40.0;
    site
}

fn run(site: &Site, policy: Policy) -> Outcome {
    World::new(site, policy, 7).run()
}

#[test]
fn a_run_repeats_exactly_and_callers_are_the_same_for_each_policy() {
    let site = site(1.0);
    let one = run(&site, Policy::Gateway);
    assert_eq!(one, run(&site, Policy::Gateway));
    let other = run(&site, Policy::RoundRobin);
    assert_eq!((one.asked, one.owed), (other.asked, other.owed));
}

/// The users' target: at the peaks the worth lost is at most half of what the better plain policy
/// loses.
#[test]
fn the_gateway_loses_at_most_half_of_what_plain_policies_lose() {
    for load in [1.0, 1.5, 2.0] {
        let site = site(load);
        let plain = [Policy::RoundRobin, Policy::LeastLoad].map(|policy| run(&site, policy).lost());
        let better = plain[0].min(plain[1]);
        let lost = run(&site, Policy::Gateway).lost();
        assert!(lost <= better / 2.0, "{lost:.3} against {better:.3} at {load} times the load");
    }
}

/// Many small VMs: the same engines behind 28 VMs a region, which learn of each other 400 ms late.
#[test]
fn many_vms_that_learn_late_lose_little_more_than_few() {
    let few = site(1.5);
    let mut many = few.clone();
    many.regions.iter_mut().for_each(|region| region.vms = 28);
    let lost = run(&many, Policy::Gateway).lost();
    let plain = run(&many, Policy::RoundRobin).lost();
    assert!(lost <= plain / 2.0, "{lost:.3} against {plain:.3}");
}

fn engine() -> Engine {
    let site = site(1.0);
    Engine::new(Pace { slots: 2, queue: 2, memory: 10_000, ..site.pace })
}

fn job(number: usize, subject: u64) -> Job {
    Job { number, subject, shared: 4000, own: 500, output: 2 }
}

#[test]
fn a_prompt_is_read_in_chunks_and_its_shared_part_only_once() {
    let mut engine = engine();
    assert!(engine.take(job(0, 1)));
    let took: Vec<f64> = std::iter::from_fn(|| engine.step()).map(|(took, _)| took).collect();
    assert_eq!(took.len(), 4, "three chunks of 2048 and one more token: {took:?}");
    assert!(engine.keeps(1) && engine.read == 4000);
    assert!(engine.take(job(1, 1)));
    let again: Vec<f64> = std::iter::from_fn(|| engine.step()).map(|(took, _)| took).collect();
    assert_eq!((again.len(), engine.read), (2, 4000));
    assert!(again.iter().sum::<f64>() < took.iter().sum::<f64>() / 3.0);
}

#[test]
fn the_least_recently_used_part_yields_and_a_full_queue_refuses() {
    let mut engine = engine();
    for (number, subject) in [(0, 1), (1, 2), (2, 3)] {
        assert!(engine.take(job(number, subject)));
        while engine.step().is_some() {}
    }
    assert!(!engine.keeps(1) && engine.keeps(3));
    assert!(engine.take(job(3, 1)) && engine.take(job(4, 1)));
    assert!(!engine.take(job(5, 1)));
}
