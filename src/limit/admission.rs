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

/// The shell of a [`Limiter`]: requests wait as futures, and permits give their places back.
#[derive(Debug)]
pub struct Admission {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    wake: Sender<()>,
}

#[derive(Debug)]
struct State {
    gate: Limiter,
    waiting: HashMap<Ticket, Sender<Result<(), Refusal>>>,
}

impl Admission {
    /// Creates the shell, and the future that lets requests that wait expire; it has to run as
    /// long as the shell is used.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send + use<>) {
        let (wake, woken) = smol::channel::bounded(1);
        let state = State { gate: Limiter::new(settings), waiting: HashMap::new() };
        let admission = Arc::new(Self { clock, state: Mutex::new(state), wake });
        (Arc::clone(&admission), admission.run(woken))
    }

    /// Takes the number of live VMs that share the customers' limits in this region.
    pub fn set_vms(&self, vms: u32) {
        self.state().gate.set_vms(self.clock.now(), vms);
    }

    /// Waits until the request may run. A caller that stops waiting gives its place up.
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
    /// Where the limits leave no room, or the deadline passed meanwhile; the request did not run.
    pub async fn admit(self: &Arc<Self>, request: Request<'_>) -> Result<Permit, Refusal> {
        let (sender, decided) = smol::channel::bounded(1);
        let ticket = {
            let mut state = self.state();
            match state.gate.offer(self.clock.now(), request) {
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Admit(ticket) => return Ok(Permit::new(ticket, Arc::clone(self))),
                Decision::Wait(ticket) => {
                    state.waiting.insert(ticket, sender);
                    ticket
                }
            }
        };
        let _ = self.wake.try_send(());
        let permit = Permit::new(ticket, Arc::clone(self));
        match decided.recv().await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Limiter::deadline_refusal()),
        }
    }

    /// Requests that run and requests that wait.
    pub fn load(&self) -> Load {
        let state = self.state();
        Load { running: state.gate.running(), waiting: state.gate.waiting() }
    }

    pub(super) fn finish(&self, ticket: Ticket, used: u32) {
        let mut state = self.state();
        let change = state.gate.finish(self.clock.now(), ticket, used);
        state.apply(change);
    }

    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut state = self.state();
        state.waiting.remove(&ticket);
        let change = state.gate.cancel(self.clock.now(), ticket);
        state.apply(change);
    }

    async fn run(self: Arc<Self>, woken: Receiver<()>) {
        loop {
            let wake = {
                let mut state = self.state();
                let change = state.gate.tick(self.clock.now());
                state.apply(change)
            };
            let timer = async {
                match wake {
                    Some(wake) => {
                        Timer::after(wake.saturating_duration_since(self.clock.now())).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let again = async { woken.recv().await.is_ok() };
            let timer = async {
                timer.await;
                true
            };
            if !smol::future::or(again, timer).await {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How busy a gate is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl State {
    fn apply(&mut self, change: Progress) -> Option<std::time::Instant> {
        for ticket in change.admitted {
            self.tell(ticket, Ok(()));
        }
        for ticket in change.expired {
            self.tell(ticket, Err(Limiter::deadline_refusal()));
        }
        change.next_tick
    }

    fn tell(&mut self, ticket: Ticket, decision: Result<(), Refusal>) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.try_send(decision);
        }
    }
}
