//! The admission of requests by VMs that stop in turn, in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use pomelogate::stop::{AnswerTimes, Grace, InFlight};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// The time that a stopping VM leaves its requests.
const GRACE: Duration = Duration::from_millis(7300);
/// How long callers still choose a VM that stops.
const NOTICE: Duration = Duration::from_secs(3);
/// How long a VM that stops still takes new connections and keeps idle ones open.
const ACCEPT_PERIOD: Duration = Duration::from_millis(3500);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
const LONGEST_ANSWER: Duration = Duration::from_secs(6);
/// The time between the stops of two VMs.
const STOP_INTERVAL: Duration = Duration::from_secs(8);
const WARM_UP: Duration = Duration::from_secs(60);
const RETRY_AFTER: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct Outcomes {
    served: u32,
    /// Refused by a VM within the notice period of its stop, and later.
    refused_early: u32,
    refused_late: u32,
    /// Sent to a target by a VM whose grace ended before the answer.
    lost_early: u32,
    lost_late: u32,
    /// Requests that reached a VM within the notice period of its stop.
    early: u32,
}

impl Outcomes {
    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.refused_early += other.refused_early;
        self.refused_late += other.refused_late;
        self.lost_early += other.lost_early;
        self.lost_late += other.lost_late;
        self.early += other.early;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends the head of a request.
    Head,
    /// The request to this VM is whole.
    Whole(u32),
    /// This VM has the whole answer to a request that took this time.
    Answered(u32, Duration),
}

/// VMs that are restarted one after the other while callers send requests.
struct RollingStop {
    rng: StdRng,
    start: Instant,
    vms: u32,
    answer_times: Vec<AnswerTimes>,
    outcomes: Outcomes,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
}

impl RollingStop {
    fn new(vms: u32, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            vms,
            answer_times: (0..vms).map(|_| AnswerTimes::default()).collect(),
            outcomes: Outcomes::default(),
            events: BinaryHeap::new(),
            event_count: 0,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Runs until every VM has been restarted once, with one request to each VM a second.
    fn run(mut self) -> Outcomes {
        let end = self.start + WARM_UP + STOP_INTERVAL * (self.vms + 1);
        let mut at = self.start;
        while at < end {
            at += MILLISECOND * self.rng.random_range(1..2000 / self.vms);
            self.push(at, Event::Head);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Head => self.send_head(now),
                Event::Whole(vm) => self.receive(vm, now),
                Event::Answered(vm, time) => self.answer_times[vm as usize].record(time, now),
            }
        }
        self.outcomes
    }

    /// When `vm` stops, and how long it has done so by `now`, if it has begun to.
    fn stop(&self, vm: u32, now: Instant) -> Option<(Instant, Duration)> {
        let stops_at = self.start + WARM_UP + STOP_INTERVAL * vm;
        let elapsed = now.checked_duration_since(stops_at)?;
        (elapsed < GRACE).then_some((stops_at, elapsed))
    }

    fn send_head(&mut self, now: Instant) {
        let vm = loop {
            let vm = self.rng.random_range(0..self.vms);
            if self.stop(vm, now).is_none_or(|(_, elapsed)| elapsed < ACCEPT_PERIOD) {
                break vm;
            }
        };
        // The bodies of some requests arrive slowly.
        let body_ms = if self.rng.random_bool(0.1) { self.rng.random_range(0..5000) } else { 0 };
        self.push(now + MILLISECOND * body_ms, Event::Whole(vm));
    }

    fn receive(&mut self, vm: u32, now: Instant) {
        let time = self.draw_answer_time();
        let Some((stops_at, elapsed)) = self.stop(vm, now) else {
            self.outcomes.served += 1;
            self.push(now + time, Event::Answered(vm, time));
            return;
        };
        let is_early = elapsed < NOTICE;
        self.outcomes.early += u32::from(is_early);
        let grace = Grace::new(stops_at, GRACE);
        let count = if !grace.admits(
            Some(&self.answer_times[vm as usize]),
            &InFlight::default(),
            "route",
            ROUTE_TIMEOUT,
            now,
        ) {
            self.push(now + RETRY_AFTER, Event::Head);
            if is_early {
                &mut self.outcomes.refused_early
            } else {
                &mut self.outcomes.refused_late
            }
        } else if now + time <= grace.ends_at() {
            &mut self.outcomes.served
        } else if is_early {
            &mut self.outcomes.lost_early
        } else {
            &mut self.outcomes.lost_late
        };
        *count += 1;
    }

    /// Most answers take up to 2 s, and one in fifty is cut at the largest size.
    fn draw_answer_time(&mut self) -> Duration {
        match self.rng.random_range(0..50) {
            0 => LONGEST_ANSWER,
            1..=4 => MILLISECOND * self.rng.random_range(2000..4000),
            _ => MILLISECOND * self.rng.random_range(200..2000),
        }
    }
}

/// Guards against an admission that takes requests which the end of the VM cuts off, and against
/// one that refuses most while callers don't know of the stop.
#[test]
fn vms_that_stop_in_turn_lose_no_late_request_and_refuse_few() {
    for vms in [7, 95] {
        let mut all = Outcomes::default();
        for seed in 0..20 {
            let outcomes = RollingStop::new(vms, seed).run();
            assert_eq!(outcomes.lost_late, 0, "{vms} VMs, seed {seed}: {outcomes:?}");
            all.add(&outcomes);
        }
        assert!(all.lost_early * 20 <= all.early, "{vms} VMs: {all:?}");
        assert!(all.refused_early * 10 <= all.early, "{vms} VMs: {all:?}");
        assert!((all.refused_early + all.refused_late) * 50 <= all.served, "{vms} VMs: {all:?}");
    }
}

/// Guards against a VM that takes a request of a kind that nothing is known of, late in its stop.
#[test]
fn request_without_recent_answers_is_admitted_only_if_its_timeout_ends_in_time() {
    let now = Instant::now();
    let grace = Grace::new(now, GRACE);
    assert!(grace.admits(None, &InFlight::default(), "route", 7 * SECOND, now));
    assert!(!grace.admits(None, &InFlight::default(), "route", 8 * SECOND, now));
    assert!(!grace.admits(None, &InFlight::default(), "route", 7 * SECOND, now + SECOND));
    assert!(!grace.admits(
        None,
        &InFlight::default(),
        "route",
        Duration::ZERO,
        now + GRACE + MILLISECOND
    ));
}

/// Guards against one slow answer that makes a stop refuse all requests at its beginning, and against
/// its being forgotten when the end is near.
#[test]
fn rare_slow_answers_count_late_in_a_stop_alone() {
    let now = Instant::now();
    let grace = Grace::new(now, GRACE);
    let mut times = AnswerTimes::default();
    for _ in 0..20 {
        times.record(SECOND, now);
    }
    times.record(LONGEST_ANSWER, now);
    assert!(grace.admits(
        Some(&times),
        &InFlight::default(),
        "route",
        ROUTE_TIMEOUT,
        now + NOTICE / 2
    ));
    assert!(!grace.admits(
        Some(&times),
        &InFlight::default(),
        "route",
        ROUTE_TIMEOUT,
        now + NOTICE
    ));
}

/// Guards against a VM that has just started, goes by the few answers that it knows, and takes a request
/// late in a stop whose answer is longer than any of them.
#[test]
fn after_the_notice_a_request_goes_by_the_time_that_it_may_take() {
    let start = Instant::now();
    let grace = Grace::new(start, GRACE);
    let mut times = AnswerTimes::default();
    times.record(MILLISECOND * 500, start);
    let admits =
        |longest, now| grace.admits(Some(&times), &InFlight::default(), "route", longest, now);
    assert!(admits(ROUTE_TIMEOUT, start + MILLISECOND * 1000), "callers may not know yet");
    assert!(!admits(ROUTE_TIMEOUT, start + MILLISECOND * 3000));
    assert!(admits(MILLISECOND * 2500, start + MILLISECOND * 3000));
}
