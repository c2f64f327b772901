use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Engine, Job, Outcome, Policy, Site, engine::Progress};
use crate::{
    gateway::{
        Admission, Balancer, LoadReport, Peers, Pick, Prompt, PromptPart, RemoteLoad, SentPrompt,
        SentRequest, share_interval,
    },
    id,
    registry::Target,
    route::{DeliveryMode, Route, Split},
};

/// All engines serve the same.
pub(super) const SERVICE: &str = "engines";
/// Seconds between two words of a region on its load, as replicas pass them on.
const LOADS: f64 = 1.0;

/// One run: the same seed gives the same callers to every policy.
pub struct World<'a> {
    pub(super) site: &'a Site,
    pub(super) policy: Policy,
    /// What callers ask and when, the same for each policy.
    callers: StdRng,
    /// What policies draw.
    pub(super) random: StdRng,
    pub(super) now: f64,
    base: Instant,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    count: usize,
    pub(super) engines: Vec<Engine>,
    stepping: Vec<bool>,
    /// The load of each engine as it is known, late.
    pub(super) reports: Vec<usize>,
    pub(super) targets: Vec<Target>,
    pub(super) vms: Vec<Vm>,
    pub(super) requests: Vec<Request>,
    pub(super) loads: Vec<Vec<RemoteLoad>>,
    pub(super) rules: Vec<Route>,
    pub(super) outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive { class: usize, region: usize },
    Place { request: usize, vm: usize },
    Reach { request: usize, engine: usize },
    Step { engine: usize },
    Report { engine: usize, load: usize },
    Word { vm: usize },
    Loads,
    Deadline { request: usize },
}

pub(super) struct Vm {
    pub(super) region: usize,
    pub(super) board: Balancer,
    pub(super) admission: Admission,
    pub(super) peers: Peers,
    pub(super) turn: usize,
}

pub(super) struct Request {
    pub(super) class: usize,
    pub(super) vm: usize,
    pub(super) came: f64,
    second: usize,
    pub(super) job: Job,
    pub(super) returned: bool,
    pub(super) refusals: u32,
    /// Where it is: the VM that placed it, the engine, and what was expected.
    at: Option<(usize, usize, SentRequest)>,
    pub(super) over: bool,
    first: Option<f64>,
}

impl<'a> World<'a> {
    /// A world before its first event.
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let base = Instant::now();
        let (mut targets, mut engines, mut vms) = (Vec::new(), Vec::new(), Vec::new());
        for (region, described) in site.regions.iter().enumerate() {
            for number in 0..described.engines {
                targets.push(target(region, number, site.pace.slots, base));
                engines.push(Engine::new(site.pace));
            }
            let names: Vec<String> =
                (0..described.vms).map(|number| format!("vm-{region}-{number}")).collect();
            for name in &names {
                let number = vms.len() as u64;
                vms.push(Vm {
                    region,
                    board: Balancer::new(seed ^ number),
                    admission: Admission::default(),
                    peers: Peers::new(name, names.iter().map(String::as_str)),
                    turn: 0,
                });
            }
        }
        let rules = site.classes.iter().map(|class| rule(site, class)).collect();
        let mut world = Self {
            site,
            policy,
            callers: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(!seed),
            now: 0.0,
            base,
            events: BinaryHeap::new(),
            count: 0,
            stepping: vec![false; engines.len()],
            reports: vec![0; engines.len()],
            engines,
            targets,
            vms,
            requests: Vec::new(),
            loads: vec![Vec::new(); site.classes.len()],
            rules,
            outcome: Outcome::default(),
        };
        for class in 0..site.classes.len() {
            for region in 0..site.regions.len() {
                world.arrive_later(class, region);
            }
        }
        for vm in 0..world.vms.len() {
            world.after(0.0, Event::Word { vm });
        }
        world.after(0.0, Event::Loads);
        world
    }

    /// Runs to the end of the traffic and of what it left to do.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.site.lasts + 12.0 {
                break;
            }
            self.act(event);
        }
        self.outcome.shared_read = self.engines.iter().map(|engine| engine.read).sum();
        self.outcome
    }

    fn act(&mut self, event: Event) {
        match event {
            Event::Arrive { class, region } => {
                self.arrive(class, region);
                self.arrive_later(class, region);
            }
            Event::Place { request, vm } => self.place(request, vm),
            Event::Reach { request, engine } => self.reach(request, engine),
            Event::Step { engine } => self.step(engine),
            Event::Report { engine, load } => self.reports[engine] = load,
            Event::Word { vm } => self.tell(vm),
            Event::Loads => self.tell_loads(),
            Event::Deadline { request } => self.give_up(request),
        }
    }

    pub(super) fn after(&mut self, seconds: f64, event: Event) {
        self.count += 1;
        let at = ((self.now + seconds) * 1e6) as u64;
        self.events.push(Reverse((at, self.count, event)));
    }

    pub(super) fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn arrive_later(&mut self, class: usize, region: usize) {
        let site = self.site;
        // The rate changes slowly against the time between two requests.
        let rate = site.rate(&site.classes[class], region, self.now).max(0.05);
        let wait = -(1.0 - self.callers.random::<f64>()).ln() / rate;
        if self.now + wait < site.lasts {
            self.after(wait.min(1.0 / rate * 20.0), Event::Arrive { class, region });
        }
    }

    fn arrive(&mut self, class: usize, region: usize) {
        let described = &self.site.classes[class];
        let number = self.requests.len();
        let subject = self.callers.random_range(0..described.subjects);
        let mut spread = |mean: u32| {
            let factor = 0.3 + 1.4 * self.callers.random::<f64>();
            (f64::from(mean) * factor) as u32 + 1
        };
        let job = Job {
            number,
            subject: (class as u64) << 32 | u64::from(subject),
            shared: described.shared,
            own: spread(described.own),
            output: spread(described.output),
        };
        let near: Vec<usize> =
            (0..self.vms.len()).filter(|vm| self.vms[*vm].region == region).collect();
        let vm = near[self.callers.random_range(0..near.len())];
        let second = self.now as usize;
        self.outcome.owe(second, described.worth);
        self.requests.push(Request {
            class,
            vm,
            came: self.now,
            second,
            job,
            returned: false,
            refusals: 0,
            at: None,
            over: false,
            first: None,
        });
        self.after(0.0, Event::Place { request: number, vm });
        self.after(described.deadline, Event::Deadline { request: number });
    }

    pub(super) fn send(&mut self, request: usize, vm: usize, pick: &Pick, engine: usize, way: f64) {
        let now = self.instant();
        let job = self.requests[request].job;
        if let Some(keeper) = &pick.cache_source {
            let keeper = self.engine_of(&keeper.target);
            if self.engines[keeper].keeps(job.subject) {
                self.engines[engine].copy(job.subject, job.shared);
            }
        }
        let sent = self.vms[vm].board.record_sent(pick, &prompt(&job), now);
        self.requests[request].at = Some((vm, engine, sent));
        self.after(way, Event::Reach { request, engine });
    }

    fn reach(&mut self, request: usize, engine: usize) {
        if self.requests[request].over {
            return;
        }
        let job = self.requests[request].job;
        if !self.engines[engine].take(job) {
            let vm = self.leave(request).unwrap_or(self.requests[request].vm);
            return self.refuse(request, vm, 0.5);
        }
        if !self.stepping[engine] {
            self.step(engine);
        }
    }

    fn step(&mut self, engine: usize) {
        let Some((took_ms, progress)) = self.engines[engine].step() else {
            self.stepping[engine] = false;
            return;
        };
        self.stepping[engine] = true;
        // What a step brings is taken at its beginning, a few milliseconds early.
        for progress in progress {
            self.progress(engine, progress);
        }
        let (running, waiting) = self.engines[engine].load();
        let load = running + waiting;
        self.after(self.site.pace.report_lag, Event::Report { engine, load });
        self.after(took_ms / 1000.0, Event::Step { engine });
    }

    fn progress(&mut self, engine: usize, progress: Progress) {
        let now = self.instant();
        let (request, last) = match progress {
            Progress::First(request) => (request, false),
            Progress::Last(request) => (request, true),
        };
        let Some((vm, _, sent)) = self.requests[request].at else { return };
        let target = &self.targets[engine];
        let (running, waiting) = self.engines[engine].load();
        let board = &mut self.vms[vm].board;
        board.record_activity(target, now);
        if !last {
            let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
            let slots = target.slots;
            let report = LoadReport {
                running: count(running),
                waiting: count(waiting),
                slots,
                work_time_percent: None,
            };
            board.record_load_report(target, report, now);
            board.record_first_event(target, sent, now);
            board.record_prompt_read(target, sent, now);
            let away = self.vms[vm].region != self.vms[self.requests[request].vm].region;
            let back = if away { self.site.way } else { 0.0 };
            self.requests[request].first = Some(self.now + back);
            return;
        }
        self.leave(request);
        let asked = &mut self.requests[request];
        if !std::mem::replace(&mut asked.over, true) {
            let class = &self.site.classes[asked.class];
            let took = asked.first.unwrap_or(self.now) - asked.came;
            let in_time = took <= class.objective;
            let worth = if in_time { class.worth } else { class.late };
            self.outcome.earn(asked.second, worth, in_time);
        }
    }

    /// A request is no longer at its engine; the VM that had placed it.
    fn leave(&mut self, request: usize) -> Option<usize> {
        let now = self.instant();
        let (vm, engine, sent) = self.requests[request].at.take()?;
        let board = &mut self.vms[vm].board;
        if self.requests[request].first.is_none() {
            board.record_prompt_read(&self.targets[engine], sent, now);
        }
        board.record_completed(&self.targets[engine], sent, now);
        Some(vm)
    }

    fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.requests[request].over, true) {
            return;
        }
        self.outcome.given_up += 1;
        if let Some((_, engine, _)) = self.requests[request].at {
            self.engines[engine].cancel(request);
        }
        self.leave(request);
    }

    /// A VM tells the others of its region of its work.
    fn tell(&mut self, vm: usize) {
        let now = self.instant();
        let region = self.vms[vm].region;
        let work: HashMap<id::Target, _> = self.vms[vm]
            .board
            .own_in_flight(now)
            .map(|(target, work)| (target.clone(), work))
            .collect();
        let others: Vec<usize> = (0..self.vms.len())
            .filter(|other| *other != vm && self.vms[*other].region == region)
            .collect();
        let name = vm.to_string();
        let prompts = self.vms[vm].board.take_unreported_prompts();
        for other in &others {
            for SentPrompt { target, parts } in &prompts {
                let target = &self.targets[self.engine_of(target)];
                self.vms[*other].board.record_peer_prompt(target, parts, now);
            }
            for engine in self.engines_of(region).collect::<Vec<_>>() {
                let target = &self.targets[engine];
                let told = work.get(&target.target).copied().unwrap_or_default();
                self.vms[*other].board.record_peer_in_flight(&name, target, told, now);
            }
        }
        if self.now < self.site.lasts {
            let count = u32::try_from(others.len()).unwrap_or(u32::MAX);
            self.after(share_interval(count).as_secs_f64(), Event::Word { vm });
        }
    }

    /// The VMs of all regions learn how busy each region is.
    fn tell_loads(&mut self) {
        let now = self.instant();
        let site = self.site;
        let mut regions = Vec::new();
        for region in 0..site.regions.len() {
            let engines: Vec<usize> = self.engines_of(region).collect();
            let near: Vec<&Target> = engines.iter().map(|engine| &self.targets[*engine]).collect();
            let Some(vm) = self.vms.iter_mut().find(|vm| vm.region == region) else { continue };
            let busy = vm.board.local_load(&near, now);
            regions.push(RemoteLoad {
                region: id::Region::from(region.to_string()),
                min_backlog_secs: busy.min_backlog_secs,
                requests_per_slot: f64::from(busy.requests) / f64::from(busy.slots.max(1)),
                target_count: u32::try_from(near.len()).unwrap_or(u32::MAX),
                capacity_scarce: false,
                received_at: now,
            });
        }
        for (class, loads) in site.classes.iter().zip(&mut self.loads) {
            let fits = |there: &&RemoteLoad| {
                there.region.as_str().parse().is_ok_and(|region| site.allows(class, region))
            };
            *loads = regions.iter().filter(fits).cloned().collect();
        }
        if self.now < site.lasts {
            self.after(LOADS, Event::Loads);
        }
    }

    pub(super) fn engines_of(&self, region: usize) -> std::ops::Range<usize> {
        let before = self.site.regions[..region].iter().map(|region| region.engines).sum::<usize>();
        before..before + self.site.regions[region].engines
    }

    pub(super) fn engine_of(&self, target: &id::Target) -> usize {
        self.targets.iter().position(|known| known.target == *target).unwrap_or_default()
    }
}

fn target(region: usize, number: usize, slots: usize, now: Instant) -> Target {
    Target {
        target: id::Target::from(format!("engine-{region}-{number}")),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1).into(),
        zone: id::Zone::from(region.to_string()),
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        cold_until: now,
        silent: false,
        software_version: Some(id::SoftwareVersion::from("v1")),
    }
}

fn rule(site: &Site, class: &super::Class) -> Route {
    let homes = (0..site.regions.len()).filter(|region| class.homes.contains(region));
    Route {
        name: class.name.clone(),
        host: "emulator".to_owned(),
        prefix: format!("/{}/", class.name),
        delivery_mode: DeliveryMode::Stream,
        timeout: Duration::from_secs_f64(class.deadline),
        latency_objective: Duration::from_secs_f64(class.objective),
        event_gap_objective: Duration::ZERO,
        priority: class.rank,
        max_targets: 1,
        keeps_prompt_parts: true,
        is_public: false,
        split: Split::single(SERVICE.into()),
        allowed_regions: homes.map(|region| id::Region::from(region.to_string())).collect(),
    }
}

pub(super) fn prompt(job: &Job) -> Prompt {
    let own = PromptPart { key: u64::MAX - job.number as u64, tokens: job.own };
    let shared = PromptPart { key: job.subject, tokens: job.shared };
    Prompt { parts: vec![shared, own], tokens: job.shared + job.own, max_output_tokens: job.output }
}
