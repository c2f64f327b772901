use std::{sync::Arc, time::Instant};

use super::{Vm, routing::Route};
use crate::target::Announcement;

/// A request on its way to a target and back: counted in placement and in the ledger until it
/// ends or is given up.
#[derive(Debug)]
pub(super) struct Trip {
    pub(super) vm: Arc<Vm>,
    pub(super) target: Announcement,
    pub(super) route: Arc<Route>,
    start: Instant,
    ended: bool,
}

impl Trip {
    /// The trip of a request that was counted as started.
    pub(super) fn new(
        vm: &Arc<Vm>,
        target: Announcement,
        route: &Arc<Route>,
        start: Instant,
    ) -> Self {
        Self { vm: Arc::clone(vm), target, route: Arc::clone(route), start, ended: false }
    }

    /// The answer was whole.
    pub(super) fn finish(mut self) {
        self.end(true);
    }

    fn end(&mut self, whole: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.vm.clock.now();
        let held = whole.then(|| now.saturating_duration_since(self.start));
        self.vm.routing().ended(now, &self.target.target, &self.route, held);
    }
}

impl Drop for Trip {
    fn drop(&mut self) {
        self.end(false);
    }
}
