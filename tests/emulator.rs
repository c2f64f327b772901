//! The emulator: engines batch, cache and report as engines do, and a run repeats exactly.

use std::time::Duration;

use pomelogate::{
    emulator::{Engine, Job, Pace, Prefix, Scenario, Shape, World},
    path::Class,
    placement::{Prompt, Settings},
};

fn job(blocks: std::ops::Range<u64>, class: Class) -> Job {
    let blocks: Vec<u64> = blocks.collect();
    let tokens = u32::try_from(blocks.len()).unwrap_or_default() * 64;
    Job {
        at: Duration::ZERO,
        region: 0,
        customer: 0,
        class,
        service: false,
        prompt: Prompt::from_blocks(blocks, tokens),
        answer: 3,
    }
}

/// Steps until a job writes its first token; gives the time that it took.
fn first_token(engine: &mut Engine, jobs: &[Job], wanted: usize) -> Duration {
    let mut now = Duration::ZERO;
    for _ in 0..1000 {
        let Some(length) = engine.begin(now, jobs) else { break };
        now += length;
        if engine.end(jobs).iter().any(|output| output.job == wanted) {
            return now;
        }
    }
    panic!("job {wanted} has no first token");
}

#[test]
fn a_cached_prompt_is_read_faster() {
    let jobs = vec![job(0..60, Class::Interactive), job(0..61, Class::Interactive)];
    let mut engine = Engine::new(Pace::default());
    engine.push(Duration::ZERO, 0, &jobs[0]);
    let cold = first_token(&mut engine, &jobs, 0);
    engine.push(Duration::ZERO, 1, &jobs[1]);
    let warm = first_token(&mut engine, &jobs, 1);
    assert!(warm * 4 < cold, "warm {warm:?}, cold {cold:?}");
    let event = engine.event().expect("the cache changed");
    assert_eq!((event.sequence, event.stored.len()), (1, 61));
}

#[test]
fn interactive_requests_go_before_batch() {
    let pace = Pace { slots: 1, ..Pace::default() };
    let jobs = vec![job(0..1, Class::Batch), job(1..2, Class::Interactive)];
    let mut engine = Engine::new(pace);
    engine.push(Duration::ZERO, 0, &jobs[0]);
    engine.push(Duration::ZERO, 1, &jobs[1]);
    assert!(first_token(&mut engine, &jobs, 1) < Duration::from_millis(100));
}

#[test]
fn the_least_recently_used_block_is_dropped() {
    let mut cache = Prefix::new(2);
    cache.store(&[1]);
    cache.store(&[2]);
    cache.store(&[1]);
    assert_eq!(cache.store(&[3]), (vec![3], vec![2]));
}

#[test]
fn a_failed_engine_gives_its_requests_back() {
    let jobs = vec![job(0..1, Class::Batch), job(1..2, Class::Interactive)];
    let mut engine = Engine::new(Pace { slots: 1, ..Pace::default() });
    engine.push(Duration::ZERO, 0, &jobs[0]);
    engine.begin(Duration::ZERO, &jobs);
    engine.push(Duration::ZERO, 1, &jobs[1]);
    assert_eq!(engine.fail(), [0, 1]);
}

#[test]
fn a_run_repeats_exactly_and_answers_everything() {
    let shape = Shape { length: Duration::from_secs(12), ..Shape::cooperative() };
    for scenario in Scenario::ALL {
        let run = || World::run(&shape, scenario, Settings::cost_weighted(), 5);
        let (one, two) = (run(), run());
        assert_eq!(one.answered, one.arrived);
        assert_eq!((one.p99(), one.busy, one.missed), (two.p99(), two.busy, two.missed));
    }
}
