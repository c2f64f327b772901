//! Targets that die with requests in flight, and what the VMs of a region tell each other of it.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::body::Bytes;
use prost::Message;
use smol::{Timer, net::TcpStream};

use super::{Vm, trip::Trip};
use crate::{
    clock::within,
    crash::{RecordSet, Verdict},
    event,
    wire::Topic,
};

/// How long a target may take to accept the connection that shows that it lives.
const PROBE: Duration = Duration::from_secs(1);
/// How long after a cut a new incarnation of the target counts as its cause.
const RESTART: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(100);
/// How long a VM waits for others to take a notice before the request moves on.
const NOTICE: Duration = Duration::from_millis(500);
/// Time between two counts of the region's VMs, and between two rounds of notices.
const TICK: Duration = Duration::from_secs(1);
const NOTICE_TICKS: u64 = 10;
/// Records in one round of notices.
const NOTICE_RECORDS: usize = 64;

impl Vm {
    /// Finds out whether the target of a trip that broke off died, and counts that before this
    /// returns. The work goes on when nobody waits for it.
    pub(super) async fn inspect(self: &Arc<Self>, trip: Trip) {
        let (sender, done) = smol::channel::bounded::<()>(1);
        let vm = Arc::clone(self);
        smol::spawn(async move {
            if vm.refuses_connections(&trip).await {
                vm.note_death(&trip).await;
            } else {
                drop(sender);
                vm.watch(&trip).await;
            }
        })
        .detach();
        let _ = done.recv().await;
    }

    async fn refuses_connections(&self, trip: &Trip) -> bool {
        let refused = within(PROBE, TcpStream::connect(trip.target.address)).await;
        matches!(refused, Some(Err(cause)) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// A target that takes connections again may have died and come back.
    async fn watch(self: &Arc<Self>, trip: &Trip) {
        let end = self.clock.now() + RESTART;
        while self.clock.now() < end {
            let incarnation = self
                .targets()
                .report(&trip.target.target)
                .map(|report| report.announcement.incarnation);
            if incarnation.is_some_and(|incarnation| incarnation > trip.target.incarnation) {
                return self.note_death(trip).await;
            }
            Timer::after(POLL).await;
        }
    }

    /// Counts a death, unless the target said that it leaves or its stop is planned; tells the
    /// region's other VMs before this returns.
    async fn note_death(self: &Arc<Self>, trip: &Trip) {
        let target = &trip.target;
        let now = self.clock.now();
        let leaving = self.targets().report(&target.target).is_some_and(|report| report.leaving);
        if leaving
            || self.planned_stops().covers_target(&target.target, &target.zone, &target.region)
        {
            return;
        }
        let memory = self.settings.crashes.death_retention;
        let verdicts = self.routing().died(now, &target.target, target.incarnation, memory);
        for (digest, verdict) in &verdicts {
            let event = match verdict {
                Verdict::Allow => continue,
                Verdict::Isolate => &event::placement::SUSPECT,
                Verdict::Refuse(_) => &event::placement::CRASHING,
            };
            event.emit(&self.logger, &[("target", &target.target), ("digest", digest)]);
        }
        if !verdicts.is_empty() {
            self.tell_of_crashes().await;
        }
    }

    async fn tell_of_crashes(&self) {
        let now = self.clock.now();
        let notice = self.routing().ledger.export_newest(now, NOTICE_RECORDS);
        if notice.records.is_empty() {
            return;
        }
        let payload = Bytes::from(notice.encode_to_vec());
        let peers = self.members().region_peers(now);
        let tell = |links| self.hub.call(links, Topic::Crashes, payload.clone(), NOTICE);
        let mut tells: FuturesUnordered<_> = peers.iter().map(|peer| tell(peer.links)).collect();
        while tells.next().await.is_some() {}
    }

    /// Takes what another VM of the region says of requests that crash targets.
    pub(super) fn hear_of_crashes(&self, payload: Bytes) -> Bytes {
        if let Ok(notice) = RecordSet::decode(payload) {
            let now = self.clock.now();
            self.routing().ledger.merge(now, &notice);
        }
        Bytes::new()
    }

    /// Keeps placement and limits up to the number of the region's VMs, and repeats notices that
    /// may have been lost, as long as the VM runs.
    pub(super) async fn tend_routing(self: Arc<Self>) {
        for tick in 1_u64.. {
            let now = self.clock.now();
            let others = self.members().region_peers(now).len();
            let vms = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
            self.admission.set_vms(vms);
            self.routing().tick(now, vms);
            if tick.is_multiple_of(NOTICE_TICKS) {
                self.tell_of_crashes().await;
            }
            Timer::after(TICK).await;
        }
    }
}
