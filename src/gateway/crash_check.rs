use std::{sync::Arc, time::Duration};

use smol::Timer;

use super::server::Gateway;
use crate::{control::lock, event, http, id, registry::Target};

/// The delay before a target is checked, in which the other exchanges of a dead target break off.
const CHECK_DELAY: Duration = Duration::from_millis(50);

impl Gateway {
    /// Finds out whether a target died that an exchange broke off at: one that refuses connections
    /// has. Its heartbeats would tell only seconds later.
    pub(super) fn check_for_crash(self: &Arc<Self>, target: &Target) {
        let key = (target.target.clone(), target.incarnation);
        if !lock(&self.crash_checks).insert(key.clone()) {
            return;
        }
        let (gateway, address) = (Arc::clone(self), target.address);
        let checked_target = target.clone();
        smol::spawn(async move {
            Timer::after(CHECK_DELAY).await;
            let refuses_connections = http::refuses_connections(address).await;
            lock(&gateway.crash_checks).remove(&key);
            let (target, incarnation) = key;
            if refuses_connections {
                let now = gateway.clock.now();
                gateway.balancer().record_refused_connection(&checked_target, now);
            }
            // A target that announced its departure ends as planned.
            if refuses_connections && gateway.mirror().is_ready(&target, incarnation) {
                gateway.record_crash(&target, incarnation);
            }
        })
        .detach();
    }

    /// Records that an incarnation of a target ended without having announced its departure.
    pub(super) fn record_crash(&self, target: &id::Target, incarnation: u64) {
        let now = self.clock.now();
        let suspect_count = self.crash_suspects().record_incarnation_end(target, incarnation, now);
        if suspect_count > 0 {
            event::placement::SUSPECT
                .emit(&self.logger, &[("target", target), ("requests", &suspect_count)]);
            self.crash_records_changed.notify();
        }
    }
}
