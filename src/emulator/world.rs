use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Engine, Job, Outcome, Output, Pace, Scenario, Shape, Traffic};
use crate::{
    id,
    placement::{CacheEvent, Candidate, Choice, Policy, Query, RegionSummary, Settings},
    target::Load,
};

const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(55);
const REPORT_EVERY: Duration = Duration::from_millis(1000);
const REPORT_LAG: Duration = Duration::from_millis(300);
const SUMMARY_LAG: Duration = Duration::from_millis(500);
const EVENT_LAG: Duration = Duration::from_millis(800);
const EVENT_LOSS: f64 = 0.02;
const REPORTS_KEPT: usize = 4;
/// When a scenario's failure occurs, as a part of the run.
const FAILURE: u32 = 3;
const RETRY: Duration = Duration::from_millis(50);
const SERVICE_PACE: Pace = Pace {
    slots: 32,
    prefill: 8000.0,
    chunk: 64,
    step: Duration::from_millis(5),
    decode: Duration::from_micros(100),
    blocks: 1,
};

/// Regions with VMs and engines, under one scenario's traffic.
#[derive(Debug)]
pub struct World {
    start: Instant,
    random: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    regions: Vec<id::Region>,
    places: Vec<Place>,
    vms: Vec<Node>,
    jobs: Vec<Job>,
    states: Vec<State>,
    updates: Vec<CacheEvent>,
    shape: Shape,
    scenario: Scenario,
    outcome: Outcome,
}

/// A target, and what it has published.
#[derive(Debug)]
struct Place {
    target: id::Target,
    region: usize,
    service: bool,
    engine: Engine,
    reports: VecDeque<(Duration, Load)>,
}

#[derive(Debug)]
struct Node {
    region: usize,
    policy: Policy,
}

/// How far a request has come.
#[derive(Clone, Debug, Default)]
struct State {
    vm: usize,
    place: usize,
    region: usize,
    sent: Duration,
    last: Option<Duration>,
    tried: Vec<id::Target>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { job: usize, region: usize },
    Reach { job: usize, place: usize },
    StepEnd { place: usize },
    Report,
    Update { place: usize, update: usize },
    Fail,
}

impl World {
    /// Runs one scenario under one policy.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pomelogate::{emulator::{Scenario, Shape, World}, placement::Settings};
    ///
    /// let shape = Shape { length: Duration::from_secs(2), ..Shape::cooperative() };
    /// let outcome = World::run(&shape, Scenario::Calm, Settings::cost_weighted(), 1);
    /// assert_eq!(outcome.answered, outcome.arrived);
    /// ```
    pub fn run(shape: &Shape, scenario: Scenario, settings: Settings, seed: u64) -> Outcome {
        let mut world = Self::new(shape, scenario, settings, seed);
        while let Some(Reverse((now, _, event))) = world.queue.pop() {
            world.handle(now, event);
        }
        for place in world.places.iter().filter(|place| !place.service) {
            world.outcome.busy += place.engine.busy;
            world.outcome.missed += place.engine.missed;
        }
        world.outcome
    }

    fn new(shape: &Shape, scenario: Scenario, settings: Settings, seed: u64) -> Self {
        let jobs = Traffic::new(shape, scenario, seed).jobs;
        let regions = (0..shape.engines.len()).map(|region| format!("region-{region}").into());
        let mut world = Self {
            // Any reading of the clock serves as the start of virtual time.
            start: Instant::now() + Duration::from_secs(3600),
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            number: 0,
            regions: regions.collect(),
            places: places(shape),
            vms: nodes(shape, settings, seed),
            states: vec![State::default(); jobs.len()],
            jobs,
            updates: Vec::new(),
            shape: shape.clone(),
            scenario,
            outcome: Outcome::new(),
        };
        for job in 0..world.jobs.len() {
            let Job { at, region, .. } = world.jobs[job];
            world.states[job].region = region;
            world.after(at, Event::Arrive { job, region });
        }
        world.outcome.arrived = world.jobs.len() as u64;
        world.after(Duration::ZERO, Event::Report);
        world.after(shape.length / FAILURE, Event::Fail);
        world
    }

    fn after(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive { job, region } => self.arrive(now, job, region),
            Event::Reach { job, place } => self.reach(now, job, place),
            Event::StepEnd { place } => self.step_end(now, place),
            Event::Report => self.report(now),
            Event::Update { place, update } => self.update(place, update),
            Event::Fail => self.fail(now),
        }
    }

    fn arrive(&mut self, now: Duration, job: usize, region: usize) {
        let near: Vec<usize> =
            (0..self.vms.len()).filter(|vm| self.vms[*vm].region == region).collect();
        let vm = near[self.random.random_range(0..near.len())];
        let instant = self.start + now;
        match self.decide(now, job, vm, region) {
            Choice::Target(target) => {
                let found = self.places.iter().position(|place| place.target == target);
                let Some(place) = found else { return };
                let state = &mut self.states[job];
                state.vm = vm;
                state.place = place;
                state.sent = now;
                self.vms[vm].policy.record_sent(instant, &target, &self.jobs[job].prompt);
                let way = self.way(job, region, place);
                self.after(now + way, Event::Reach { job, place });
            }
            Choice::Region(chosen) => {
                let to = self.regions.iter().position(|region| *region == chosen);
                self.vms[vm].policy.record_handed_over(instant, &chosen);
                self.outcome.spilled += 1;
                self.states[job].region = to.unwrap_or(region);
                self.after(now + FAR, Event::Arrive { job, region: to.unwrap_or(region) });
            }
            Choice::None => {
                self.states[job].tried.clear();
                self.after(now + RETRY, Event::Arrive { job, region });
            }
        }
    }

    /// The time to a target, which may stand in another region where the shape says so.
    fn way(&mut self, job: usize, region: usize, place: usize) -> Duration {
        let to = self.places[place].region;
        if to == region {
            return NEAR;
        }
        self.outcome.spilled += 1;
        self.states[job].region = to;
        FAR
    }

    fn decide(&mut self, now: Duration, job: usize, vm: usize, region: usize) -> Choice {
        let service = self.jobs[job].service;
        let places = self.places.iter().filter(|place| place.service == service);
        let everywhere = self.shape.everywhere;
        let here = places.filter(|place| everywhere || place.region == region);
        let candidates: Vec<Candidate<'_>> = here
            .filter_map(|place| place.visible(now).map(|seen| (place, seen)))
            .map(|(place, (written, load))| Candidate {
                one_way_delay: Duration::ZERO,
                target: &place.target,
                region: &self.regions[place.region],
                incarnation: place.engine.incarnation,
                load,
                report_age: now - written,
            })
            .collect();
        let fresh = self.jobs[job].region == region;
        let others = (0..self.regions.len()).filter(|other| fresh && *other != region);
        let regions: Vec<RegionSummary<'_>> =
            others.map(|other| summary(&self.regions, &self.places, now, other, service)).collect();
        let query = Query {
            prompt: &self.jobs[job].prompt,
            allowed_regions: &self.regions,
            candidates: &candidates,
            region_summaries: &regions,
            tried_targets: &self.states[job].tried,
        };
        self.vms[vm].policy.decide(self.start + now, query).choice
    }

    fn reach(&mut self, now: Duration, job: usize, place: usize) {
        if !self.places[place].engine.alive {
            self.retry(now, job);
            return;
        }
        let engine = &mut self.places[place].engine;
        engine.push(now, job, &self.jobs[job]);
        if !engine.stepping {
            self.step(now, place);
        }
    }

    fn retry(&mut self, now: Duration, job: usize) {
        let state = &mut self.states[job];
        let target = self.places[state.place].target.clone();
        let (vm, region) = (state.vm, state.region);
        state.tried.push(target.clone());
        self.vms[vm].policy.record_finished(self.start + now, &target, None);
        self.after(now + NEAR, Event::Arrive { job, region });
    }

    fn step(&mut self, now: Duration, place: usize) {
        if let Some(length) = self.places[place].engine.begin(now, &self.jobs) {
            self.after(now + length, Event::StepEnd { place });
        }
    }

    fn step_end(&mut self, now: Duration, place: usize) {
        if !self.places[place].engine.alive {
            return;
        }
        for output in self.places[place].engine.end(&self.jobs) {
            self.output(now, output);
        }
        self.step(now, place);
    }

    fn output(&mut self, now: Duration, output: Output) {
        let Output { job: number, last } = output;
        let job = &self.jobs[number];
        let state = &mut self.states[number];
        let back = if state.region == job.region { NEAR } else { FAR };
        let seen = now + back;
        match state.last.replace(now) {
            None => self.outcome.first(job, seen - job.at),
            Some(before) => self.outcome.next(now - before),
        }
        if last {
            self.outcome.end(job, seen - job.at);
            let target = &self.places[state.place].target;
            let held = (!job.service).then(|| now - state.sent);
            self.vms[state.vm].policy.record_finished(self.start + now, target, held);
        }
    }

    fn report(&mut self, now: Duration) {
        for number in 0..self.places.len() {
            let place = &mut self.places[number];
            if !place.engine.alive {
                place.reports.clear();
                continue;
            }
            place.reports.push_front((now, place.engine.load()));
            place.reports.truncate(REPORTS_KEPT);
            let Some(update) = place.engine.event() else { continue };
            if self.random.random::<f64>() >= EVENT_LOSS {
                self.updates.push(update);
                let update = self.updates.len() - 1;
                self.after(now + EVENT_LAG, Event::Update { place: number, update });
            }
        }
        if self.outcome.answered < self.outcome.arrived {
            self.after(now + REPORT_EVERY, Event::Report);
        }
    }

    fn update(&mut self, place: usize, update: usize) {
        let place = &self.places[place];
        for vm in self.vms.iter_mut().filter(|vm| vm.region == place.region) {
            vm.policy.apply_cache_event(&place.target, &self.updates[update]);
        }
    }

    fn fail(&mut self, now: Duration) {
        let lost = self.shape.engines[0].div_ceil(2);
        let engines = (0..self.places.len()).filter(|place| !self.places[*place].service);
        let engines: Vec<usize> = engines.collect();
        match self.scenario {
            Scenario::Calm | Scenario::Peak => {}
            Scenario::Restart => {
                engines.into_iter().for_each(|place| self.places[place].engine.chill());
            }
            Scenario::Loss => {
                for place in engines.into_iter().take(lost) {
                    for job in self.places[place].engine.fail() {
                        self.retry(now, job);
                    }
                }
            }
        }
    }
}

impl Place {
    /// The newest report that has arrived at `now`.
    fn visible(&self, now: Duration) -> Option<(Duration, Load)> {
        let arrived = self.reports.iter().find(|(written, _)| *written + REPORT_LAG <= now);
        // Before the first report has arrived, a target is known by its announcement.
        let first = (Duration::ZERO, Load { slots: 16, ..Load::default() });
        match arrived {
            Some(report) => Some(*report),
            None if self.engine.alive => Some(first),
            None => None,
        }
    }
}

fn places(shape: &Shape) -> Vec<Place> {
    let mut places = Vec::new();
    let mut add = |name: String, region: usize, service: bool, pace: Pace| {
        let engine = Engine::new(pace);
        let target = name.into();
        places.push(Place { target, region, service, engine, reports: VecDeque::new() });
    };
    for (region, engines) in shape.engines.iter().enumerate() {
        for number in 0..*engines {
            add(format!("engine-{region}-{number}"), region, false, Pace::default());
        }
        if shape.services {
            add(format!("service-{region}"), region, true, SERVICE_PACE);
        }
    }
    places
}

fn nodes(shape: &Shape, settings: Settings, seed: u64) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (region, vms) in shape.vms.iter().enumerate() {
        for _ in 0..*vms {
            let settings = Settings { vm_count: u32::try_from(*vms).unwrap_or(1), ..settings };
            let seed = seed.wrapping_mul(31).wrapping_add(nodes.len() as u64);
            nodes.push(Node { region, policy: Policy::new(settings, seed) });
        }
    }
    nodes
}

/// What the VMs of other regions know of one region.
fn summary<'a>(
    regions: &'a [id::Region],
    places: &[Place],
    now: Duration,
    region: usize,
    service: bool,
) -> RegionSummary<'a> {
    let late = now.saturating_sub(SUMMARY_LAG);
    let mut summary = RegionSummary {
        region: &regions[region],
        slots: 0,
        free_slots: 0,
        waiting: 0,
        age: SUMMARY_LAG + REPORT_LAG,
        one_way_delay: FAR,
    };
    let places = places.iter().filter(|place| place.region == region);
    for place in places.filter(|place| place.service == service && place.engine.alive) {
        let Some((written, load)) = place.visible(late) else { continue };
        summary.age = now - written;
        summary.slots += load.slots;
        summary.free_slots += load.slots.saturating_sub(load.running + load.waiting);
        summary.waiting += load.waiting;
    }
    summary
}
