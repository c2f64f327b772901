use std::{collections::VecDeque, time::Instant};

use super::Ticket;

/// One request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) tokens: u32,
    pub(super) deadline: Instant,
}

/// The requests of one customer and one class that wait, first come first served.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiters: VecDeque<Waiter>,
    /// The customer's virtual time in the class: admissions so far, level with the other
    /// customers whenever the queue was empty.
    pub(super) served: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub(super) fn push(&mut self, waiter: Waiter) {
        self.waiters.push_back(waiter);
    }

    pub(super) fn first(&self) -> Option<&Waiter> {
        self.waiters.front()
    }

    pub(super) fn pop(&mut self) -> Option<Waiter> {
        self.served += 1;
        self.waiters.pop_front()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    pub(super) fn deadline(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// Removes the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let passed = self.waiters.iter().filter(|waiter| waiter.deadline <= now);
        let expired: Vec<Ticket> = passed.map(|waiter| waiter.ticket).collect();
        self.waiters.retain(|waiter| waiter.deadline > now);
        expired
    }
}
