//! Compares placement policies under the same load, in virtual time: random, round-robin, least
//! reported load and the chosen policy, in both deployments' sizes and four scenarios.
//!
//! Ends by itself. Takes a seed as its only argument, 1 where there is none.
#![expect(clippy::print_stdout, reason = "the program speaks to the terminal")]

use pomelogate::{
    emulator::{Outcome, Scenario, Shape, World},
    placement::{Algorithm, Settings},
};

const ALGORITHMS: [(&str, Algorithm, bool); 6] = [
    ("random", Algorithm::Random, false),
    ("round-robin", Algorithm::RoundRobin, false),
    ("round-robin, all regions", Algorithm::RoundRobin, true),
    ("least load", Algorithm::LeastLoad, false),
    ("least load, all regions", Algorithm::LeastLoad, true),
    ("policy", Algorithm::LeastCost, false),
];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let deployments = [
        ("Kapsul Bersih", Shape::kapsul_bersih(), Settings::tail_weighted()),
        ("Cooperative", Shape::cooperative(), Settings::cost_weighted()),
    ];
    println!("seed {seed}; first token in ms, between tokens in ms, engine time in s");
    for (name, shape, settings) in deployments {
        println!("\n{name}\n");
        println!(
            "| scenario | rule | p50 | p95 | p99 | worst customer p99 | between p95 | batch p99 s \
             | engine s | missed ktok | elsewhere % | answered |"
        );
        println!("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
        for scenario in Scenario::ALL {
            for (label, algorithm, everywhere) in ALGORITHMS {
                let shape = Shape { everywhere, ..shape.clone() };

                let settings = Settings { algorithm, ..settings };
                let outcome = World::run(&shape, scenario, settings, seed);
                println!("| {} | {label} | {} |", scenario.as_str(), row(&outcome));
            }
        }
    }
}

fn row(outcome: &Outcome) -> String {
    let first = |quantile| outcome.first_token.value_at_quantile(quantile) / 1000;
    format!(
        "{} | {} | {} | {} | {:.0} | {:.1} | {:.0} | {} | {:.1} | {}/{}",
        first(0.5),
        first(0.95),
        first(0.99),
        outcome.worst_customer().as_millis(),
        outcome.between.value_at_quantile(0.95) as f64 / 1e3,
        outcome.batch.value_at_quantile(0.99) as f64 / 1e6,
        outcome.busy.as_secs_f64(),
        outcome.missed / 1000,
        outcome.spill_share() * 100.0,
        outcome.answered,
        outcome.arrived,
    )
}
