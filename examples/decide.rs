//! Measures what one placement decision costs: its time and the memory of the policy, by the
//! number of targets. Takes numbers of targets as arguments; one number to a run gives the truest
//! memory, since a later one reuses what an earlier one freed. Ends by itself.
#![expect(clippy::print_stdout, reason = "the program speaks to the terminal")]

use std::{
    fs,
    time::{Duration, Instant},
};

use pomelogate::{
    id,
    placement::{Candidate, Choice, Policy, Prompt, Query, Settings},
    target::Load,
};

const TARGETS: [usize; 4] = [10, 100, 500, 1900];
const DECISIONS: u32 = 20_000;
const TALKS: u32 = 2000;
const PROMPT: usize = 8192;

fn main() {
    println!("| targets | us a decision | MB of the policy | blocks |");
    println!("|--:|--:|--:|--:|");
    let named: Vec<usize> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let counts = if named.is_empty() { TARGETS.to_vec() } else { named };
    counts.into_iter().for_each(measure);
}

fn measure(count: usize) {
    let before = resident();
    let targets: Vec<id::Target> =
        (0..count).map(|number| format!("engine-{number}").into()).collect();
    let region = id::Region::from("here");
    let load = Load { running: 8, slots: 16, ..Load::default() };
    let report_age = Duration::from_millis(500);
    let candidate = |target| Candidate {
        target,
        region: &region,
        incarnation: 1,
        load,
        report_age,
        one_way_delay: report_age / 100,
    };
    let candidates: Vec<Candidate<'_>> = targets.iter().map(candidate).collect();
    let mut policy = Policy::new(Settings { vm_count: 3, ..Settings::default() }, 1);
    let start = Instant::now();
    let mut spent = Duration::ZERO;
    for number in 0..DECISIONS {
        let now = start + Duration::from_millis(2) * number;
        let text = (number % TALKS).to_le_bytes().repeat(PROMPT / 4);
        let prompt = Prompt::new("assistant", &text);
        let began = Instant::now();
        let allowed_regions = std::slice::from_ref(&region);
        let query = Query {
            prompt: &prompt,
            allowed_regions,
            candidates: &candidates,
            region_summaries: &[],
            tried_targets: &[],
        };
        let decision = policy.decide(now, query);
        if let Choice::Target(target) = &decision.choice {
            policy.record_sent(now, target, &prompt);
            policy.record_finished(now, target, None);
        }
        spent += began.elapsed();
    }
    let each = spent.as_secs_f64() * 1e6 / f64::from(DECISIONS);
    let memory = resident().saturating_sub(before) as f64 / 1024.0;
    println!("| {count} | {each:.1} | {memory:.1} | {} |", policy.block_count());
}

/// The resident memory of this process in KiB; zero where the system does not tell.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
