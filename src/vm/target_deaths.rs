//! Detects targets that died with requests in flight, and shares crash records with the other VMs
//! of the region.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::body::Bytes;
use prost::Message;
use smol::Timer;

use super::{Vm, target_attempt::TargetAttempt};
use crate::{
    crash::{RecordSet, Verdict},
    event, http,
    throttle::Peers,
    wire::Topic,
};

/// If a new incarnation of the target appears within this time after an exchange broke off, the
/// target is taken to have died during the exchange.
const RESTART_WINDOW: Duration = Duration::from_secs(5);
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a VM waits for the others to receive crash records. The next attempt at the request
/// waits for this.
const RECORDS_CALL_TIMEOUT: Duration = Duration::from_millis(500);
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between two repetitions of the crash records.
const RECORDS_INTERVAL_TICKS: u64 = 10;
const MAX_RECORDS_PER_CALL: usize = 64;

impl Vm {
    /// Finds out whether the target of a failed attempt died.
    ///
    /// If the target refuses connections, its death is recorded before this returns, even if nobody
    /// waits for it. Otherwise this returns, and a task watches for a restart of the target.
    pub(super) async fn check_for_target_death(self: &Arc<Self>, attempt: TargetAttempt) {
        let (sender, done) = smol::channel::bounded::<()>(1);
        let vm = Arc::clone(self);
        smol::spawn(async move {
            if http::refuses_connections(attempt.target.address).await {
                vm.record_target_death(&attempt).await;
            } else {
                drop(sender);
                vm.watch_for_restart(&attempt).await;
            }
        })
        .detach();
        let _ = done.recv().await;
    }

    /// Records the death of a target that restarts soon: a target that accepts connections may
    /// already have died and restarted.
    async fn watch_for_restart(self: &Arc<Self>, attempt: &TargetAttempt) {
        let watch_until = self.clock.now() + RESTART_WINDOW;
        while self.clock.now() < watch_until {
            let incarnation = self
                .targets()
                .report(&attempt.target.target)
                .map(|report| report.announcement.incarnation);
            if incarnation.is_some_and(|incarnation| incarnation > attempt.target.incarnation) {
                return self.record_target_death(attempt).await;
            }
            Timer::after(RESTART_POLL_INTERVAL).await;
        }
    }

    /// Records the death of a target, unless the target announced that it leaves or a planned stop
    /// covers it. Sends the crash records to the other VMs of the region before this returns.
    async fn record_target_death(self: &Arc<Self>, attempt: &TargetAttempt) {
        let target = &attempt.target;
        let now = self.clock.now();
        let leaving = self.targets().report(&target.target).is_some_and(|report| report.leaving);
        if leaving
            || self.planned_stops().covers_target(&target.target, &target.zone, &target.region)
        {
            return;
        }
        let retention = self.settings.crashes.death_retention;
        let verdicts =
            self.routing().record_target_death(now, &target.target, target.incarnation, retention);
        for (digest, verdict) in &verdicts {
            let event = match verdict {
                Verdict::Allow => continue,
                Verdict::Isolate => &event::placement::SUSPECT,
                Verdict::Refuse(_) => &event::placement::CRASHING,
            };
            event.emit(&self.logger, &[("target", &target.target), ("digest", digest)]);
        }
        if !verdicts.is_empty() {
            self.send_crash_records().await;
        }
    }

    async fn send_crash_records(&self) {
        let now = self.clock.now();
        let record_set = {
            let routing = self.routing();
            let parts = Some(routing.part_tracker.export(now, &[]));
            RecordSet { parts, ..routing.crash_tracker.export_newest(now, MAX_RECORDS_PER_CALL) }
        };
        // A death with parts in flight is one with requests in flight.
        if record_set.records.is_empty() {
            return;
        }
        let payload = Bytes::from(record_set.encode_to_vec());
        let peers = self.members().region_peers(now);
        let send =
            |links| self.hub.call(links, Topic::Crashes, payload.clone(), RECORDS_CALL_TIMEOUT);
        let mut calls: FuturesUnordered<_> = peers.iter().map(|peer| send(peer.links)).collect();
        while calls.next().await.is_some() {}
    }

    /// Merges the crash records that another VM of the region sent; returns an empty reply.
    pub(super) fn merge_crash_records(&self, payload: Bytes) -> Bytes {
        if let Ok(record_set) = RecordSet::decode(payload) {
            let now = self.clock.now();
            let mut routing = self.routing();
            routing.crash_tracker.merge(now, &record_set);
            if let Some(parts) = &record_set.parts {
                routing.part_tracker.merge(now, parts);
            }
        }
        Bytes::new()
    }

    /// Tells placement and the limiter the VMs of the region, and repeats the crash records, as
    /// earlier calls with them may have been lost.
    pub(super) async fn maintain_routing(self: Arc<Self>) {
        for tick in 1_u64.. {
            let now = self.clock.now();
            let others = self.members().region_peers(now);
            let names = others.iter().map(|peer| peer.vm.as_str());
            let peers = Peers::new(self.settings.vm.as_str(), names);
            self.admission.set_vm_count(peers.vm_count());
            self.routing().tick(now, peers);
            if tick.is_multiple_of(RECORDS_INTERVAL_TICKS) {
                self.send_crash_records().await;
            }
            Timer::after(TICK_INTERVAL).await;
        }
    }
}
