//! A target that becomes cold again while it serves, before replicas and VMs that are state machines in
//! virtual time: who hears its word first, how it spreads, and what the VMs send together meanwhile.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pomelogate::{
    gateway::{Balancer, Prompt, SuspensionDetector, TargetQuery},
    id,
    registry::{
        Announcement, ColdTarget, ColdTargets, HeartbeatReport, HeartbeatTable, LastAnnouncement,
        LastAnnouncements, Mirror, TargetRecord, Update, VmInfo,
    },
    throttle::Peers,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ENGINE: &str = "engine";
const COLD_PER_SEC: f64 = 2.9;
/// The most requests that a cold target may get in a second.
const BOUND: usize = 7;
const REQUESTS_PER_SEC: u64 = 60;
const STEP: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// How long a replica gathers changes before it answers a long poll.
const UPDATE_DELAY: Duration = Duration::from_millis(60);
const REPLICAS: usize = 3;
const COLD_AT: Duration = Duration::from_secs(2);

fn announcement(sequence: u64, cold_remaining: Duration) -> Announcement {
    Announcement {
        target: ENGINE.into(),
        incarnation: 100,
        sequence,
        service: "engines".into(),
        address: ([10, 0, 0, 9], 8080).into(),
        zone: "jakarta-a".into(),
        slots: 64,
        leaving: false,
        cold_remaining,
        software_version: id::SoftwareVersion::from("v1"),
    }
}

/// What arrives somewhere.
#[derive(Clone, Debug)]
enum Message {
    CheckIn(u64),
    Report(HeartbeatReport),
    ColdTargets(Vec<ColdTarget>),
    /// The answer to a poll that a VM sent when it went on after a suspension.
    News(Vec<ColdTarget>),
}

/// A replica, or a VM that accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Replica(usize),
    Vm(usize),
}

struct Vm {
    mirror: Mirror,
    balancer: Balancer,
    suspension: SuspensionDetector,
    peers: Peers,
    /// Requests that came while the VM stood still.
    queue: u64,
    told_at: Instant,
}

/// What goes wrong.
#[derive(Clone, Copy, Default)]
struct Course {
    /// The replicas after the first stand still from the begin of the cold period for this long.
    replicas_stand_still: Duration,
    /// The first VM does.
    vm_stands_still: Duration,
}

/// A region with one target.
struct Region {
    now: Instant,
    start: Instant,
    random: StdRng,
    replicas: Vec<HeartbeatTable>,
    vms: Vec<Vm>,
    /// Messages on their way by the time of their arrival.
    messages: BTreeMap<(Instant, u64), (Place, Message)>,
    message_count: u64,
    course: Course,
    arrivals: Vec<Instant>,
}

impl Region {
    fn new(vm_count: usize, seed: u64, course: Course) -> Self {
        let start = Instant::now();
        let mut replicas: Vec<_> = (0..REPLICAS).map(|_| HeartbeatTable::new(SECOND * 3)).collect();
        let names: Vec<String> = (0..vm_count).map(|vm| format!("vm-{vm}")).collect();
        let targets = vec![announcement(1, Duration::ZERO).record()];
        let vms = names.iter().map(|name| {
            let mut mirror = Mirror::default();
            let targets: Vec<TargetRecord> = targets.clone();
            assert!(
                mirror.apply(Update { index: 1, targets, fresh: true, ..Update::default() }, start)
            );
            Vm {
                mirror,
                balancer: Balancer::new(seed),
                suspension: SuspensionDetector::new(start),
                peers: Peers::new(name, names.iter().map(String::as_str)),
                queue: 0,
                told_at: start,
            }
        });
        let vms = vms.collect();
        for replica in &mut replicas {
            for name in &names {
                replica.record_vm(VmInfo { vm: name.clone(), ..VmInfo::default() }, start);
            }
        }
        let random = StdRng::seed_from_u64(seed);
        let (messages, arrivals) = (BTreeMap::new(), Vec::new());
        Self {
            now: start,
            start,
            random,
            replicas,
            vms,
            messages,
            message_count: 0,
            course,
            arrivals,
        }
    }

    fn send(&mut self, to: Place, message: Message, delay: Duration) {
        let delay = delay + Duration::from_micros(self.random.random_range(100..5000));
        self.message_count += 1;
        self.messages.insert((self.now + delay, self.message_count), (to, message));
    }

    fn stands_still(&self, place: Place) -> bool {
        let lasts = match place {
            Place::Replica(0) => Duration::ZERO,
            Place::Replica(_) => self.course.replicas_stand_still,
            Place::Vm(0) => self.course.vm_stands_still,
            Place::Vm(_) => Duration::ZERO,
        };
        let since_cold = self.now.checked_duration_since(self.start + COLD_AT);
        since_cold.is_some_and(|since| since < lasts)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry().filter(|it| it.key().0 <= self.now) {
            let (place, message) = entry.remove();
            if self.stands_still(place) {
                let after = self.start + COLD_AT + self.course.replicas_stand_still;
                let after = after.max(self.start + COLD_AT + self.course.vm_stands_still);
                self.message_count += 1;
                self.messages.insert((after, self.message_count), (place, message));
                continue;
            }
            match (place, message) {
                (Place::Replica(replica), Message::CheckIn(sequence)) => {
                    self.hear(replica, sequence);
                }
                (Place::Replica(replica), Message::Report(report)) => {
                    if self.replicas[replica].merge(report, self.now) {
                        self.answer_polls(replica);
                    }
                }
                (Place::Vm(vm), Message::ColdTargets(cold)) => {
                    self.vms[vm].mirror.record_cold_targets(cold, self.now);
                }
                (Place::Vm(vm), Message::News(cold)) => {
                    self.vms[vm].mirror.record_cold_targets(cold, self.now);
                    self.vms[vm].suspension.record_news(self.now);
                }
                (place, message) => panic!("{message:?} at {place:?}"),
            }
        }
    }

    /// The target's word reaches a replica.
    fn hear(&mut self, replica: usize, sequence: u64) {
        let remaining = (self.start + COLD_AT + SECOND * 8).saturating_duration_since(self.now);
        let said = announcement(sequence, remaining);
        if !self.replicas[replica].record_announcement(&said, self.now) {
            return;
        }
        let heartbeat = self.replicas[replica].target_heartbeat(ENGINE, self.now);
        let targets = heartbeat.into_iter().collect();
        let report = HeartbeatReport { targets, ..HeartbeatReport::default() };
        for other in (0..REPLICAS).filter(|other| *other != replica) {
            self.send(Place::Replica(other), Message::Report(report.clone()), Duration::ZERO);
        }
        let cold: Vec<ColdTarget> =
            self.replicas[replica].cold_target(ENGINE, self.now).into_iter().collect();
        for vm in 0..self.vms.len() {
            self.send(Place::Vm(vm), Message::ColdTargets(cold.clone()), Duration::ZERO);
        }
        self.answer_polls(replica);
    }

    /// A replica answers the long polls of the VMs that follow it.
    fn answer_polls(&mut self, replica: usize) {
        let cold: Vec<ColdTarget> =
            self.replicas[replica].cold_target(ENGINE, self.now).into_iter().collect();
        for vm in (0..self.vms.len()).filter(|vm| vm % REPLICAS == replica) {
            self.send(Place::Vm(vm), Message::ColdTargets(cold.clone()), UPDATE_DELAY);
        }
    }

    /// Records that a VM runs; one that did not polls its replica.
    fn observe(&mut self, vm: usize) {
        if self.vms[vm].suspension.observe(self.now, SECOND / 2 * 3).is_some() {
            let replica = &self.replicas[vm % REPLICAS];
            let news = replica.cold_target(ENGINE, self.now).into_iter().collect();
            self.send(Place::Vm(vm), Message::News(news), Duration::from_millis(5));
        }
    }

    fn request(&mut self, vm: usize) {
        if self.stands_still(Place::Vm(vm)) {
            self.vms[vm].queue += 1;
            return;
        }
        self.observe(vm);
        let (now, service) = (self.now, "engines".into());
        let prompt = Prompt::default();
        for _ in 0..=std::mem::take(&mut self.vms[vm].queue) {
            let vm = &mut self.vms[vm];
            let targets: Vec<_> = vm.mirror.targets(&service).iter().collect();
            let query = TargetQuery {
                targets: &targets,
                prompt: &prompt,
                tried: &[],
                cold_requests_per_sec: COLD_PER_SEC,
                peers: &vm.peers,
                cache_capacity_tokens: 0,
                may_be_outdated: vm.suspension.is_in_doubt(now),
            };
            if let Some(pick) = vm.balancer.choose(query, now) {
                vm.balancer.record_sent_untracked(&pick, &prompt, now);
                vm.balancer.record_end(&pick.target, now);
                self.arrivals.push(now);
            }
        }
    }

    /// VMs tell each other what they have heard lately.
    fn gossip(&mut self) {
        let interval = Duration::from_millis(100 * (self.vms.len() as u64 / 8 + 1));
        for vm in 0..self.vms.len() {
            if self.stands_still(Place::Vm(vm)) || self.now < self.vms[vm].told_at + interval {
                continue;
            }
            let now = self.now;
            self.vms[vm].told_at = now;
            self.observe(vm);
            let cold = self.vms[vm].mirror.cold_targets_since(now - SECOND, now);
            for other in (0..self.vms.len()).filter(|other| *other != vm && !cold.is_empty()) {
                self.send(Place::Vm(other), Message::ColdTargets(cold.clone()), Duration::ZERO);
            }
        }
    }

    /// Runs until two seconds after the cold period. Returns the most requests in a second of it.
    fn run(&mut self) -> usize {
        let (end, mut sequence) = (self.start + COLD_AT + SECOND * 10, 1);
        let mut next_check_in = self.start + COLD_AT;
        let mut requests = 0;
        while self.now < end {
            if self.now >= next_check_in {
                sequence += 1;
                next_check_in += Duration::from_millis(1200);
                // The target calls the next replica if one does not answer.
                let replica = (0..REPLICAS)
                    .map(|turn| (sequence as usize + turn) % REPLICAS)
                    .find(|replica| !self.stands_still(Place::Replica(*replica)));
                if let Some(replica) = replica {
                    self.send(Place::Replica(replica), Message::CheckIn(sequence), Duration::ZERO);
                }
            }
            self.deliver();
            self.gossip();
            let due =
                self.now.duration_since(self.start).as_millis() as u64 * REQUESTS_PER_SEC / 1000;
            while requests < due {
                requests += 1;
                let vm = self.random.random_range(0..self.vms.len());
                self.request(vm);
            }
            self.now += STEP;
        }
        let (from, to) = (self.start + COLD_AT, self.start + COLD_AT + SECOND * 8);
        let cold: Vec<Instant> =
            self.arrivals.iter().copied().filter(|at| *at >= from && *at <= to).collect();
        let in_second = |first: &Instant| {
            cold.iter().filter(|at| *at >= first && **at < *first + SECOND).count()
        };
        cold.iter().map(in_second).max().unwrap_or(0)
    }
}

fn check(course: Course) {
    for vm_count in [3, 7, 95] {
        for seed in 0..10 {
            let mut region = Region::new(vm_count, seed, course);
            let most = region.run();
            assert!(most <= BOUND, "{most} requests in a second, {vm_count} VMs, seed {seed}");
            assert!(most > 0, "a cold target gets what it bears, {vm_count} VMs, seed {seed}");
            let warm_from = region.start + COLD_AT + SECOND * 9;
            let warm = region.arrivals.iter().filter(|at| **at >= warm_from).count();
            assert!(warm >= 50, "{warm} requests a second once warm, {vm_count} VMs, seed {seed}");
        }
    }
}

/// Guards against a word that waits for agreement or for batches while requests go on.
#[test]
fn word_of_a_target_that_becomes_cold_reaches_vms_before_they_send_too_much() {
    check(Course::default());
}

/// Guards against VMs that hear nothing because the replica that they follow stands still.
#[test]
fn word_of_a_cold_target_needs_only_the_replica_that_heard_it() {
    let replicas_stand_still = Duration::from_millis(2500);
    check(Course { replicas_stand_still, ..Course::default() });
}

/// Guards against a VM that sends by what it knew before it stood still all that came meanwhile.
#[test]
fn vm_that_stood_still_spares_targets_until_it_has_news() {
    let vm_stands_still = Duration::from_millis(2500);
    check(Course { vm_stands_still, ..Course::default() });
}

fn said(version: (u64, u64), cold: Duration, at: Instant) -> LastAnnouncement {
    LastAnnouncement::new(version, cold, at)
}

/// Guards against words that come late, twice or from an older lifetime and replace a newer one, in
/// whatever order they come.
#[test]
fn newest_word_of_a_target_wins_in_any_order() {
    let now = Instant::now();
    let words = [
        said((100, 3), SECOND * 2, now),
        said((100, 4), SECOND * 8, now),
        said((200, 1), Duration::ZERO, now),
        said((200, 2), SECOND * 5, now),
    ];
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut announcements = LastAnnouncements::default();
        for word in words.iter().chain(&words) {
            if random.random_bool(0.5) {
                announcements.record(ENGINE, *word);
            }
        }
        let mut order: Vec<_> = words.to_vec();
        order.sort_by_key(|_| random.random_range(0..100));
        for word in order {
            announcements.record(ENGINE, word);
        }
        assert_eq!(announcements.cold_until(ENGINE, 200), Some(now + SECOND * 5), "seed {seed}");
        assert_eq!(
            announcements.cold_until(ENGINE, 300),
            None,
            "an incarnation of which no word came"
        );
    }
}

/// Guards against a list that VMs are not sent with the record of a target, because the replica had heard
/// of its cold period before there was a record: an engine that started got 10 requests in a second.
#[test]
fn list_of_cold_targets_changes_when_a_target_that_was_heard_before_gets_its_record() {
    let now = Instant::now();
    let mut replica = LastAnnouncements::default();
    replica.record(ENGINE, said((100, 1), SECOND * 3, now));
    let before = ColdTargets::new(Vec::new(), (1, 1));
    let listed = replica.cold_target(ENGINE, now).into_iter().collect();
    let after = ColdTargets::new(listed, (1, 1));
    assert_ne!(before.digest, after.digest);
    let later = replica.cold_target(ENGINE, now + SECOND).into_iter().collect();
    assert_eq!(ColdTargets::new(later, (1, 1)).digest, after.digest, "time alone is no change");
    assert_ne!(ColdTargets::new(Vec::new(), (1, 2)).digest, before.digest);
    assert_ne!(ColdTargets::new(Vec::new(), (2, 1)).digest, before.digest);
}

/// Guards against a cold period that VMs keep although its target has said that it is over.
#[test]
fn cold_period_that_ends_early_is_told_until_its_first_end() {
    let now = Instant::now();
    let mut replica = LastAnnouncements::default();
    let mut vm = Mirror::default();
    let targets = vec![announcement(1, Duration::ZERO).record()];
    vm.apply(Update { index: 1, targets, fresh: true, ..Update::default() }, now);
    let is_cold = |vm: &Mirror, at| vm.targets(&"engines".into())[0].cold_until > at;
    for (sequence, cold, expected) in [(2, SECOND * 8, true), (3, Duration::ZERO, false)] {
        let at = now + SECOND * u32::try_from(sequence).expect("small");
        assert!(replica.record(ENGINE, said((100, sequence), cold, at)), "it has changed");
        let told = replica.cold_target(ENGINE, at).expect("told");
        assert!(vm.record_cold_targets(vec![told.clone()], at));
        assert!(!vm.record_cold_targets(vec![told], at), "no news the second time");
        assert_eq!(is_cold(&vm, at), expected, "announcement {sequence}");
    }
    assert_eq!(replica.cold_target(ENGINE, now + SECOND * 11), None);
}

/// Guards against a replica that has just started, knows a cold time only from a record, and brings
/// back what the target has taken back since.
#[test]
fn record_of_a_cold_target_does_not_replace_what_was_heard_of_it() {
    let now = Instant::now();
    let mut vm = Mirror::default();
    let targets = vec![announcement(1, SECOND * 8).record()];
    let listed = |age_ms, sequence, remaining_ms| ColdTarget {
        target: ENGINE.to_owned(),
        remaining_ms,
        incarnation: 100,
        sequence,
        age_ms,
    };
    let update = |digest, cold| Update {
        index: 1,
        fresh: true,
        cold_targets: Some(ColdTargets { digest, targets: vec![cold] }),
        ..Update::default()
    };
    let is_cold = |vm: &Mirror| vm.targets(&"engines".into())[0].cold_until > now;
    vm.apply(Update { targets, ..update(1, listed(None, 1, 8000)) }, now);
    assert!(is_cold(&vm), "nothing else is known");
    vm.apply(update(2, listed(Some(0), 5, 0)), now);
    assert!(!is_cold(&vm), "the target said that it is warm");
    vm.apply(update(3, listed(None, 1, 8000)), now);
    assert!(!is_cold(&vm), "the record is older");
}
