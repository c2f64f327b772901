//! The target for placement under load, in virtual time: at the peak of one region and when it
//! loses half of its engines, the 99th percentile of the first token is at least twice as good as
//! with round-robin over the region, at no more cost, and no customer starves.

use std::path::Path;

use pomelogate::{
    emulator::{Outcome, Scenario, Shape, World},
    placement::{Algorithm, Settings},
};
use serde::Deserialize;

const LEAST_GAIN: u32 = 2;
/// A customer starves when its 99th percentile is this many times that of all customers.
const STARVED: u32 = 4;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    deployment: String,
    scenario: String,
    seed: u64,
}

datatest_stable::harness! {
    { test = reaches_the_target, root = "tests/placement_load", pattern = r"\.json$" },
}

fn reaches_the_target(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let scenario = Scenario::ALL
        .into_iter()
        .find(|scenario| scenario.as_str() == case.scenario)
        .ok_or("the scenario is not known")?;
    let (shape, settings) = match case.deployment.as_str() {
        "kapsul-bersih" => (Shape::kapsul_bersih(), Settings::tail_weighted()),
        "cooperative" => (Shape::cooperative(), Settings::cost_weighted()),
        other => return Err(format!("the deployment `{other}` is not known").into()),
    };
    let run =
        |algorithm| World::run(&shape, scenario, Settings { algorithm, ..settings }, case.seed);
    let (policy, baseline) = (run(Algorithm::LeastCost), run(Algorithm::RoundRobin));
    compare(&policy, &baseline);
    Ok(())
}

fn compare(policy: &Outcome, baseline: &Outcome) {
    assert_eq!(policy.answered, policy.arrived, "every request is answered");
    let (better, worse) = (policy.p99(), baseline.p99());
    assert!(better * LEAST_GAIN <= worse, "p99 {better:?} against {worse:?}");
    assert!(policy.busy <= baseline.busy, "{:?} against {:?}", policy.busy, baseline.busy);
    assert!(policy.missed <= baseline.missed, "{} against {}", policy.missed, baseline.missed);
    let worst = policy.worst_customer();
    assert!(worst <= better * STARVED, "a customer waits {worst:?}, all wait {better:?}");
}
