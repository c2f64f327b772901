use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender, future::or};
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, shell::lock};
use crate::{
    event, id,
    registry::{
        Ask, Cold, Colds, Convicts, Entry, Loads, Machine, News, RegionLoad, Row, Silent, State,
        Vms,
    },
    replica::Group,
};

/// A replica that heard no leader for longer may miss changes: two heartbeats and the way.
const FRESH: Duration = Duration::from_millis(1000);
/// A target that missed two announcements, with what replicas tell each other once a second.
const MISSED: u32 = 3;
/// Changes within this time are told together; every bound on a change is in seconds.
const TOGETHER: Duration = Duration::from_millis(60);
/// How busy regions are is told again after so many milliseconds.
const LOADS_AGE: u64 = 500;
/// The most that a replica waits for something new.
const MOST_WAIT: Duration = Duration::from_secs(2);

/// The targets that take work, by region and service, as of an index of the registry.
#[derive(Debug, Default)]
pub(super) struct Counts {
    index: u64,
    targets: BTreeMap<(String, String), u32>,
}

impl Control {
    /// Answers a VM that asks what changed, as soon as something did.
    pub(super) async fn follow(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let ask = match Ask::decode(payload) {
            Ok(ask) => ask,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        lock(&self.followers).insert(ask.entry.vm.clone());
        self.hear_entry(&ask.entry);
        if let Some(crashes) = &ask.crashes {
            lock(&self.crashes).merge(self.clock.now(), crashes);
            self.crashes_told.store(true, Ordering::Relaxed);
        }
        let wait = Duration::from_millis(ask.wait_ms).min(MOST_WAIT);
        let news = match self.group() {
            Some(group) => {
                self.wait_for_news(&group, &ask, wait).await;
                self.news(&group, &ask)
            }
            None => News::default(),
        };
        let _ = reply.send(Bytes::from(news.encode_to_vec())).await;
    }

    async fn wait_for_news(&self, group: &Group<Machine>, ask: &Ask, wait: Duration) {
        let near = |row: &Row| self.is_near(row, &ask.entry.region);
        let timer = async {
            Timer::after(wait).await;
        };
        let news = async {
            loop {
                let change = group.read(Machine::listen);
                let other = self.vms_changed.listen();
                let unknown = self.roster().census().digest() != ask.known;
                if unknown || group.read(|machine| News::matter(machine, ask.since, near)) {
                    return;
                }
                or(change, other).await;
            }
        };
        or(news, timer).await;
        if !wait.is_zero() {
            Timer::after(TOGETHER).await;
        }
    }

    /// Whether a target matters to a VM of `region`: VMs send requests to targets of their own
    /// region alone.
    fn is_near(&self, row: &Row, region: &str) -> bool {
        let zone = id::Zone::from(row.zone.as_str());
        self.settings.region_of(&zone).is_none_or(|known| known.as_str() == region)
    }

    /// Takes what a VM says of itself; others are told at once where it is new or changed.
    fn hear_entry(&self, entry: &Entry) {
        let now = self.clock.now();
        let mut roster = self.roster();
        let known = roster.census().digest();
        roster.hear(entry.clone(), now);
        let changed = roster.census().digest() != known;
        drop(roster);
        if changed {
            self.vms_changed.notify();
        }
    }

    fn news(&self, group: &Group<Machine>, ask: &Ask) -> News {
        let now = self.clock.now();
        let near = |row: &Row| self.is_near(row, &ask.entry.region);
        let mut news = group.read(|machine| News::since(machine, ask.since, near));
        let ready = |row: &&Row| row.state() == State::Ready && near(row);
        let ready: Vec<Row> =
            group.read(|machine| machine.targets().filter(ready).cloned().collect());
        let status = group.status().consensus;
        news.fresh = status.leaderless.is_some_and(|lasts| lasts < FRESH);
        news.cold = Some(self.colds(&ready)).filter(|colds| colds.digest != ask.cold);
        news.silent = Some(self.silent(&ready, now)).filter(|silent| silent.digest != ask.silent);
        news.vms = self.vms(ask.known);
        news.convicts = Some(self.convicts(now)).filter(|told| told.digest != ask.convicts);
        if ask.loads_age_ms.is_none_or(|age| age >= LOADS_AGE) {
            news.loads = Some(self.loads(group, now));
        }
        news
    }

    fn colds(&self, ready: &[Row]) -> Colds {
        let cold = ready.iter().filter(|row| row.cold_ms > 0);
        let cold = cold.map(|row| (row, self.cold_left(row))).filter(|(_, left_ms)| *left_ms > 0);
        let cold: Vec<(&Row, u64)> = cold.collect();
        let names = cold.iter().map(|(row, _)| format!("{} {}", row.target, row.changed));
        let digest = digest(names);
        let cold = cold.into_iter();
        let targets =
            cold.map(|(row, left_ms)| Cold { target: row.target.clone(), left_ms }).collect();
        Colds { digest, targets }
    }

    fn convicts(&self, now: Instant) -> Convicts {
        let mut crashes = lock(&self.crashes);
        if crashes.is_empty() {
            return Convicts::default();
        }
        crashes.remove_expired(now);
        let requests = crashes.blocked_requests(now);
        let names = requests.iter().map(|convict| format!("{:?}", convict.digest));
        let digest = if requests.is_empty() { 0 } else { digest(names) };
        Convicts { digest, requests }
    }

    fn silent(&self, ready: &[Row], now: Instant) -> Silent {
        let limit = self.settings.announce * MISSED;
        let roster = self.roster();
        let grown = now.saturating_duration_since(self.started) > limit;
        let silent = |row: &&Row| {
            let heard = roster.heard(&row.target);
            heard.map_or(grown, |word| now.saturating_duration_since(word.at) > limit)
        };
        let targets: Vec<String> =
            ready.iter().filter(silent).map(|row| row.target.clone()).collect();
        Silent { digest: digest(targets.iter().cloned()), targets }
    }

    /// The VMs, or what changed of them since their digest was `known`.
    fn vms(&self, known: u64) -> Option<Vms> {
        let roster = self.roster();
        let census = roster.census();
        if census.digest() == known {
            return None;
        }
        let since = census.since(known);
        let (whole, names) = match since {
            Some(changed) => (false, changed),
            None => (true, census.vms().collect()),
        };
        let (there, gone): (Vec<&str>, Vec<&str>) =
            names.into_iter().partition(|vm| census.holds(vm));
        let there = there.into_iter().filter_map(|vm| roster.entry(vm));
        // What a VM says of its region goes to others as the load of the region.
        let there = there.map(|entry| Entry { loads: Vec::new(), ..entry.clone() });
        let gone = gone.into_iter().map(ToOwned::to_owned);
        Some(Vms { known: census.digest(), whole, there: there.collect(), gone: gone.collect() })
    }

    /// How busy the targets of each service are in each region that has any.
    fn loads(&self, group: &Group<Machine>, now: Instant) -> Loads {
        let mut counts = lock(&self.counts);
        let index = group.read(Machine::index);
        if counts.index != index || counts.targets.is_empty() {
            *counts = Counts { index, targets: self.count(group) };
        }
        let roster = self.roster();
        let loads = roster.loads(now);
        let load = |((region, service), targets): (&(String, String), &u32)| {
            let load = loads.get(&(region.as_str(), service.as_str()));
            let load = load.map(|load| (*load).clone()).unwrap_or_default();
            RegionLoad {
                region: region.clone(),
                service: service.clone(),
                slots: load.slots,
                requests: load.requests,
                delay_ms: load.delay_ms,
                scarce: load.scarce,
                targets: *targets,
            }
        };
        Loads { regions: counts.targets.iter().map(load).collect() }
    }

    /// The targets that take work, for each region and service.
    fn count(&self, group: &Group<Machine>) -> BTreeMap<(String, String), u32> {
        let mut targets = BTreeMap::new();
        group.read(|machine| {
            let drained: Vec<&str> = machine.drained().collect();
            for row in machine.targets().filter(|row| row.state() == State::Ready) {
                let zone = id::Zone::from(row.zone.as_str());
                let region = self.settings.region_of(&zone);
                if let Some(region) = region.filter(|_| !drained.contains(&row.zone.as_str())) {
                    *targets.entry((region.to_string(), row.service.clone())).or_default() += 1;
                }
            }
        });
        targets
    }

    /// Milliseconds that are left of a row's cold time.
    pub(super) fn cold_left(&self, row: &Row) -> u64 {
        let now = self.clock.now();
        let mut applied = lock(&self.applied);
        if applied.len() > 4096 {
            *applied = HashMap::new();
        }
        let at = *applied.entry((row.target.clone(), row.changed)).or_insert(now);
        drop(applied);
        // A replica that has just started does not know how old the row is; the target does.
        if let Some(word) = self.roster().heard(&row.target).filter(|word| word.at > at) {
            let left = word.cold_until.saturating_duration_since(now);
            return u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        }
        let passed = u64::try_from(now.saturating_duration_since(at).as_millis());
        row.cold_ms.saturating_sub(passed.unwrap_or(u64::MAX))
    }
}

/// A digest of names; never zero, which stands for nothing known.
fn digest(names: impl Iterator<Item = String>) -> u64 {
    xxh3_64(names.collect::<Vec<_>>().join("\n").as_bytes()).max(1)
}
