use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{ColdTarget, RegionLoad, State, TargetRecord, Update, VmChanges, VmInfo};
use crate::id;

/// After a zone gets work again its targets may have become cold, which they say only with their
/// next announcement; they count as cold for this long, two announcements.
const AFTER_DRAIN: Duration = Duration::from_millis(2500);

/// One target as a VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its identifier.
    pub target: id::Target,
    /// Its lifetime.
    pub incarnation: u64,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Whether it failed to announce itself for longer than it should.
    pub silent: bool,
}

/// A lifetime of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The target.
    pub target: id::Target,
    /// When it began.
    pub incarnation: u64,
}

/// The registry as a VM that is no replica knows it. It never goes back.
#[derive(Debug, Default)]
pub struct Mirror {
    index: u64,
    records: BTreeMap<String, (TargetRecord, Instant)>,
    drained: BTreeSet<String>,
    taken_back: BTreeMap<String, Instant>,
    silent: BTreeSet<String>,
    silent_digest: u64,
    cold_digest: u64,
    services: BTreeMap<id::Service, Vec<Target>>,
    ended: Vec<TargetIncarnation>,
    vms: Vec<VmInfo>,
    vms_digest: u64,
    loads: Vec<RegionLoad>,
    loads_received_at: Option<Instant>,
}

impl Mirror {
    /// The index up to which the registry is known.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The digest of the VMs that are known.
    pub fn vms_digest(&self) -> u64 {
        self.vms_digest
    }

    /// The digest of the cold targets that are known.
    pub fn cold_digest(&self) -> u64 {
        self.cold_digest
    }

    /// The digest of the silent targets that are known.
    pub fn silent_digest(&self) -> u64 {
        self.silent_digest
    }

    /// When it was last learned how busy other regions are.
    pub fn loads_received_at(&self) -> Option<Instant> {
        self.loads_received_at
    }

    /// Takes news that came at `now`; false where they are older than what is known.
    pub fn apply(&mut self, update: Update, now: Instant) -> bool {
        let tells = update.fresh || self.vms.is_empty();
        if let Some(vms) = update.vm_changes {
            self.take_vms(vms, update.fresh);
        }
        if let Some(loads) = update.loads.filter(|_| tells) {
            self.loads = loads.regions;
            self.loads_received_at = Some(now);
        }
        if update.index < self.index {
            return false;
        }
        self.index = update.index;
        if update.full {
            self.records.clear();
        }
        for record in update.targets {
            let (incarnation, state) = (record.incarnation, record.state());
            let former = self.records.insert(record.target.clone(), (record, now));
            let ended = |record: &TargetRecord| {
                record.state() == State::Ready
                    && (record.incarnation < incarnation || state == State::Gone)
            };
            self.ended.extend(
                former.filter(|(record, _)| ended(record)).map(|(record, _)| lifetime(&record)),
            );
        }
        if let Some(colds) = update.cold_targets {
            self.cold_digest = colds.digest;
            self.records.values_mut().for_each(|(_, cold_until)| *cold_until = now);
            for ColdTarget { target, remaining_ms } in colds.targets {
                if let Some((_, cold_until)) = self.records.get_mut(&target) {
                    *cold_until = now + Duration::from_millis(remaining_ms);
                }
            }
        }
        self.records.retain(|_, (record, _)| record.state() != State::Gone);
        let drained: BTreeSet<String> = update.drained_zones.into_iter().collect();
        for zone in self.drained.difference(&drained) {
            self.taken_back.insert(zone.clone(), now + AFTER_DRAIN);
        }
        self.drained = drained;
        if let Some(silent) = update.silent_targets {
            self.silent_digest = silent.digest;
            let silent: BTreeSet<String> = silent.targets.into_iter().collect();
            let fresh =
                silent.difference(&self.silent).filter_map(|target| self.records.get(target));
            self.ended.extend(fresh.map(|(record, _)| lifetime(record)));
            self.silent = silent;
        }
        self.rebuild(now);
        true
    }

    /// Lifetimes that ended since this was last asked though the targets did not say that they
    /// leave, and those of targets that have fallen silent.
    pub fn take_ended_incarnations(&mut self) -> Vec<TargetIncarnation> {
        std::mem::take(&mut self.ended)
    }

    fn take_vms(&mut self, vms: VmChanges, fresh: bool) {
        let VmChanges { digest, full, present, removed } = vms;
        // A replica that is cut off or has just started does not hear of all VMs.
        if fresh && full {
            self.vms.clear();
        }
        if fresh {
            self.vms.retain(|entry| !removed.contains(&entry.vm));
            self.vms_digest = digest;
        }
        for entry in present {
            self.vms.retain(|known| known.vm != entry.vm);
            self.vms.push(entry);
        }
    }

    /// The targets of `service` in this VM's region that take work.
    pub fn targets(&self, service: &id::Service) -> &[Target] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The services that have a target which takes work.
    pub fn services(&self) -> impl Iterator<Item = (&id::Service, &[Target])> {
        self.services.iter().map(|(service, targets)| (service, targets.as_slice()))
    }

    /// How busy the targets of `service` in each region were lately, and when that was learned.
    pub fn loads(&self, service: &id::Service) -> impl Iterator<Item = (&RegionLoad, Instant)> {
        let loads = self.loads.iter().filter(move |load| load.service == service.as_str());
        loads.filter_map(|load| Some((load, self.loads_received_at?)))
    }

    /// The other VMs and the replicas.
    pub fn vms(&self) -> &[VmInfo] {
        &self.vms
    }

    fn rebuild(&mut self, now: Instant) {
        self.taken_back.retain(|_, until| *until > now);
        self.services.clear();
        for (record, cold) in self.records.values() {
            if record.state() != State::Ready || self.drained.contains(&record.zone) {
                continue;
            }
            let Ok(address) = record.address.parse() else { continue };
            let back = self.taken_back.get(&record.zone).copied().unwrap_or(*cold);
            let target = Target {
                target: id::Target::from(record.target.as_str()),
                incarnation: record.incarnation,
                address,
                zone: id::Zone::from(record.zone.as_str()),
                slots: record.slots,
                cold_until: back.max(*cold),
                silent: self.silent.contains(&record.target),
            };
            let service = id::Service::from(record.service.as_str());
            self.services.entry(service).or_default().push(target);
        }
    }
}

fn lifetime(record: &TargetRecord) -> TargetIncarnation {
    TargetIncarnation {
        target: id::Target::from(record.target.as_str()),
        incarnation: record.incarnation,
    }
}
