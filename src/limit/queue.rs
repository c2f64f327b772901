use std::{collections::VecDeque, time::Instant};

use super::Ticket;

#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    pub(super) tokens: u32,
    pub(super) deadline: Instant,
}

/// The waiting requests of one customer and one class, in the order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    requests: VecDeque<WaitingRequest>,
    /// The customer's virtual time in the class: the number of its admissions, raised to the
    /// class's virtual time whenever a request joins the empty queue.
    pub(super) virtual_time: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.requests.push_back(request);
    }

    pub(super) fn first(&self) -> Option<&WaitingRequest> {
        self.requests.front()
    }

    /// Removes the first request, which is admitted.
    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        self.virtual_time += 1;
        self.requests.pop_front()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.requests.retain(|request| request.ticket != ticket);
    }

    pub(super) fn earliest_deadline(&self) -> Option<Instant> {
        self.requests.iter().map(|request| request.deadline).min()
    }

    /// Removes the requests whose deadline has passed and returns their tickets.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<Ticket> {
        let passed = self.requests.iter().filter(|request| request.deadline <= now);
        let expired: Vec<Ticket> = passed.map(|request| request.ticket).collect();
        self.requests.retain(|request| request.deadline > now);
        expired
    }
}
