//! Limits that targets name, kept by many VMs of a region that each see a part of the requests.

mod support;

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use pomelogate::{
    id,
    throttle::{Answer, Change, Limit, Notice, PeerMemory, Peers, Permission, Returns, Tracker},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::window::{SETTLING_TIME, bound, most_in_window};

/// A VM counts from this long after it passed on an answer that named the limit.
const TOLD_DELAY: Duration = Duration::from_millis(500);
const NAMED_AT: Duration = Duration::from_secs(8);
const END: Duration = Duration::from_secs(60);

fn limit(per_sec: f64) -> Limit {
    per_sec.to_string().parse().expect("a limit")
}

fn answer(limit: Option<Limit>, sent_at: Instant) -> Answer {
    Answer { limit, status: StatusCode::OK, sent_at }
}

fn engine() -> id::Target {
    id::Target::from("engine")
}

/// How often a VM tells the others; less often where they are many.
fn notice_interval(vm_count: usize) -> Duration {
    Duration::from_millis(if vm_count > 32 { 1200 } else { 400 })
}

/// What may go wrong between VMs.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// The part of the notices that are lost.
    lost_notices: f64,
    /// The part of the other VMs that each VM does not know.
    unknown_peers: f64,
    /// When all requests but those of the last VM end, so that the others have none to send.
    only_last_vm_after: Option<Duration>,
    /// How much longer than others the slowest answers take, in seconds.
    answer_delay: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    /// A request that was sent at the time given reaches the target.
    Arrival(usize, Duration),
    Answer(usize, Duration, bool),
    Notices(usize),
    /// The notices of one VM reach another one.
    Receipt(usize, usize),
}

/// VMs of one region before one target that names a limit at `NAMED_AT`.
struct Region {
    start: Instant,
    random: StdRng,
    limit_per_sec: f64,
    faults: Faults,
    trackers: Vec<Tracker>,
    peers: Vec<Peers>,
    sent_notices: Vec<Vec<Notice>>,
    told_at: Vec<Option<Duration>>,
    queue: BinaryHeap<Reverse<(Duration, Event)>>,
    /// When requests reached the target, and whether their VM had been told.
    arrivals: Vec<(Duration, bool)>,
    requests_per_sec: f64,
}

impl Region {
    fn new(vm_count: usize, limit_per_sec: f64, faults: Faults, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..vm_count).map(|vm| format!("vm-{vm}")).collect();
        let mut peers = Vec::new();
        for own in &names {
            let known = names.iter().filter(|_| !random.random_bool(faults.unknown_peers));
            peers.push(Peers::new(own, known.map(String::as_str)));
        }
        let mut region = Self {
            start: Instant::now() + Duration::from_secs(1000),
            random,
            limit_per_sec,
            faults,
            trackers: names.iter().map(|_| Tracker::default()).collect(),
            peers,
            sent_notices: vec![Vec::new(); vm_count],
            told_at: vec![None; vm_count],
            queue: BinaryHeap::new(),
            arrivals: Vec::new(),
            requests_per_sec: (20.0 * limit_per_sec).max(3.0 * vm_count as f64),
        };
        for vm in 0..vm_count {
            let first = region.delay(0.0, 1.0);
            region.push(first, Event::Request(vm));
            region.push(first, Event::Notices(vm));
        }
        region
    }

    fn delay(&mut self, min_secs: f64, max_secs: f64) -> Duration {
        Duration::from_secs_f64(self.random.random_range(min_secs..max_secs))
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.handle(at, event);
        }
        self
    }

    fn handle(&mut self, at: Duration, event: Event) {
        let now = self.start + at;
        match event {
            Event::Request(vm) => {
                let last_vm = self.trackers.len() - 1;
                let ended = self.faults.only_last_vm_after.is_some_and(|end| at > end);
                if !ended || vm == last_vm {
                    let permission =
                        self.trackers[vm].permission(&engine(), 1, &self.peers[vm], now);
                    if permission == Permission::Granted {
                        self.trackers[vm].record_sent(&engine(), 1);
                        let delay = self.delay(0.001, 0.04);
                        self.push(at + delay, Event::Arrival(vm, at));
                    }
                }
                let interval = self.trackers.len() as f64 / self.requests_per_sec;
                let pause = -self.random.random_range(f64::EPSILON..1.0).ln() * interval;
                self.push(at + Duration::from_secs_f64(pause), Event::Request(vm));
            }
            Event::Arrival(vm, sent_at) => {
                let told = self.told_at[vm].is_some_and(|told_at| told_at + TOLD_DELAY <= at);
                self.arrivals.push((at, told));
                let delay = self.delay(0.02, 0.6 + self.faults.answer_delay);
                self.push(at + delay, Event::Answer(vm, sent_at, at >= NAMED_AT));
            }
            Event::Answer(vm, sent_at, names_limit) => {
                let named = names_limit.then(|| limit(self.limit_per_sec));
                let sent_at = self.start + sent_at;
                self.trackers[vm].record_answer(&engine(), 1, answer(named, sent_at), now);
                if names_limit {
                    self.told_at[vm].get_or_insert(at);
                }
            }
            Event::Notices(vm) => {
                self.sent_notices[vm] = self.trackers[vm].notices(&self.peers[vm], now);
                let has_news = !self.sent_notices[vm].is_empty();
                for other in (0..self.trackers.len()).filter(|other| has_news && *other != vm) {
                    if !self.random.random_bool(self.faults.lost_notices) {
                        let delay = self.delay(0.001, 0.03);
                        self.push(at + delay, Event::Receipt(vm, other));
                    }
                }
                self.push(at + notice_interval(self.trackers.len()), Event::Notices(vm));
            }
            Event::Receipt(from, to) => {
                for notice in &self.sent_notices[from] {
                    self.trackers[to].record_notice(notice, now);
                }
            }
        }
    }

    /// The most requests in a window that began after the limit had settled.
    fn most_in_window(&self) -> usize {
        let told = self.arrivals.iter().filter(|(_, told)| *told);
        let times: Vec<Instant> = told.map(|(at, _)| self.start + *at).collect();
        most_in_window(&times, self.start + NAMED_AT + SETTLING_TIME)
    }

    /// The requests a second from all VMs from `since` on.
    fn used_per_sec(&self, since: Duration) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _)| *at >= since).count();
        count as f64 / (END - since).as_secs_f64()
    }
}

const LIMITS: [f64; 5] = [0.5, 1.0, 3.0, 7.5, 50.0];

/// Guards against VMs that each send what is meant for all of them together: a target that had named
/// a limit of one a second got 13 requests a second from three VMs.
#[test]
fn vms_together_keep_the_limit_of_a_target_and_use_it() {
    for vm_count in [1, 7, 95] {
        for limit_per_sec in LIMITS {
            for seed in 0..8 {
                let region = Region::new(vm_count, limit_per_sec, Faults::default(), seed).run();
                let most = region.most_in_window();
                let case = format!("{vm_count} VMs, {limit_per_sec} a second, seed {seed}");
                assert!(most <= bound(limit_per_sec), "{case}: {most} in a window");
                let used = region.used_per_sec(NAMED_AT + SETTLING_TIME);
                assert!(used > limit_per_sec / 2.0, "{case}: only {used:.2} a second were used");
            }
        }
    }
}

/// VMs that know only a part of the others, and hear only a part of what they say, send more than
/// their share, but stay within the bound.
#[test]
fn limit_is_kept_where_vms_know_little_of_each_other() {
    let faults = Faults { lost_notices: 0.3, unknown_peers: 0.1, ..Faults::default() };
    for vm_count in [7, 95] {
        for limit_per_sec in LIMITS {
            for seed in 0..8 {
                let most =
                    Region::new(vm_count, limit_per_sec, faults, seed).run().most_in_window();
                let case = format!("{vm_count} VMs, {limit_per_sec} a second, seed {seed}");
                assert!(most <= bound(limit_per_sec), "{case}: {most} in a window");
            }
        }
    }
}

/// A target in need answers late. Its silence gives other VMs their turn while the requests of the
/// VMs before them are still on their way.
#[test]
fn limit_is_kept_where_the_target_answers_late() {
    for vm_count in [7, 32, 95] {
        for limit_per_sec in LIMITS {
            for answer_delay in [6.0, 12.0] {
                for seed in 0..8 {
                    let faults = Faults { answer_delay, ..Faults::default() };
                    let region = Region::new(vm_count, limit_per_sec, faults, seed).run();
                    let most = region.most_in_window();
                    let case = format!("{vm_count} VMs, {limit_per_sec} a second, seed {seed}");
                    assert!(most <= bound(limit_per_sec), "{case}: {most} in a window");
                    let used = region.used_per_sec(NAMED_AT + 2 * SETTLING_TIME);
                    assert!(
                        used > limit_per_sec / 2.0,
                        "{case}: only {used:.2} a second were used"
                    );
                }
            }
        }
    }
}

/// A limit that only a few VMs may use would be lost where the callers of those VMs want nothing.
#[test]
fn limit_passes_to_other_vms_where_those_with_a_turn_have_no_requests() {
    for vm_count in [7, 95] {
        for limit_per_sec in [0.5, 1.0, 50.0] {
            let alone_from = Duration::from_secs(20);
            let faults = Faults { only_last_vm_after: Some(alone_from), ..Faults::default() };
            let long_run = Region::new(vm_count, limit_per_sec, faults, 3).run();
            let requests = long_run.arrivals.iter().filter(|(at, _)| *at > alone_from).count();
            let case = format!("{vm_count} VMs, {limit_per_sec} a second");
            assert!(long_run.most_in_window() <= bound(limit_per_sec), "{case}");
            if vm_count == 7 {
                assert!(requests > 2, "{case}: {requests} requests of the only VM");
            }
        }
    }
}

/// Guards against shares that grow as a list of VMs is built anew: after the replicas of the lists
/// were down for longer than a VM is remembered, their first list lacks most VMs.
#[test]
fn first_list_after_a_long_gap_removes_no_vm_at_once() {
    let start = Instant::now();
    let mut memory = PeerMemory::default();
    memory.update(["one", "two", "three"].into_iter(), start);
    let gap_end = start + Duration::from_secs(60);
    memory.update(["one"].into_iter(), gap_end);
    assert_eq!(memory.vm_count(), 3);
    memory.update(["one", "two"].into_iter(), gap_end + Duration::from_secs(9));
    assert_eq!(memory.vm_count(), 3);
    memory.update(["one", "two"].into_iter(), gap_end + Duration::from_secs(11));
    assert_eq!(memory.vm_count(), 2, "a VM that stays away does not count for ever");
}

/// A limit holds for as long as the target names it, and for no other incarnation.
#[test]
fn limit_ends_with_an_answer_that_does_not_name_it_and_with_the_incarnation() {
    let (start, alone) = (Instant::now(), Peers::default());
    let at = |millis| start + Duration::from_millis(millis);
    let mut tracker = Tracker::default();
    let mut other = Tracker::default();
    let change = tracker.record_answer(&engine(), 1, answer(Some(limit(1.0)), at(0)), at(100));
    assert_eq!(change, Some(Change::Named(limit(1.0))));
    assert_ne!(tracker.permission(&engine(), 1, &alone, at(100)), Permission::Granted);
    assert_eq!(tracker.permission(&engine(), 2, &alone, at(100)), Permission::Granted);
    let unnamed_before = tracker.record_answer(&engine(), 1, answer(None, at(50)), at(150));
    assert_eq!(unnamed_before, None, "that request was sent before the limit was named");
    for notice in tracker.notices(&alone, at(200)) {
        assert_eq!(other.record_notice(&notice, at(201)), Some(Change::Named(limit(1.0))));
    }
    assert_ne!(other.permission(&engine(), 1, &alone, at(201)), Permission::Granted);
    let risen = tracker.record_answer(&engine(), 1, answer(Some(limit(50.0)), at(200)), at(300));
    assert_eq!(risen, Some(Change::Named(limit(50.0))));
    assert_eq!(tracker.permission(&engine(), 1, &alone, at(400)), Permission::Granted);
    assert_eq!(
        tracker.record_answer(&engine(), 1, answer(None, at(400)), at(500)),
        Some(Change::Ended)
    );
    for notice in tracker.notices(&alone, at(600)) {
        assert_eq!(other.record_notice(&notice, at(601)), Some(Change::Ended));
    }
    for tracker in [&mut tracker, &mut other] {
        assert_eq!(tracker.permission(&engine(), 1, &alone, at(700)), Permission::Granted);
        tracker.record_answer(&engine(), 2, answer(Some(limit(1.0)), at(700)), at(800));
        let stale = tracker.record_answer(&engine(), 1, answer(Some(limit(9.0)), at(700)), at(900));
        assert_eq!(stale, None, "the incarnation has ended");
        assert_eq!(tracker.limit(&engine(), 2), Some(limit(1.0)));
    }
}

/// The requests of VMs that each want to send one every 10 ms, to a target that refuses all of them with
/// a pause to its own end.
fn arrivals_around_a_pause(vm_count: usize, pause: Duration) -> (Instant, Vec<(usize, Instant)>) {
    let start = Instant::now();
    let names: Vec<String> = (0..vm_count).map(|vm| format!("vm-{vm}")).collect();
    let peers: Vec<Peers> =
        names.iter().map(|own| Peers::new(own, names.iter().map(String::as_str))).collect();
    let mut trackers: Vec<Tracker> = names.iter().map(|_| Tracker::default()).collect();
    let (engine, end) = (id::Target::from("engine"), start + pause);
    let mut arrivals = Vec::new();
    for step in 0..(pause.as_millis() + 2000) / 10 {
        let now = start + Duration::from_millis(10) * u32::try_from(step).expect("small");
        for (vm, tracker) in trackers.iter_mut().enumerate() {
            if tracker.permission(&engine, 1, &peers[vm], now) != Permission::Granted {
                continue;
            }
            tracker.record_sent(&engine, 1);
            arrivals.push((vm, now));
            if now < end {
                let left = end.saturating_duration_since(now).as_secs_f64();
                tracker.record_pause(&engine, 1, left.to_string().parse().expect("a pause"), now);
            }
        }
    }
    (end, arrivals)
}

/// Guards against VMs that send a target requests in a pause that it asked them for, and against many
/// VMs that all come back in the moment in which their pauses end.
#[test]
fn pauses_that_end_together_are_kept_and_left_one_vm_after_the_other() {
    for vm_count in [1, 7, 95] {
        let (end, arrivals) = arrivals_around_a_pause(vm_count, Duration::from_secs(5));
        let in_pause = arrivals.iter().filter(|(_, at)| *at < end).count();
        assert_eq!(in_pause, vm_count, "one request of each VM, which is refused");
        let back = |until: Duration| {
            let mut vms: Vec<usize> = arrivals
                .iter()
                .filter(|(_, at)| *at >= end && *at < end + until)
                .map(|(vm, _)| *vm)
                .collect();
            vms.sort_unstable();
            vms.dedup();
            vms.len()
        };
        assert!(back(Duration::from_millis(100)) <= vm_count / 10 + 2, "of {vm_count} VMs");
        assert_eq!(back(Duration::from_secs(1)), vm_count, "all come back");
    }
}

#[test]
fn pause_ends_with_the_incarnation_and_by_itself_but_not_by_a_shorter_one() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (engine, alone) = (id::Target::from("engine"), Peers::default());
    let mut tracker = Tracker::default();
    let pause = |text: &str| text.parse().expect("a pause");
    assert!(tracker.record_pause(&engine, 1, pause("5"), now), "it begins");
    assert!(!tracker.record_pause(&engine, 1, pause("1"), now), "it has begun");
    assert!(!tracker.record_pause(&engine, 1, pause("0"), now));
    assert_eq!(
        tracker.permission(&engine, 1, &alone, now + second * 2),
        Permission::After(second * 3)
    );
    assert_eq!(tracker.permission(&engine, 2, &alone, now), Permission::Granted);
    assert_eq!(tracker.permission(&engine, 1, &alone, now + second * 5), Permission::Granted);
    assert!(tracker.record_pause(&engine, 2, pause("5"), now));
    assert!(!tracker.record_pause(&engine, 1, pause("60"), now), "of an older process");
    assert!(tracker.is_paused(&engine, 2, now) && !tracker.is_paused(&engine, 1, now));
}

/// Guards against callers that are told to come back when their request can't be served yet, or all in
/// one moment.
#[test]
fn callers_return_after_the_first_pause_that_ends_spread_over_some_time() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (mut tracker, mut returns) = (Tracker::default(), Returns::default());
    let engines: Vec<id::Target> = ["one", "two"].map(id::Target::from).to_vec();
    let targets = || engines.iter().map(|engine| (engine, 1));
    let service = id::Service::from("engines");
    let mut next = |tracker: &Tracker| returns.next_return(tracker, &service, targets(), 7, now);
    tracker.record_pause(&engines[0], 1, "8".parse().expect("a pause"), now);
    assert_eq!(next(&tracker), None, "the other engine has asked for none");
    tracker.record_pause(&engines[1], 1, "4".parse().expect("a pause"), now);
    let mut times: Vec<Duration> = (0..100).map(|_| next(&tracker).expect("both have")).collect();
    times.sort_unstable();
    assert!(times[0] >= second * 4 && times[99] < second * 6, "{times:?}");
    let in_tenth = |first: &Duration| {
        times.iter().filter(|it| *it >= first && **it < *first + second / 10).count()
    };
    assert!(times.iter().map(in_tenth).max() <= Some(15), "{times:?}");
}

/// Guards against VMs that each find out by a refusal that a target rests, which costs a retry each.
#[test]
fn pause_that_another_vm_was_asked_for_makes_a_target_the_last_resort() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (engine, alone) = (id::Target::from("engine"), Peers::default());
    let (mut asked, mut told) = (Tracker::default(), Tracker::default());
    asked.record_pause(&engine, 1, "5".parse().expect("a pause"), now);
    let notices = asked.pause_notices(now);
    assert_eq!(notices.len(), 1);
    told.record_pause_notice(&notices[0], now);
    assert_eq!(told.permission(&engine, 1, &alone, now), Permission::Granted, "it was not asked");
    assert!(told.is_last_resort(&engine, 1, &alone, now + second * 4));
    assert!(!told.is_last_resort(&engine, 2, &alone, now), "another process");
    assert!(!told.is_last_resort(&engine, 1, &alone, now + second * 5));
    assert_eq!(told.pause_notices(now), [], "only what the target said is passed on");
}
