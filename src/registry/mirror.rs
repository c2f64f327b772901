use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Cold, Entry, News, RegionLoad, Row, State, Vms};
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
    pub born: u64,
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
pub struct Lifetime {
    /// The target.
    pub target: id::Target,
    /// When it began.
    pub born: u64,
}

/// The registry as a VM that is no replica knows it. It never goes back.
#[derive(Debug, Default)]
pub struct Mirror {
    index: u64,
    rows: BTreeMap<String, (Row, Instant)>,
    drained: BTreeSet<String>,
    taken_back: BTreeMap<String, Instant>,
    silent: BTreeSet<String>,
    silent_digest: u64,
    cold_digest: u64,
    services: BTreeMap<id::Service, Vec<Target>>,
    ended: Vec<Lifetime>,
    vms: Vec<Entry>,
    known: u64,
    loads: Vec<RegionLoad>,
    loads_at: Option<Instant>,
}

impl Mirror {
    /// The index up to which the registry is known.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The digest of the VMs that are known.
    pub fn known(&self) -> u64 {
        self.known
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
    pub fn loads_at(&self) -> Option<Instant> {
        self.loads_at
    }

    /// Takes news that came at `now`; false where they are older than what is known.
    pub fn take(&mut self, news: News, now: Instant) -> bool {
        let tells = news.fresh || self.vms.is_empty();
        if let Some(vms) = news.vms {
            self.take_vms(vms, news.fresh);
        }
        if let Some(loads) = news.loads.filter(|_| tells) {
            self.loads = loads.regions;
            self.loads_at = Some(now);
        }
        if news.index < self.index {
            return false;
        }
        self.index = news.index;
        if news.whole {
            self.rows.clear();
        }
        for row in news.targets {
            let (born, state) = (row.born, row.state());
            let former = self.rows.insert(row.target.clone(), (row, now));
            let ended = |row: &Row| {
                row.state() == State::Ready && (row.born < born || state == State::Gone)
            };
            self.ended.extend(former.filter(|(row, _)| ended(row)).map(|(row, _)| lifetime(&row)));
        }
        if let Some(colds) = news.cold {
            self.cold_digest = colds.digest;
            self.rows.values_mut().for_each(|(_, cold_until)| *cold_until = now);
            for Cold { target, left_ms } in colds.targets {
                if let Some((_, cold_until)) = self.rows.get_mut(&target) {
                    *cold_until = now + Duration::from_millis(left_ms);
                }
            }
        }
        self.rows.retain(|_, (row, _)| row.state() != State::Gone);
        let drained: BTreeSet<String> = news.drained.into_iter().collect();
        for zone in self.drained.difference(&drained) {
            self.taken_back.insert(zone.clone(), now + AFTER_DRAIN);
        }
        self.drained = drained;
        if let Some(silent) = news.silent {
            self.silent_digest = silent.digest;
            let silent: BTreeSet<String> = silent.targets.into_iter().collect();
            let fresh = silent.difference(&self.silent).filter_map(|target| self.rows.get(target));
            self.ended.extend(fresh.map(|(row, _)| lifetime(row)));
            self.silent = silent;
        }
        self.rebuild(now);
        true
    }

    /// Lifetimes that ended since this was last asked though the targets did not say that they
    /// leave, and those of targets that have fallen silent.
    pub fn take_ended(&mut self) -> Vec<Lifetime> {
        std::mem::take(&mut self.ended)
    }

    fn take_vms(&mut self, vms: Vms, fresh: bool) {
        let Vms { known, whole, there, gone } = vms;
        // A replica that is cut off or has just started does not hear of all VMs.
        if fresh && whole {
            self.vms.clear();
        }
        if fresh {
            self.vms.retain(|entry| !gone.contains(&entry.vm));
            self.known = known;
        }
        for entry in there {
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
        loads.filter_map(|load| Some((load, self.loads_at?)))
    }

    /// The other VMs and the replicas.
    pub fn vms(&self) -> &[Entry] {
        &self.vms
    }

    fn rebuild(&mut self, now: Instant) {
        self.taken_back.retain(|_, until| *until > now);
        self.services.clear();
        for (row, cold) in self.rows.values() {
            if row.state() != State::Ready || self.drained.contains(&row.zone) {
                continue;
            }
            let Ok(address) = row.address.parse() else { continue };
            let back = self.taken_back.get(&row.zone).copied().unwrap_or(*cold);
            let target = Target {
                target: id::Target::from(row.target.as_str()),
                born: row.born,
                address,
                zone: id::Zone::from(row.zone.as_str()),
                slots: row.slots,
                cold_until: back.max(*cold),
                silent: self.silent.contains(&row.target),
            };
            let service = id::Service::from(row.service.as_str());
            self.services.entry(service).or_default().push(target);
        }
    }
}

fn lifetime(row: &Row) -> Lifetime {
    Lifetime { target: id::Target::from(row.target.as_str()), born: row.born }
}
