use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{Decision, Progress, Request, Settings, Ticket, account::Account, queue::Waiter};
use crate::{
    id,
    outcome::{Reason, Refusal},
    path::Class,
};

const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Decides which requests run, wait or are refused on one VM.
#[derive(Clone, Debug)]
pub struct Limiter {
    settings: Settings,
    accounts: BTreeMap<id::Customer, Account>,
    places: HashMap<Ticket, Place>,
    running: u32,
    next: u64,
    interactive_in_a_row: u32,
    /// The virtual time of each class: that of the customer served last.
    interactive_time: u64,
    batch_time: u64,
}

/// Whose a ticket is, and how many tokens its running request has taken.
#[derive(Clone, Debug)]
struct Place {
    customer: id::Customer,
    class: Class,
    taken: Option<u32>,
}

impl Limiter {
    /// Creates a gate that nothing has passed.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
            places: HashMap::new(),
            running: 0,
            next: 0,
            interactive_in_a_row: 0,
            interactive_time: 0,
            batch_time: 0,
        }
    }

    /// Takes the number of live VMs that share the customers' limits in this region.
    pub fn set_vms(&mut self, now: Instant, vms: u32) {
        self.settings.vms = vms.max(1);
        for account in self.accounts.values_mut() {
            account.set_limits(account.limits(), &self.settings, now);
        }
    }

    /// Offers a request.
    ///
    /// The step admits no other request; where one waits, [`next_tick`](Self::next_tick) says when to call
    /// [`tick`](Self::tick).
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::{limit::{Decision, Limiter, Request, Settings}, list::Limits, path::Class};
    ///
    /// let now = Instant::now();
    /// let mut gate = Limiter::new(Settings::default());
    /// let request = Request {
    ///     customer: &"crew-leads".into(),
    ///     class: Class::Interactive,
    ///     limits: Limits::default(),
    ///     tokens: 500,
    ///     deadline: now + Duration::from_secs(30),
    /// };
    /// let Decision::Admit(ticket) = gate.offer(now, request) else { panic!("the gate is empty") };
    /// gate.finish(now, ticket, 420);
    /// ```
    pub fn offer(&mut self, now: Instant, request: Request<'_>) -> Decision {
        if request.deadline <= now {
            return Decision::Refuse(late());
        }
        let settings = self.settings;
        let class_time = self.class_time(request.class);
        let fresh = || Account::new(request.limits, &settings, now);
        let account = self.accounts.entry(request.customer.clone()).or_insert_with(fresh);
        if account.limits() != request.limits {
            account.set_limits(request.limits, &settings, now);
        }
        if !account.is_open() {
            return Decision::Refuse(closed());
        }
        let waiting = account.queue(request.class).len();
        let delay = account.token_delay(request.tokens, now);
        let room = waiting < account.queue_limit(settings.vms);
        let start = self.may_start(&request, now);
        if !room && !start {
            return Decision::Refuse(full(request.class, delay.max(settings.retry_after)));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let Request { class, tokens, deadline, .. } = request;
        let place = Place { customer: request.customer.clone(), class, taken: None };
        self.places.insert(ticket, place);
        if let Some(account) = self.accounts.get_mut(request.customer) {
            let queue = account.queue_mut(class);
            if queue.is_empty() {
                queue.served = queue.served.max(class_time);
            }
            queue.push(Waiter { ticket, tokens, deadline });
        }
        if start {
            self.admit(now);
            return Decision::Admit(ticket);
        }
        Decision::Wait(ticket)
    }

    /// Ends a request that ran; `used` are the tokens that it really took.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, used: u32) -> Progress {
        self.release(now, ticket, Some(used));
        self.advance(now, Vec::new())
    }

    /// Ends a request whose caller has gone, whether it ran or waited.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Progress {
        self.release(now, ticket, None);
        self.advance(now, Vec::new())
    }

    /// Lets time pass: expires and admits requests that wait.
    pub fn tick(&mut self, now: Instant) -> Progress {
        let mut expired = Vec::new();
        for account in self.accounts.values_mut() {
            for class in [Class::Interactive, Class::Batch] {
                expired.append(&mut account.queue_mut(class).expire(now));
            }
        }
        for ticket in &expired {
            self.places.remove(ticket);
        }
        let change = self.advance(now, expired);
        self.accounts.retain(|_, account| !account.is_idle(now));
        change
    }

    /// The refusal of a request that expired while it waited.
    pub fn deadline_refusal() -> Refusal {
        late()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        usize::try_from(self.running).unwrap_or(usize::MAX)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.places.len().saturating_sub(self.running())
    }

    /// Customers that the gate holds state of.
    pub fn customer_count(&self) -> usize {
        self.accounts.len()
    }

    /// Whether the request may run now without overtaking one that waits and could run.
    fn may_start(&mut self, request: &Request<'_>, now: Instant) -> bool {
        if self.running >= self.settings.concurrency || self.pick(now).is_some() {
            return false;
        }
        self.accounts.get_mut(request.customer).is_some_and(|account| {
            account.queue(request.class).is_empty()
                && account.has_place(request.class)
                && account.token_delay(request.tokens, now).is_zero()
        })
    }

    fn release(&mut self, now: Instant, ticket: Ticket, used: Option<u32>) {
        let Some(place) = self.places.remove(&ticket) else { return };
        let Some(account) = self.accounts.get_mut(&place.customer) else { return };
        match place.taken {
            None => account.queue_mut(place.class).remove(ticket),
            Some(taken) => {
                account.stop(place.class);
                account.bucket.correct(taken, used.unwrap_or(taken), now);
                self.running = self.running.saturating_sub(1);
            }
        }
    }

    fn advance(&mut self, now: Instant, expired: Vec<Ticket>) -> Progress {
        let admitted = self.admit(now);
        Progress { admitted, expired, next_tick: self.next_tick(now) }
    }

    fn admit(&mut self, now: Instant) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.running < self.settings.concurrency {
            let Some((customer, class)) = self.pick(now) else { break };
            let Some(account) = self.accounts.get_mut(&customer) else { break };
            let queue = account.queue_mut(class);
            let served = queue.served;
            let Some(waiter) = queue.pop() else { break };
            account.start(class, waiter.tokens, now);
            self.running += 1;
            self.count(class, served);
            if let Some(place) = self.places.get_mut(&waiter.ticket) {
                place.taken = Some(waiter.tokens);
            }
            admitted.push(waiter.ticket);
        }
        admitted
    }

    /// The customer and class whose first waiter runs next.
    fn pick(&mut self, now: Instant) -> Option<(id::Customer, Class)> {
        let batch_first = self.interactive_in_a_row >= self.settings.interactive_weight;
        let order = if batch_first {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        order.into_iter().find_map(|class| Some((self.least_served(class, now)?, class)))
    }

    fn least_served(&mut self, class: Class, now: Instant) -> Option<id::Customer> {
        let ready = self.accounts.iter_mut().filter_map(|(customer, account)| {
            let waiter = *account.queue(class).first()?;
            let ready = waiter.deadline > now
                && account.has_place(class)
                && account.token_delay(waiter.tokens, now).is_zero();
            ready.then(|| (account.queue(class).served, customer))
        });
        ready.min().map(|(_, customer)| customer.clone())
    }

    fn count(&mut self, class: Class, served: u64) {
        match class {
            Class::Interactive => {
                self.interactive_time = self.interactive_time.max(served);
                self.interactive_in_a_row = self.interactive_in_a_row.saturating_add(1);
            }
            Class::Batch => {
                self.batch_time = self.batch_time.max(served);
                self.interactive_in_a_row = 0;
            }
        }
    }

    fn class_time(&self, class: Class) -> u64 {
        match class {
            Class::Interactive => self.interactive_time,
            Class::Batch => self.batch_time,
        }
    }

    /// When to call [`tick`](Self::tick) at the latest; none where nothing waits.
    pub fn next_tick(&mut self, now: Instant) -> Option<Instant> {
        if self.running < self.settings.concurrency && self.pick(now).is_some() {
            return Some(now);
        }
        let mut wake: Option<Instant> = None;
        for account in self.accounts.values_mut() {
            for class in [Class::Interactive, Class::Batch] {
                let Some(first) = account.queue(class).first().copied() else { continue };
                let deadline = account.queue(class).deadline();
                let delay = account.token_delay(first.tokens, now);
                let refilled = now.checked_add(delay).filter(|_| !delay.is_zero());
                wake = [wake, deadline, refilled].into_iter().flatten().min();
            }
        }
        wake
    }
}

fn late() -> Refusal {
    Refusal::new(
        Reason::DeadlinePassed,
        "the deadline passed while the request waited for a place",
        "try again with a later deadline",
    )
}

fn closed() -> Refusal {
    Refusal::new(
        Reason::NotAllowed,
        "the plan's limits permit no requests",
        "ask the operator to raise `concurrency` and `tokens_per_minute` of the allowance",
    )
}

fn full(class: Class, delay: Duration) -> Refusal {
    Refusal::new(
        Reason::Overloaded,
        format!("as many {class} requests of the customer wait as its plan permits"),
        "wait as long as `Retry-After` says, then send it again",
    )
    .retry_after(delay.min(LONGEST_RETRY_AFTER))
}
