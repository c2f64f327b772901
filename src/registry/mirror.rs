use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    ColdTarget, ColdTargets, LastAnnouncements, RegionLoad, State, TargetRecord, Update, VmChanges,
    VmInfo,
};
use crate::{http::is_connectable, id};

/// Time after the end of a zone's drain for which its targets count as cold. They may have become
/// cold during the drain and say so only in their next announcement. Covers two announcements.
const COLD_AFTER_DRAIN: Duration = Duration::from_millis(2500);

/// How long an announcement is kept after the cold period that it named, to tell it from older ones.
const ANNOUNCEMENT_RETENTION: Duration = Duration::from_secs(30);

/// A target as a VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identifier of the target.
    pub target: id::Target,
    /// Start time of the target in Unix milliseconds, by its own clock.
    pub incarnation: u64,
    /// Address at which the target accepts connections.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Time at which the target stops being cold.
    pub cold_until: Instant,
    /// Whether the target's last announcement is overdue.
    pub silent: bool,
    /// Version of the software that the target runs; `None` if it is unknown.
    pub software_version: Option<id::SoftwareVersion>,
}

/// One run of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The target.
    pub target: id::Target,
    /// Start time of the target in Unix milliseconds, by its own clock.
    pub incarnation: u64,
}

/// A copy of the registry on a VM that is not a replica. Its index never decreases.
#[derive(Debug, Default)]
pub struct Mirror {
    index: u64,
    records: BTreeMap<String, TargetRecord>,
    /// What targets announced of their cold periods, as replicas and other VMs heard it.
    announcements: LastAnnouncements,
    /// The ends of cold periods that the last list of a replica took from records only.
    recorded_cold_until: BTreeMap<String, Instant>,
    cold_changes: Vec<ColdTarget>,
    drained_zones: BTreeSet<String>,
    /// Zones whose drain ended, each with the time until which its targets count as cold.
    undrained_cold_until: BTreeMap<String, Instant>,
    silent_targets: BTreeSet<String>,
    silent_digest: u64,
    cold_digest: u64,
    services: BTreeMap<id::Service, Vec<Target>>,
    ended_incarnations: Vec<TargetIncarnation>,
    /// Targets without a usable address, each with whether it has been reported.
    unusable_targets: BTreeMap<String, (String, bool)>,
    vms: Vec<VmInfo>,
    vms_digest: u64,
    loads: Vec<RegionLoad>,
    loads_received_at: Option<Instant>,
}

impl Mirror {
    /// Log index up to which the mirror holds the registry.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Digest of the known VMs.
    pub fn vms_digest(&self) -> u64 {
        self.vms_digest
    }

    /// Digest of the known cold targets.
    pub fn cold_digest(&self) -> u64 {
        self.cold_digest
    }

    /// Digest of the known silent targets.
    pub fn silent_digest(&self) -> u64 {
        self.silent_digest
    }

    /// Time at which the region loads were last received.
    pub fn loads_received_at(&self) -> Option<Instant> {
        self.loads_received_at
    }

    /// Applies an update that was received at `now`. Returns `false` if the update's index is lower
    /// than the mirror's; only VMs, loads and what was heard of targets are taken from such an update.
    pub fn apply(&mut self, update: Update, now: Instant) -> bool {
        let accept_loads = update.fresh || self.vms.is_empty();
        if let Some(vm_changes) = update.vm_changes {
            self.apply_vm_changes(vm_changes, update.fresh);
        }
        if let Some(loads) = update.loads.filter(|_| accept_loads) {
            self.loads = loads.regions;
            self.loads_received_at = Some(now);
        }
        // What was heard of targets does not depend on the index.
        let (mut recorded, mut has_cold_changes) = (None, false);
        if let Some(ColdTargets { digest, targets }) = update.cold_targets {
            self.cold_digest = digest;
            let until =
                |cold: &ColdTarget| now.checked_add(Duration::from_millis(cold.remaining_ms));
            let unheard = targets.iter().filter(|cold| cold.age_ms.is_none());
            let unheard = unheard.map(|cold| (cold.target.clone(), until(cold).unwrap_or(now)));
            recorded = Some(unheard.collect());
            has_cold_changes = self.merge_cold_targets(targets, now);
        }
        if update.index < self.index {
            if has_cold_changes {
                self.rebuild_services(now);
            }
            return false;
        }
        self.index = update.index;
        if let Some(recorded) = recorded {
            self.recorded_cold_until = recorded;
        }
        if update.full {
            self.records.clear();
        }
        for record in update.targets {
            let (incarnation, state) = (record.incarnation, record.state());
            let previous = self.records.insert(record.target.clone(), record);
            let has_ended = |previous: &TargetRecord| {
                previous.state() == State::Ready
                    && (previous.incarnation < incarnation || state == State::Gone)
            };
            self.ended_incarnations
                .extend(previous.filter(has_ended).map(|previous| incarnation_of(&previous)));
        }
        self.announcements.sweep(ANNOUNCEMENT_RETENTION, now);
        self.records.retain(|_, record| record.state() != State::Gone);
        let drained: BTreeSet<String> = update.drained_zones.into_iter().collect();
        for zone in self.drained_zones.difference(&drained) {
            self.undrained_cold_until.insert(zone.clone(), now + COLD_AFTER_DRAIN);
        }
        self.drained_zones = drained;
        if let Some(silent) = update.silent_targets {
            self.silent_digest = silent.digest;
            let silent: BTreeSet<String> = silent.targets.into_iter().collect();
            let newly_silent = silent
                .difference(&self.silent_targets)
                .filter_map(|target| self.records.get(target));
            self.ended_incarnations.extend(newly_silent.map(incarnation_of));
            self.silent_targets = silent;
        }
        self.rebuild_services(now);
        true
    }

    /// Records what a replica or another VM heard of cold targets. Returns whether that changed what is
    /// known.
    pub fn record_cold_targets(&mut self, cold: Vec<ColdTarget>, now: Instant) -> bool {
        let has_changed = self.merge_cold_targets(cold, now);
        if has_changed {
            self.rebuild_services(now);
        }
        has_changed
    }

    fn merge_cold_targets(&mut self, cold: Vec<ColdTarget>, now: Instant) -> bool {
        let known_changes = self.cold_changes.len();
        for cold in cold {
            if self.announcements.merge_cold_target(&cold, now) {
                self.cold_changes.push(cold);
            }
        }
        self.cold_changes.len() > known_changes
    }

    /// Returns and clears the cold periods that were not known before, or were other ones.
    pub fn take_cold_changes(&mut self) -> Vec<ColdTarget> {
        std::mem::take(&mut self.cold_changes)
    }

    /// What was heard of cold targets at `since` or later, for the other VMs of the region.
    pub fn cold_targets_since(&self, since: Instant, now: Instant) -> Vec<ColdTarget> {
        self.announcements.cold_targets_since(since, now)
    }

    /// Returns and clears the incarnations that ended without having announced that they leave,
    /// and those that became silent.
    pub fn take_ended_incarnations(&mut self) -> Vec<TargetIncarnation> {
        std::mem::take(&mut self.ended_incarnations)
    }

    /// Returns the targets that no request can be sent to, with their addresses, each once.
    pub fn take_unusable_targets(&mut self) -> Vec<(String, String)> {
        let new = self.unusable_targets.iter_mut().filter(|(_, (_, reported))| !reported);
        new.map(|(target, (address, reported))| {
            *reported = true;
            (target.clone(), address.clone())
        })
        .collect()
    }

    fn apply_vm_changes(&mut self, changes: VmChanges, fresh: bool) {
        let VmChanges { digest, full, present, removed } = changes;
        // A replica that is cut off or has just started does not hear from all VMs, so it cannot
        // tell which VMs are down.
        if fresh && full {
            self.vms.clear();
        }
        if fresh {
            self.vms.retain(|info| !removed.contains(&info.vm));
            self.vms_digest = digest;
        }
        for info in present {
            self.vms.retain(|known| known.vm != info.vm);
            self.vms.push(info);
        }
    }

    /// The ready targets of `service` in this VM's region.
    pub fn targets(&self, service: &id::Service) -> &[Target] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether an incarnation of a target in this VM's region is ready, which one that leaves is not.
    pub fn is_ready(&self, target: &id::Target, incarnation: u64) -> bool {
        let record = self.records.get(target.as_str());
        record.is_some_and(|it| it.incarnation == incarnation && it.state() == State::Ready)
    }

    /// The services that have a ready target in this VM's region, with those targets.
    pub fn services(&self) -> impl Iterator<Item = (&id::Service, &[Target])> {
        self.services.iter().map(|(service, targets)| (service, targets.as_slice()))
    }

    /// The load of `service` in each region, and the time at which it was received.
    pub fn loads(&self, service: &id::Service) -> impl Iterator<Item = (&RegionLoad, Instant)> {
        let loads = self.loads.iter().filter(move |load| load.service == service.as_str());
        loads.filter_map(|load| Some((load, self.loads_received_at?)))
    }

    /// The VMs that accept callers and the replicas.
    pub fn vms(&self) -> &[VmInfo] {
        &self.vms
    }

    fn rebuild_services(&mut self, now: Instant) {
        self.undrained_cold_until.retain(|_, until| *until > now);
        self.services.clear();
        let mut known_unusable = std::mem::take(&mut self.unusable_targets);
        for record in self.records.values() {
            if record.state() != State::Ready || self.drained_zones.contains(&record.zone) {
                continue;
            }
            let Some(address) = record.address.parse().ok().filter(|at| is_connectable(*at)) else {
                let known = known_unusable.remove(&record.target);
                let known = known.filter(|(address, _)| *address == record.address);
                let known = known.unwrap_or_else(|| (record.address.clone(), false));
                self.unusable_targets.insert(record.target.clone(), known);
                continue;
            };
            let cold_until = self
                .announcements
                .cold_until(&record.target, record.incarnation)
                .or_else(|| self.recorded_cold_until.get(&record.target).copied())
                .unwrap_or(now);
            let zone_cold_until =
                self.undrained_cold_until.get(&record.zone).copied().unwrap_or(cold_until);
            let target = Target {
                target: id::Target::from(record.target.as_str()),
                incarnation: record.incarnation,
                address,
                zone: id::Zone::from(record.zone.as_str()),
                slots: record.slots,
                cold_until: zone_cold_until.max(cold_until),
                silent: self.silent_targets.contains(&record.target),
                software_version: record.software_version(),
            };
            let service = id::Service::from(record.service.as_str());
            self.services.entry(service).or_default().push(target);
        }
    }
}

fn incarnation_of(record: &TargetRecord) -> TargetIncarnation {
    TargetIncarnation {
        target: id::Target::from(record.target.as_str()),
        incarnation: record.incarnation,
    }
}
