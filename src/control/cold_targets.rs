//! What targets say of their cold periods: told to VMs and to the other replicas as soon as it is
//! heard, whether or not a quorum can be reached.

use std::{collections::HashMap, sync::atomic::Ordering, time::Instant};

use prost::{Message, bytes::Bytes};

use super::{Control, server::lock};
use crate::{
    event, id,
    registry::{
        Announcement, ColdTarget, ColdTargets, HeartbeatReport, TargetHeartbeat, TargetRecord,
        VmInfo,
    },
    wire::Topic,
};

/// Above this number, the times at which records were first seen are forgotten. A record that is
/// still in use then counts from that moment again.
const MAX_SEEN_RECORDS: usize = 4096;

impl Control {
    /// Tells the VMs of the target's region and the other replicas that its cold period has changed.
    pub(super) fn spread_cold_period(&self, announcement: &Announcement, now: Instant) {
        let target = announcement.target.as_str();
        let (cold_target, heartbeat) = {
            let heartbeats = self.heartbeats();
            (heartbeats.cold_target(target, now), heartbeats.target_heartbeat(target, now))
        };
        let Some(cold_target) = cold_target else { return };
        event::registry::COLD.emit(
            &self.logger,
            &[
                ("target", &target),
                ("born", &cold_target.incarnation),
                ("sequence", &cold_target.sequence),
                ("cold_ms", &cold_target.remaining_ms),
                ("heard_from", &"the target"),
            ],
        );
        self.record_cold_change();
        self.tell_vms(&announcement.zone, cold_target, now);
        self.tell_replicas(heartbeat);
    }

    /// Tells the VMs that accept callers in the region of `zone`, or in all regions if the settings do
    /// not list it.
    fn tell_vms(&self, zone: &id::Zone, cold_target: ColdTarget, now: Instant) {
        // Only lists of updates need a digest.
        let cold_targets = ColdTargets { digest: 0, targets: vec![cold_target] };
        let payload = Bytes::from(cold_targets.encode_to_vec());
        let region = self.settings.region_of(zone);
        let is_told = |info: &&VmInfo| {
            info.callers_address().is_some()
                && region.is_none_or(|region| region.as_str() == info.region)
        };
        let heartbeats = self.heartbeats();
        let vms = heartbeats.live_vms(now).map(|(info, _)| info).filter(is_told);
        for address in vms.filter_map(VmInfo::links_address) {
            self.hub.notify_detached(address, Topic::Registry, payload.clone());
        }
    }

    fn tell_replicas(&self, heartbeat: Option<TargetHeartbeat>) {
        let targets = heartbeat.into_iter().collect();
        let report = HeartbeatReport { targets, ..HeartbeatReport::default() };
        let payload = Bytes::from(report.encode_to_vec());
        let Some(group) = self.group() else { return };
        let membership = group.status().consensus.membership;
        for peer in membership.peers().filter(|peer| peer.vm != self.settings.vm()) {
            if let Some(address) = self.settings.links_address_of(&peer.vm) {
                self.hub.notify_detached(address, Topic::Membership, payload.clone());
            }
        }
    }

    /// Has updates tell VMs that the cold period of a target has changed.
    pub(super) fn record_cold_change(&self) {
        self.cold_changes.fetch_add(1, Ordering::Relaxed);
        self.cold_targets_changed.notify();
    }

    /// What VMs must know of the cold periods of `ready` targets.
    pub(super) fn cold_targets(&self, ready: &[TargetRecord], now: Instant) -> ColdTargets {
        let mut targets = Vec::new();
        for record in ready {
            let heartbeats = self.heartbeats();
            let version = (record.incarnation, record.sequence);
            let last = heartbeats.last_announcement(&record.target);
            if last.is_some_and(|last| last.version >= version) {
                targets.extend(heartbeats.cold_target(&record.target, now));
                continue;
            }
            drop(heartbeats);
            let remaining_ms = self.recorded_cold_ms(record, now);
            if remaining_ms > 0 {
                targets.push(ColdTarget {
                    target: record.target.clone(),
                    remaining_ms,
                    incarnation: record.incarnation,
                    sequence: record.sequence,
                    age_ms: None,
                });
            }
        }
        let changes = self.cold_changes.load(Ordering::Relaxed);
        ColdTargets::new(targets, (self.incarnation, changes))
    }

    /// Milliseconds for which the target of a record remains cold by the record, which a replica that
    /// has just started counts from its start.
    pub(super) fn recorded_cold_ms(&self, record: &TargetRecord, now: Instant) -> u64 {
        let mut seen_at = lock(&self.records_seen_at);
        if seen_at.len() > MAX_SEEN_RECORDS {
            *seen_at = HashMap::new();
        }
        let at = *seen_at.entry((record.target.clone(), record.changed_index)).or_insert(now);
        let elapsed_ms = u64::try_from(now.saturating_duration_since(at).as_millis());
        record.cold_remaining_ms.saturating_sub(elapsed_ms.unwrap_or(u64::MAX))
    }
}
