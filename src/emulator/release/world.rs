use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Outcome, Rule, Scenario,
    node::{Replica, Stream, Target, Vm},
};
use crate::{
    continuation::{Batch, Finding, Key, Lookup, Reply, Resolution},
    id,
    registry::{Announcement, Command, Operation, State, StateMachine, Withdraw},
    replica::StateMachine as _,
};

const SERVICE: &str = "chat";
/// Time from the start of a stream to its caller's deadline.
const STREAM_LIFE: Duration = Duration::from_secs(8);
/// Longest time for which a target serves after its withdrawal.
const LINGER: Duration = Duration::from_secs(4);
const HORIZON: Duration = Duration::from_secs(13);
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);
const TICK: Duration = Duration::from_millis(100);
const RELEASE_STEP: Duration = Duration::from_millis(400);
const MAX_TRIES: u32 = 4;

/// A deployment in virtual time. A run repeats exactly for the same scenario and seed.
pub struct World {
    scenario: Scenario,
    random: StdRng,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    vms: Vec<Vm>,
    replicas: Vec<Replica>,
    log: Vec<Vec<u8>>,
    targets: Vec<Target>,
    streams: Vec<Stream>,
    lookups: Vec<Option<(Lookup, Request)>>,
    release: u32,
    outcome: Outcome,
}

/// A take-up of a stream at a VM.
#[derive(Clone, Copy)]
struct Request {
    stream: usize,
    vm: usize,
    vm_epoch: u32,
}

enum Event {
    Tick,
    Begin,
    FirstByte(usize, usize, usize, u32),
    End(usize, u32),
    TakeUp(usize),
    Query(usize, usize),
    Confirm(usize, u32, usize),
    Reply(usize, Option<Reply>),
    Timeout(usize),
    Batch(usize, u32, usize, Batch),
    Lost(usize, u32, Batch),
    Propose(Command),
    Release,
    Replace(usize),
    Exit(usize),
    Restart(usize),
    Fault,
    KillAll,
    VmUp(usize),
    ReplicaUp(usize),
}

impl World {
    /// Creates a deployment whose targets all run the first version.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let start = Instant::now();
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            events: BTreeMap::new(),
            next_event: 0,
            vms: (0..scenario.vms).map(|_| Vm::default()).collect(),
            replicas: (0..scenario.replicas).map(|_| Replica::default()).collect(),
            log: Vec::new(),
            targets: Vec::new(),
            streams: Vec::new(),
            lookups: Vec::new(),
            release: 1,
            outcome: Outcome::default(),
            scenario,
        };
        for host in 0..world.scenario.targets {
            world.start_target(u8::try_from(host).unwrap_or(u8::MAX));
        }
        for (times, event) in [
            (world.scenario.releases.clone(), (|| Event::Release) as fn() -> Event),
            (world.scenario.kills_of_all_vms.clone(), || Event::KillAll),
            (vec![Duration::ZERO], || Event::Tick),
            (vec![Duration::from_secs(1)], || Event::Begin),
            (vec![Duration::from_secs(3)], || Event::Fault),
        ] {
            times.into_iter().for_each(|after| world.schedule(after, event()));
        }
        world
    }

    /// Runs the deployment to the end.
    pub fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > self.start + self.scenario.length {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for stream in &self.streams {
            self.outcome.taken_up += u32::from(stream.eligible);
            self.outcome.gone_on += u32::from(stream.eligible && stream.on);
            self.outcome.mixed += u32::from(stream.mixed);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Begin => self.begin(),
            Event::FirstByte(stream, vm, target, epoch) => {
                self.first_event(stream, vm, target, epoch);
            }
            Event::End(stream, tries) => {
                if self.streams[stream].tries == tries {
                    self.streams[stream].place = None;
                }
            }
            Event::TakeUp(stream) => self.take_up(stream),
            Event::Query(replica, lookup) => self.query(replica, lookup),
            Event::Confirm(replica, epoch, lookup) => self.confirm(replica, epoch, lookup),
            Event::Reply(lookup, reply) => {
                let Some((state, request)) = &mut self.lookups[lookup] else { return };
                let request = *request;
                if let Some(resolution) = state.record_reply(reply.as_ref()) {
                    self.lookups[lookup] = None;
                    self.resolve(request, resolution);
                }
            }
            Event::Timeout(lookup) => {
                if let Some((state, request)) = self.lookups[lookup].take() {
                    self.resolve(request, state.finish());
                }
            }
            Event::Batch(vm, vm_epoch, replica, batch) => {
                if self.replica_in_touch(replica) {
                    self.replicas[replica].ledger.merge(&batch, self.now);
                } else {
                    self.schedule(TICK, Event::Lost(vm, vm_epoch, batch));
                }
            }
            Event::Lost(vm, epoch, batch) => {
                if self.vms[vm].epoch == epoch {
                    self.vms[vm].ledger.mark_unsent(batch, self.now);
                }
            }
            Event::Propose(command) => {
                if self.has_quorum() {
                    self.log.push(command.encode_to_vec());
                } else {
                    self.schedule(TICK, Event::Propose(command));
                }
            }
            Event::Release => {
                self.release += 1;
                let alive = (0..self.targets.len()).filter(|target| self.targets[*target].alive);
                let old: Vec<usize> = alive.collect();
                for (step, target) in (0..).zip(old) {
                    self.schedule(RELEASE_STEP * step, Event::Replace(target));
                }
            }
            Event::Replace(target) => self.replace(target),
            Event::Exit(target) => self.end_target(target),
            Event::Restart(target) => {
                let host = self.targets[target].host;
                let version = self.targets[target].version.clone();
                self.start_target_at(host, version);
            }
            Event::Fault => self.fault(),
            Event::KillAll => (0..self.vms.len()).for_each(|vm| self.kill_vm(vm)),
            Event::VmUp(vm) => self.vms[vm].down = false,
            Event::ReplicaUp(replica) => self.replicas[replica].down = false,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.insert((self.now + after, self.next_event), event);
        self.next_event += 1;
    }

    fn delay(&mut self, ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(ms))
    }

    fn in_touch(&self, cut_until: Option<Instant>) -> bool {
        cut_until.is_none_or(|until| until <= self.now)
    }

    fn replica_in_touch(&self, replica: usize) -> bool {
        !self.replicas[replica].down && self.in_touch(self.replicas[replica].cut_until)
    }

    fn has_quorum(&self) -> bool {
        let reached = (0..self.replicas.len()).filter(|replica| self.replica_in_touch(*replica));
        2 * reached.count() > self.replicas.len()
    }

    fn key(stream: usize) -> Key {
        Key::of("chat.example", "/stream", &stream.to_le_bytes())
    }

    fn start_target(&mut self, host: u8) {
        let version = id::SoftwareVersion::from(format!("v{}", self.release));
        self.start_target_at(host, version);
    }

    fn start_target_at(&mut self, host: u8, version: id::SoftwareVersion) {
        let target = self.targets.len();
        self.targets.push(Target { version, host, alive: true, leaving: false });
        self.announce(target, 1);
    }

    fn announce(&mut self, target: usize, sequence: u64) {
        let Target { version, host, leaving, .. } = &self.targets[target];
        let announcement = Announcement {
            target: id::Target::from(format!("t{target}")),
            incarnation: u64::try_from(target).unwrap_or(u64::MAX) + 1,
            sequence,
            service: id::Service::from(SERVICE),
            address: ([10, 0, 0, *host], 80).into(),
            zone: id::Zone::from("a"),
            slots: 64,
            leaving: *leaving,
            cold_remaining: Duration::ZERO,
            software_version: version.clone(),
        };
        let operation = Operation::Announce(announcement.record());
        let after = self.delay(10..120);
        self.schedule(after, Event::Propose(operation.into()));
    }

    /// Replaces a target by one of the current version: it either says that it leaves and is
    /// withdrawn at its exit, or is withdrawn first and goes on for a while.
    fn replace(&mut self, target: usize) {
        if !self.targets[target].alive {
            return;
        }
        let host = self.targets.len() % 200 + 20;
        self.start_target(u8::try_from(host).unwrap_or(u8::MAX));
        let exit = self.delay(1500..u64::try_from(LINGER.as_millis()).unwrap_or(u64::MAX));
        let withdraw = Operation::Withdraw(Withdraw {
            target: format!("t{target}"),
            incarnation: u64::try_from(target).unwrap_or(u64::MAX) + 1,
            started_by_ms: 0,
        });
        let announces = self.random.random_bool(0.5);
        self.targets[target].leaving = true;
        if announces {
            self.announce(target, 2);
        }
        let withdrawn = if announces { exit } else { Duration::from_millis(200) };
        self.schedule(withdrawn, Event::Propose(withdraw.into()));
        self.schedule(exit, Event::Exit(target));
    }

    fn end_target(&mut self, target: usize) {
        self.targets[target].alive = false;
        for stream in 0..self.streams.len() {
            if let Some((vm, place)) = self.streams[stream].place
                && place == target
            {
                self.streams[stream].place = None;
                self.resume(stream, vm);
            }
        }
    }

    /// A VM resumes a stream within its answer, else the client takes it up.
    fn resume(&mut self, stream: usize, vm: usize) {
        let Some(version) = self.streams[stream].version.clone() else { return };
        match self.choose_target(vm, Some(&version)) {
            Some(target) => self.go_on(stream, vm, target),
            None => self.take_up_later(stream),
        }
    }

    fn take_up_later(&mut self, stream: usize) {
        self.streams[stream].tries += 1;
        if self.streams[stream].tries <= MAX_TRIES {
            let after = self.delay(50..900);
            self.schedule(after, Event::TakeUp(stream));
        }
    }

    fn choose_vm(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.vms.len()).filter(|vm| !self.vms[*vm].down).collect();
        (!up.is_empty()).then(|| up[self.random.random_range(0..up.len())])
    }

    /// Chooses a target of the VM's view. One that has ended refuses the connection, and another
    /// is chosen.
    fn choose_target(&mut self, vm: usize, version: Option<&id::SoftwareVersion>) -> Option<usize> {
        let view = self.vms[vm].view.as_ref()?;
        let fitting: Vec<usize> = view
            .iter()
            .copied()
            .filter(|target| self.targets[*target].alive)
            .filter(|target| {
                version.is_none_or(|version| self.targets[*target].version == *version)
            })
            .collect();
        (!fitting.is_empty()).then(|| fitting[self.random.random_range(0..fitting.len())])
    }

    fn is_vm_in_touch(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        !vm.down && vm.view.is_some() && self.in_touch(vm.cut_until) && self.has_quorum()
    }

    fn begin(&mut self) {
        self.schedule(self.scenario.stream_interval, Event::Begin);
        let Some(vm) = self.choose_vm() else { return };
        let counted = self.is_vm_in_touch(vm);
        let length = self.delay(1000..7000);
        self.streams.push(Stream {
            version: None,
            deadline: self.now + STREAM_LIFE,
            length,
            place: None,
            tries: 0,
            eligible: false,
            on: false,
            mixed: false,
        });
        let chosen = self.choose_target(vm, None);
        self.outcome.tried += u32::from(counted);
        self.outcome.begun += u32::from(counted && chosen.is_some());
        if let Some(target) = chosen {
            let (stream, epoch) = (self.streams.len() - 1, self.vms[vm].epoch);
            let after = self.delay(5..80);
            self.schedule(after, Event::FirstByte(stream, vm, target, epoch));
        }
    }

    fn first_event(&mut self, stream: usize, vm: usize, target: usize, epoch: u32) {
        if self.vms[vm].epoch == epoch && self.targets[target].alive {
            self.streams[stream].version = Some(self.targets[target].version.clone());
            self.go_on(stream, vm, target);
        }
    }

    fn go_on(&mut self, stream: usize, vm: usize, target: usize) {
        let version = self.targets[target].version.clone();
        let (now, state) = (self.now, &mut self.streams[stream]);
        state.mixed |= state.version.as_ref() != Some(&version);
        state.place = Some((vm, target));
        let time_left = state.deadline.saturating_duration_since(now);
        let (length, tries) = (state.length, state.tries);
        self.vms[vm].ledger.record(Self::key(stream), &version, time_left, now);
        self.schedule(length, Event::End(stream, tries));
    }

    fn take_up(&mut self, stream: usize) {
        if self.streams[stream].deadline <= self.now {
            return;
        }
        let Some(vm) = self.choose_vm() else { return self.take_up_later(stream) };
        let version = self.streams[stream].version.clone();
        let serving = self.targets.iter().filter(|target| {
            target.alive && !target.leaving && Some(&target.version) == version.as_ref()
        });
        self.streams[stream].eligible |= serving.count() >= 2 && self.is_vm_in_touch(vm);
        let request = Request { stream, vm, vm_epoch: self.vms[vm].epoch };
        match self.vms[vm].ledger.find(Self::key(stream), self.now) {
            Some(Finding::Version(version)) => {
                self.resolve(request, Resolution::Version(version));
            }
            Some(Finding::Conflicting) => self.take_up_later(stream),
            None => self.look_up(request),
        }
    }

    fn look_up(&mut self, request: Request) {
        match self.scenario.rule {
            Rule::AskReplicas => {
                let lookup = self.lookups.len();
                self.lookups.push(Some((Lookup::new(self.replicas.len()), request)));
                self.schedule(LOOKUP_TIMEOUT, Event::Timeout(lookup));
                for replica in 0..self.replicas.len() {
                    // A tenth of the messages take longer than the timeout or are lost.
                    if self.in_touch(self.vms[request.vm].cut_until) && self.random.random_bool(0.9)
                    {
                        let after = self.delay(1..150);
                        self.schedule(after, Event::Query(replica, lookup));
                    }
                }
            }
            Rule::TrustView => {
                let view = self.vms[request.vm].view.clone().unwrap_or_default();
                let mut versions = view.iter().map(|target| &self.targets[*target].version);
                match versions.next().cloned() {
                    Some(version) if versions.all(|other| *other == version) => {
                        self.resolve(request, Resolution::Version(version));
                    }
                    _ => self.take_up_later(request.stream),
                }
            }
            Rule::OwnRecords => self.take_up_later(request.stream),
        }
    }

    fn query(&mut self, replica: usize, lookup: usize) {
        let Some((_, request)) = &self.lookups[lookup] else { return };
        if !self.replica_in_touch(replica) {
            return;
        }
        let key = Self::key(request.stream);
        match self.replicas[replica].ledger.find(key, self.now) {
            Some(finding) => {
                let after = self.delay(1..150);
                self.schedule(after, Event::Reply(lookup, Some(Reply::new(Some(&finding), None))));
            }
            None => {
                let (after, epoch) = (self.delay(1..200), self.replicas[replica].epoch);
                self.schedule(after, Event::Confirm(replica, epoch, lookup));
            }
        }
    }

    /// A quorum has confirmed the state that the replica holds.
    fn confirm(&mut self, replica: usize, epoch: u32, lookup: usize) {
        if !self.replica_in_touch(replica) || self.replicas[replica].epoch != epoch {
            return;
        }
        let mut sole = None;
        if self.has_quorum() {
            self.catch_up(replica);
            let state = &self.replicas[replica];
            let index =
                self.now.checked_sub(HORIZON).and_then(|at| state.progress.index_at_or_before(at));
            sole = index.and_then(|index| state.state_machine.sole_version(SERVICE, index));
        }
        let after = self.delay(1..150);
        self.schedule(after, Event::Reply(lookup, Some(Reply::new(None, sole.as_ref()))));
    }

    fn resolve(&mut self, request: Request, resolution: Resolution) {
        let Request { stream, vm, vm_epoch } = request;
        if self.vms[vm].epoch != vm_epoch || self.vms[vm].down {
            return self.take_up_later(stream);
        }
        let target = match resolution {
            Resolution::Version(version) => self.choose_target(vm, Some(&version)),
            Resolution::Unknown(_) => None,
        };
        match target {
            Some(target) => {
                self.streams[stream].on = true;
                self.outcome.all_gone_on += 1;
                self.go_on(stream, vm, target);
            }
            None => self.take_up_later(stream),
        }
    }

    fn catch_up(&mut self, replica: usize) {
        let state = &mut self.replicas[replica];
        for entry in &self.log[state.applied..] {
            state.applied += 1;
            state.state_machine.apply(u64::try_from(state.applied).unwrap_or(u64::MAX), entry);
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].down {
                continue;
            }
            if self.replica_in_touch(replica) && self.has_quorum() {
                self.catch_up(replica);
            }
            let state = &mut self.replicas[replica];
            let applied = u64::try_from(state.applied).unwrap_or(u64::MAX);
            state.progress.record(applied, self.now);
        }
        for vm in 0..self.vms.len() {
            if !self.vms[vm].down && self.in_touch(self.vms[vm].cut_until) {
                self.synchronise(vm);
            }
        }
    }

    /// The VM takes an update from the replica that it follows and sends it its records.
    fn synchronise(&mut self, vm: usize) {
        let reached: Vec<usize> =
            (0..self.replicas.len()).filter(|replica| self.replica_in_touch(*replica)).collect();
        if reached.is_empty() {
            return;
        }
        let preferred = reached[vm % reached.len()];
        let followed = match self.vms[vm].followed {
            Some((replica, _)) if self.replica_in_touch(replica) => replica,
            _ => preferred,
        };
        let contact = Some((followed, self.replicas[followed].epoch));
        if self.vms[vm].followed != contact {
            self.vms[vm].followed = contact;
            self.vms[vm].ledger.mark_all_unsent();
        }
        let targets = self.replicas[followed].state_machine.targets();
        let ready = targets.filter(|record| record.state() == State::Ready);
        let position = |incarnation: u64| usize::try_from(incarnation - 1).ok();
        let view: Vec<usize> = ready.filter_map(|record| position(record.incarnation)).collect();
        self.vms[vm].view = Some(view);
        if let Some(batch) = self.vms[vm].ledger.take_unsent(self.now) {
            let (after, epoch) = (self.delay(1..150), self.vms[vm].epoch);
            let event = if self.random.random_bool(0.95) {
                Event::Batch(vm, epoch, followed, batch)
            } else {
                Event::Lost(vm, epoch, batch)
            };
            self.schedule(after, event);
        }
    }

    fn fault(&mut self) {
        self.schedule(self.scenario.fault_interval, Event::Fault);
        let until = self.now + self.delay(500..5000);
        match self.random.random_range(0..10) {
            0..4 => {
                let vm = self.random.random_range(0..self.vms.len());
                self.kill_vm(vm);
            }
            4..6 => {
                let vm = self.random.random_range(0..self.vms.len());
                self.vms[vm].cut_until = Some(until);
            }
            6 => {
                let replica = self.random.random_range(0..self.replicas.len());
                self.replicas[replica].cut_until = Some(until);
            }
            7 => self.kill_replica(),
            _ => {
                let alive: Vec<usize> = (0..self.targets.len())
                    .filter(|target| self.targets[*target].alive && !self.targets[*target].leaving)
                    .collect();
                if let Some(target) = alive.get(self.random.random_range(0..alive.len().max(1))) {
                    self.end_target(*target);
                    self.schedule(Duration::from_secs(2), Event::Restart(*target));
                }
            }
        }
    }

    fn kill_vm(&mut self, vm: usize) {
        if self.vms[vm].down {
            return;
        }
        let (epoch, cut_until) = (self.vms[vm].epoch + 1, self.vms[vm].cut_until);
        self.vms[vm] = Vm { down: true, epoch, cut_until, ..Vm::default() };
        for stream in 0..self.streams.len() {
            if self.streams[stream].place.is_some_and(|(place, _)| place == vm) {
                self.streams[stream].place = None;
                self.take_up_later(stream);
            }
        }
        let after = self.delay(500..2600);
        self.schedule(after, Event::VmUp(vm));
    }

    /// Kills a replica. It comes back with its state machine, from a snapshot, and nothing else.
    fn kill_replica(&mut self) {
        let replica = self.random.random_range(0..self.replicas.len());
        let old = &mut self.replicas[replica];
        if old.down {
            return;
        }
        let mut state_machine = StateMachine::default();
        let restored = state_machine.restore(&old.state_machine.snapshot());
        let applied = if restored.is_ok() { old.applied } else { 0 };
        let epoch = old.epoch + 1;
        *old = Replica { down: true, epoch, state_machine, applied, ..Replica::default() };
        let after = self.delay(500..2600);
        self.schedule(after, Event::ReplicaUp(replica));
    }
}
