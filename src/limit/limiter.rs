use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{
    Decision, Progress, Request, Settings, Ticket, customer_state::CustomerState,
    queue::WaitingRequest,
};
use crate::{
    id,
    outcome::{Reason, Refusal},
    path::Class,
};

const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Decides on one VM which requests run, wait or are refused.
///
/// The customers of a class share its capacity by fair queueing: each admission advances the customer's virtual
/// time, and the ready customer with the lowest virtual time goes first.
#[derive(Clone, Debug)]
pub struct Limiter {
    settings: Settings,
    customers: BTreeMap<id::Customer, CustomerState>,
    tickets: HashMap<Ticket, TicketState>,
    running: u32,
    next_ticket: u64,
    interactive_in_a_row: u32,
    /// The virtual time of the class: the highest virtual time at which a customer was served.
    interactive_virtual_time: u64,
    batch_virtual_time: u64,
}

#[derive(Clone, Debug)]
struct TicketState {
    customer: id::Customer,
    class: Class,
    /// The tokens taken from the customer's bucket, or `None` while the request waits.
    taken_tokens: Option<u32>,
}

impl Limiter {
    /// Creates a limiter without any requests.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            customers: BTreeMap::new(),
            tickets: HashMap::new(),
            running: 0,
            next_ticket: 0,
            interactive_in_a_row: 0,
            interactive_virtual_time: 0,
            batch_virtual_time: 0,
        }
    }

    /// Sets the number of live VMs of this region, which share the customers' limits.
    pub fn set_vm_count(&mut self, now: Instant, vm_count: u32) {
        self.settings.vm_count = vm_count.max(1);
        for customer in self.customers.values_mut() {
            customer.set_limits(customer.limits(), &self.settings, now);
        }
    }

    /// Decides on a new request.
    ///
    /// This admits no waiting request. If the new request waits,
    /// [`next_tick`](Self::next_tick) says when to call [`tick`](Self::tick).
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::{limit::{Decision, Limiter, Request, Settings}, list::Limits, path::Class};
    ///
    /// let now = Instant::now();
    /// let mut limiter = Limiter::new(Settings::default());
    /// let request = Request {
    ///     customer: &"crew-leads".into(),
    ///     class: Class::Interactive,
    ///     limits: Limits::default(),
    ///     tokens: 500,
    ///     deadline: now + Duration::from_secs(30),
    /// };
    /// let Decision::Admit(ticket) = limiter.offer(now, request) else { panic!("not admitted") };
    /// limiter.finish(now, ticket, 420);
    /// ```
    pub fn offer(&mut self, now: Instant, request: Request<'_>) -> Decision {
        if request.deadline <= now {
            return Decision::Refuse(deadline_passed());
        }
        let settings = self.settings;
        let class_virtual_time = self.virtual_time(request.class);
        let new_customer = || CustomerState::new(request.limits, &settings, now);
        let customer = self.customers.entry(request.customer.clone()).or_insert_with(new_customer);
        if customer.limits() != request.limits {
            customer.set_limits(request.limits, &settings, now);
        }
        if !customer.permits_requests() {
            return Decision::Refuse(not_permitted());
        }
        let waiting = customer.queue(request.class).len();
        let token_delay = customer.token_delay(request.tokens, now);
        let may_wait = waiting < customer.max_waiting(settings.vm_count);
        let may_start = self.may_start(&request, now);
        if !may_wait && !may_start {
            return Decision::Refuse(queue_full(
                request.class,
                token_delay.max(settings.retry_after),
            ));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let Request { class, tokens, deadline, .. } = request;
        let state = TicketState { customer: request.customer.clone(), class, taken_tokens: None };
        self.tickets.insert(ticket, state);
        if let Some(customer) = self.customers.get_mut(request.customer) {
            let queue = customer.queue_mut(class);
            if queue.is_empty() {
                queue.virtual_time = queue.virtual_time.max(class_virtual_time);
            }
            queue.push(WaitingRequest { ticket, tokens, deadline });
        }
        if may_start {
            self.admit(now);
            return Decision::Admit(ticket);
        }
        Decision::Wait(ticket)
    }

    /// Ends an admitted request that used `used_tokens`.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, used_tokens: u32) -> Progress {
        self.release(now, ticket, Some(used_tokens));
        self.advance(now, Vec::new())
    }

    /// Ends an admitted or waiting request whose caller has gone; its estimated tokens stay taken
    /// if it was admitted.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Progress {
        self.release(now, ticket, None);
        self.advance(now, Vec::new())
    }

    /// Expires and admits waiting requests, and drops the state of idle customers.
    pub fn tick(&mut self, now: Instant) -> Progress {
        let mut expired = Vec::new();
        for customer in self.customers.values_mut() {
            for class in [Class::Interactive, Class::Batch] {
                expired.append(&mut customer.queue_mut(class).remove_expired(now));
            }
        }
        for ticket in &expired {
            self.tickets.remove(ticket);
        }
        let progress = self.advance(now, expired);
        self.customers.retain(|_, customer| !customer.is_idle(now));
        progress
    }

    /// The refusal of a request whose deadline passed in the queue.
    pub fn deadline_refusal() -> Refusal {
        deadline_passed()
    }

    /// The number of admitted requests.
    pub fn running(&self) -> usize {
        usize::try_from(self.running).unwrap_or(usize::MAX)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.tickets.len().saturating_sub(self.running())
    }

    /// The number of customers whose state is kept.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Whether the request may run now without overtaking a waiting request that could also run.
    fn may_start(&mut self, request: &Request<'_>, now: Instant) -> bool {
        if self.running >= self.settings.concurrency || self.next_to_admit(now).is_some() {
            return false;
        }
        self.customers.get_mut(request.customer).is_some_and(|customer| {
            customer.queue(request.class).is_empty()
                && customer.has_free_slot(request.class)
                && customer.token_delay(request.tokens, now).is_zero()
        })
    }

    fn release(&mut self, now: Instant, ticket: Ticket, used_tokens: Option<u32>) {
        let Some(state) = self.tickets.remove(&ticket) else { return };
        let Some(customer) = self.customers.get_mut(&state.customer) else { return };
        match state.taken_tokens {
            None => customer.queue_mut(state.class).remove(ticket),
            Some(taken) => {
                customer.record_stopped(state.class);
                customer.token_bucket.correct_estimate(taken, used_tokens.unwrap_or(taken), now);
                self.running = self.running.saturating_sub(1);
            }
        }
    }

    fn advance(&mut self, now: Instant, expired: Vec<Ticket>) -> Progress {
        let admitted = self.admit(now);
        Progress { admitted, expired, next_tick: self.next_tick(now) }
    }

    /// Admits waiting requests until none of them may run.
    fn admit(&mut self, now: Instant) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.running < self.settings.concurrency {
            let Some((customer, class)) = self.next_to_admit(now) else { break };
            let Some(customer) = self.customers.get_mut(&customer) else { break };
            let queue = customer.queue_mut(class);
            let virtual_time = queue.virtual_time;
            let Some(request) = queue.pop() else { break };
            customer.record_started(class, request.tokens, now);
            self.running += 1;
            self.record_admission(class, virtual_time);
            if let Some(state) = self.tickets.get_mut(&request.ticket) {
                state.taken_tokens = Some(request.tokens);
            }
            admitted.push(request.ticket);
        }
        admitted
    }

    /// The customer and class whose first waiting request is admitted next.
    fn next_to_admit(&mut self, now: Instant) -> Option<(id::Customer, Class)> {
        let batch_first = self.interactive_in_a_row >= self.settings.interactive_weight;
        let order = if batch_first {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        order.into_iter().find_map(|class| Some((self.least_served_customer(class, now)?, class)))
    }

    /// The customer with the lowest virtual time among those whose first waiting request may run.
    fn least_served_customer(&mut self, class: Class, now: Instant) -> Option<id::Customer> {
        let ready = self.customers.iter_mut().filter_map(|(id, customer)| {
            let request = *customer.queue(class).first()?;
            let ready = request.deadline > now
                && customer.has_free_slot(class)
                && customer.token_delay(request.tokens, now).is_zero();
            ready.then(|| (customer.queue(class).virtual_time, id))
        });
        ready.min().map(|(_, id)| id.clone())
    }

    fn record_admission(&mut self, class: Class, virtual_time: u64) {
        match class {
            Class::Interactive => {
                self.interactive_virtual_time = self.interactive_virtual_time.max(virtual_time);
                self.interactive_in_a_row = self.interactive_in_a_row.saturating_add(1);
            }
            Class::Batch => {
                self.batch_virtual_time = self.batch_virtual_time.max(virtual_time);
                self.interactive_in_a_row = 0;
            }
        }
    }

    fn virtual_time(&self, class: Class) -> u64 {
        match class {
            Class::Interactive => self.interactive_virtual_time,
            Class::Batch => self.batch_virtual_time,
        }
    }

    /// The latest time for the next call to [`tick`](Self::tick); `None` if no request waits.
    pub fn next_tick(&mut self, now: Instant) -> Option<Instant> {
        if self.running < self.settings.concurrency && self.next_to_admit(now).is_some() {
            return Some(now);
        }
        let mut next_tick: Option<Instant> = None;
        for customer in self.customers.values_mut() {
            for class in [Class::Interactive, Class::Batch] {
                let Some(first) = customer.queue(class).first().copied() else { continue };
                let deadline = customer.queue(class).earliest_deadline();
                let token_delay = customer.token_delay(first.tokens, now);
                let refilled_at = now.checked_add(token_delay).filter(|_| !token_delay.is_zero());
                next_tick = [next_tick, deadline, refilled_at].into_iter().flatten().min();
            }
        }
        next_tick
    }
}

fn deadline_passed() -> Refusal {
    Refusal::new(
        Reason::DeadlinePassed,
        "the deadline passed while the request waited for a place",
        "try again with a later deadline",
    )
}

fn not_permitted() -> Refusal {
    Refusal::new(
        Reason::NotAllowed,
        "the plan's limits permit no requests",
        "ask the operator to raise `concurrency` and `tokens_per_minute` of the allowance",
    )
}

fn queue_full(class: Class, retry_after: Duration) -> Refusal {
    Refusal::new(
        Reason::Overloaded,
        format!("as many {class} requests of the customer wait as its plan permits"),
        "wait as long as `Retry-After` says, then send it again",
    )
    .retry_after(retry_after.min(MAX_RETRY_AFTER))
}
