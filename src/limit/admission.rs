use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use smol::{
    Timer,
    channel::{Receiver, Sender},
};

use super::{Decision, Limiter, Permit, Progress, Request, Settings, Ticket};
use crate::{clock::Clock, outcome::Refusal};

/// The asynchronous interface of a [`Limiter`]: a waiting request is a future that returns a
/// [`Permit`].
#[derive(Debug)]
pub struct Admission {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    request_queued: Sender<()>,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    waiting: HashMap<Ticket, Sender<Result<(), Refusal>>>,
}

impl Admission {
    /// Creates the admission and the future that expires and admits waiting requests in time; the
    /// caller must run that future for as long as the admission is in use.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send + use<>) {
        let (request_queued, queued_requests) = smol::channel::bounded(1);
        let state = State { limiter: Limiter::new(settings), waiting: HashMap::new() };
        let admission = Arc::new(Self { clock, state: Mutex::new(state), request_queued });
        (Arc::clone(&admission), admission.run(queued_requests))
    }

    /// Sets the number of live VMs of this region, which share the customers' limits.
    pub fn set_vm_count(&self, vm_count: u32) {
        self.state().limiter.set_vm_count(self.clock.now(), vm_count);
    }

    /// Waits until the request may run. Dropping the future cancels the request.
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use pomelogate::{clock::{Clock, System}, limit, list::Limits, path::Class};
    ///
    /// let (admission, _run) = limit::Admission::new(limit::Settings::default(), Arc::new(System));
    /// let request = limit::Request {
    ///     customer: &"crew-leads".into(),
    ///     class: Class::Interactive,
    ///     limits: Limits::default(),
    ///     tokens: 500,
    ///     deadline: System.now() + Duration::from_secs(30),
    /// };
    /// let permit = smol::block_on(admission.admit(request)).unwrap();
    /// permit.finish(420);
    /// ```
    ///
    /// # Errors
    ///
    /// If the limits permit no requests, the queue is full, or the request's deadline passes
    /// before it may run. In each case the request must not run.
    pub async fn admit(self: &Arc<Self>, request: Request<'_>) -> Result<Permit, Refusal> {
        let (sender, decision) = smol::channel::bounded(1);
        let ticket = {
            let mut state = self.state();
            match state.limiter.offer(self.clock.now(), request) {
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Admit(ticket) => return Ok(Permit::new(ticket, Arc::clone(self))),
                Decision::Wait(ticket) => {
                    state.waiting.insert(ticket, sender);
                    ticket
                }
            }
        };
        let _ = self.request_queued.try_send(());
        let permit = Permit::new(ticket, Arc::clone(self));
        match decision.recv().await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Limiter::deadline_refusal()),
        }
    }

    /// The numbers of running and waiting requests.
    pub fn load(&self) -> Load {
        let state = self.state();
        Load { running: state.limiter.running(), waiting: state.limiter.waiting() }
    }

    pub(super) fn finish(&self, ticket: Ticket, used_tokens: u32) {
        let mut state = self.state();
        let progress = state.limiter.finish(self.clock.now(), ticket, used_tokens);
        state.apply(progress);
    }

    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut state = self.state();
        state.waiting.remove(&ticket);
        let progress = state.limiter.cancel(self.clock.now(), ticket);
        state.apply(progress);
    }

    async fn run(self: Arc<Self>, queued_requests: Receiver<()>) {
        loop {
            let next_tick = {
                let mut state = self.state();
                let progress = state.limiter.tick(self.clock.now());
                state.apply(progress)
            };
            let timer = async {
                match next_tick {
                    Some(next_tick) => {
                        Timer::after(next_tick.saturating_duration_since(self.clock.now())).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let queued = async { queued_requests.recv().await.is_ok() };
            let timer = async {
                timer.await;
                true
            };
            if !smol::future::or(queued, timer).await {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The number of requests in a limiter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of running requests.
    pub running: usize,
    /// The number of waiting requests.
    pub waiting: usize,
}

impl State {
    /// Wakes the futures of admitted and expired requests; returns the time of the next tick.
    fn apply(&mut self, progress: Progress) -> Option<std::time::Instant> {
        for ticket in progress.admitted {
            self.send_decision(ticket, Ok(()));
        }
        for ticket in progress.expired {
            self.send_decision(ticket, Err(Limiter::deadline_refusal()));
        }
        progress.next_tick
    }

    fn send_decision(&mut self, ticket: Ticket, decision: Result<(), Refusal>) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.try_send(decision);
        }
    }
}
