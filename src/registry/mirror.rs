use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Cold, Entry, News, RegionLoad, Row, State};
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

/// The registry as a VM that is no replica knows it. It never goes back.
#[derive(Debug, Default)]
pub struct Mirror {
    index: u64,
    rows: BTreeMap<String, (Row, Instant)>,
    drained: BTreeSet<String>,
    taken_back: BTreeMap<String, Instant>,
    silent: BTreeSet<String>,
    services: BTreeMap<id::Service, Vec<Target>>,
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

    /// Takes news that came at `now`; false where they are older than what is known.
    pub fn take(&mut self, news: News, now: Instant) -> bool {
        let told = news.known != 0 && news.known != self.known;
        let vms = news.vms.into_iter().map(|seen| seen.entry);
        let tells = news.fresh || self.vms.is_empty();
        if told && news.fresh {
            self.vms = vms.collect();
            self.known = news.known;
        } else if told {
            // A replica that is cut off or has just started does not hear of all VMs.
            for entry in vms {
                self.vms.retain(|known| known.vm != entry.vm);
                self.vms.push(entry);
            }
        }
        if tells {
            self.loads = news.loads;
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
            self.rows.insert(row.target.clone(), (row, now));
        }
        for (_, cold_until) in self.rows.values_mut() {
            *cold_until = now;
        }
        for Cold { target, left_ms } in news.cold {
            if let Some((_, cold_until)) = self.rows.get_mut(&target) {
                *cold_until = now + Duration::from_millis(left_ms);
            }
        }
        self.rows.retain(|_, (row, _)| row.state() != State::Gone);
        let drained: BTreeSet<String> = news.drained.into_iter().collect();
        for zone in self.drained.difference(&drained) {
            self.taken_back.insert(zone.clone(), now + AFTER_DRAIN);
        }
        self.drained = drained;
        self.silent = news.silent.into_iter().collect();
        self.rebuild(now);
        true
    }

    /// The targets of `service` that take work; the region of a zone is not known here.
    pub fn targets(&self, service: &id::Service) -> &[Target] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The services that have a target which takes work.
    pub fn services(&self) -> impl Iterator<Item = (&id::Service, &[Target])> {
        self.services.iter().map(|(service, targets)| (service, targets.as_slice()))
    }

    /// How busy the targets of `service` in another region were lately, and when that was learned.
    pub fn load(&self, service: &id::Service, region: &str) -> Option<(&RegionLoad, Instant)> {
        let mut loads = self.loads.iter();
        let load = loads.find(|load| load.region == region && load.service == service.as_str())?;
        Some((load, self.loads_at?))
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
