//! Parts of prompts that crash targets, whatever else the requests hold: many VMs, each of which
//! sees little, find the part, and go on serving sound requests that share the other parts.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pomelogate::{
    crash::{Digest, PartSettings, PartTracker},
    gateway::CrashSuspects,
    id,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SYSTEM: u64 = 1;
const BAD: u64 = 666;
const SUBJECTS: std::ops::Range<u64> = 1000..1400;
const STEP: Duration = Duration::from_millis(20);
/// A record takes up to this long to a replica, and a block as long to a VM.
const SPREAD_DELAY: Duration = Duration::from_millis(1000);
const REQUEST_DURATION: Duration = Duration::from_millis(1500);
/// A target is back after this time.
const RESTART_DELAY: Duration = Duration::from_secs(4);

struct Request {
    vm: usize,
    target: usize,
    parts: Vec<u64>,
    number: u64,
    ends_at: Instant,
}

struct Target {
    incarnation: u64,
    back_at: Instant,
}

/// What became of requests in one run of a fleet.
#[derive(Debug, Default)]
struct Outcome {
    deaths: u32,
    /// Requests with the bad part that were sent later than 5 s after the fifth death, or the last
    /// one if there were fewer.
    late_bad_requests: u32,
    sound_sent: u32,
    sound_refused: u32,
    /// The same, from 10 s after that death on.
    late_sound_sent: u32,
    late_sound_refused: u32,
}

/// A fleet of VMs before shared targets, in steps of virtual time. From second 5 on, one request in
/// ten holds the bad part; it crashes its target 100 ms after it began.
struct Fleet {
    random: StdRng,
    start: Instant,
    now: Instant,
    vms: Vec<CrashSuspects>,
    replica: PartTracker,
    targets: Vec<Target>,
    in_flight: Vec<Request>,
    next_sync: Vec<Instant>,
    has_bad_part: bool,
    sent: u64,
    /// The fifth death, or the last one if there were fewer.
    fifth_death: Option<Instant>,
    outcome: Outcome,
}

impl Fleet {
    fn new(seed: u64, vm_count: usize, target_count: usize, has_bad_part: bool) -> Self {
        let now = Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let next_sync =
            (0..vm_count).map(|_| now + random.random_range(STEP..SPREAD_DELAY)).collect();
        Self {
            random,
            start: now,
            now,
            vms: (0..vm_count).map(|_| CrashSuspects::default()).collect(),
            replica: PartTracker::new(PartSettings::default()),
            targets: (0..target_count).map(|_| Target { incarnation: 1, back_at: now }).collect(),
            in_flight: Vec::new(),
            next_sync,
            has_bad_part,
            sent: 0,
            fifth_death: None,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, duration: Duration, requests_per_step: u32) -> Outcome {
        while self.now < self.start + duration {
            self.now += STEP;
            self.end_requests();
            for _ in 0..requests_per_step {
                self.send_request();
            }
            self.sync();
        }
        self.outcome
    }

    fn seconds_since_fifth_death(&self) -> f64 {
        self.fifth_death.map_or(0.0, |at| (self.now - at).as_secs_f64())
    }

    fn send_request(&mut self) {
        let is_bad = self.has_bad_part
            && self.now > self.start + Duration::from_secs(5)
            && self.random.random_bool(0.1);
        let mut parts = vec![SYSTEM, self.random.random_range(SUBJECTS)];
        if is_bad {
            parts.push(BAD);
        }
        let vm = self.random.random_range(0..self.vms.len());
        self.sent += 1;
        let is_late = self.seconds_since_fifth_death() > 10.0;
        if !is_bad {
            self.outcome.sound_sent += 1;
            self.outcome.late_sound_sent += u32::from(is_late);
        }
        let digest = Digest::of(&[&self.sent.to_be_bytes()]);
        if self.vms[vm].refused_for(|| digest, &parts, self.now).is_some() {
            if !is_bad {
                self.outcome.sound_refused += 1;
                self.outcome.late_sound_refused += u32::from(is_late);
            }
            return;
        }
        self.outcome.late_bad_requests +=
            u32::from(is_bad && self.seconds_since_fifth_death() > 5.0);
        let up: Vec<usize> =
            (0..self.targets.len()).filter(|it| self.targets[*it].back_at <= self.now).collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        let duration = if is_bad { Duration::from_millis(100) } else { REQUEST_DURATION };
        let ends_at = self.now + duration;
        self.in_flight.push(Request { vm, target, parts, number: self.sent, ends_at });
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<Request> = self.in_flight.extract_if(.., |it| it.ends_at <= now).collect();
        for request in ended {
            if !request.parts.contains(&BAD) {
                let digest = Digest::of(&[&request.number.to_be_bytes()]);
                let target = target_id(request.target);
                self.vms[request.vm].record_success(&target, || digest, &request.parts, now);
            } else if self.targets[request.target].back_at <= now {
                self.crash(request);
            }
        }
    }

    fn crash(&mut self, cause: Request) {
        self.outcome.deaths += 1;
        if self.outcome.deaths <= 5 {
            self.fifth_death = Some(self.now);
            let Outcome { deaths, sound_sent, sound_refused, .. } = self.outcome;
            self.outcome = Outcome { deaths, sound_sent, sound_refused, ..Outcome::default() };
        }
        let (now, target) = (self.now, cause.target);
        let incarnation = self.targets[target].incarnation;
        let mut broken: Vec<Request> =
            self.in_flight.extract_if(.., |it| it.target == target).collect();
        broken.push(cause);
        for request in &broken {
            let digest = Digest::of(&[&request.number.to_be_bytes()]);
            self.vms[request.vm].record_broken_exchange(
                &target_id(target),
                incarnation,
                digest,
                &request.parts,
                now,
            );
        }
        for vm in &mut self.vms {
            vm.record_incarnation_end(&target_id(target), incarnation, now);
        }
        self.targets[target] =
            Target { incarnation: incarnation + 1, back_at: now + RESTART_DELAY };
    }

    /// Each VM exchanges its records for the blocks once in a while.
    fn sync(&mut self) {
        let now = self.now;
        for (vm, next_sync) in self.vms.iter_mut().zip(&mut self.next_sync) {
            if *next_sync > now {
                continue;
            }
            *next_sync = now + SPREAD_DELAY;
            if let Some(records) = vm.take_unsent_records(now) {
                self.replica.merge(now, &records.parts.unwrap_or_default());
            }
            let (blocked, suspects) =
                (self.replica.blocked_parts(now), self.replica.suspect_parts(now));
            vm.set_blocked_parts(&blocked, &suspects, now);
        }
    }
}

fn target_id(index: usize) -> id::Target {
    id::Target::from(format!("engine-{index}").as_str())
}

/// Guards against each VM, and each request, being judged alone while one part crashes all targets
/// in turn, and against sound requests being refused for what they share with it.
#[test]
fn the_part_that_crashes_targets_is_refused_by_all_vms_and_sound_requests_are_served() {
    for seed in 0..20 {
        for (vm_count, target_count) in [(2, 4), (8, 18), (95, 80)] {
            let fleet = Fleet::new(seed, vm_count, target_count, true);
            let outcome = fleet.run(Duration::from_secs(40), 4);
            let case = format!("seed {seed}, {vm_count} VMs: {outcome:?}");
            assert!(outcome.late_bad_requests <= 3, "{case}");
            assert!(outcome.late_sound_sent > 1000, "{case}");
            assert!(outcome.late_sound_refused * 10 < outcome.late_sound_sent, "{case}");
            assert!(outcome.sound_refused * 10 < outcome.sound_sent, "{case}");
        }
    }
}

/// A zone that loses power takes many targets with it, with all kinds of requests in flight.
#[test]
fn the_loss_of_many_targets_at_once_blocks_no_part_whose_requests_finish_elsewhere() {
    let now = Instant::now();
    let mut tracker = PartTracker::new(PartSettings::default());
    let second = Duration::from_secs(1);
    tracker.record_finished(now, SUBJECTS.chain([SYSTEM]));
    for index in 0..40 {
        let subjects = SUBJECTS.skip(index * 7).take(30);
        tracker.record_target_death(now + second, &target_id(index), 1, subjects.chain([SYSTEM]));
    }
    tracker.record_finished(now + second * 2, SUBJECTS.chain([SYSTEM]));
    assert!(tracker.blocked_parts(now + second * 2).is_empty());
    assert!(tracker.suspect_parts(now + second * 2).is_empty());
}

#[test]
fn a_part_that_turns_bad_is_refused_after_more_deaths_than_a_new_one() {
    let now = Instant::now();
    let mut tracker = PartTracker::new(PartSettings::default());
    tracker.record_finished(now, [SYSTEM, BAD]);
    for index in 0..5 {
        assert!(tracker.blocked_parts(now).is_empty(), "after {index} deaths");
        let died_at = now + Duration::from_secs(1 + index);
        tracker.record_target_death(died_at, &target_id(index as usize), 1, [SYSTEM, BAD]);
        tracker.record_finished(died_at + STEP, [SYSTEM]);
    }
    let blocked = tracker.blocked_parts(now + Duration::from_secs(6));
    assert_eq!(blocked.len(), 1);
    assert_eq!(blocked[0].parts, [BAD]);
}

/// Until a death or a finished request tells them apart, a prompt with only one of two parts may be
/// sound.
#[test]
fn parts_that_were_only_seen_together_are_refused_only_together() {
    let now = Instant::now();
    let companion = 7;
    let mut replica = PartTracker::new(PartSettings::default());
    for index in 0..3 {
        replica.record_target_death(now, &target_id(index), 1, [companion, BAD]);
    }
    let mut vm = CrashSuspects::default();
    assert!(replica.blocked_parts(now).is_empty(), "VMs may report finished requests");
    let now = now + PartSettings::default().report_timeout;
    vm.set_blocked_parts(&replica.blocked_parts(now), &replica.suspect_parts(now), now);
    let digest = Digest::of(&[b"new"]);
    assert!(vm.refused_for(|| digest, &[SYSTEM, companion, BAD], now).is_some());
    assert!(vm.refused_for(|| digest, &[SYSTEM, companion], now).is_none());
    vm.record_success(&target_id(9), || digest, &[SYSTEM, companion], now + STEP);
    let records = vm.take_unsent_records(now + STEP).and_then(|records| records.parts);
    replica.merge(now + STEP, &records.expect("the companion is cleared"));
    let blocked = replica.blocked_parts(now + STEP);
    vm.set_blocked_parts(&blocked, &replica.suspect_parts(now + STEP), now + STEP);
    assert!(vm.refused_for(|| digest, &[SYSTEM, BAD], now + STEP).is_some());
    assert!(vm.refused_for(|| digest, &[BAD], now + Duration::from_secs(121)).is_none());
}

#[test]
fn records_merge_in_any_order_and_repetitions_change_nothing() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut vms = BTreeMap::new();
    for index in 0..3_usize {
        let mut tracker = PartTracker::new(PartSettings::default());
        let subject = SUBJECTS.start + index as u64;
        tracker.record_target_death(now, &target_id(index), 1, [SYSTEM, subject, BAD]);
        tracker.record_finished(now + Duration::from_secs(1), [SYSTEM, subject]);
        vms.insert(index, tracker.export(later, &[]));
    }
    for order in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut replica = PartTracker::new(PartSettings::default());
        for index in order.into_iter().chain(order) {
            replica.merge(later, &vms[&index]);
            // What a replica tells another and gets back on the way is no news.
            let echo = replica.export(later, &[]);
            replica.merge(later + Duration::from_millis(200), &echo);
        }
        assert!(replica.blocked_parts(later).is_empty(), "VMs may report finished requests");
        let blocked = replica.blocked_parts(later + PartSettings::default().report_timeout);
        assert_eq!(blocked.iter().map(|it| it.parts.clone()).collect::<Vec<_>>(), [[BAD]]);
        assert!(replica.suspect_parts(later) == [BAD]);
    }
}
