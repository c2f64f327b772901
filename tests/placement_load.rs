//! The placement policy compared with round-robin over the region, in virtual time. At the peak of
//! one region, and when the region loses half of its engines, the policy must at least halve the
//! 99th percentile of the time to the first token, at no more cost, and starve no customer.

use std::path::Path;

use pomelogate::{
    emulator::{Outcome, Scenario, Shape, World},
    placement::{Algorithm, Settings},
};
use serde::Deserialize;

const MIN_P99_RATIO: u32 = 2;
/// The maximum ratio of one customer's 99th percentile to that of all customers.
const MAX_CUSTOMER_P99_RATIO: u32 = 4;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    deployment: String,
    scenario: String,
    seed: u64,
}

datatest_stable::harness! {
    { test = policy_beats_round_robin, root = "tests/placement_load", pattern = r"\.json$" },
}

fn policy_beats_round_robin(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let scenario = Scenario::ALL
        .into_iter()
        .find(|scenario| scenario.as_str() == case.scenario)
        .ok_or("unknown scenario")?;
    let (shape, settings) = match case.deployment.as_str() {
        "kapsul-bersih" => (Shape::kapsul_bersih(), Settings::tail_weighted()),
        "cooperative" => (Shape::cooperative(), Settings::cost_weighted()),
        other => return Err(format!("unknown deployment `{other}`").into()),
    };
    let run =
        |algorithm| World::run(&shape, scenario, Settings { algorithm, ..settings }, case.seed);
    let (policy, baseline) = (run(Algorithm::LeastCost), run(Algorithm::RoundRobin));
    compare(&policy, &baseline);
    Ok(())
}

fn compare(policy: &Outcome, baseline: &Outcome) {
    assert_eq!(policy.answered, policy.arrived, "every request is answered");
    let (policy_p99, baseline_p99) = (policy.p99(), baseline.p99());
    assert!(
        policy_p99 * MIN_P99_RATIO <= baseline_p99,
        "p99: policy {policy_p99:?}, baseline {baseline_p99:?}"
    );
    assert!(
        policy.busy <= baseline.busy,
        "engine time: policy {:?}, baseline {:?}",
        policy.busy,
        baseline.busy
    );
    assert!(
        policy.missed <= baseline.missed,
        "uncached prompt tokens: policy {}, baseline {}",
        policy.missed,
        baseline.missed
    );
    let worst_p99 = policy.worst_customer();
    assert!(
        worst_p99 <= policy_p99 * MAX_CUSTOMER_P99_RATIO,
        "p99: worst customer {worst_p99:?}, all customers {policy_p99:?}"
    );
}
