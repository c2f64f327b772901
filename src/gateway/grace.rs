use std::{
    pin::pin,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};

use super::{
    outcome::{Reason, Refusal},
    server::Gateway,
};
use crate::{control::lock, id, route::Route, stop::Grace};

/// The `Retry-After` of a request that this VM refuses because it stops; other VMs serve it.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Number of routes whose answer times are kept.
const MAX_TIMED_ROUTES: usize = 4096;

impl Gateway {
    /// Begins to stop: every request of a caller must have ended within `length`, and every request of
    /// another VM at `handovers_end_at`.
    pub(super) fn begin_grace(&self, length: Duration, handovers_end_at: Instant) -> Grace {
        let grace = Grace::new(self.clock.now(), length);
        *lock(&self.grace) = Some(grace);
        *lock(&self.handovers_end_at) = Some(handovers_end_at);
        self.is_stopping.store(true, Ordering::Relaxed);
        drop(lock(&self.stop_sender).take());
        grace
    }

    /// Ends the requests of callers that are still in flight, each with an answer.
    pub(super) fn end_grace(&self) {
        drop(lock(&self.grace_sender).take());
    }

    /// Ends the streams of other VMs that these can resume elsewhere.
    pub(super) fn give_back_streams(&self) {
        drop(lock(&self.give_back_sender).take());
    }

    /// Waits until a stream that may last until `deadline` is given back to `vm`. It stays if it ends in
    /// time, if `vm` stops as well, or if this VM knows no other one of its region.
    pub(super) async fn wait_until_given_back(&self, vm: &id::Vm, deadline: Instant) {
        let _ = self.give_back_receiver.recv().await;
        let outlasts = lock(&self.handovers_end_at).is_some_and(|end| deadline > end);
        if !outlasts || !self.can_finish_elsewhere(vm) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether `vm` goes on running and may find another VM of this region.
    fn can_finish_elsewhere(&self, vm: &id::Vm) -> bool {
        let (own_vm, mirror) = (self.settings.vm(), self.mirror());
        let mut ready = mirror.vms().iter().filter(|it| it.ready && !it.callers_address.is_empty());
        let region = self.settings.region.as_str();
        ready.clone().any(|it| it.vm == vm.as_str())
            && ready.any(|it| it.vm != own_vm.as_str() && it.region == region)
    }

    /// Ends the requests of other VMs that are still in flight, each with an answer.
    pub(super) fn end_handover_grace(&self) {
        drop(lock(&self.handover_grace_sender).take());
    }

    /// Waits for `work` on a request; `None` if the grace of a stop ends first.
    pub(super) async fn until_grace_ends<T>(
        &self,
        handed_over: bool,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let receiver =
            if handed_over { &self.handover_grace_receiver } else { &self.grace_receiver };
        match select(pin!(work), pin!(receiver.recv())).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }

    /// The refusal of a request that is not sent because this VM stops and its answer, which may
    /// take `longest`, cannot be expected before the end.
    pub(super) fn stop_refusal(
        &self,
        route: &Route,
        longest: Duration,
        handed_over: bool,
    ) -> Option<Refusal> {
        let grace = (*lock(&self.grace))?;
        let now = self.clock.now();
        let is_admitted = if handed_over {
            // The other VM can send it elsewhere, so that nothing is left to what is usual.
            lock(&self.handovers_end_at).is_none_or(|end| now + longest <= end)
        } else {
            let recent = lock(&self.answer_times);
            let in_flight = lock(&self.in_flight_ages);
            grace.admits(recent.get(&route.name), &in_flight, &route.name, longest, now)
        };
        (!is_admitted).then(stopping_refusal)
    }

    /// Records how long a complete answer on this route took.
    pub(super) fn record_answer_time(&self, route: &Route, time: Duration, now: Instant) {
        let mut answer_times = lock(&self.answer_times);
        if let Some(times) = answer_times.get_mut(&route.name) {
            return times.record(time, now);
        }
        // Bounds the memory, as routes come and go.
        if answer_times.len() >= MAX_TIMED_ROUTES {
            answer_times.clear();
        }
        answer_times.entry(route.name.clone()).or_default().record(time, now);
    }
}

/// The refusal of a request because this VM stops.
pub(super) fn stopping_refusal() -> Refusal {
    let detail = "this VM stops and may end before an answer; use another one";
    Refusal::new(Reason::Stopping, detail, STOPPING_RETRY_AFTER)
}
