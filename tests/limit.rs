//! The limiter: which requests it admits, in which order, and that it loses none and exceeds no
//! limit.

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

struct Fixture {
    limiter: Limiter,
    now: Instant,
    limits: Limits,
    tokens: u32,
    timeout: Duration,
}

impl Fixture {
    fn new(settings: Settings, limits: Limits) -> Self {
        let now = Instant::now();
        Self { limiter: Limiter::new(settings), now, limits, tokens: 1, timeout: 60 * SECOND }
    }

    fn offer(&mut self, customer: &str, class: Class) -> Decision {
        let customer = id::Customer::from(customer);
        let deadline = self.now + self.timeout;
        let Self { limits, tokens, .. } = *self;
        let request = Request { customer: &customer, class, limits, tokens, deadline };
        self.limiter.offer(self.now, request)
    }

    fn offer_waiting(&mut self, customer: &str, class: Class) -> Ticket {
        match self.offer(customer, class) {
            Decision::Wait(ticket) => ticket,
            other => panic!("the request should wait: {other:?}"),
        }
    }

    fn offer_admitted(&mut self, customer: &str, class: Class) -> Ticket {
        match self.offer(customer, class) {
            Decision::Admit(ticket) => ticket,
            other => panic!("the request should be admitted: {other:?}"),
        }
    }
}

fn one_at_a_time() -> Settings {
    Settings { concurrency: 1, ..Settings::default() }
}

#[test]
fn a_full_queue_refuses_with_retry_after() {
    let limits = Limits { concurrency: 1, queue: 1, ..Limits::default() };
    let mut fixture = Fixture::new(Settings::default(), limits);
    fixture.offer_admitted("a", Class::Interactive);
    fixture.offer_waiting("a", Class::Interactive);
    let Decision::Refuse(refusal) = fixture.offer("a", Class::Interactive) else {
        panic!("the request should be refused")
    };
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after.is_some());
    fixture.offer_waiting("a", Class::Batch);
}

#[test]
fn batch_is_admitted_under_constant_interactive_load() {
    let mut fixture = Fixture::new(one_at_a_time(), Limits::default());
    let mut running = fixture.offer_admitted("a", Class::Interactive);
    let batch = fixture.offer_waiting("b", Class::Batch);
    for step in 0..20 {
        fixture.offer_waiting("a", Class::Interactive);
        let progress = fixture.limiter.finish(fixture.now, running, 1);
        running = progress.admitted[0];
        if running == batch {
            assert!(step > 0, "an interactive request should go first");
            return;
        }
    }
    panic!("the batch request was never admitted");
}

#[test]
fn the_backlog_of_one_customer_does_not_delay_another() {
    let mut fixture = Fixture::new(one_at_a_time(), Limits::default());
    let mut running = fixture.offer_admitted("a", Class::Interactive);
    for _ in 0..50 {
        fixture.offer_waiting("a", Class::Interactive);
    }
    let other = fixture.offer_waiting("z", Class::Interactive);
    for step in 0..4 {
        running = fixture.limiter.finish(fixture.now, running, 1).admitted[0];
        if running == other {
            return;
        }
        assert!(step < 3, "the other customer should be served within four admissions");
    }
}

#[test]
fn batch_leaves_slots_of_the_same_customer_to_interactive_requests() {
    let limits = Limits { concurrency: 4, ..Limits::default() };
    let mut fixture = Fixture::new(Settings::default(), limits);
    for _ in 0..3 {
        fixture.offer_admitted("a", Class::Batch);
    }
    fixture.offer_waiting("a", Class::Batch);
    fixture.offer_admitted("a", Class::Interactive);
}

#[test]
fn cancelling_a_running_request_admits_the_next_one() {
    let mut fixture = Fixture::new(one_at_a_time(), Limits::default());
    let running = fixture.offer_admitted("a", Class::Interactive);
    let cancelled = fixture.offer_waiting("a", Class::Interactive);
    let next = fixture.offer_waiting("a", Class::Interactive);
    assert_eq!(fixture.limiter.cancel(fixture.now, cancelled).admitted, []);
    assert_eq!(fixture.limiter.cancel(fixture.now, running).admitted, [next]);
}

#[test]
fn an_expired_request_is_reported_and_not_admitted() {
    let mut fixture = Fixture::new(one_at_a_time(), Limits::default());
    let running = fixture.offer_admitted("a", Class::Interactive);
    fixture.timeout = SECOND;
    let expired = fixture.offer_waiting("a", Class::Interactive);
    let next_tick = fixture.limiter.tick(fixture.now).next_tick;
    assert_eq!(next_tick, Some(fixture.now + SECOND));
    fixture.now += SECOND;
    let progress = fixture.limiter.finish(fixture.now, running, 1);
    assert_eq!(progress.admitted, []);
    assert_eq!(fixture.limiter.tick(fixture.now).expired, [expired]);
    assert_eq!(fixture.limiter.waiting(), 0);
}

#[test]
fn tokens_are_limited_and_the_estimate_is_corrected() {
    let limits = Limits { tokens_per_minute: 600, ..Limits::default() };
    let mut fixture = Fixture::new(Settings::default(), limits);
    fixture.tokens = 100;
    let first = fixture.offer_admitted("a", Class::Interactive);
    let second = fixture.offer_waiting("a", Class::Interactive);
    let progress = fixture.limiter.finish(fixture.now, first, 0);
    assert_eq!(progress.admitted, [second], "unused tokens should be given back");
    fixture.limiter.finish(fixture.now, second, 150);
    let third = fixture.offer_waiting("a", Class::Interactive);
    let next_tick = fixture.limiter.tick(fixture.now).next_tick.expect("a request waits");
    assert_eq!(
        (next_tick - fixture.now).as_secs(),
        15,
        "tokens used beyond the estimate should delay the next request"
    );
    assert_eq!(fixture.limiter.tick(next_tick).admitted, [third]);
}

#[test]
fn each_vm_admits_its_share_of_the_regional_limit() {
    let limits = Limits { concurrency: 10, ..Limits::default() };
    let settings = Settings { vm_count: 3, ..Settings::default() };
    let mut fixture = Fixture::new(settings, limits);
    let admitted = (0..10)
        .filter(|_| matches!(fixture.offer("a", Class::Interactive), Decision::Admit(_)))
        .count();
    assert_eq!(admitted, 4, "a third of 10, rounded up");
    fixture.limiter.set_vm_count(fixture.now, 2);
    assert_eq!(fixture.limiter.tick(fixture.now).admitted.len(), 1);
}

#[test]
fn the_state_of_idle_customers_is_dropped() {
    let mut fixture = Fixture::new(Settings::default(), Limits::default());
    for number in 0..100 {
        let ticket = fixture.offer_admitted(&number.to_string(), Class::Interactive);
        fixture.limiter.finish(fixture.now, ticket, 1);
    }
    fixture.now += 60 * SECOND;
    fixture.limiter.tick(fixture.now);
    assert_eq!(fixture.limiter.customer_count(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { customer: u8, batch: bool, tokens: u32 },
    Finish(usize),
    Cancel(usize),
    AdvanceMs(u64),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, any::<bool>(), 1..2000_u32)
            .prop_map(|(customer, batch, tokens)| Step::Offer { customer, batch, tokens }),
        2 => (0..8_usize).prop_map(Step::Finish),
        1 => (0..16_usize).prop_map(Step::Cancel),
        1 => (1..5000_u64).prop_map(Step::AdvanceMs),
        1 => Just(Step::Tick),
    ]
}

/// The tickets as the limiter's caller knows them, to check its decisions against.
#[derive(Default)]
struct Model {
    running: BTreeMap<Ticket, u8>,
    waiting: BTreeSet<Ticket>,
    customers: BTreeMap<Ticket, u8>,
}

impl Model {
    fn apply(&mut self, progress: Progress) {
        for ticket in progress.admitted {
            assert!(self.waiting.remove(&ticket), "an admitted request must have been waiting");
            self.running.insert(ticket, self.customers[&ticket]);
        }
        for ticket in progress.expired {
            assert!(self.waiting.remove(&ticket), "an expired request must have been waiting");
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
    fn no_ticket_is_lost_and_no_limit_is_exceeded(steps in prop::collection::vec(step(), 1..120)) {
        let limits = Limits { concurrency: 3, queue: 4, tokens_per_minute: 12_000 };
        let settings = Settings { concurrency: 6, ..Settings::default() };
        let mut fixture = Fixture::new(settings, limits);
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Offer { customer, batch, tokens } => {
                    fixture.tokens = tokens;
                    let class = if batch { Class::Batch } else { Class::Interactive };
                    match fixture.offer(&customer.to_string(), class) {
                        Decision::Admit(ticket) => {
                            model.running.insert(ticket, customer);
                        }
                        Decision::Wait(ticket) => {
                            model.waiting.insert(ticket);
                            model.customers.insert(ticket, customer);
                        }
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Finish(number) => {
                    if let Some(ticket) = model.running.keys().nth(number).copied() {
                        model.running.remove(&ticket);
                        model.apply(fixture.limiter.finish(fixture.now, ticket, 10));
                    }
                }
                Step::Cancel(number) => {
                    if let Some(ticket) = model.waiting.iter().nth(number).copied() {
                        model.waiting.remove(&ticket);
                        model.apply(fixture.limiter.cancel(fixture.now, ticket));
                    }
                }
                Step::AdvanceMs(millis) => fixture.now += Duration::from_millis(millis),
                Step::Tick => model.apply(fixture.limiter.tick(fixture.now)),
            }
            prop_assert!(model.running.len() <= 6);
            for customer in 0..4 {
                prop_assert!(model.running.values().filter(|id| **id == customer).count() <= 3);
            }
            prop_assert_eq!(fixture.limiter.running(), model.running.len());
            prop_assert_eq!(fixture.limiter.waiting(), model.waiting.len());
        }
        while let Some(ticket) = model.running.keys().next().copied() {
            model.running.remove(&ticket);
            fixture.now += SECOND;
            model.apply(fixture.limiter.finish(fixture.now, ticket, 1));
            model.apply(fixture.limiter.tick(fixture.now));
        }
        fixture.now += 120 * SECOND;
        model.apply(fixture.limiter.tick(fixture.now));
        prop_assert!(model.waiting.is_empty(), "a request was neither admitted nor expired");
    }
}
