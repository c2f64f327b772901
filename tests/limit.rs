//! The gate: what it admits, in which order, and what never happens to a request.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use pomelogate::{
    id,
    limit::{Decision, Limiter, Progress, Request, Settings, Ticket},
    list::Limits,
    outcome::Reason,
    path::Class,
};
use proptest::{prelude::*, test_runner::RngSeed};

const SECOND: Duration = Duration::from_secs(1);

struct Bench {
    gate: Limiter,
    now: Instant,
    limits: Limits,
    tokens: u32,
    deadline: Duration,
}

impl Bench {
    fn new(settings: Settings, limits: Limits) -> Self {
        let now = Instant::now();
        Self { gate: Limiter::new(settings), now, limits, tokens: 1, deadline: 60 * SECOND }
    }

    fn offer(&mut self, customer: &str, class: Class) -> Decision {
        let customer = id::Customer::from(customer);
        let deadline = self.now + self.deadline;
        let Self { limits, tokens, .. } = *self;
        let request = Request { customer: &customer, class, limits, tokens, deadline };
        self.gate.offer(self.now, request)
    }

    fn wait(&mut self, customer: &str, class: Class) -> Ticket {
        match self.offer(customer, class) {
            Decision::Wait(ticket) => ticket,
            other => panic!("should wait: {other:?}"),
        }
    }

    fn admit(&mut self, customer: &str, class: Class) -> Ticket {
        match self.offer(customer, class) {
            Decision::Admit(ticket) => ticket,
            other => panic!("should run: {other:?}"),
        }
    }
}

fn one_at_a_time() -> Settings {
    Settings { concurrency: 1, ..Settings::default() }
}

#[test]
fn a_full_queue_is_refused_with_advice() {
    let limits = Limits { concurrency: 1, queue: 1, ..Limits::default() };
    let mut bench = Bench::new(Settings::default(), limits);
    bench.admit("a", Class::Interactive);
    bench.wait("a", Class::Interactive);
    let Decision::Refuse(refusal) = bench.offer("a", Class::Interactive) else {
        panic!("the queue is full")
    };
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after.is_some());
    bench.wait("a", Class::Batch);
}

#[test]
fn batch_finishes_beside_a_flood_of_interactive_requests() {
    let mut bench = Bench::new(one_at_a_time(), Limits::default());
    let mut running = bench.admit("a", Class::Interactive);
    let batch = bench.wait("b", Class::Batch);
    for step in 0..20 {
        bench.wait("a", Class::Interactive);
        let change = bench.gate.finish(bench.now, running, 1);
        running = change.admitted[0];
        if running == batch {
            assert!(step > 0, "interactive requests go first");
            return;
        }
    }
    panic!("the batch request starved");
}

#[test]
fn a_customer_with_a_backlog_does_not_hold_up_another() {
    let mut bench = Bench::new(one_at_a_time(), Limits::default());
    let mut running = bench.admit("a", Class::Interactive);
    for _ in 0..50 {
        bench.wait("a", Class::Interactive);
    }
    let other = bench.wait("z", Class::Interactive);
    for step in 0..4 {
        running = bench.gate.finish(bench.now, running, 1).admitted[0];
        if running == other {
            return;
        }
        assert!(step < 3, "the other customer waits for the backlog");
    }
}

#[test]
fn batch_leaves_places_of_the_same_customer_to_interactive_requests() {
    let limits = Limits { concurrency: 4, ..Limits::default() };
    let mut bench = Bench::new(Settings::default(), limits);
    for _ in 0..3 {
        bench.admit("a", Class::Batch);
    }
    bench.wait("a", Class::Batch);
    bench.admit("a", Class::Interactive);
}

#[test]
fn a_cancelled_request_frees_its_place_at_once() {
    let mut bench = Bench::new(one_at_a_time(), Limits::default());
    let running = bench.admit("a", Class::Interactive);
    let gone = bench.wait("a", Class::Interactive);
    let next = bench.wait("a", Class::Interactive);
    assert_eq!(bench.gate.cancel(bench.now, gone).admitted, []);
    assert_eq!(bench.gate.cancel(bench.now, running).admitted, [next]);
}

#[test]
fn an_expired_waiter_is_reported_and_never_runs() {
    let mut bench = Bench::new(one_at_a_time(), Limits::default());
    let running = bench.admit("a", Class::Interactive);
    bench.deadline = SECOND;
    let late = bench.wait("a", Class::Interactive);
    let wake = bench.gate.tick(bench.now).next_tick;
    assert_eq!(wake, Some(bench.now + SECOND));
    bench.now += SECOND;
    let change = bench.gate.finish(bench.now, running, 1);
    assert_eq!(change.admitted, []);
    assert_eq!(bench.gate.tick(bench.now).expired, [late]);
    assert_eq!(bench.gate.waiting(), 0);
}

#[test]
fn tokens_are_limited_and_the_estimate_is_corrected() {
    let limits = Limits { tokens_per_minute: 600, ..Limits::default() };
    let mut bench = Bench::new(Settings::default(), limits);
    bench.tokens = 100;
    let first = bench.admit("a", Class::Interactive);
    let second = bench.wait("a", Class::Interactive);
    let change = bench.gate.finish(bench.now, first, 0);
    assert_eq!(change.admitted, [second], "what was not used is given back");
    bench.gate.finish(bench.now, second, 150);
    let third = bench.wait("a", Class::Interactive);
    let wake = bench.gate.tick(bench.now).next_tick.expect("something waits");
    assert_eq!((wake - bench.now).as_secs(), 15, "what was used beyond the estimate is owed");
    assert_eq!(bench.gate.tick(wake).admitted, [third]);
}

#[test]
fn shares_of_a_regions_vms_add_up_to_the_limit() {
    let limits = Limits { concurrency: 10, ..Limits::default() };
    let settings = Settings { vms: 3, ..Settings::default() };
    let mut bench = Bench::new(settings, limits);
    let admitted = (0..10)
        .filter(|_| matches!(bench.offer("a", Class::Interactive), Decision::Admit(_)))
        .count();
    assert_eq!(admitted, 4, "a third of ten, rounded up");
    bench.gate.set_vms(bench.now, 2);
    assert_eq!(bench.gate.tick(bench.now).admitted.len(), 1);
}

#[test]
fn state_of_idle_customers_is_dropped() {
    let mut bench = Bench::new(Settings::default(), Limits::default());
    for number in 0..100 {
        let ticket = bench.admit(&number.to_string(), Class::Interactive);
        bench.gate.finish(bench.now, ticket, 1);
    }
    bench.now += 60 * SECOND;
    bench.gate.tick(bench.now);
    assert_eq!(bench.gate.customer_count(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { customer: u8, batch: bool, tokens: u32 },
    Finish(usize),
    Cancel(usize),
    Pass(u64),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, any::<bool>(), 1..2000_u32)
            .prop_map(|(customer, batch, tokens)| Step::Offer { customer, batch, tokens }),
        2 => (0..8_usize).prop_map(Step::Finish),
        1 => (0..16_usize).prop_map(Step::Cancel),
        1 => (1..5000_u64).prop_map(Step::Pass),
        1 => Just(Step::Tick),
    ]
}

/// What the caller of the gate knows of its tickets.
#[derive(Default)]
struct Model {
    running: BTreeMap<Ticket, u8>,
    waiting: BTreeSet<Ticket>,
    owner: BTreeMap<Ticket, u8>,
}

impl Model {
    fn take(&mut self, change: Progress) {
        for ticket in change.admitted {
            assert!(self.waiting.remove(&ticket), "admitted once, and only what waited");
            self.running.insert(ticket, self.owner[&ticket]);
        }
        for ticket in change.expired {
            assert!(self.waiting.remove(&ticket), "expired once, and only what waited");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_ticket_is_lost_and_no_limit_is_passed(steps in prop::collection::vec(step(), 1..120)) {
        let limits = Limits { concurrency: 3, queue: 4, tokens_per_minute: 12_000 };
        let settings = Settings { concurrency: 6, ..Settings::default() };
        let mut bench = Bench::new(settings, limits);
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Offer { customer, batch, tokens } => {
                    bench.tokens = tokens;
                    let class = if batch { Class::Batch } else { Class::Interactive };
                    match bench.offer(&customer.to_string(), class) {
                        Decision::Admit(ticket) => {
                            model.running.insert(ticket, customer);
                        }
                        Decision::Wait(ticket) => {
                            model.waiting.insert(ticket);
                            model.owner.insert(ticket, customer);
                        }
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Finish(number) => {
                    if let Some(ticket) = model.running.keys().nth(number).copied() {
                        model.running.remove(&ticket);
                        model.take(bench.gate.finish(bench.now, ticket, 10));
                    }
                }
                Step::Cancel(number) => {
                    if let Some(ticket) = model.waiting.iter().nth(number).copied() {
                        model.waiting.remove(&ticket);
                        model.take(bench.gate.cancel(bench.now, ticket));
                    }
                }
                Step::Pass(millis) => bench.now += Duration::from_millis(millis),
                Step::Tick => model.take(bench.gate.tick(bench.now)),
            }
            prop_assert!(model.running.len() <= 6);
            for customer in 0..4 {
                prop_assert!(model.running.values().filter(|owner| **owner == customer).count() <= 3);
            }
            prop_assert_eq!(bench.gate.running(), model.running.len());
            prop_assert_eq!(bench.gate.waiting(), model.waiting.len());
        }
        while let Some(ticket) = model.running.keys().next().copied() {
            model.running.remove(&ticket);
            bench.now += SECOND;
            model.take(bench.gate.finish(bench.now, ticket, 1));
            model.take(bench.gate.tick(bench.now));
        }
        bench.now += 120 * SECOND;
        model.take(bench.gate.tick(bench.now));
        prop_assert!(model.waiting.is_empty(), "everything that waited ran or expired");
    }
}
