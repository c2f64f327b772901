use std::{sync::Arc, time::Instant};

use super::{Vm, routing_state::PlacementInput};
use crate::target::Announcement;

/// One attempt at a request on a target. Placement and the crash tracker count it as in flight
/// until it completes or is dropped.
#[derive(Debug)]
pub(super) struct TargetAttempt {
    pub(super) vm: Arc<Vm>,
    pub(super) target: Announcement,
    pub(super) placement_input: Arc<PlacementInput>,
    started_at: Instant,
    ended: bool,
}

impl TargetAttempt {
    /// Starts an attempt that [`RoutingState::record_sent`] has counted.
    ///
    /// [`RoutingState::record_sent`]: super::routing_state::RoutingState::record_sent
    pub(super) fn new(
        vm: &Arc<Vm>,
        target: Announcement,
        placement_input: &Arc<PlacementInput>,
        started_at: Instant,
    ) -> Self {
        Self {
            vm: Arc::clone(vm),
            target,
            placement_input: Arc::clone(placement_input),
            started_at,
            ended: false,
        }
    }

    /// Records that the target answered completely, with success or an error.
    pub(super) fn complete(mut self, is_success: bool) {
        if is_success {
            let (now, parts) = (self.vm.clock.now(), self.placement_input.shared_parts.iter());
            self.vm.routing().part_tracker.record_finished(now, parts.copied());
        }
        self.end(true);
    }

    fn end(&mut self, complete: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.vm.clock.now();
        let service_time = complete.then(|| now.saturating_duration_since(self.started_at));
        self.vm.routing().record_end(now, &self.target.target, &self.placement_input, service_time);
    }
}

impl Drop for TargetAttempt {
    fn drop(&mut self) {
        self.end(false);
    }
}
